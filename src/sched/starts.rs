//! Starts and stops the runs of placed tasks.

use std::net::SocketAddr;

use super::incarnation::{BootOrder, Incarnation, compare_boots};
use super::job::TaskKey;
use super::message::{Action, OrderAck, Refusal, Reply, Start, Stop};
use super::owner::Owner;
use super::placing::placement::Stage;
use super::spec::Resources;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds for which a worker gets no new tasks after it refused a start as full, unfit or
/// unhealthy.
const REFUSAL_QUARANTINE: Millis = 700;
/// Half of the milliseconds that a task waits after its first start that was refused as unfit.
/// Each further refusal doubles the wait.
const DEFERRAL_BASE: Millis = 500;
/// Highest number of doublings, counted from `DEFERRAL_BASE`: the wait grows to 16 s.
const MAX_DOUBLINGS: u32 = 5;
/// Milliseconds after which a stop without an effect is sent again.
pub(super) const STOP_RETRY: Millis = 1_000;

/// Backoff of a task whose starts workers refuse as unfit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Deferral {
    /// Number of refused starts.
    refusals: u32,
    /// When the task may be placed again.
    pub until: Millis,
}

impl Owner {
    /// Starts a run whose placement is in the store.
    pub(super) fn start_run(&mut self, key: TaskKey, run: u32) {
        let Some(name) = self.worker_of_run(key, run) else {
            return;
        };
        let Some(job) = self.jobs.get(&key.job).filter(|j| j.is_open()) else {
            self.release_run(key, &name);
            return;
        };
        let (now, span) = (self.now.steady, self.settings.lease_length);
        // The answer to the commit may have waited while this box was paused.
        let may_grant = self.may_grant_leases();
        let permit = self.permit_token(key, &name);
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        let current = worker.placements.get(&key);
        if current.is_none_or(|s| s.run != run || s.stage != Stage::Recording) {
            return;
        }
        // The worker may have shrunk since the task was placed, and the start would overcommit a
        // worker that accepts any order.
        let fits = worker.fits(Resources::default());
        let cordoned = worker.cordoned;
        // A best-effort task starts at full speed, which would prolong a breach of a latency
        // target.
        let over_target = current.is_some_and(|s| s.best_effort) && worker.is_over_target();
        let lease = match worker.accepts_tasks(now) && fits && !over_target && may_grant {
            true => worker.grant_lease(span, now),
            false => None,
        };
        let fence = worker.fence;
        let (Some(lease), Some(permit), Some(placement)) =
            (lease, permit, worker.placements.get_mut(&key))
        else {
            log::info!(target: "task", "task={} run={run} event=withdrawn worker={name} fits={fits} cordoned={cordoned} over_target={over_target} may_grant={may_grant}", job.task_name(key));
            crate::metrics::get().withdrawn_starts.inc();
            self.release_run(key, &name);
            return;
        };
        // The primary run may have reported a checkpoint since its copy was placed.
        placement.measurable &= job.task(key).is_some_and(|t| t.checkpoint.is_empty());
        placement.stage = Stage::Starting;
        placement.placed_at = now;
        placement.fence = fence;
        self.send_start(key, run, name, lease, permit);
    }

    /// Orders a worker to start a run.
    fn send_start(&mut self, key: TaskKey, run: u32, worker: Name, lease: Millis, permit: Name) {
        let known = self.workers.get(&worker);
        let Some((address, incarnation, fence)) =
            known.map(|w| (w.listing.address, w.incarnation(), w.fence))
        else {
            return;
        };
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let task = job.task_name(key);
        let age = self.now.wall.saturating_sub(job.row.accepted);
        if (key.step, key.index, run) == (0, 0, 1) {
            let seconds = age as f64 / 1_000.0;
            crate::metrics::get().first_start_seconds.observe(seconds);
        }
        log::info!(target: "task", "task={task} run={run} event=start worker={incarnation} job_age_ms={age}");
        self.actions.push(Action::Start(Start {
            key,
            run,
            incarnation,
            address,
            task,
            payload: job.spec.payload.clone(),
            lease,
            fence,
            checkpoint: job
                .task(key)
                .map(|t| t.checkpoint.clone())
                .unwrap_or_default(),
            permit,
        }));
    }

    /// Handles the reply to a start.
    pub(super) fn handle_start_reply(
        &mut self,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
        reply: Reply<OrderAck>,
    ) {
        let (now, sequence) = (self.now.steady, self.sequence);
        let name = &incarnation.id;
        if reply == Reply::Lost {
            log::info!(target: "task", "task={} run={run} event=start-unanswered worker={incarnation}", self.task_name(key));
            self.raise_fence(name);
        }
        if !self.accept_reply(incarnation, &reply) {
            return;
        }
        let Some(placement) = self.placement_mut(name, key, run) else {
            return;
        };
        match reply {
            Reply::Ok(_) => {
                placement.confirm(sequence, now);
                self.mark_begun(key);
                self.halt_run(name, key);
            }
            // The answer to a poll with the raised fence shows whether it was carried out, and not
            // when.
            Reply::Lost => placement.measurable = false,
            Reply::NotSent | Reply::NotListening => self.release_run(key, name),
            Reply::Refused(refusal) => self.handle_start_refusal(key, run, name, refusal),
        }
    }

    /// Returns true when the reply to an order comes from the known incarnation and the order
    /// was sent to that one. A reply from another incarnation triggers a poll at once.
    pub(super) fn accept_reply(
        &mut self,
        incarnation: &Incarnation,
        reply: &Reply<OrderAck>,
    ) -> bool {
        let Some(worker) = self.workers.get(&incarnation.id) else {
            return false;
        };
        if worker.boot != incarnation.boot {
            return false;
        }
        let Reply::Ok(ack) = reply else {
            return true;
        };
        let later = compare_boots(worker.boot, ack.boot) == BootOrder::Later;
        // The clock of one incarnation never falls behind its reading before the order.
        let another = later || ack.clock < incarnation.clock;
        if another {
            self.verify_incarnation(&incarnation.id, "answer");
        }
        !another
    }

    /// Records in the row of a job that a worker has begun one of its tasks.
    pub(super) fn mark_begun(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.row.begun = true;
        }
    }

    /// Handles the refusal of a start.
    fn handle_start_refusal(&mut self, key: TaskKey, run: u32, name: &Name, refusal: Refusal) {
        let task = self.task_name(key);
        log::info!(target: "task", "task={task} run={run} event=refused worker={name} reason={refusal:?}");
        let is_copy = self.copies.is_on(key, name);
        match refusal {
            Refusal::Full | Refusal::Unwell => self.quarantine(name),
            Refusal::Unfit => {
                self.quarantine(name);
                // The worker of the primary run has accepted the task, which need not wait after
                // the end of that run.
                match is_copy {
                    true => self.copies.defer(key, self.now.steady),
                    false => self.defer_task(key),
                }
            }
            Refusal::NoPermit => self.invalidate_permit(key, name),
            Refusal::Late | Refusal::Old | Refusal::Fenced | Refusal::Replaced => {}
        }
        self.release_run(key, name);
        if refusal == Refusal::Replaced {
            self.verify_incarnation(name, "refusal");
        }
    }

    /// Delays the next start of a task, longer after each start that a worker refused as unfit.
    /// Each refusal also quarantines the worker: without the delay, a task that no worker could
    /// parse put all workers out of use.
    fn defer_task(&mut self, key: TaskKey) {
        let now = self.now.steady;
        let deferral = self.deferred.entry(key).or_default();
        deferral.refusals += 1;
        deferral.until = now + (DEFERRAL_BASE << deferral.refusals.min(MAX_DOUBLINGS));
    }

    /// Quarantines a worker for a short time, in which it gets no new tasks.
    fn quarantine(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.quarantined_until = self.now.steady + REFUSAL_QUARANTINE;
        }
    }

    /// Handles the reply to a stop.
    pub(super) fn handle_stop_reply(
        &mut self,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
        reply: Reply<OrderAck>,
    ) {
        let (now, sequence) = (self.now.steady, self.sequence);
        let name = &incarnation.id;
        if reply == Reply::Lost {
            self.raise_fence(name);
        }
        if !self.accept_reply(incarnation, &reply) {
            return;
        }
        let Some(placement) = self.placement_mut(name, key, run) else {
            return;
        };
        match reply {
            Reply::Ok(_) => placement.stage = Stage::Stopped(sequence),
            // The stop is sent again while the worker answers its polls.
            Reply::Lost | Reply::NotSent | Reply::NotListening => {
                placement.stage = Stage::Stopping(now)
            }
            Reply::Refused(refusal) => {
                placement.stage = Stage::Stopping(now);
                if refusal == Refusal::Replaced {
                    self.verify_incarnation(name, "refusal");
                }
            }
        }
    }

    /// Sends stops again that had no effect yet.
    pub(super) fn retry_stops(&mut self) {
        let now = self.now.steady;
        let mut due = Vec::new();
        for (name, worker) in &mut self.workers {
            if !worker.is_answering(now) {
                continue;
            }
            let address = worker.listing.address;
            for (key, placement) in &mut worker.placements {
                if let Stage::Stopping(at) = placement.stage
                    && now >= at + STOP_RETRY
                {
                    placement.stage = Stage::Stopping(now);
                    due.push((*key, placement.run, name.clone(), address));
                }
            }
        }
        for (key, run, name, address) in due {
            self.send_stop(key, run, name, address);
        }
    }

    /// Stops all tasks of a job.
    pub(super) fn stop_job(&mut self, number: u32) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let keys: Vec<TaskKey> = job.tasks(number).map(|(key, _)| key).collect();
        for key in keys {
            self.stop_task(key);
        }
    }

    /// Stops a placed task, and its copy if there is one.
    pub(super) fn stop_task(&mut self, key: TaskKey) {
        let copy = self.copies.get(key).map(|copy| copy.worker.clone());
        let primary = self.placed_on.get(&key).cloned();
        for name in copy.into_iter().chain(primary) {
            self.stop_run(key, &name);
        }
    }

    /// Stops the run of a task on a worker, or releases it if its start was not sent yet.
    pub(super) fn stop_run(&mut self, key: TaskKey, name: &Name) {
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let address = worker.listing.address;
        let Some(placement) = worker.placements.get_mut(&key) else {
            return;
        };
        match placement.stage {
            Stage::Recording => {
                self.release_run(key, name);
                return;
            }
            Stage::Inherited | Stage::Stopping(_) | Stage::Stopped(_) => return,
            Stage::Starting | Stage::Running(_) => {
                placement.stage = Stage::Stopping(now);
            }
        }
        let run = placement.run;
        self.send_stop(key, run, name.clone(), address);
    }

    /// Orders a worker to stop a run.
    pub(super) fn send_stop(&mut self, key: TaskKey, run: u32, worker: Name, address: SocketAddr) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let task = job.task_name(key);
        self.send_stop_by_name(key, run, task, worker, address);
    }

    /// Orders a worker to stop a run given by the name of its task.
    pub(super) fn send_stop_by_name(
        &mut self,
        key: TaskKey,
        run: u32,
        task: String,
        worker: Name,
        address: SocketAddr,
    ) {
        let known = self.workers.get(&worker);
        let Some((incarnation, fence)) = known.map(|w| (w.incarnation(), w.fence)) else {
            return;
        };
        log::info!(target: "task", "task={task} run={run} event=stop worker={incarnation}");
        self.actions.push(Action::Stop(Stop {
            key,
            run,
            incarnation,
            address,
            task,
            fence,
        }));
    }
}
