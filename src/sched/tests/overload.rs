//! More work than fits: what callers see of a burst.

use super::world::{World, job, serving, step};
use crate::sched::job::JobState;
use crate::sched::message::{ActiveRun, Answer, RunOutcome};
use crate::sched::spec::{RESOURCE_LIMIT, Resources, StepSpec, TIME_LIMIT};
use crate::utils::clock::Millis;

/// Returns the starts of the last second, with so many tasks waiting behind them.
fn starts_a_second(waiting: u32) -> usize {
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

/// Room for 16 tasks on each of 60 workers, each for 400 ms and the way there and back.
#[test]
fn a_long_queue_holds_no_start_up() {
    let (short, long) = (starts_a_second(5_000), starts_a_second(14_000));
    assert!(short > 1_500, "{short}");
    assert!(long * 10 >= short * 9, "{long} of {short}");
}

/// A step of fillers of one image, of which a worker holds at most two by their memory.
fn fillers(count: u32) -> StepSpec {
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

/// Returns a serving task and two fillers on one worker, and so many fillers that wait.
fn beside_serving(waiting: u32) -> World {
    let mut world = World::new(1);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("serving", job(vec![serving()]));
    world.run(100);
    world.submit("run", job(vec![fillers(2)]));
    world.run(2_500);
    if waiting > 0 {
        world.submit("wait", job(vec![fillers(waiting)]));
    }
    world.run(300);
    world
}

/// Returns the lowest pace that is ordered while the tail of the serving task is at this;
/// reports without a tail, which the fake worker sends between, raise it again.
fn pace_at(world: &mut World, tail: u64) -> u32 {
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
fn serving_tasks_make_way_a_little_while_fillers_wait_and_never_beyond_their_target() {
    let (mut calm, mut strained) = (beside_serving(0), beside_serving(40));
    assert_eq!(
        (calm.owner.backlog_level, strained.owner.backlog_level),
        (0.0, 1.0)
    );
    let tails = [25, 30, 35, 40, 45, 50, 55, 60, 65, 70, 75, 80];
    let calm: u32 = tails.iter().map(|t| pace_at(&mut calm, *t)).sum();
    let held: u32 = tails.iter().map(|t| pace_at(&mut strained, *t)).sum();
    assert!(held > calm, "{held}, {calm}");
    assert_eq!(pace_at(&mut strained, 110), 0, "over its target");
}

#[test]
fn what_can_earn_nothing_any_more_is_no_strain() {
    let mut world = beside_serving(40);
    // Three times the aim of 500 ms beyond twice the run time has passed.
    world.run(9_000);
    assert!(!world.owner.ready.is_empty());
    assert_eq!(world.owner.backlog_level, 0.0);
}

/// Callers may declare any run time and size: what is absurd is told so, and what is only
/// huge ends no owner and holds nobody up.
#[test]
fn huge_declarations_hold_nobody_up() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    let declared = |cpu: u64, estimate: Millis| {
        let first = StepSpec {
            best_effort: true,
            estimate,
            ..step(2, cpu)
        };
        let second = StepSpec {
            after: vec![0],
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
        assert_eq!(world.shown(id), Some(JobState::Completed), "{id}");
    }
}
