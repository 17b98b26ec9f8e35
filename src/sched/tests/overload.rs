//! Tests of starts and throttling while more work is submitted than the workers can run.

use super::world::{World, job, serving, step};
use crate::sched::job::JobState;
use crate::sched::message::{ActiveRun, Answer, RunOutcome};
use crate::sched::spec::{RESOURCE_LIMIT, Resources, StepSpec, TIME_LIMIT};
use crate::utils::clock::Millis;

/// Returns the number of starts in one second after this many tasks were submitted.
fn starts_per_second(waiting: u32) -> usize {
    let mut world = World::new(60);
    world.script = |_, _| (400, RunOutcome::Done);
    for number in 0..waiting / 20 {
        world.submit(&format!("j{number}"), job(vec![step(20, 250)]));
    }
    world.run(1_000);
    let from = world.now;
    world.run(1_000);
    assert!(!world.owner.ready.is_empty());
    world.starts.iter().filter(|s| s.3 > from).count()
}

/// Each of 60 workers has capacity for 16 tasks, which run for 400 ms plus the delay of the calls.
#[test]
fn a_long_queue_does_not_slow_starts() {
    let (short, long) = (starts_per_second(5_000), starts_per_second(14_000));
    assert!(short > 1_500, "{short}");
    assert!(long * 10 >= short * 9, "{long} of {short}");
}

/// Returns a step of best-effort tasks of one image, of which a worker has memory for two.
fn best_effort(count: u32) -> StepSpec {
    StepSpec {
        count,
        best_effort: true,
        image: "filler".into(),
        resources: Resources {
            cpu: 1_000,
            memory: 4_000,
            gpu: 0,
        },
        ..step(count, 1_000)
    }
}

/// Returns a world with a serving task and two best-effort tasks on one worker, while `waiting`
/// more best-effort tasks wait.
fn beside_serving(waiting: u32) -> World {
    let mut world = World::new(1);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("serving", job(vec![serving()]));
    world.run(100);
    world.submit("run", job(vec![best_effort(2)]));
    world.run(2_500);
    if waiting > 0 {
        world.submit("wait", job(vec![best_effort(waiting)]));
    }
    world.run(300);
    world
}

/// Returns the lowest speed in percent that is ordered while the serving task reports this tail
/// latency in milliseconds. Reports without a tail latency, which the fake worker sends in
/// between, raise the speed again.
fn speed_at(world: &mut World, tail: u64) -> u32 {
    let run = ActiveRun {
        task: "serving.0.0.0".into(),
        run: 1,
        checkpoint: "".into(),
        progress: 100,
        gauge: tail,
    };
    world.ordered_speeds.clear();
    for _ in 0..8 {
        let run = world.owner.resolve_run(&run);
        world.owner.adjust_speeds(&"w0".into(), &[run]);
        world.run(200);
    }
    world.ordered_speeds.iter().copied().min().unwrap_or(100)
}

#[test]
fn a_backlog_raises_the_load_of_serving_tasks_but_never_beyond_their_target() {
    let (mut idle, mut backlogged) = (beside_serving(0), beside_serving(40));
    assert_eq!(
        (idle.owner.backlog_level, backlogged.owner.backlog_level),
        (0.0, 1.0)
    );
    let tails = [25, 30, 35, 40, 45, 50, 55, 60, 65, 70, 75, 80];
    let idle_speeds: u32 = tails.iter().map(|t| speed_at(&mut idle, *t)).sum();
    let backlog_speeds: u32 = tails.iter().map(|t| speed_at(&mut backlogged, *t)).sum();
    assert!(
        backlog_speeds > idle_speeds,
        "{backlog_speeds}, {idle_speeds}"
    );
    assert_eq!(speed_at(&mut backlogged, 110), 0, "over its target");
}

#[test]
fn jobs_whose_value_is_lost_do_not_count_as_backlog() {
    let mut world = beside_serving(40);
    // More than three times the time in which a job has to end has passed: 500 ms plus twice its
    // run time.
    world.run(9_000);
    assert!(!world.owner.ready.is_empty());
    assert_eq!(world.owner.backlog_level, 0.0);
}

/// Callers may declare any run time and size. Absurd declarations are rejected, and merely huge
/// ones neither crash the owner nor delay other jobs.
#[test]
fn huge_declarations_delay_no_other_jobs() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    let declared = |cpu: u64, estimate: Millis| {
        let first = StepSpec {
            best_effort: true,
            estimate,
            ..step(2, cpu)
        };
        let second = StepSpec {
            depends_on: vec![0],
            ..first.clone()
        };
        job(vec![first, second])
    };
    for (id, cpu, estimate) in [("a", u64::MAX, 1), ("b", 1, Millis::MAX)] {
        let ticket = world.submit(id, declared(cpu, estimate));
        let answer = world.answers.get(&ticket);
        assert!(matches!(answer, Some(Answer::Invalid(_))), "{answer:?}");
    }
    world.submit("huge", declared(RESOURCE_LIMIT, TIME_LIMIT));
    world.submit("sound", job(vec![step(4, 500)]));
    world.run(6_000);
    for id in ["huge", "sound"] {
        assert_eq!(world.job_state(id), Some(JobState::Completed), "{id}");
    }
}
