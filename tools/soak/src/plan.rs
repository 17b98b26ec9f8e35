//! What a run does to the processes and when, drawn from its seed alone.

use serde::{Deserialize, Serialize};
use willowpoint::utils::random::Random;

/// Milliseconds before the first fault, for a first owner and first jobs.
const QUIET: u64 = 1_500;
/// Shortest and longest milliseconds that a fault lasts.
const SPANS: (u64, u64) = (200, 6_000);

/// What is done to a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A box is asked to stop, and started again.
    StopBox,
    /// A box is killed, and started again.
    KillBox,
    /// A box is paused.
    FreezeBox,
    /// All boxes lose power at once, and are started again.
    KillAll,
    /// The store says nothing to a box.
    CutBox,
    /// The store answers nobody and does nothing.
    StoreSilent,
    /// The store turns all calls away.
    StoreBusy,
    /// The store writes and does not say so.
    StoreMute,
    /// The store takes its time.
    StoreSlow,
    /// The store forgets its history.
    StoreForgets,
    /// Connections to the store that are open fall silent.
    SilentConnections,
    /// A worker starts again under its id.
    RestartWorker,
    /// A worker lets orders lie, and carries them out then.
    LateWorker,
    /// A worker answers nobody, and carries orders out after seconds.
    SilentWorker,
    /// A worker has half of its room.
    SmallWorker,
    /// Another version of the configuration.
    Configuration,
}

/// All of them.
pub const KINDS: [Kind; 16] = [
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
];

impl Kind {
    /// Returns true for what ends or pauses boxes.
    pub fn hits_boxes(self) -> bool {
        let boxes = [Self::StopBox, Self::KillBox, Self::FreezeBox, Self::KillAll];
        boxes.contains(&self)
    }

    /// Returns true for what is done to a worker.
    pub fn hits_worker(self) -> bool {
        let workers = [
            Self::RestartWorker,
            Self::LateWorker,
            Self::SilentWorker,
            Self::SmallWorker,
        ];
        workers.contains(&self)
    }
}

/// Whom a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The box that is the owner then.
    Owner,
    /// The box or worker of this number, counted on from the first again.
    Number(usize),
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Milliseconds from the beginning.
    pub at: u64,
    /// Milliseconds until it is undone.
    pub span: u64,
    /// What is done.
    pub kind: Kind,
    /// To whom.
    pub target: Target,
}

/// A run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// Boxes.
    pub boxes: usize,
    /// Workers.
    pub workers: usize,
    /// Milliseconds for which jobs come.
    pub span: u64,
    /// In the order of their times; they overlap.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws so many faults a minute.
    pub fn draw(seed: u64, boxes: usize, workers: usize, span: u64, rate: u64) -> Self {
        let mut random = Random::new(seed);
        let count = rate * span / 60_000;
        let mut faults: Vec<Fault> = (0..count).map(|_| fault(&mut random, span)).collect();
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            boxes,
            workers,
            span,
            faults,
        }
    }
}

fn fault(random: &mut Random, span: u64) -> Fault {
    let at = QUIET + random.below(span.saturating_sub(QUIET).max(1));
    let kind = KINDS[random.below(KINDS.len() as u64) as usize];
    let target = match random.chance(0.4) {
        true => Target::Owner,
        false => Target::Number(random.below(1_000) as usize),
    };
    Fault {
        at,
        span: SPANS.0 + random.below(SPANS.1 - SPANS.0),
        kind,
        target,
    }
}
