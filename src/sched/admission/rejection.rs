//! Admission control: decides whether a submitted job is accepted.
//!
//! Jobs that arrive during an outage of the store, and jobs with a task that no worker could
//! hold, are refused at once: they could not run, and a refusal assures their callers that
//! nothing was started. A job that only has to wait for resources is accepted: its tasks start
//! within seconds on full workers, and only the caller knows how long waiting is worthwhile.
//!
//! Jobs that arrived just before an outage was noticed are refused as well, unless a commit with
//! them was sent: that one may still take effect.

use crate::sched::job::Job;
use crate::sched::journal::AfterCommit;
use crate::sched::message::Answer;
use crate::sched::owner::Owner;
use crate::sched::placing::scoring::could_ever_hold;
use crate::sched::spec::{JobSpec, StepSpec};
use crate::sched::worker::{Presence, Worker};
use crate::utils::clock::Millis;

/// Milliseconds without a confirmed commit after which the store counts as unavailable:
/// several times its usual response time, also when it is slow.
pub(in crate::sched) const OUTAGE_AFTER: Millis = 1_000;
/// The same for new jobs: less than a box waits for the answer to a job that it has forwarded.
const NEW_JOB_OUTAGE_AFTER: Millis = 600;
/// The same once a commit has failed, as a store that resets connections or answers 503 is
/// recognised at once. Longer than the pause between an idle owner's commits, and than it takes
/// to find the outcome of two commits in a row whose answers were lost, which is no outage.
const OUTAGE_AFTER_FAILURE: Millis = 450;
/// Factor on the duration of the last commit: a slow store counts as unavailable only after this
/// many times that duration without a confirmed commit.
const OUTAGE_COMMITS: Millis = 3;
/// Upper limit of that time, in milliseconds.
const MAX_OUTAGE_AFTER: Millis = 2_500;
/// Milliseconds after which the caller of a job that no worker could hold should retry. Larger
/// workers are added within several seconds, if at all, and earlier retries would fail.
const UNSERVABLE_RETRY_AFTER: Millis = 5_000;
/// Milliseconds after which the caller of a job should retry that has no room beside the accepted
/// ones: some of them end within seconds.
const FULL_RETRY_AFTER: Millis = 2_000;
/// Bytes of a small job in memory: about 200 tasks.
const SMALL_JOB: usize = 64 << 10;
/// Milliseconds from the last commit of an owner that the store no longer serves until another
/// one serves.
const TAKEOVER_TIME: Millis = 1_600;
/// Milliseconds after which a refused caller should retry: about the duration of a takeover or
/// a short outage.
pub const RETRY_AFTER: Millis = 500;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sched) enum Rejection {
    /// The store has confirmed no commit for this many milliseconds.
    StoreAway(Millis),
    /// No worker of the service could hold a task of the step with this index.
    Unservable(usize),
    /// The accepted jobs take this many bytes, and this one does not fit beside them.
    NoMemory(usize),
    /// The job would end worthless by the measured load; its caller should retry after this many
    /// milliseconds.
    Overload(Millis),
}

impl Rejection {
    /// Returns the milliseconds after which the caller should retry.
    pub fn retry_after(self) -> Millis {
        match self {
            Self::StoreAway(silent) => outage_retry_after(silent),
            Self::Unservable(_) => UNSERVABLE_RETRY_AFTER,
            Self::NoMemory(_) => FULL_RETRY_AFTER,
            Self::Overload(retry) => retry,
        }
    }
}

/// Returns the milliseconds after which a caller should retry when the store has confirmed no
/// commit for `silent` milliseconds.
pub(in crate::sched) fn outage_retry_after(silent: Millis) -> Millis {
    TAKEOVER_TIME.saturating_sub(silent).max(RETRY_AFTER)
}

impl Owner {
    /// Returns why a job can't be accepted now, or `None` if it can.
    pub(in crate::sched) fn rejection(&self, spec: &JobSpec, service: &str) -> Option<Rejection> {
        let outage = self.store_outage(NEW_JOB_OUTAGE_AFTER);
        let away = outage.map(Rejection::StoreAway);
        let unservable = || self.unservable_step(spec, service);
        away.or_else(|| unservable().map(Rejection::Unservable))
            .or_else(|| self.exceeds_memory(spec).map(Rejection::NoMemory))
    }

    /// Returns the bytes that the accepted jobs take if a job has no room beside them. Half of the
    /// memory for jobs is kept for small ones.
    fn exceeds_memory(&self, spec: &JobSpec) -> Option<usize> {
        let (bytes, most) = (Job::memory(spec), self.settings.job_memory);
        let limit = if bytes > SMALL_JOB { most / 2 } else { most };
        (self.job_bytes + bytes > limit).then_some(self.job_bytes)
    }

    /// Returns the milliseconds since the last confirmed commit if there are more than `after`, or
    /// than `OUTAGE_AFTER_FAILURE` once a commit has failed; `None` otherwise, and while a slow store
    /// explains them.
    pub(in crate::sched) fn store_outage(&self, after: Millis) -> Option<Millis> {
        let silent = self.now.steady - self.journal.last_confirmed();
        let limit = match self.journal.last_commit_failed() {
            true => OUTAGE_AFTER_FAILURE,
            false => after,
        };
        let slow = (self.journal.last_commit_duration() * OUTAGE_COMMITS).min(MAX_OUTAGE_AFTER);
        (silent > limit.max(slow)).then_some(silent)
    }

    /// Refuses the jobs that wait for the store while it is unavailable, except for those in a
    /// commit that was sent. Otherwise their callers would wait until the next owner serves, and
    /// then learn only that their jobs may have been accepted.
    pub(in crate::sched) fn refuse_unsent_jobs(&mut self) {
        let Some(silent) = self.store_outage(NEW_JOB_OUTAGE_AFTER) else {
            return;
        };
        let new = self.jobs.iter().filter(|(_, job)| !job.stored);
        let new: Vec<u32> = new.map(|(number, _)| *number).collect();
        for number in new {
            if let Some(actions) = self.journal.withdraw(number) {
                self.refuse_withdrawn(number, actions, silent);
            }
        }
    }

    /// Removes a job that the store does not have, and answers its callers that it was not
    /// accepted.
    fn refuse_withdrawn(&mut self, number: u32, actions: Vec<AfterCommit>, silent: Millis) {
        let placed = self.jobs[&number].tasks(number).map(|(key, _)| key);
        let placed: Vec<_> = placed
            .filter_map(|key| Some((key, self.placed_on.get(&key)?.clone())))
            .collect();
        for (key, worker) in placed {
            self.deallocate(key, &worker);
        }
        let Some(job) = self.remove_job(number) else {
            return;
        };
        log::info!(target: "job", "job={} event=withdrawn reason=store-away silent_ms={silent}", job.id);
        self.shares.withdraw(number);
        self.ready.retain(|key, _| key.job != number);
        self.permits.retain(|step, _| step.job != number);
        for action in actions {
            if let AfterCommit::Reply(ticket, _) = action {
                self.reply(ticket, Answer::Refused(outage_retry_after(silent)));
            }
        }
    }

    /// Returns the first step of which no worker of the service could hold a task. Workers count
    /// as empty and with the most capacity that they have had, as one that has shrunk may grow
    /// again. Returns `None` while no worker of the service is known, and until the whole directory
    /// was read.
    fn unservable_step(&self, spec: &JobSpec, service: &str) -> Option<usize> {
        let known = |w: &&Worker| {
            let there = !matches!(w.presence, Presence::Removed | Presence::Unusable);
            there && &*w.listing.service == service
        };
        let holds = |step: &StepSpec| {
            let mut workers = self.workers.values().filter(known);
            workers.any(|w| could_ever_hold(w, step))
        };
        if !self.directory_read {
            return None;
        }
        self.workers.values().find(known)?;
        spec.steps.iter().position(|step| !holds(step))
    }
}
