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
//! worker runs. Another sign of a later incarnation, in the directory or in the answer to an
//! order, only triggers a poll at once, and nothing new is started until the report arrives.

use std::collections::BTreeSet;
use std::fmt;

use super::crashes::CrashEvidence;
use super::job::TaskKey;
use super::lost_workers::IncarnationEnd;
use super::message::{Poll, Report};
use super::owner::Owner;
use super::placement::{Placement, Stage};
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
    /// The start may still reach the later incarnation.
    Doubtful,
    /// The run ended with the earlier incarnation, or never began.
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
            _ => Self::Doubtful,
        }
    }
}

/// Returns the placement of a run on the later incarnation. Its stage and speed are reset, as
/// it is unknown which incarnation has answered a stop or a change of speed.
fn carry_over(run: Placement, resolution: RunResolution) -> Placement {
    let stage = match run.stage {
        Stage::Starting | Stage::Running(_) | Stage::Inherited
            if resolution == RunResolution::Kept =>
        {
            run.stage
        }
        _ => Stage::Doubt,
    };
    Placement {
        stage,
        speed: FULL_SPEED,
        speed_confirmed: false,
        throttle_pending: false,
        ..run
    }
}

/// Removes the runs that the later incarnation has or may have, and returns their placements
/// on that one; `reported` holds the runs that it lists.
fn remove_carried_runs(
    worker: &mut Worker,
    reported: &BTreeSet<(TaskKey, u32)>,
    now: Millis,
) -> Vec<(TaskKey, Placement)> {
    let mut carried = Vec::new();
    for (key, run) in &worker.placements {
        let resolution = RunResolution::of(run, reported.contains(&(*key, run.run)));
        if resolution != RunResolution::Lost {
            carried.push((*key, carry_over(run.clone(), resolution)));
        }
    }
    for (key, _) in &carried {
        worker.remove(*key, now);
    }
    carried
}

impl Owner {
    /// Switches the state of a worker to a later incarnation on its first report.
    pub(super) fn handle_restart(&mut self, name: &Name, report: &Report) {
        let reported = self.reported_runs(report);
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let carried = remove_carried_runs(worker, &reported, now);
        let doubtful = carried.iter().filter(|(_, r)| r.stage == Stage::Doubt);
        let doubtful: Vec<TaskKey> = doubtful.map(|(key, _)| *key).collect();
        let (boot, tasks) = (worker.boot, carried.len());
        log::info!(target: "worker", "worker={name} event=started-again boot={:?} before={boot:?} carried={tasks} doubtful={}", report.boot, doubtful.len());
        crate::metrics::get().new_incarnations.inc();
        let entry = worker.ignored_listing.take();
        let lost: Vec<TaskKey> = worker.placements.keys().copied().collect();
        self.forget_permits(name);
        self.cancel_reservation(name);
        self.log_incarnation_end(name, IncarnationEnd::Replaced);
        self.record_crash(name, CrashEvidence::Replaced);
        self.begin_incarnation(name, report.boot, carried);
        // This also stops the other members of a lost run's gang, those on the later
        // incarnation too.
        for key in lost {
            self.release_task(key);
        }
        // A listing with an earlier boot time was ignored until the report confirmed that time.
        if let Some(entry) = entry.filter(|e| e.boot == report.boot) {
            self.apply_listing(name.clone(), *entry);
        }
        // An incarnation that has answered a stop refuses a late start of the same run.
        for key in doubtful {
            self.stop_task(key);
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
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // An order to the earlier incarnation may grant this one the longest lease: it asks for an
        // end on a clock that was ahead of this one's.
        worker.begin_incarnation(boot, now + max_lease_duration(longest));
        for (key, run) in carried {
            worker.insert(key, run);
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
        let leases_end = worker.lease_end().max(self.inherited_leases_end);
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
