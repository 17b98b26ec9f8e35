//! Tests of workers that restart under their id or another id.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::world::{CALL_TIMEOUT, FakeWorker, World, job, lasting, listing, step};
use crate::sched::job::JobState;
use crate::sched::message::{Answer, DirectoryEntry, Event, Poll, Reply, Report, RunOutcome};
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::sched::worker::Listing;

/// A worker that restarts under its id numbers its completions from 1 again. The owner took
/// these for completions of the earlier incarnation, ignored them up to the last number it knew,
/// and acknowledged them. The runs were then missing from the next report, so tasks that had
/// completed were started again, and tasks that had failed exceeded their attempts by one.
#[test]
fn completions_are_accepted_after_a_restart_under_the_same_id() {
    let mut world = World::new(1);
    world.submit("before", job(vec![step(4, 1_000)]));
    world.run(3_000);
    assert_eq!(world.job_state("before"), Some(JobState::Completed));
    world.restart("w0");
    world.send_directory();
    world.run(500);
    world.submit("after", job(vec![step(4, 1_000)]));
    world.run(6_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.job_state("after"), Some(JobState::Completed));
    let starts = world.starts.iter().filter(|s| s.0.starts_with("after"));
    assert_eq!(starts.count(), 4);
}

/// A worker restarts under another id and runs tasks when a listing of its earlier incarnation
/// arrives late. The owner took that for a third incarnation at the address and considered the
/// present incarnation ended, so its tasks were started elsewhere while they ran.
#[test]
fn a_late_listing_of_an_ended_incarnation_ends_no_other() {
    for boot in [None, Some(5_000)] {
        let mut world = World::new(0);
        world.add_worker("w0", 100);
        let before = world.workers["w0"].listing.clone();
        world.send_directory();
        world.run(500);
        world.workers.remove("w0");
        let next = Listing {
            boot,
            ..listing("w1", 100)
        };
        world.workers.insert("w1".into(), FakeWorker::new(next));
        world.add_worker("w2", 102);
        world.send_directory();
        world.run(500);
        world.submit("j", job(vec![step(8, 1_000)]));
        world.run(100);
        assert_eq!(world.running().len(), 8);
        let entry = DirectoryEntry::Listed(before);
        world.handle(Event::DirectoryChanged(vec![("w0".into(), entry)]));
        world.run(5_000);
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
        assert_eq!(world.starts.len(), 8);
        assert_eq!(world.job_state("j"), Some(JobState::Completed));
    }
}

/// Submits a job of `count` tasks of 300 ms and asserts that each of them runs exactly once.
fn assert_runs_once(world: &mut World, id: &str, count: u32) {
    world.script = |task, _| match task.starts_with("lasting") {
        true => (600_000, RunOutcome::Done),
        false => (300, RunOutcome::Done),
    };
    world.submit(id, job(vec![step(count, 1_000)]));
    world.run(8_000);
    assert_eq!(world.job_state(id), Some(JobState::Completed), "{id}");
    let starts = world.starts.iter().filter(|s| s.0.starts_with(id));
    assert_eq!(starts.count(), count as usize, "{id}");
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn a_worker_is_used_after_two_restarts_in_a_row() {
    let mut world = World::new(1);
    assert_runs_once(&mut world, "before", 4);
    world.restart("w0");
    world.run(1);
    world.restart("w0");
    world.send_directory();
    assert_runs_once(&mut world, "after", 4);
}

#[test]
fn a_worker_is_used_after_a_restart_at_another_address() {
    let mut world = World::new(1);
    assert_runs_once(&mut world, "before", 4);
    world.restart_as("w0", |l| l.address.set_port(7_000));
    world.send_directory();
    assert_runs_once(&mut world, "after", 4);
}

/// Until the new listing arrives, the known capacity is the larger one of the earlier incarnation.
#[test]
fn a_worker_that_restarts_with_less_capacity_is_not_overcommitted() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.submit("before", job(vec![step(8, 1_000)]));
    world.run(100);
    world.restart_as("w0", |l| l.capacity.cpu = 1_000);
    world.run(2_000);
    assert!(world.running().is_empty(), "the capacity is not known yet");
    world.send_directory();
    world.run(8_000);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
    assert_eq!(world.job_state("before"), Some(JobState::Completed));
}

#[test]
fn a_leaving_worker_is_used_after_a_restart() {
    let mut world = World::new(1);
    let worker = world.workers.get_mut("w0").expect("worker");
    (worker.listing.leaving, worker.listing.min_stay) = (true, 4_000);
    world.send_directory();
    world.run(500);
    world.restart_as("w0", |l| l.leaving = false);
    world.send_directory();
    assert_runs_once(&mut world, "after", 4);
}

/// Adds a worker, and shrinks worker `w0` so that a task of one core does not fit.
fn move_capacity_to_another_worker(world: &mut World) {
    world.add_worker("w1", 7_100);
    world.send_directory();
    let small = Resources {
        cpu: 100,
        ..world.workers["w0"].listing.capacity
    };
    world.resize("w0", small);
}

/// A start is delayed by six seconds. The worker has meanwhile answered a stop of that run, so
/// the task runs elsewhere. Then the worker restarts under its id. The new incarnation had
/// received no stop, carried out the late start and ran the task a second time. In a soak run,
/// the stop was answered 2.5 s after the start, run 2 was done on another worker, and then run 1
/// ended as done on the restarted one (`event=unknown-end`).
#[test]
fn an_incarnation_that_begins_after_a_stop_refuses_the_late_start() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.run(500);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(200);
    let (_, late) = world.last_starts["w0"].clone();
    assert_eq!((&*late.task, late.run), ("j1.0.0.0", 1));
    move_capacity_to_another_worker(&mut world);
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(3_000);
    assert_eq!(
        world.job_state("j1"),
        Some(JobState::Completed),
        "the task runs on the other worker"
    );
    world.restart("w0");
    world.send_directory();
    world.run(1_000);
    world.deliver_start(&late);
    world.run(2_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// A start and the stop after it are delayed. The lease of the silent worker ends, and the task
/// runs elsewhere. The worker answers again and gets a new lease before the start arrives.
#[test]
fn a_worker_that_was_silent_past_its_lease_refuses_the_late_start() {
    let mut world = World::new(1);
    world.script = |task, _| match task.starts_with("j1") {
        true => (300, RunOutcome::Done),
        false => (1_000_000, RunOutcome::Done),
    };
    world.run(500);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(200);
    let (_, late) = world.last_starts["w0"].clone();
    move_capacity_to_another_worker(&mut world);
    world.run(6_000);
    assert_eq!(
        world.job_state("j1"),
        Some(JobState::Completed),
        "it runs elsewhere"
    );
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    // More tasks than the other worker can hold, so that this one gets a lease again.
    world.submit("j2", job(vec![lasting(41, 100)]));
    world.run(1_500);
    world.deliver_start(&late);
    world.run(2_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// After its clock was set back, a restarted worker reports an earlier boot time. The owner accepts
/// it only once the leases of the earlier incarnation have certainly ended.
#[test]
fn a_worker_that_reports_an_earlier_start_is_used_eventually() {
    let mut world = World::new(2);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.restart("w0");
    world.send_directory();
    world.run(500);
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    world.run(500);
    world.restart_as("w0", |l| l.boot = Some(1));
    world.send_directory();
    for _ in 0..150 {
        world.run(100);
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    }
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w1").expect("worker").disconnected = true;
    world.run(8_000);
    assert!(world.running().iter().any(|(_, w)| &**w == "w0"));
}

#[test]
fn lasting_tasks_run_again_at_once_after_a_restart() {
    let mut world = World::new(3);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(9, 1_000)]));
    world.run(1_000);
    for id in ["w0", "w1"] {
        world.restart(id);
    }
    world.send_directory();
    world.run(500);
    assert_eq!(world.running().len(), 9);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn a_gang_runs_again_as_a_whole_after_all_its_workers_restart() {
    let mut world = World::new(4);
    world.script = |_, _| (3_000, RunOutcome::Done);
    let gang = StepSpec {
        gang: true,
        ..step(4, 4_000)
    };
    world.submit("g", job(vec![gang]));
    world.run(1_000);
    assert_eq!(world.running().len(), 4);
    for id in ["w0", "w1", "w2", "w3"] {
        world.restart(id);
        world.run(2);
    }
    world.send_directory();
    world.run(6_000);
    assert_eq!(world.job_state("g"), Some(JobState::Completed));
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// While the store is away, the listing stays that of the earlier incarnation. The worker is
/// meanwhile polled at the usual rate rather than without a pause, and its tasks stay held.
#[test]
fn a_worker_with_an_outdated_listing_is_polled_at_the_usual_rate() {
    let mut world = World::new(1);
    world.restart("w0");
    world.run(100);
    assert!(world.last_polls["w0"].wait > 0);
}

/// Two members of a gang are on a worker that restarts: one has begun, and the start of the other
/// got no answer.
#[test]
fn a_gang_with_a_doubtful_member_is_not_left_incomplete() {
    for lost in [0.0, 0.5, 1.0] {
        let mut world = World::new(2);
        world.script = |_, _| (900, RunOutcome::Done);
        let gang = StepSpec {
            gang: true,
            ..step(6, 1_000)
        };
        world.faults.lost_replies = lost;
        world.submit("g", job(vec![gang]));
        world.run(100);
        world.restart("w0");
        world.send_directory();
        world.faults.lost_replies = 0.0;
        world.run(12_000);
        assert_eq!(world.job_state("g"), Some(JobState::Completed), "{lost}");
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
        assert!(world.running().is_empty());
    }
}

/// Number of random sequences of events.
const SEQUENCES: u64 = 60;
/// Seed of the random sequences.
const SEED: u64 = 36;

/// An event after the restart of a worker. Such events may come in any order.
#[derive(Clone, Copy, Debug)]
enum RestartStep {
    /// The last listing of the earlier incarnation arrives.
    OldListing,
    /// The listing of the later incarnation arrives.
    NewListing,
    /// The answer of the earlier incarnation to the open poll arrives.
    OldReport,
    /// Polls reach the later incarnation from now on.
    Reachable,
    /// The last start that was sent to the worker is carried out, unless the box has given
    /// it up and closed its connection.
    LateStart,
    /// A poll that acknowledged completions of the earlier incarnation is carried out, unless the
    /// later one was never polled: until then, its orders have the fence of the earlier one.
    LatePoll,
    /// No call reaches the later incarnation from now on.
    Unreachable,
    /// Another job is submitted.
    Submit,
    /// Half a second passes.
    Pause,
    /// All leases end.
    LeasesEnd,
    /// Another owner takes over.
    Takeover,
}

const STEPS: [RestartStep; 11] = [
    RestartStep::OldListing,
    RestartStep::NewListing,
    RestartStep::OldReport,
    RestartStep::Reachable,
    RestartStep::LateStart,
    RestartStep::Pause,
    RestartStep::LeasesEnd,
    RestartStep::Takeover,
    RestartStep::LatePoll,
    RestartStep::Unreachable,
    RestartStep::Submit,
];

/// Steps after which the owner knows the later incarnation.
const KNOWN_STEPS: [RestartStep; 3] = [
    RestartStep::Reachable,
    RestartStep::NewListing,
    RestartStep::Pause,
];

/// Steps in which a job of the later incarnation may end while it can't be reached.
const LATE_POLL_STEPS: [RestartStep; 4] = [
    RestartStep::Submit,
    RestartStep::Unreachable,
    RestartStep::Pause,
    RestartStep::LatePoll,
];

impl Arbitrary for RestartStep {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&STEPS).expect("there are steps")
    }
}

/// Returns a job of four small tasks.
fn short_job() -> JobSpec {
    job(vec![step(4, 500)])
}

/// A worker that has restarted, and messages of its earlier incarnation.
struct Restart {
    world: World,
    old_listing: Listing,
    old_report: Report,
    old_poll: Poll,
    /// Ticket of the submission of the other job, if any.
    submitted: Option<u64>,
}

impl Restart {
    /// Returns a world in which one of two workers has just restarted while it ran tasks that
    /// end, that fail and that last.
    fn new() -> Self {
        let mut world = World::new(2);
        world.script = |task, run| match task.as_bytes()[0] {
            b'f' if run < 3 => (300, RunOutcome::Failed),
            b'm' => (300, RunOutcome::Done),
            b'l' => (600_000, RunOutcome::Done),
            _ => (700, RunOutcome::Done),
        };
        world.submit("before", job(vec![step(16, 500)]));
        world.run(1_500);
        world.submit("lasting", job(vec![lasting(2, 1_000)]));
        world.submit("failing", job(vec![step(2, 1_000)]));
        world.submit("done", job(vec![step(2, 1_000)]));
        world.run(200);
        let before = &world.workers["w0"];
        let (old_listing, old_report) = (before.listing.clone(), before.report(world.now));
        let old_poll = world.last_acknowledging["w0"].clone();
        world.restart("w0");
        world.workers.get_mut("w0").expect("worker").disconnected = true;
        let mut restart = Self {
            world,
            old_listing,
            old_report,
            old_poll,
            submitted: None,
        };
        restart.world.run(2);
        restart
    }

    fn apply(&mut self, step: RestartStep) {
        let world = &mut self.world;
        match step {
            RestartStep::OldListing => {
                let entry = DirectoryEntry::Listed(self.old_listing.clone());
                world.handle(Event::DirectoryChanged(vec![("w0".into(), entry)]));
            }
            RestartStep::NewListing => world.send_directory(),
            RestartStep::OldReport => {
                let poll = world.last_polls["w0"].clone();
                world.handle(Event::Polled(poll, Reply::Ok(self.old_report.clone())));
            }
            RestartStep::Reachable => {
                world.workers.get_mut("w0").expect("worker").disconnected = false
            }
            RestartStep::LateStart => {
                let ordered = world.last_starts.get("w0").cloned();
                let in_flight = |(sent, _): &(u64, _)| world.now < sent + CALL_TIMEOUT;
                if let Some((_, start)) = ordered.filter(in_flight) {
                    world.deliver_start(&start);
                }
            }
            RestartStep::LatePoll => {
                if world.workers["w0"].polled {
                    world.deliver_poll(&self.old_poll);
                }
            }
            RestartStep::Unreachable => {
                world.workers.get_mut("w0").expect("worker").disconnected = true
            }
            RestartStep::Submit => {
                let ticket = world.submit("more", short_job());
                self.submitted.get_or_insert(ticket);
            }
            RestartStep::Pause => world.run(500),
            RestartStep::LeasesEnd => world.run(6_000),
            RestartStep::Takeover => world.take_over(5_000),
        }
        world.run(3);
    }

    /// Lets time pass after the last step and returns the errors found then.
    fn errors(mut self) -> Vec<String> {
        let world = &mut self.world;
        world.workers.get_mut("w0").expect("worker").disconnected = false;
        world.send_directory();
        world.run(500);
        world.submit("after", short_job());
        world.run(12_000);
        let mut errors = std::mem::take(&mut world.duplicates);
        errors.append(&mut world.overcommits);
        // A takeover may come before the job is stored.
        let accepted = |ticket: &u64| world.answers.get(ticket) == Some(&Answer::Accepted);
        let more = self.submitted.filter(accepted).map(|_| "more");
        for id in ["before", "done", "failing", "after"]
            .into_iter()
            .chain(more)
        {
            let shown = world.job_state(id);
            if shown != Some(JobState::Completed) {
                errors.push(format!("{id} is {shown:?}"));
            }
        }
        let running = world.running().len();
        if running != 2 {
            errors.push(format!("{running} lasting tasks run"));
        }
        errors
    }
}

/// Returns all permutations of some steps.
fn permutations(steps: &[RestartStep]) -> Vec<Vec<RestartStep>> {
    if steps.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for index in 0..steps.len() {
        let mut rest = steps.to_vec();
        let first = rest.remove(index);
        all.extend(permutations(&rest).into_iter().map(|mut order| {
            order.insert(0, first);
            order
        }));
    }
    all
}

/// Returns the errors that are found after these steps.
fn errors_after(steps: &[RestartStep]) -> Vec<String> {
    let mut restart = Restart::new();
    for step in steps {
        restart.apply(*step);
    }
    restart.errors()
}

#[test]
fn no_order_of_steps_after_a_restart_runs_a_task_twice() {
    for steps in permutations(&STEPS[..5]) {
        let errors = errors_after(&steps);
        assert!(errors.is_empty(), "{steps:?}: {errors:?}");
    }
}

#[test]
fn no_order_of_steps_with_a_late_poll_runs_a_task_twice() {
    for late_steps in permutations(&LATE_POLL_STEPS) {
        let steps = [&KNOWN_STEPS[..], &late_steps].concat();
        let errors = errors_after(&steps);
        assert!(errors.is_empty(), "{steps:?}: {errors:?}");
    }
}

#[test]
fn no_random_steps_after_a_restart_run_a_task_twice() {
    fn property(steps: Vec<RestartStep>) -> TestResult {
        let errors = errors_after(&steps);
        match errors.is_empty() {
            true => TestResult::passed(),
            false => TestResult::error(format!("{steps:?}: {errors:?}")),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(9, SEED))
        .tests(SEQUENCES)
        .quickcheck(property as fn(Vec<RestartStep>) -> TestResult);
}
