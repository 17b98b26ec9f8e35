//! Schedules of faults, generated and shrunk by quickcheck.

use quickcheck::{Arbitrary, Gen};

/// Boxes of a run.
pub const BOXES: usize = 4;
/// Workers of a run.
pub const WORKERS: usize = 6;
/// Milliseconds of one step.
pub const STEP: u64 = 50;
/// Longest fault in steps.
const LONGEST: u64 = 120;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A box stands still, and its time goes on.
    Freeze,
    /// A box dies, and another takes its place and address at once.
    Kill,
    /// A box stops as planned, and another takes its place.
    Stop,
    /// Messages from one box to another are lost.
    CutOneWay,
    /// Messages between two boxes are lost.
    CutBoth,
    /// A box is cut off from the platform.
    CutStore,
    /// A box is cut off from a worker.
    CutWorker,
    /// What a worker answers to a box is lost.
    CutAnswers,
    /// The platform answers nothing.
    StoreDown,
    /// The platform answers late.
    StoreSlow,
    /// Commits take effect and their answers are lost.
    LoseAnswers,
    /// Commits take effect long after they were sent.
    LateWrites,
    /// The list of workers is old.
    Lag,
    /// All messages take long.
    SlowLinks,
    /// A worker stands still, and its time goes on.
    FreezeWorker,
    /// A worker leaves, and comes back.
    Leave,
    /// A worker starts again under its name and address, and knows nothing of before.
    RestartWorker,
    /// A worker fails every task.
    FailTasks,
    /// All jobs submitted so far are cancelled at once.
    CancelWave,
    /// A job is submitted.
    Submit,
    /// A job is submitted that no worker could ever run.
    SubmitNever,
    /// An urgent job is submitted.
    SubmitUrgent,
    /// Two operators change the same entry.
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

/// One fault.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Step at which it begins.
    pub step: u64,
    /// What it is.
    pub kind: Kind,
    /// Box that is concerned.
    pub a: usize,
    /// Other box or worker that is concerned.
    pub b: usize,
    /// Steps that it lasts.
    pub span: u64,
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of delays, losses and load.
    pub seed: u64,
    /// Steps under faults.
    pub steps: u64,
    /// True when the workers fence.
    pub fence: bool,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Returns the schedule of a seed.
    pub fn of(seed: u64, steps: u64) -> Self {
        let mut source = Gen::from_size_and_seed(steps as usize, seed);
        Self::arbitrary(&mut source)
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(source: &mut Gen) -> Self {
        let steps = source.size() as u64;
        // From few faults to many at once.
        let density = [60, 25, 10, 5][usize::arbitrary(source) % 4];
        let count = steps / density;
        let faults = (0..count).map(|_| fault(source, steps)).collect();
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

fn fault(source: &mut Gen, steps: u64) -> Fault {
    // Work must be there to be disturbed.
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
        span: 1 + u64::arbitrary(source) % LONGEST,
    }
}
