//! Schedules of faults, generated and shrunk by quickcheck.

use quickcheck::{Arbitrary, Gen};

/// Number of boxes in a run.
pub const BOXES: usize = 4;
/// Number of workers in a run.
pub const WORKERS: usize = 6;
/// Duration of one step in ms.
pub const STEP: u64 = 50;
/// Longest duration of a fault in steps.
const MAX_DURATION: u64 = 120;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A box is paused while its clocks go on.
    Freeze,
    /// A box crashes and is restarted at the same address at once.
    Kill,
    /// A box performs a planned stop and is then restarted.
    Stop,
    /// Messages from one box to another are lost.
    CutOneWay,
    /// Messages between two boxes are lost.
    CutBoth,
    /// A box is cut off from the platform.
    CutStore,
    /// A box is cut off from a worker.
    CutWorker,
    /// Answers of a worker to a box are lost.
    CutAnswers,
    /// The platform does not answer.
    StoreDown,
    /// The platform answers late.
    StoreSlow,
    /// Commits take effect, but their answers are lost.
    LoseAnswers,
    /// Commits reach the platform long after they were sent.
    LateWrites,
    /// The platform returns an outdated list of workers.
    Lag,
    /// All messages are delayed.
    SlowLinks,
    /// A worker is paused while its clocks go on.
    FreezeWorker,
    /// A worker leaves, or one that left comes back.
    Leave,
    /// A worker restarts under the same name and address and has lost its state.
    RestartWorker,
    /// A worker fails every task.
    FailTasks,
    /// All jobs submitted so far are cancelled at once.
    CancelWave,
    /// A job is submitted.
    Submit,
    /// A job that no worker could ever run is submitted.
    SubmitNever,
    /// An urgent job is submitted.
    SubmitUrgent,
    /// Two operators change the same configuration entry.
    Race,
}

/// All kinds, in the order of the report.
pub const KINDS: [Kind; 23] = [
    Kind::Freeze,
    Kind::Kill,
    Kind::Stop,
    Kind::CutOneWay,
    Kind::CutBoth,
    Kind::CutStore,
    Kind::CutWorker,
    Kind::CutAnswers,
    Kind::StoreDown,
    Kind::StoreSlow,
    Kind::LoseAnswers,
    Kind::LateWrites,
    Kind::Lag,
    Kind::SlowLinks,
    Kind::FreezeWorker,
    Kind::Leave,
    Kind::RestartWorker,
    Kind::FailTasks,
    Kind::CancelWave,
    Kind::Submit,
    Kind::SubmitNever,
    Kind::SubmitUrgent,
    Kind::Race,
];

/// A fault of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Step at which the fault begins.
    pub step: u64,
    /// Kind of the fault.
    pub kind: Kind,
    /// Index of the affected box; for jobs, selects the team.
    pub a: usize,
    /// Number that selects the other affected box or the worker, modulo their count; for jobs,
    /// selects the kind and the size.
    pub b: usize,
    /// Duration in steps; for jobs, determines the work.
    pub span: u64,
}

/// The schedule of a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of delays, losses and load during the run.
    pub seed: u64,
    /// Number of steps with faults.
    pub steps: u64,
    /// True when the workers reject calls with an outdated epoch, round or time.
    pub fence: bool,
    /// Faults in no particular order.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn from_seed(seed: u64, steps: u64) -> Self {
        let mut source = Gen::from_size_and_seed(steps as usize, seed);
        Self::arbitrary(&mut source)
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(source: &mut Gen) -> Self {
        let steps = source.size() as u64;
        // Steps per fault, from few faults to many at once.
        let interval = [60, 25, 10, 5][usize::arbitrary(source) % 4];
        let count = steps / interval;
        let faults = (0..count).map(|_| random_fault(source, steps)).collect();
        Self {
            seed: u64::arbitrary(source),
            steps,
            fence: bool::arbitrary(source),
            faults,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let count = whole.faults.len();
        let halves = [(0, count / 2), (count / 2, count)];
        let parts = halves.into_iter().filter(move |(a, b)| b - a < count);
        let ones = (0..count).map(|i| (i, i + 1));
        let drops = parts.chain(ones);
        Box::new(drops.map(move |(from, to)| {
            let mut smaller = whole.clone();
            smaller.faults.drain(from..to);
            smaller
        }))
    }
}

fn random_fault(source: &mut Gen, steps: u64) -> Fault {
    // Submits, freezes and kills are more frequent, so that faults meet work in progress.
    let kinds = [
        &KINDS[..],
        &[Kind::Submit, Kind::Submit, Kind::Freeze, Kind::Kill],
    ]
    .concat();
    let kind = source.choose(&kinds).copied().unwrap_or(Kind::Submit);
    Fault {
        step: u64::arbitrary(source) % steps.max(1),
        kind,
        a: usize::arbitrary(source) % BOXES,
        b: usize::arbitrary(source),
        span: 1 + u64::arbitrary(source) % MAX_DURATION,
    }
}
