//! Tracks incarnations of workers: each lasts from one start of a worker to its end.
//!
//! A worker may restart under its id, or under another id at its address. A restarted worker
//! has no runs, and its completion numbers and its clock begin anew. All state of a worker
//! therefore belongs to one incarnation: its runs, the received and acknowledged completions,
//! its leases, its clock, its permits and its failures. A message of an earlier incarnation
//! never changes the state of a later one, from whatever source and in whatever order it
//! arrives.
//!
//! Only a report switches the state to a later incarnation, as it lists everything that the
//! worker runs, and only the report of a poll whose fence keeps orders to the earlier incarnation
//! from reaching the later one. Another sign of a later incarnation, in the directory or in the
//! answer to an order, only triggers a poll at once, and nothing new is started until the report
//! arrives.

use std::collections::BTreeSet;
use std::fmt;

use super::crashes::CrashEvidence;
use super::job::TaskKey;
use super::lost_workers::IncarnationEnd;
use super::message::{Poll, Report};
use super::owner::Owner;
use super::placing::placement::{Placement, Stage};
use super::sequence::Sequence;
use super::throttling::FULL_SPEED;
use super::worker::{Worker, max_lease_duration};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds without an answer of the known incarnation after which a report with an
/// earlier boot time is accepted: the worker's clock may have been set back before a restart.
const EARLIER_BOOT_DELAY: Millis = 5_000;

/// When a worker started, in milliseconds since the Unix epoch by its own clock; none if it
/// does not report that.
pub type BootTime = Option<Millis>;

/// A worker from one start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Id of the worker.
    pub id: Name,
    /// When it started.
    pub boot: BootTime,
    /// Last reading of the worker's clock when this value was created; 0 for none.
    pub clock: Millis,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.boot {
            Some(boot) => write!(f, "{} boot={boot}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}

/// How a reported incarnation of a worker compares with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BootOrder {
    /// It is the same one, or the start of either is unknown.
    Same,
    /// It started after the known one.
    Later,
    /// It started before the known one.
    Earlier,
}

/// Compares the reported boot time of a worker with that of the known incarnation.
pub(super) fn compare_boots(known: BootTime, reported: BootTime) -> BootOrder {
    match (known, reported) {
        (Some(known), Some(reported)) if reported > known => BootOrder::Later,
        (Some(known), Some(reported)) if reported < known => BootOrder::Earlier,
        _ => BootOrder::Same,
    }
}

/// Compares the incarnation that sent a report with the known one. `reading` is the worker's clock
/// as known before the report was asked for. Where a boot time is missing, the clock shows a later
/// incarnation, as that of one incarnation never falls behind a reading of it.
pub(super) fn compare_report(known: BootTime, reading: Millis, report: &Report) -> BootOrder {
    let has_boots = known.is_some() && report.boot.is_some();
    match compare_boots(known, report.boot) {
        BootOrder::Same if !has_boots && report.clock < reading => BootOrder::Later,
        order => order,
    }
}

/// What becomes of a run of an earlier incarnation when a later one reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunResolution {
    /// The later incarnation has the run: the start reached that one.
    Kept,
    /// Neither incarnation has confirmed the start. The later one refuses it.
    Unstarted,
    /// The run ended with the earlier incarnation, or its start was not sent.
    Lost,
}

impl RunResolution {
    /// Returns the resolution of a run; `reported` is true when the later incarnation lists it.
    fn of(run: &Placement, reported: bool) -> Self {
        match run.stage {
            _ if reported => Self::Kept,
            // Resolved when the runs of the same report are reconciled.
            Stage::Inherited => Self::Kept,
            Stage::Recording => Self::Lost,
            _ if run.confirmed_at.is_some() => Self::Lost,
            _ => Self::Unstarted,
        }
    }
}

/// Returns the placement of a run on the later incarnation. Its speed is reset, as it is unknown
/// which incarnation has answered a change of it; a run that was being stopped is stopped again.
fn carry_over(run: Placement, at: Sequence) -> Placement {
    let stage = match run.stage {
        Stage::Stopping(_) | Stage::Stopped(_) => Stage::Running(at),
        stage => stage,
    };
    Placement {
        stage,
        speed: FULL_SPEED,
        speed_confirmed: false,
        throttle_pending: false,
        measurable: false,
        ..run
    }
}

/// Removes the runs with this resolution from a worker, and returns their placements. `reported`
/// holds the runs that the later incarnation lists.
fn remove_runs(
    worker: &mut Worker,
    reported: &BTreeSet<(TaskKey, u32)>,
    resolution: RunResolution,
    now: Millis,
) -> Vec<(TaskKey, Placement)> {
    let has_resolution = |(key, run): &(&TaskKey, &Placement)| {
        RunResolution::of(run, reported.contains(&(**key, run.run))) == resolution
    };
    let runs = worker.placements.iter().filter(has_resolution);
    let removed: Vec<_> = runs.map(|(key, run)| (*key, run.clone())).collect();
    for (key, _) in &removed {
        worker.remove(*key, now);
    }
    removed
}

/// Returns true once a stop of the run was sent.
fn is_stopping((_, run): &&(TaskKey, Placement)) -> bool {
    matches!(run.stage, Stage::Stopping(_) | Stage::Stopped(_))
}

impl Owner {
    /// Switches the state of a worker to a later incarnation on its report. The poll had a higher
    /// fence than all orders to the earlier one, so none of these can reach the later one any more.
    pub(super) fn handle_restart(&mut self, name: &Name, report: &Report) {
        let reported = self.reported_runs(report);
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let kept = remove_runs(worker, &reported, RunResolution::Kept, now);
        let unstarted = remove_runs(worker, &reported, RunResolution::Unstarted, now);
        let (boot, tasks) = (worker.boot, kept.len());
        log::info!(target: "worker", "worker={name} event=started-again boot={:?} before={boot:?} carried={tasks} unstarted={}", report.boot, unstarted.len());
        crate::metrics::get().new_incarnations.inc();
        let entry = worker.ignored_listing.take();
        let lost: Vec<TaskKey> = worker.placements.keys().copied().collect();
        self.forget_permits(name);
        self.cancel_reservation(name);
        self.log_incarnation_end(name, IncarnationEnd::Replaced);
        self.record_crash(name, CrashEvidence::Replaced);
        let stopping = kept.iter().filter(is_stopping);
        let stopping: Vec<TaskKey> = stopping.map(|(key, _)| *key).collect();
        let carried: Vec<TaskKey> = kept.iter().map(|(key, _)| *key).collect();
        self.begin_incarnation(name, report.boot, kept);
        self.store_long_leases(&carried);
        // This also stops the other members of a lost run's gang, those on the later
        // incarnation too.
        for key in lost {
            self.release_run(key, name);
        }
        for (key, _) in unstarted {
            self.release_run(key, name);
        }
        // A listing with an earlier boot time was ignored until the report confirmed that time.
        if let Some(entry) = entry.filter(|e| e.boot == report.boot) {
            self.apply_listing(name.clone(), *entry);
        }
        for key in stopping {
            self.stop_run(key, name);
        }
    }

    /// Returns the runs of known tasks that a report lists as running or ended.
    fn reported_runs(&self, report: &Report) -> BTreeSet<(TaskKey, u32)> {
        let running = report.running.iter().map(|r| (&r.task, r.run));
        let ended = report.ended.iter().map(|e| (&e.task, e.run));
        let all = running.chain(ended);
        all.filter_map(|(task, run)| Some((self.find_task(task)?, run)))
            .collect()
    }

    /// Replaces the state of a worker by that of a later incarnation with the carried runs.
    fn begin_incarnation(
        &mut self,
        name: &Name,
        boot: BootTime,
        carried: Vec<(TaskKey, Placement)>,
    ) {
        let (now, longest) = (self.now.steady, self.settings.longest_lease);
        let sequence = self.sequence;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // An order to the earlier incarnation may grant this one the longest lease: it asks for an
        // end on a clock that was ahead of this one's.
        worker.begin_incarnation(boot, now + max_lease_duration(longest));
        for (key, run) in carried {
            worker.insert(key, carry_over(run, sequence));
        }
    }

    /// Logs and counts a message of an earlier incarnation that is ignored.
    pub(super) fn log_earlier_incarnation(
        &self,
        name: &Name,
        boot: BootTime,
        known: BootTime,
        by: &str,
    ) {
        log::info!(target: "worker", "worker={name} event=passed-over by={by} reason=earlier-life boot={boot:?} known={known:?}");
        crate::metrics::get().stale_reports.inc();
    }

    /// Polls a worker at once that may be another incarnation than the known one.
    pub(super) fn verify_incarnation(&mut self, name: &Name, by: &str) {
        // Orders to the known incarnation may still reach the other one.
        self.raise_fence(name);
        let Some(worker) = self.workers.get_mut(name).filter(|w| !w.unverified) else {
            return;
        };
        worker.unverified = true;
        log::info!(target: "worker", "worker={name} event=life-doubted by={by} boot={:?} listed_boot={:?}", worker.boot, worker.listing.boot);
        self.schedule_poll(name, self.now.steady);
    }

    /// Returns true when the known incarnation has been silent for so long that a report with
    /// an earlier boot time is accepted as that of its successor.
    pub(super) fn accepts_earlier_boot(&self, worker: &Worker) -> bool {
        let leases_end = self.leases_end_on(worker);
        self.now.steady > leases_end.max(worker.last_answer + EARLIER_BOOT_DELAY)
    }

    /// Ends the other workers whose address is the one at which this worker has answered a poll.
    /// If another one may be elsewhere, or has answered since that poll was sent, it is polled.
    pub(super) fn end_others_at_address(&mut self, name: &Name, poll: &Poll) {
        for other in self.others_at_address(poll.address, name) {
            let known = &self.workers[&other];
            if known.is_replaced_at(poll.address) && known.last_report < poll.sequence {
                self.end_incarnation(&other, IncarnationEnd::Replaced);
            } else {
                self.verify_incarnation(&other, "answer-of-another");
            }
        }
    }
}
