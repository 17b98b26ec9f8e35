//! Lives of workers: one from each start to its end.
//!
//! A worker may start again, under its id or as another at its address. It then holds and
//! knows nothing of before, and its counts and its clock begin anew. So all that is known of
//! a worker is known of one life: its runs, the ends that were taken in and acknowledged,
//! its leases, its clock, its permits and how it fared. News of an earlier life changes
//! nothing for a later one, whichever way and in whichever order it comes.
//!
//! Only a report moves on to a later life, as it lists all that the worker runs. Other news
//! of one, by the directory or the answer to an order, has a report asked for at once, and
//! nothing new is started until then.

use std::collections::BTreeSet;
use std::fmt;

use super::crashes::CrashEvidence;
use super::job::TaskKey;
use super::lost_workers::IncarnationEnd;
use super::message::Report;
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::throttling::FULL_SPEED;
use super::worker::{Worker, max_lease_duration};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after the last word of the known life from which one that says that it
/// started earlier is believed: a clock may have been set back between two starts.
const CONTRADICTED: Millis = 5_000;

/// When a worker started, in milliseconds since the Unix epoch by its own clock; none
/// where it does not tell.
pub type BootTime = Option<Millis>;

/// A worker from one start on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Id of the worker.
    pub id: Name,
    /// When it started.
    pub boot: BootTime,
    /// Time on its clock that it had told by then; 0 for none.
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

/// What news of a worker is about, next to the life that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BootOrder {
    /// The same life, as far as that is told.
    Same,
    /// A later one.
    Later,
    /// An earlier one.
    Earlier,
}

/// Returns which life is told of, where `known` is the one that is known.
pub(super) fn compare_boots(known: BootTime, reported: BootTime) -> BootOrder {
    match (known, reported) {
        (Some(known), Some(reported)) if reported > known => BootOrder::Later,
        (Some(known), Some(reported)) if reported < known => BootOrder::Earlier,
        _ => BootOrder::Same,
    }
}

/// What becomes of a run that was known on a worker when a later life of it reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resolution {
    /// The later life has it: its start reached that one.
    Kept,
    /// Its start may still reach the later life.
    Doubtful,
    /// It ended with the earlier life, or never began.
    Lost,
}

impl Resolution {
    /// Returns the fate of a run; `reported` when the later life lists it.
    fn of(run: &Placement, reported: bool) -> Self {
        match run.stage {
            _ if reported => Self::Kept,
            // The report that follows tells.
            Stage::Inherited => Self::Kept,
            Stage::Recording => Self::Lost,
            _ if run.confirmed_at.is_some() => Self::Lost,
            _ => Self::Doubtful,
        }
    }
}

/// Returns a run as it stands on a later life: which of the two has answered a stop or a
/// change of speed is not known.
fn carry_over(run: Placement, resolution: Resolution) -> Placement {
    let stage = match run.stage {
        Stage::Starting | Stage::Running(_) | Stage::Inherited
            if resolution == Resolution::Kept =>
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

/// Takes the runs off an earlier life that the later one has or may have, by what it has
/// reported, and returns them as they stand there.
fn remove_carried(
    worker: &mut Worker,
    reported: &BTreeSet<(TaskKey, u32)>,
    now: Millis,
) -> Vec<(TaskKey, Placement)> {
    let mut carried = Vec::new();
    for (key, run) in &worker.placements {
        let resolution = Resolution::of(run, reported.contains(&(*key, run.run)));
        if resolution != Resolution::Lost {
            carried.push((*key, carry_over(run.clone(), resolution)));
        }
    }
    for (key, _) in &carried {
        worker.remove(*key, now);
    }
    carried
}

impl Owner {
    /// Goes on with the later life of a worker, whose first report this is.
    pub(super) fn handle_restart(&mut self, name: &Name, report: &Report) {
        let reported = self.reported_runs(report);
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let carried = remove_carried(worker, &reported, now);
        let doubtful = carried.iter().filter(|(_, r)| r.stage == Stage::Doubt);
        let doubtful: Vec<TaskKey> = doubtful.map(|(key, _)| *key).collect();
        let (boot, tasks) = (worker.boot, carried.len());
        log::info!(target: "worker", "worker={name} event=started-again boot={:?} before={boot:?} carried={tasks} doubtful={}", report.boot, doubtful.len());
        crate::metrics::get().lives.inc();
        let entry = worker.ignored_listing.take();
        let lost: Vec<TaskKey> = worker.placements.keys().copied().collect();
        self.forget_permits(name);
        self.break_promise(name);
        self.log_incarnation_end(name, IncarnationEnd::Replaced);
        self.record_crash(name, CrashEvidence::Replaced);
        self.begin_incarnation(name, report.boot, carried);
        // The other members of a gang are stopped with one that is lost, on this life too.
        for key in lost {
            self.unplace(key);
        }
        // One that tells an earlier start was listed while that was not believed.
        if let Some(entry) = entry.filter(|e| e.boot == report.boot) {
            self.apply_listing(name.clone(), *entry);
        }
        // Once a stop of it was answered, the later life refuses a start that comes late.
        for key in doubtful {
            self.stop_task(key);
        }
    }

    /// Returns the runs of known tasks that a report tells of, as going on or ended.
    fn reported_runs(&self, report: &Report) -> BTreeSet<(TaskKey, u32)> {
        let running = report.running.iter().map(|r| (&r.task, r.run));
        let ended = report.ended.iter().map(|e| (&e.task, e.run));
        let all = running.chain(ended);
        all.filter_map(|(task, run)| Some((self.find_task(task)?, run)))
            .collect()
    }

    /// Puts a later life in the place of the one before, with the runs that it may have.
    fn begin_incarnation(
        &mut self,
        name: &Name,
        boot: BootTime,
        carried: Vec<(TaskKey, Placement)>,
    ) {
        let (now, span) = (self.now.steady, self.settings.lease_length);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // An order to the earlier life that is on its way may extend the lease of this one
        // as far as leases go.
        worker.begin_incarnation(boot, now + max_lease_duration(span));
        for (key, run) in carried {
            worker.insert(key, run);
        }
    }

    /// Passes over news of an earlier life of a worker.
    pub(super) fn log_earlier_incarnation(
        &self,
        name: &Name,
        boot: BootTime,
        known: BootTime,
        by: &str,
    ) {
        log::info!(target: "worker", "worker={name} event=passed-over by={by} reason=earlier-life boot={boot:?} known={known:?}");
        crate::metrics::get().earlier_lives.inc();
    }

    /// Has a worker report at once: it may not be the life that is known.
    pub(super) fn doubt_incarnation(&mut self, name: &Name, by: &str) {
        let Some(worker) = self.workers.get_mut(name).filter(|w| !w.unverified) else {
            return;
        };
        worker.unverified = true;
        log::info!(target: "worker", "worker={name} event=life-doubted by={by} boot={:?} listed_boot={:?}", worker.boot, worker.listing.boot);
        self.schedule_poll(name, self.now.steady);
    }

    /// Returns true when the known life of a worker has been silent for so long that
    /// another word on when the worker started is believed.
    pub(super) fn accepts_earlier_boot(&self, worker: &Worker) -> bool {
        let leased = worker.lease_end().max(self.inherited_leases_end);
        self.now.steady > leased.max(worker.last_answer + CONTRADICTED)
    }

    /// Ends the lives that were known at the address at which a worker now answers.
    pub(super) fn end_others_at_address(&mut self, name: &Name) {
        let Some(address) = self.workers.get(name).map(|w| w.listing.address) else {
            return;
        };
        for other in self.others_at_address(address, name) {
            self.end_incarnation(&other, IncarnationEnd::Replaced);
        }
    }
}
