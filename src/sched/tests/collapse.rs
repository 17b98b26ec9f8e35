//! Tests of a cell whose owner is short of processor: what a burst or a series of stops leaves behind
//! must not keep it from serving once they are over.

use std::collections::{BTreeMap, BTreeSet};

use super::random::seeds;
use super::world::{Costs, FakeWorker, Processor, Usage, World, job, lasting, queue};
use crate::sched::job::Queue;
use crate::sched::message::{Answer, JobRequest, RunOutcome, Ticket};
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Workers of a test, with 96 processors in all.
const WORKERS: u16 = 24;
/// Boxes that may replace the owner.
const SUCCESSORS: u16 = 4;
/// Processors that the usual load keeps busy.
const USUAL: u64 = 42;
/// Processors that the load of a burst would keep busy.
const BURST: u64 = USUAL * 26 / 10;
/// Milliseconds of a burst, or of a series of stops.
const TROUBLE: Millis = 5_000;
/// Lasting tasks of a test.
const LASTING: u32 = 8;
/// Milliseconds between two looks of the callers at the clock.
const LOOK: Millis = 10;
/// Milliseconds after which a caller sends an unanswered request again.
const TRY_TIMEOUT: Millis = 700;
/// Milliseconds after which a caller gives up.
const PATIENCE: Millis = 3_000;

/// What work takes with a whole processor.
const COSTS: Costs = Costs {
    event: 700,
    worker: 9,
    step: 20,
    call: 300,
    load: 250,
};

/// A caller with one job.
struct Caller {
    id: String,
    spec: JobSpec,
    first: Millis,
    /// The request that is not answered, and when it was sent.
    pending: Option<(Ticket, Millis)>,
    /// When it sends the request next.
    next: Millis,
}

/// A cell with callers.
struct Cell {
    world: World,
    random: Random,
    callers: Vec<Caller>,
    /// Number of the last job.
    jobs: u64,
    /// Thousandths of processors times milliseconds that are to be submitted.
    owed: i64,
    /// When each lasting task was last seen to run.
    last_seen: BTreeMap<String, Millis>,
    /// Longest time in milliseconds for which each did not run.
    longest_gaps: BTreeMap<String, Millis>,
    /// Number of owners that were stopped or killed.
    ends: usize,
}

impl Cell {
    fn new(share: f64, seed: u64) -> Self {
        let mut world = World::new(WORKERS);
        world.seed(seed);
        world.script = |task, _| match task.starts_with("lasting") {
            true => (1_000_000, RunOutcome::Done),
            false => (1_000, RunOutcome::Done),
        };
        world.processor = Some(Processor::new(share, COSTS));
        world.add_successors(SUCCESSORS);
        let to = Queue {
            priority: 5,
            ..queue()
        };
        world.submit_to(to, "lasting", job(vec![lasting(LASTING, 500)]));
        let mut random = Random::new(seed);
        Self {
            world,
            jobs: random.below(1_000),
            random,
            callers: Vec::new(),
            owed: 0,
            last_seen: BTreeMap::new(),
            longest_gaps: BTreeMap::new(),
            ends: 0,
        }
    }

    /// Adds a caller with the next job of a cycle of sizes, and returns its work.
    fn add_caller(&mut self) -> i64 {
        self.jobs += 1;
        let count = 2 + (self.jobs % 5) as u32;
        let cpu = 500 + 100 * (self.jobs * 3 % 10);
        let step = StepSpec {
            count,
            resources: Resources {
                cpu,
                memory: 100 + self.jobs % 7,
                gpu: 0,
            },
            estimate: 1_000,
            ..StepSpec::default()
        };
        self.callers.push(Caller {
            id: format!("j{}", self.jobs),
            spec: job(vec![step]),
            first: self.world.now,
            pending: None,
            next: self.world.now,
        });
        i64::from(count) * cpu as i64 * 1_000
    }

    /// Passes answers on, and sends the requests that are due.
    fn look(&mut self) {
        let now = self.world.now;
        let world = &mut self.world;
        self.callers.retain_mut(|caller| {
            if let Some((ticket, sent)) = caller.pending {
                match world.answers.get(&ticket) {
                    Some(Answer::Refused(retry)) => {
                        caller.pending = None;
                        caller.next = now + retry;
                    }
                    Some(_) => return false,
                    None if now >= sent + TRY_TIMEOUT => {
                        world.leave(ticket);
                        caller.pending = None;
                    }
                    None => {}
                }
            }
            if now > caller.first + PATIENCE {
                return false;
            }
            if caller.pending.is_none() && now >= caller.next {
                let request = JobRequest::Submit {
                    id: caller.id.as_str().into(),
                    spec: Box::new(caller.spec.clone()),
                    queue: queue(),
                };
                caller.pending = Some((world.post(request), now));
            }
            true
        });
    }

    /// Lets callers submit work for this many processors for a time.
    fn run(&mut self, span: Millis, processors: u64) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.owed += (processors * 1_000 * LOOK) as i64;
            while self.owed > 0 {
                self.owed -= self.add_caller();
            }
            self.look();
            self.world.run(LOOK);
            self.look_at_lasting();
        }
    }

    /// Records which lasting tasks run.
    fn look_at_lasting(&mut self) {
        let now = self.world.now;
        let workers = self.world.workers.values();
        let running: BTreeSet<&String> = workers.flat_map(FakeWorker::tasks).collect();
        for task in (0..LASTING).map(|index| format!("lasting.0.0.{index}")) {
            let runs = running.contains(&task);
            let seen = self.last_seen.entry(task.clone()).or_insert(now);
            let gap = self.longest_gaps.entry(task).or_default();
            *gap = (now - *seen).max(*gap);
            *seen = if runs { now } else { *seen };
        }
    }

    /// Crashes a drawn worker that runs a lasting task.
    fn crash_lasting(&mut self) {
        let runs_lasting = |w: &&FakeWorker| w.tasks().any(|t| t.starts_with("lasting"));
        let workers = self.world.workers.values().filter(runs_lasting);
        let ids: Vec<Name> = workers.map(|w| w.listing.id.clone()).collect();
        if !ids.is_empty() {
            let drawn = self.random.below(ids.len() as u64) as usize;
            self.world.crash(&ids[drawn]);
        }
    }

    /// Stops or kills the owner.
    fn end_owner(&mut self) {
        self.ends += 1;
        // A successor waits for leases of an owner that it can't ask.
        for seen in self.last_seen.values_mut() {
            *seen = self.world.now;
        }
        match self.random.below(2) {
            0 => self.world.stop_owner(),
            _ => self.world.kill_owner(),
        }
    }

    /// Returns what the processor was used for since the last call.
    fn reset_usage(&mut self) -> Usage {
        let processor = self.world.processor.as_mut().expect("a processor");
        std::mem::take(&mut processor.usage)
    }

    /// Returns how many runs a second were done in the last `span` milliseconds.
    fn done_in(&self, span: Millis) -> f64 {
        let from = self.world.now - span;
        let done = self.world.done.iter().filter(|at| **at > from).count();
        done as f64 * 1_000.0 / span as f64
    }
}

/// Shares of a processor that the owner's box has.
const SHARES: [f64; 4] = [1.0, 0.6, 0.5, 0.35];
/// Every so many seeds one is played, as each takes seconds.
const SEED_STEP: usize = 6;
/// Milliseconds before the trouble.
const BEFORE: Millis = 4_000;
/// Workers with lasting tasks that crash in a burst.
const CRASHES: u64 = 2;
/// Ends of owners in a series.
const ENDS: u64 = 5;
/// Processors that the load of a series keeps busy.
const SERIES: u64 = 66;
/// Milliseconds between two of them.
const END_INTERVAL: Millis = 2_000;
/// Milliseconds within which work has its former rate again.
const RECOVERY: Millis = 5_000;
/// Milliseconds in which that rate is measured.
const MEASURED: Millis = 5_000;
/// Milliseconds within which a lasting task that has lost its worker runs again.
const LASTING_GAP: Millis = 9_000;

/// Returns what a cell does wrong whose trouble has ended; `before` is its former rate.
fn errors_after_trouble(cell: &mut Cell, before: f64) -> Vec<String> {
    cell.run(RECOVERY, USUAL);
    cell.reset_usage();
    cell.run(MEASURED, USUAL);
    let (after, usage) = (cell.done_in(MEASURED), cell.reset_usage());
    let mut errors = std::mem::take(&mut cell.world.duplicates);
    if after < 0.9 * before {
        let commits = usage.commits * 1_000 / MEASURED;
        let passes = usage.passes / (MEASURED * 10);
        errors.push(format!(
            "{after:.0} of {before:.0} runs a second, {commits} commits a second, {passes} % of the time in passes"
        ));
    }
    for (task, gap) in &cell.longest_gaps {
        if *gap > LASTING_GAP {
            errors.push(format!("{task} did not run for {gap} ms"));
        }
    }
    let ends = cell.ends;
    let late = cell.world.successors.takeovers.len() - ends;
    if late > 1 {
        errors.push(format!("{late} owners replaced for lateness"));
    }
    errors
}

/// Returns what a cell does wrong after a burst in which workers crash.
fn errors_after_burst(share: f64, seed: u64) -> Vec<String> {
    let mut cell = Cell::new(share, seed);
    cell.run(BEFORE, USUAL);
    let before = cell.done_in(BEFORE / 2);
    for _ in 0..CRASHES {
        cell.run(TROUBLE / CRASHES, BURST);
        cell.crash_lasting();
    }
    errors_after_trouble(&mut cell, before)
}

/// Returns what a cell does wrong after stops and kills of owners in series.
fn errors_after_series(share: f64, seed: u64) -> Vec<String> {
    let mut cell = Cell::new(share, seed);
    cell.run(BEFORE, USUAL);
    let before = cell.done_in(BEFORE / 2);
    for number in 0..ENDS {
        cell.end_owner();
        if number == 1 {
            cell.crash_lasting();
        }
        cell.run(END_INTERVAL, SERIES);
    }
    errors_after_trouble(&mut cell, before)
}

/// Returns the errors of all shares and some seeds.
fn errors_of(play: fn(f64, u64) -> Vec<String>) -> Vec<String> {
    let errors_at = |share: f64, seed: u64| {
        let errors = play(share, seed).into_iter();
        errors.map(move |e| format!("share {share}, seed {seed}: {e}"))
    };
    let all_seeds = |share| {
        seeds()
            .step_by(SEED_STEP)
            .flat_map(move |s| errors_at(share, s))
    };
    std::thread::scope(|scope| {
        let threads = SHARES.map(|share| scope.spawn(move || all_seeds(share).collect()));
        let errors = threads.map(|thread| thread.join().expect("no panic"));
        errors.into_iter().flat_map(|e: Vec<String>| e).collect()
    })
}

/// An owner that is late for a while is replaced, its successor has the same work and that of the
/// takeover, and is late as well.
#[test]
fn a_burst_leaves_no_series_of_late_owners_behind() {
    let errors = errors_of(errors_after_burst);
    assert!(errors.is_empty(), "{errors:#?}");
}

/// Each owner hears of all runs again and waits for the leases of those before it.
#[test]
fn owners_that_end_in_series_leave_no_series_of_late_owners_behind() {
    let errors = errors_of(errors_after_series);
    assert!(errors.is_empty(), "{errors:#?}");
}
