//! Reconciles the runs that workers report with the known ones.

use std::collections::BTreeSet;

use super::completion_log::Coverage;
use super::crashes::CrashEvidence;
use super::history::NO_TASK;
use super::incarnation::{BootOrder, compare_boots, compare_report};
use super::job::{Outcome, Phase, TaskKey, parse_task_name};
use super::message::{ActiveRun, EndedRun, Poll, Report, RunOutcome};
use super::owner::Owner;
use super::placing::placement::{Placement, Stage};
use super::throttling::FULL_SPEED;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds until the next poll after one without an answer.
pub(super) const RETRY_DELAY: Millis = 250;
/// Milliseconds that the next poll waits at most until reported completions are stored, or while
/// the worker may forget none; an earlier one would be answered at once, with the same
/// completions.
const STORE_DELAY: Millis = 300;
/// Milliseconds by which a worker's clock may be ahead of that of a box without a warning.
const MAX_CLOCK_SKEW: Millis = 5_000;
/// Completions in a full report; a worker with a full report may have more.
const MAX_COMPLETIONS: usize = 500;

/// A run in a worker's report.
#[derive(Clone, Copy)]
pub(super) struct ReportedRun<'a> {
    /// Task of the run; none when the owner knows no such task.
    pub key: Option<TaskKey>,
    /// The run as reported.
    pub run: &'a ActiveRun,
}

/// Returns the milliseconds until the next poll of a worker that has answered; `batch` are those in
/// which ends gather.
fn poll_delay(worker: &Worker, batch: Millis) -> Millis {
    let log = &worker.completions;
    if worker.missed_polls > 0 {
        RETRY_DELAY
    } else if !log.all_stored() || log.is_stalled() {
        STORE_DELAY
    } else if worker.withholds_acknowledgement() && worker.answered_fence == worker.fence {
        batch
    } else {
        0
    }
}

impl Owner {
    /// Handles the report in the reply to a poll, from any incarnation of the worker.
    pub(super) fn handle_report(&mut self, poll: &Poll, report: Report) {
        let now = self.now.steady;
        let name = &poll.incarnation.id;
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let known = worker.boot;
        let order = compare_report(known, poll.incarnation.clock, &report);
        if order == BootOrder::Earlier && !self.accepts_earlier_boot(worker) {
            self.log_earlier_incarnation(name, report.boot, known, "report");
            self.raise_fence(name);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.missed_polls += 1;
            }
            return self.schedule_poll(name, now + RETRY_DELAY);
        }
        if order != BootOrder::Same && poll.fence <= worker.used_fence {
            // Orders to the known incarnation may still reach the later one.
            self.verify_incarnation(name, "report");
            return self.schedule_poll(name, now);
        }
        let was_silent = worker.missed_polls > 0;
        let is_first = worker.last_answer == 0;
        if is_first {
            self.end_others_at_address(name, poll);
            self.resolve_replaced_at(poll.address, name);
            self.bound_inherited_lease(name);
            self.presume_long_lease(name, report.clock);
        }
        if order != BootOrder::Same {
            self.handle_restart(name, &report);
        }
        if is_first || was_silent || order != BootOrder::Same {
            self.resolve_answered(name, report.boot, order != BootOrder::Same);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.missed_polls > 0 || worker.last_answer == 0 || worker.unverified {
            let (listed, wall) = (worker.listing.boot, self.now.wall);
            log::info!(target: "worker", "worker={name} event=answers boot={:?} listed_boot={listed:?} misses={}", report.boot, worker.missed_polls);
            if let Some(boot) = report.boot.filter(|b| *b > wall + MAX_CLOCK_SKEW) {
                log::warn!(target: "worker", "worker={name} event=started-ahead boot={boot} wall={wall}");
            }
            self.saturated = false;
        }
        if worker.missed_polls > 0 {
            worker.regained_at = now;
        }
        worker.missed_polls = 0;
        worker.unverified = false;
        worker.boot = worker.boot.or(report.boot);
        if order == BootOrder::Same {
            worker.completions.acknowledge(poll.acknowledged);
        }
        worker.answered_fence = worker.answered_fence.max(poll.fence);
        worker.record_clock(report.clock, now);
        worker.answer_address = Some(poll.address);
        worker.answered_sent = poll.sent;
        worker.last_report = self.sequence;
        self.apply_report(name, poll, report);
    }

    /// Applies a report: first the completions, then the running tasks and their gauges.
    fn apply_report(&mut self, name: &Name, poll: &Poll, report: Report) {
        let coverage = match report.ended.len() < MAX_COMPLETIONS {
            _ if report.unreadable > 0 => Coverage::Partial,
            true => Coverage::All,
            false => Coverage::Full,
        };
        self.handle_completions(name, &report.ended, coverage);
        let held = self.held_runs(name, &report.ended);
        let running: Vec<ReportedRun<'_>> =
            report.running.iter().map(|r| self.resolve_run(r)).collect();
        self.reconcile_runs(name, poll, &running, held, coverage);
        self.clear_suspects(name);
        self.observe_running(name, &running);
        self.adjust_speeds(name, &running);
        let batch = self.batch_delay();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if report.unreadable > 0 {
            // What the rows would tell is unknown: its lease is left to end.
            worker.missed_polls += 1;
        }
        let delay = poll_delay(worker, batch);
        self.schedule_poll(name, self.now.steady + delay);
    }

    /// Returns the tasks of the completions of which it is unknown how the runs ended. They stay
    /// placed, as none of them may start again.
    fn held_runs(&self, name: &Name, ended: &[EndedRun]) -> BTreeSet<TaskKey> {
        let unknown = ended.iter().filter(|e| e.outcome == RunOutcome::Unknown);
        let placed = |e: &EndedRun| {
            let key = self.find_task(&e.task)?;
            let run = self.workers.get(name)?.placements.get(&key)?.run;
            (run == e.run).then_some(key)
        };
        unknown.filter_map(placed).collect()
    }

    /// Reconciles the runs that a worker reports with the known ones; `held` are tasks of runs
    /// that have ended in an unknown way. If the report has all completions, known runs that it
    /// does not list are handled as missing.
    fn reconcile_runs(
        &mut self,
        name: &Name,
        poll: &Poll,
        running: &[ReportedRun<'_>],
        held: BTreeSet<TaskKey>,
        coverage: Coverage,
    ) {
        let mut listed = held;
        let mut unknown = Vec::new();
        for ReportedRun { key, run } in running {
            match key {
                Some(key) if self.confirm_run(name, *key, run) => {
                    listed.insert(*key);
                }
                key => unknown.push((*key, run)),
            }
        }
        let address = self.workers.get(name).map(|w| w.listing.address);
        let unreadable = unknown
            .iter()
            .any(|(_, run)| self.is_unreadable_task(&run.task));
        if let Some(worker) = self.workers.get_mut(name) {
            worker.unknown_runs = !unknown.is_empty();
            worker.unreadable_runs = unreadable;
        }
        for (key, run) in unknown {
            log::warn!(target: "task", "task={} run={} event=unknown-run worker={name}", run.task, run.run);
            let obsolete = || self.is_obsolete_task(&run.task).then_some(NO_TASK);
            let (Some(key), Some(address)) = (key.or_else(obsolete), address) else {
                continue;
            };
            let task = run.task.to_string();
            self.send_stop_by_name(key, run.run, task, name.clone(), address);
        }
        if coverage == Coverage::All {
            self.handle_missing_runs(name, poll, &listed);
        }
    }

    /// Looks up the task of a reported run.
    pub(super) fn resolve_run<'a>(&self, run: &'a ActiveRun) -> ReportedRun<'a> {
        let key = self.find_task(&run.task);
        ReportedRun { key, run }
    }

    /// Finds a task by its name; returns none when there is no such job or task. Workers may
    /// report any name, and an unchecked lookup would crash this owner and all its successors.
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

    /// Returns true for the name of a task that can't run any more: its job is over, or has no
    /// such task.
    fn is_obsolete_task(&self, task: &str) -> bool {
        let known = parse_task_name(task).is_some_and(|(id, ..)| self.job_numbers.contains_key(id));
        known || self.is_finished_task(task)
    }

    /// Returns true when this owner can't tell which task a name is of, or can't read its job. A
    /// later build may be able to.
    pub(super) fn is_unreadable_task(&self, task: &str) -> bool {
        parse_task_name(task).is_none_or(|(id, ..)| self.unreadable_jobs.contains(id))
    }

    /// Returns the placement of a task on a worker if it is for this run.
    pub(super) fn placement_mut(
        &mut self,
        name: &Name,
        key: TaskKey,
        run: u32,
    ) -> Option<&mut Placement> {
        let placement = self.workers.get_mut(name)?.placements.get_mut(&key);
        placement.filter(|p| p.run == run)
    }

    /// Records that a worker reports a run; returns false when the run should not be there.
    fn confirm_run(&mut self, name: &Name, key: TaskKey, run: &ActiveRun) -> bool {
        let (now, sequence) = (self.now.steady, self.sequence);
        let Some(placement) = self.placement_mut(name, key, run.run) else {
            return false;
        };
        let inherited = placement.stage == Stage::Inherited;
        let speculative = placement.speculative;
        placement.confirm(sequence, now);
        placement.reported_ready = run.progress == FULL_SPEED;
        self.mark_begun(key);
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let ended = job.stored_outcome != Outcome::Open;
        let task = job.task(key);
        let done = speculative && task.is_some_and(|task| task.phase == Phase::Done);
        // The checkpoints of two runs would replace each other with each report.
        if !self.copies.is_on(key, name)
            && task.is_some_and(|task| task.checkpoint != run.checkpoint)
        {
            self.save_checkpoint(key, &run.checkpoint);
        }
        if inherited && (ended || done) {
            self.stop_run(key, name);
        }
        true
    }

    /// Releases or stops the tasks that are placed on a worker and missing from its report. The
    /// report shows the state after an event only if its poll was sent after that event.
    fn handle_missing_runs(&mut self, name: &Name, poll: &Poll, listed: &BTreeSet<TaskKey>) {
        let inherited_lapsed = self.now.steady > self.inherited_leases_end;
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let boot = worker.boot;
        let mut ended = Vec::new();
        let mut unseen = Vec::new();
        let mut missing = Vec::new();
        for (key, placement) in &worker.placements {
            if listed.contains(key) {
                continue;
            }
            let order = compare_boots(boot, placement.boot);
            match placement.stage {
                Stage::Inherited if order == BootOrder::Earlier => unseen.push(*key),
                // A later incarnation has the run, perhaps at another address.
                Stage::Inherited if order == BootOrder::Later && !inherited_lapsed => {}
                Stage::Inherited => ended.push(*key),
                _ if placement.is_fenced_by(poll.fence) => ended.push(*key),
                Stage::Stopped(at) if at < poll.sequence => ended.push(*key),
                Stage::Running(at) if at < poll.sequence => {
                    missing.push((*key, placement.run, placement.confirmed_at));
                }
                _ => {}
            }
        }
        for (key, run, confirmed_at) in missing {
            let age = confirmed_at.map_or(0, |at| self.now.steady - at);
            let task = self.task_name(key);
            log::info!(target: "task", "task={task} run={run} event=missing worker={name} age_ms={age}");
            self.stop_run(key, name);
        }
        self.record_unseen_crashes(&unseen, name, CrashEvidence::Replaced);
        for key in ended.into_iter().chain(unseen) {
            self.log_unreported_run(name, key, poll.sent);
            self.release_run(key, name);
        }
    }

    /// Logs a run that is released because a report neither lists it nor its end.
    fn log_unreported_run(&self, name: &Name, key: TaskKey, sent: Millis) {
        let worker = self.workers.get(name);
        let Some(placement) = worker.and_then(|w| w.placements.get(&key)) else {
            return;
        };
        let (task, age) = (self.task_name(key), self.now.steady - sent);
        let (run, stage) = (placement.run, placement.stage);
        log::info!(target: "task", "task={task} run={run} event=not-reported worker={name} stage={stage:?} polled_ms_ago={age}");
    }
}
