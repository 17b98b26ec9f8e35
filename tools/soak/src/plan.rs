//! Plans of faults for a run, generated from a seed alone.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use willowpoint::utils::random::Random;

/// Earliest time of a fault in ms, so that a cell has an owner and jobs before it.
const FIRST_FAULT: u64 = 1_500;
/// Minimum and maximum duration of a fault in ms.
const DURATIONS: (u64, u64) = (200, 6_000);

/// Default number of callers.
pub const DEFAULT_CALLERS: usize = 4;
/// Default number of workers.
const DEFAULT_WORKERS: u64 = 6;
/// Default duration of a task in ms.
const DEFAULT_DURATION: u64 = 300;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A box is stopped by SIGTERM, then restarted.
    StopBox,
    /// A box is killed, then restarted.
    KillBox,
    /// A box is paused by SIGSTOP.
    FreezeBox,
    /// All boxes are killed at once, as by a power failure, then restarted.
    KillAll,
    /// The connections of one box to the store are blocked.
    CutBox,
    /// The store neither executes nor answers calls.
    StoreSilent,
    /// The store rejects all calls.
    StoreBusy,
    /// The store executes calls but sends no replies.
    StoreMute,
    /// The store delays each reply.
    StoreSlow,
    /// The store forgets its history of changes, so feeds must read the tables again.
    StoreForgets,
    /// Open connections to the store are blocked for good; new ones work.
    SilentConnections,
    /// A worker restarts under the same id.
    RestartWorker,
    /// A worker carries out orders after their owner has stopped waiting.
    LateWorker,
    /// A worker sends no answers for longer than its lease, then carries out its orders.
    SilentWorker,
    /// A worker has half of its capacity.
    SmallWorker,
    /// A new version of the configuration is written.
    Configuration,
    /// The answers of a worker are late by different times.
    LateAnswers,
    /// The orders to a worker and its answers are late by different times.
    LateCalls,
    /// Many answers of a worker are lost although it carries out the orders.
    LostAnswers,
    /// The answers of all workers are late by different times.
    AllAnswersLate,
    /// The open connections to a worker are closed in the middle of their calls.
    CutCalls,
    /// The open connections to a worker are blocked for good; new ones work.
    SilentCalls,
    /// The directory entry of a worker is gone, and the worker works on.
    UnlistedWorker,
    /// The same, while the store forgets its history again and again and answers are lost.
    ForgottenWorker,
    /// A worker announces that it leaves, works on, ends, and starts under another id.
    LeavingWorker,
    /// The same without an announcement: only its directory entry is gone.
    VanishingWorker,
    /// A box is paused for a short time again and again.
    FlickerBox,
    /// All boxes but one are paused.
    FreezeOthers,
    /// All boxes are paused for most of the time.
    StarveBoxes,
}

/// The kinds of faults that plans were generated from at first. Seeds depend on the list.
pub const BASIC_KINDS: &[Kind] = KINDS.split_at(16).0;

/// All kinds of faults.
pub const KINDS: [Kind; 29] = [
    Kind::StopBox,
    Kind::KillBox,
    Kind::FreezeBox,
    Kind::KillAll,
    Kind::CutBox,
    Kind::StoreSilent,
    Kind::StoreBusy,
    Kind::StoreMute,
    Kind::StoreSlow,
    Kind::StoreForgets,
    Kind::SilentConnections,
    Kind::RestartWorker,
    Kind::LateWorker,
    Kind::SilentWorker,
    Kind::SmallWorker,
    Kind::Configuration,
    Kind::LateAnswers,
    Kind::LateCalls,
    Kind::LostAnswers,
    Kind::AllAnswersLate,
    Kind::CutCalls,
    Kind::SilentCalls,
    Kind::UnlistedWorker,
    Kind::ForgottenWorker,
    Kind::LeavingWorker,
    Kind::VanishingWorker,
    Kind::FlickerBox,
    Kind::FreezeOthers,
    Kind::StarveBoxes,
];

impl FromStr for Kind {
    type Err = String;

    /// Parses the name of a kind as in plans.
    fn from_str(name: &str) -> Result<Self, String> {
        let named = serde_json::from_value(name.into());
        named.map_err(|_| format!("there is no kind of fault {name}"))
    }
}

impl Kind {
    /// Returns true for faults that stop, kill or pause boxes.
    pub fn hits_boxes(self) -> bool {
        let boxes = [
            Self::StopBox,
            Self::KillBox,
            Self::FreezeBox,
            Self::KillAll,
            Self::FlickerBox,
            Self::FreezeOthers,
            Self::StarveBoxes,
        ];
        boxes.contains(&self)
    }

    /// Returns true for faults that stop, kill or pause several boxes.
    pub fn hits_all_boxes(self) -> bool {
        matches!(self, Self::KillAll | Self::FreezeOthers | Self::StarveBoxes)
    }

    /// Returns true for faults after which a worker starts under another id.
    pub fn replaces_worker(self) -> bool {
        matches!(self, Self::LeavingWorker | Self::VanishingWorker)
    }

    /// Returns true for faults of a worker.
    pub fn hits_worker(self) -> bool {
        let workers = [
            Self::RestartWorker,
            Self::LateWorker,
            Self::SilentWorker,
            Self::SmallWorker,
            Self::LateAnswers,
            Self::LateCalls,
            Self::LostAnswers,
            Self::CutCalls,
            Self::SilentCalls,
            Self::UnlistedWorker,
            Self::ForgottenWorker,
            Self::LeavingWorker,
            Self::VanishingWorker,
        ];
        workers.contains(&self)
    }
}

/// The process that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The box that is the owner when the fault begins; worker 0 for a fault of a worker.
    Owner,
    /// The box or worker of this index modulo their number.
    Number(usize),
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Time at which the fault begins, in ms from the start of the run.
    pub at: u64,
    /// Duration in ms.
    pub span: u64,
    /// Kind of the fault.
    pub kind: Kind,
    /// Affected process.
    pub target: Target,
}

/// Sizes of a run.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time in ms in which callers submit jobs.
    pub span: u64,
    /// Number of faults per minute.
    pub rate: u64,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time in ms in which callers submit jobs.
    pub span: u64,
    /// Number of callers that submit jobs.
    #[serde(default = "default_callers")]
    pub callers: usize,
    /// Durations of tasks in ms; each job draws one.
    #[serde(default = "default_durations")]
    pub durations: Vec<u64>,
    /// Faults in the order of their times; they may overlap.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Generates a plan with faults of these kinds.
    pub fn generate(seed: u64, sizes: &Sizes, kinds: &[Kind]) -> Self {
        let mut random = Random::new(seed);
        let span = sizes.span;
        let count = sizes.rate * span / 60_000;
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| random_fault(&mut random, span, kinds))
            .collect();
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            boxes: sizes.boxes,
            workers: sizes.workers,
            span,
            callers: default_callers(),
            durations: default_durations(),
            faults,
        }
    }

    /// Returns the work that callers would offer per worker without longer pauses, in percent of
    /// that of a run of the default sizes.
    pub fn relative_load(&self) -> u64 {
        let mean = self.durations.iter().sum::<u64>() / self.durations.len() as u64;
        let offered = mean * self.callers as u64 * DEFAULT_WORKERS;
        let default = DEFAULT_DURATION * DEFAULT_CALLERS as u64 * self.workers as u64;
        (offered * 100 / default).max(100)
    }
}

fn default_callers() -> usize {
    DEFAULT_CALLERS
}

fn default_durations() -> Vec<u64> {
    vec![DEFAULT_DURATION]
}

fn random_fault(random: &mut Random, span: u64, kinds: &[Kind]) -> Fault {
    let at = FIRST_FAULT + random.below(span.saturating_sub(FIRST_FAULT).max(1));
    let kind = kinds[random.below(kinds.len() as u64) as usize];
    let target = match random.chance(0.4) {
        true => Target::Owner,
        false => Target::Number(random.below(1_000) as usize),
    };
    Fault {
        at,
        span: DURATIONS.0 + random.below(DURATIONS.1 - DURATIONS.0),
        kind,
        target,
    }
}
