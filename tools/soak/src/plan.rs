//! Plans of faults for a run, generated from a seed alone.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use willowpoint::utils::random::Random;

/// Earliest time of a fault in ms, so that a cell has an owner and jobs before it.
const FIRST_FAULT: u64 = 1_500;
/// Minimum and maximum duration of a fault in ms.
const DURATIONS: (u64, u64) = (200, 6_000);

/// Mixed into the seed of bursts and series, so that they change no other draw.
const BURST_SEED: u64 = 0x6275_7273_7400;
/// Lengths of both bursts in percent of the run. Of 25 s, the long one outlasts the 3 s in which
/// an owner measures the load, also after a change of owner within it.
const SHORT_BURST: u64 = 10;
const LONG_BURST: u64 = 30;
/// A series slows one of so many workers.
const SLOW_PART: usize = 3;
/// Time in ms before a burst at which workers become slow: copies are started only while no other
/// task waits.
const SLOW_LEAD: u64 = 3_000;
/// Number of faults of a series after its slow workers and the killed owner.
const SERIES_LENGTH: u64 = 3;
/// Minimum and maximum duration of a later fault of a series in ms.
const SERIES_DURATIONS: (u64, u64) = (1_000, 3_500);
/// Kinds of the later faults of a series, beside the killed owner.
const SERIES_KINDS: [Kind; 7] = [
    Kind::StoreSlow,
    Kind::StoreSlow,
    Kind::StoreBusy,
    Kind::FreezeBox,
    Kind::CutBox,
    Kind::LateCalls,
    Kind::RestartWorker,
];

/// Default number of callers.
pub const DEFAULT_CALLERS: usize = 4;
/// Default number of workers.
const DEFAULT_WORKERS: u64 = 6;
/// Default duration of a task in ms.
const DEFAULT_DURATION: u64 = 300;

/// Durations of tasks in ms in runs with bursts. Copies are started only of runs that their worker
/// has listed for 500 ms, which the shorter ones rarely reach on a slow worker.
const LOAD_DURATIONS: [u64; 3] = [300, 300, 1_500];

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
    /// A worker runs its tasks at a quarter of its speed.
    SlowWorker,
    /// A crowd of misbehaving callers opens connections to a box.
    Crowd,
}

/// The kinds of faults that plans were generated from at first. Seeds depend on the list.
pub const BASIC_KINDS: &[Kind] = KINDS.split_at(16).0;

/// Kinds that are drawn one by one. Seeds depend on the list; slow workers and crowds are drawn in
/// series.
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
            Self::SlowWorker,
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
    /// True if bursts and series of faults are drawn.
    pub load: bool,
}

/// A time in which callers offer more work than the workers can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Burst {
    /// Beginning in ms from the start of the run.
    pub at: u64,
    /// Duration in ms.
    pub span: u64,
}

impl Burst {
    /// Returns true while the burst lasts.
    pub fn contains(&self, now: u64) -> bool {
        (self.at..self.at + self.span).contains(&now)
    }
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
    /// Times of more load than the workers can take.
    #[serde(default)]
    pub bursts: Vec<Burst>,
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
        let bursts = match sizes.load {
            true => draw_bursts(seed, span),
            false => Vec::new(),
        };
        for (burst, number) in bursts.iter().zip(1..) {
            faults.extend(draw_series(seed ^ (number << 32), burst, sizes.workers));
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            boxes: sizes.boxes,
            workers: sizes.workers,
            span,
            callers: default_callers(),
            durations: match sizes.load {
                true => LOAD_DURATIONS.to_vec(),
                false => default_durations(),
            },
            bursts,
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

/// Draws a short and a long burst, each at another time of the run.
fn draw_bursts(seed: u64, span: u64) -> Vec<Burst> {
    let mut random = Random::new(seed ^ BURST_SEED);
    let mut burst = |from: u64, length: u64| Burst {
        at: span * from / 100 + random.below(span / 20 + 1),
        span: span * length / 100,
    };
    vec![burst(20, SHORT_BURST), burst(50, LONG_BURST)]
}

/// Draws a series of faults around the beginning of a burst: slow workers and a crowd before it,
/// then others of which each begins before the one before it ends. The owner is killed in each series.
fn draw_series(seed: u64, burst: &Burst, workers: usize) -> Vec<Fault> {
    let mut random = Random::new(seed ^ BURST_SEED);
    let slow_at = burst.at.saturating_sub(SLOW_LEAD).max(FIRST_FAULT);
    let span = DURATIONS.1;
    let first = random.below(workers as u64) as usize;
    let slow = |number| Fault {
        at: slow_at,
        span,
        kind: Kind::SlowWorker,
        target: Target::Number(first + number),
    };
    let mut series: Vec<Fault> = (0..workers.div_ceil(SLOW_PART)).map(slow).collect();
    series.push(Fault {
        at: slow_at,
        span,
        kind: Kind::Crowd,
        target: match first % 2 {
            0 => Target::Owner,
            _ => Target::Number(first),
        },
    });
    let mut kinds = vec![Kind::KillBox];
    kinds.extend((0..SERIES_LENGTH).map(|_| {
        let kind = random.below(SERIES_KINDS.len() as u64);
        SERIES_KINDS[kind as usize]
    }));
    kinds.swap(0, random.below(2) as usize);
    let mut at = burst.at.max(FIRST_FAULT);
    let mut previous = SERIES_DURATIONS.0;
    for kind in kinds {
        // The next fault begins in the second or third eighth of the one before.
        at += previous / 8 + random.below(previous / 4 + 1);
        previous = SERIES_DURATIONS.0 + random.below(SERIES_DURATIONS.1 - SERIES_DURATIONS.0);
        let target = match kind.hits_worker() {
            true => Target::Number(random.below(1_000) as usize),
            false => Target::Owner,
        };
        series.push(Fault {
            at,
            span: previous,
            kind,
            target,
        });
    }
    series
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
