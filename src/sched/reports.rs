//! Exchanges with workers, and the runs that they report.

use std::collections::BTreeSet;

use super::history::NO_TASK;
use super::incarnation::{BootOrder, compare_boots};
use super::job::{Outcome, TaskKey, parse_task_name};
use super::lost_workers::IncarnationEnd;
use super::message::{Action, ActiveRun, Poll, Refusal, Reply, Report};
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::throttling::FULL_SPEED;
use super::worker::PollState;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds that an exchange may wait for an end.
const WAIT: Millis = 1_000;
/// Milliseconds of that wait while it is isolated for a suspect, which is to be over soon.
const ISOLATED_WAIT: Millis = 200;
/// Milliseconds of that wait where fillers run beside serving tasks: their
/// tails are measured over half a second.
const WATCH: Millis = 400;
/// Workers that are watched at that pace; with more of them each is watched less
/// often, so that the owner's work does not grow with their number.
const WATCHED: u64 = 200;
/// Milliseconds until the next exchange after one that had no answer.
const MISS_PAUSE: Millis = 250;
/// Longest that the next exchange waits for ends to be written, in
/// milliseconds; one before that is answered at once, with the same ends.
const ENDS_PAUSE: Millis = 300;
/// Milliseconds by which the clocks of a worker and a box may differ unsaid.
const CLOCKS: Millis = 5_000;
/// Ends in one report; with so many there may be more.
const REPORT_LIMIT: usize = 500;

/// A run that a worker lists.
#[derive(Clone, Copy)]
pub(super) struct ReportedRun<'a> {
    /// Its task; none when no open job has it.
    pub key: Option<TaskKey>,
    /// What the worker tells of it.
    pub run: &'a ActiveRun,
}

impl Owner {
    /// Starts the exchanges that are due.
    pub(super) fn poll_due_workers(&mut self) {
        let now = self.now.steady;
        let confirmed = now < self.journal.last_confirmed() + self.settings.max_unconfirmed;
        let (span, epoch) = (self.settings.lease_length, self.journal.epoch());
        let watch = WATCH * (self.workers.len() as u64).max(WATCHED) / WATCHED;
        for name in self.take_due_polls() {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            // An order without an answer may be carried out: a silent worker's
            // lease is left to end, so that its tasks can run elsewhere.
            let extends =
                confirmed && worker.is_incarnation_certain() && !worker.placements.is_empty();
            let lease = match extends {
                true => worker.grant_lease(span, now),
                false => None,
            };
            let known = worker.last_answer > 0 && worker.is_incarnation_certain();
            let longest = match worker.isolated_job {
                Some(_) => ISOLATED_WAIT,
                None => WAIT,
            };
            let mixed = worker.colocation.is_mixed();
            // A breach of a latency target is to end soon, however many workers there are.
            let watch = if worker.is_over_target() {
                WATCH
            } else {
                watch
            };
            worker.poll = PollState::InFlight(now);
            self.actions.push(Action::Poll(Poll {
                incarnation: worker.incarnation(),
                sent: now,
                address: worker.listing.address,
                lease,
                epoch,
                acknowledged: worker.next_acknowledgement(),
                wait: match (known, mixed) {
                    (false, _) => 0,
                    (true, true) => watch.min(longest),
                    (true, false) => longest,
                },
            }));
        }
    }

    /// Takes in how an exchange went.
    pub(super) fn handle_poll_reply(&mut self, hold: &Poll, reply: Reply<Report>) {
        let now = self.now.steady;
        let name = &hold.incarnation.id;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.poll != PollState::InFlight(hold.sent) {
            log::debug!(target: "worker", "worker={name} event=overtaken sent={}", hold.sent);
            return;
        }
        match reply {
            Reply::Ok(report) => self.handle_report(hold, report),
            Reply::Refused(Refusal::Replaced) => {
                self.end_incarnation(name, IncarnationEnd::Replaced)
            }
            Reply::Refused(Refusal::Fenced) => {
                // Only an owner with a higher epoch can have been there; the
                // next commit finds out.
                log::warn!(target: "worker", "worker={name} event=fenced epoch={}", self.journal.epoch());
                self.schedule_poll(name, now + MISS_PAUSE);
            }
            Reply::Refused(_) | Reply::NotSent | Reply::Lost => {
                if worker.missed_polls == 0 {
                    log::info!(target: "worker", "worker={} event=silent reply={reply:?}", worker.incarnation());
                }
                worker.missed_polls += 1;
                self.schedule_poll(name, now + MISS_PAUSE);
            }
        }
    }

    /// Takes in the answer to an exchange, of whichever life of its worker.
    fn handle_report(&mut self, hold: &Poll, report: Report) {
        let now = self.now.steady;
        let name = &hold.incarnation.id;
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let known = worker.boot;
        let order = compare_boots(known, report.boot);
        if order == BootOrder::Earlier && !self.accepts_earlier_boot(worker) {
            self.log_earlier_incarnation(name, report.boot, known, "report");
            if let Some(worker) = self.workers.get_mut(name) {
                worker.missed_polls += 1;
            }
            return self.schedule_poll(name, now + MISS_PAUSE);
        }
        if worker.last_answer == 0 {
            self.end_others_at_address(name);
        }
        if order != BootOrder::Same {
            self.handle_restart(name, &report);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.missed_polls > 0 || worker.last_answer == 0 || worker.unverified {
            let (listed, wall) = (worker.listing.boot, self.now.wall);
            log::info!(target: "worker", "worker={name} event=answers boot={:?} listed_boot={listed:?} misses={}", report.boot, worker.missed_polls);
            if let Some(boot) = report.boot.filter(|b| *b > wall + CLOCKS) {
                log::warn!(target: "worker", "worker={name} event=started-ahead boot={boot} wall={wall}");
            }
            self.saturated = false;
        }
        worker.missed_polls = 0;
        worker.unverified = false;
        worker.boot = worker.boot.or(report.boot);
        if order == BootOrder::Same {
            worker.acknowledged = worker.acknowledged.max(hold.acknowledged);
        }
        worker.record_clock(report.clock, now);
        self.apply_report(name, hold.sent, report);
    }

    /// Takes in what a worker reports: ends first, then runs and gauges.
    fn apply_report(&mut self, name: &Name, sent: Millis, report: Report) {
        let whole = report.ended.len() < REPORT_LIMIT;
        for end in &report.ended {
            self.record_completion(name, end);
        }
        let running: Vec<ReportedRun<'_>> =
            report.running.iter().map(|r| self.resolve_run(r)).collect();
        self.reconcile_runs(name, sent, &running, whole);
        self.clear_suspects(name);
        self.adjust_speeds(name, &running);
        let worker = self.workers.get(name);
        let pause = match worker.is_some_and(|w| !w.pending_completions.is_empty()) {
            true => ENDS_PAUSE,
            false => 0,
        };
        self.schedule_poll(name, self.now.steady + pause);
    }

    /// Compares the runs that a worker lists with those that are known there.
    fn reconcile_runs(
        &mut self,
        name: &Name,
        sent: Millis,
        running: &[ReportedRun<'_>],
        whole: bool,
    ) {
        let mut listed = BTreeSet::new();
        let mut strangers = Vec::new();
        for ReportedRun { key, run } in running {
            match key {
                Some(key) if self.confirm_run(name, *key, run) => {
                    listed.insert(*key);
                }
                found => strangers.push((*found, run)),
            }
        }
        let address = self.workers.get(name).map(|w| w.listing.address);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.unknown_runs = !strangers.is_empty();
        }
        for (found, run) in strangers {
            log::warn!(target: "task", "task={} run={} event=unknown-run worker={name}", run.task, run.run);
            let stray = || self.is_obsolete_task(&run.task).then_some(NO_TASK);
            let (Some(key), Some(address)) = (found.or_else(stray), address) else {
                continue;
            };
            let task = run.task.to_string();
            self.send_stop_by_name(key, run.run, task, name.clone(), address);
        }
        if whole {
            self.handle_missing_runs(name, sent, &listed);
        }
    }

    /// Returns a run that a worker lists, with its task.
    pub(super) fn resolve_run<'a>(&self, run: &'a ActiveRun) -> ReportedRun<'a> {
        let key = self.find_task(&run.task);
        ReportedRun { key, run }
    }

    /// Finds a task by its name; none when its job has no such task. Workers may list any
    /// name, and one looked up in vain would end this owner and each that follows it.
    pub(super) fn find_task(&self, name: &str) -> Option<TaskKey> {
        let (id, round, step, index) = parse_task_name(name)?;
        let number = *self.job_numbers.get(id)?;
        let key = TaskKey {
            job: number,
            round,
            step,
            index,
        };
        self.jobs.get(&number)?.task(key)?;
        Some(key)
    }

    /// Returns true when a name is that of no task that could run: of a job that is over, or
    /// one that its job does not have.
    fn is_obsolete_task(&self, task: &str) -> bool {
        let known = parse_task_name(task).is_some_and(|(id, ..)| self.job_numbers.contains_key(id));
        known || self.is_finished_task(task)
    }

    /// Returns what a worker holds of a task, if it is for this run.
    pub(super) fn placement_mut(
        &mut self,
        name: &Name,
        key: TaskKey,
        run: u32,
    ) -> Option<&mut Placement> {
        let placement = self.workers.get_mut(name)?.placements.get_mut(&key);
        placement.filter(|p| p.run == run)
    }

    /// Takes in that a run is listed; false when it should not be there.
    fn confirm_run(&mut self, name: &Name, key: TaskKey, run: &ActiveRun) -> bool {
        let now = self.now.steady;
        let Some(placement) = self.placement_mut(name, key, run.run) else {
            return false;
        };
        let inherited = placement.stage == Stage::Inherited;
        placement.confirm(now);
        placement.at_work = run.progress == FULL_SPEED;
        self.mark_begun(key);
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let ended = job.stored_outcome != Outcome::Open;
        if job
            .task(key)
            .is_some_and(|task| task.checkpoint != run.checkpoint)
        {
            self.save_checkpoint(key, &run.checkpoint);
        }
        if inherited && ended {
            self.stop_task(key);
        }
        true
    }

    /// Frees the tasks that a worker should run and does not list.
    fn handle_missing_runs(&mut self, name: &Name, sent: Millis, listed: &BTreeSet<TaskKey>) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let boot = worker.boot;
        let mut free = Vec::new();
        let mut unseen = Vec::new();
        let mut doubt = Vec::new();
        for (key, placement) in &mut worker.placements {
            if listed.contains(key) {
                continue;
            }
            let earlier = compare_boots(boot, placement.boot) == BootOrder::Earlier;
            match placement.stage {
                Stage::Inherited if earlier => unseen.push(*key),
                Stage::Inherited => free.push(*key),
                Stage::Stopped(at) if at <= sent => free.push(*key),
                Stage::Running(at) if at <= sent => {
                    placement.stage = Stage::Doubt;
                    doubt.push((*key, placement.run, at));
                }
                _ => {}
            }
        }
        for (key, run, told) in doubt {
            let (task, age) = (self.task_name(key), self.now.steady - told);
            log::info!(target: "task", "task={task} run={run} event=missing worker={name} age_ms={age}");
            self.stop_task(key);
        }
        self.record_unseen_crashes(&unseen, name);
        for key in free.into_iter().chain(unseen) {
            self.unplace(key);
        }
    }
}
