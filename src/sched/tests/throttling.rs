//! Fillers beside serving tasks: how long these stay over their target.

use super::random::seeds;
use super::world::{Sharing, World, job, lasting, step};
use crate::sched::job::parse_task_name;
use crate::sched::message::{ActiveRun, RunOutcome};
use crate::sched::spec::StepSpec;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Longest that a serving task may stay over its target, in milliseconds.
const LONGEST: Millis = 4_500;
/// Label of the worker that all tasks share.
const LABEL: &str = "shared";
/// Workers of a large service: each reports about once a second.
const MANY: u64 = 490;

/// What a test does not set of how tasks press on each other.
const PRESSING: Sharing = Sharing {
    own: 0.7,
    factor: 0.5,
    swing: 0.0,
    period: 8_000,
    workers: MANY,
};

/// Returns a world in which one of the workers may run the tasks below.
fn shared_world(sharing: Sharing) -> World {
    let mut world = World::new(2);
    let worker = world.workers.get_mut("w0").expect("worker");
    worker.listing.labels.push(LABEL.into());
    world.list();
    world.sharing = sharing;
    world.script = |task, _| match task.starts_with("serving") {
        true => (1_000_000, RunOutcome::Done),
        false => (filler_time(task), RunOutcome::Done),
    };
    world
}

/// Returns how long a filler runs: they end one after the other.
fn filler_time(task: &str) -> Millis {
    let index = parse_task_name(task).map_or(0, |(_, _, _, index)| index);
    600 + u64::from(index * 37 % 7) * 150
}

fn serving(count: u32) -> StepSpec {
    StepSpec {
        latency_target: 100,
        image: "serving".into(),
        label: LABEL.into(),
        ..lasting(count, 1_000)
    }
}

/// Returns fillers, each of which uses a quarter of a worker: four fit there at a time.
fn fillers(count: u32) -> StepSpec {
    let mut fillers = StepSpec {
        best_effort: true,
        image: "filler".into(),
        label: LABEL.into(),
        ..step(count, 1_000)
    };
    fillers.resources.memory = 2_400;
    fillers
}

/// Runs serving tasks beside a long stream of short fillers.
fn run_beside_stream(world: &mut World) {
    world.submit("serving", job(vec![serving(2)]));
    world.run(3_000);
    world.submit("stream", job(vec![fillers(600)]));
    world.run(30_000);
}

#[test]
fn short_fillers_that_follow_each_other_keep_no_serving_task_over_its_target() {
    for (own, factor, swing) in [(0.7, 0.5, 0.0), (0.6, 1.0, 1.0), (0.76, 0.3, 1.0)] {
        let mut world = shared_world(Sharing {
            own,
            factor,
            swing,
            ..PRESSING
        });
        run_beside_stream(&mut world);
        let over = world.longest_over;
        assert!(over < LONGEST, "{own} {factor} {swing}: {over} ms");
    }
}

#[test]
fn a_spell_over_target_ends_in_time_though_orders_are_lost() {
    // Four fillers are halted: each of their orders is lost up to three times.
    for lost in [0, 4, 8, 12] {
        for (own, factor, swing) in [(0.76, 0.3, 1.0), (0.74, 0.2, 0.5), (0.75, 0.1, 0.0)] {
            let mut world = shared_world(Sharing {
                own,
                factor,
                swing,
                ..PRESSING
            });
            world.faults.throttles_lost = lost;
            world.script = |_, _| (1_000_000, RunOutcome::Done);
            run_beside_stream(&mut world);
            let over = world.longest_over;
            assert!(
                over < LONGEST,
                "{own} {factor} {swing}, {lost} lost: {over} ms"
            );
        }
    }
}

#[test]
fn a_worker_over_target_is_asked_as_often_as_one_of_few() {
    let mut world = World::new(300);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    let asked = |world: &World| world.holds["w0"].wait;
    let label = |world: &mut World| {
        let worker = world.workers.get_mut("w0").expect("worker");
        worker.listing.labels.push(LABEL.into());
    };
    label(&mut world);
    world.list();
    world.submit("serving", job(vec![serving(1)]));
    world.run(100);
    world.submit("filler", job(vec![fillers(1)]));
    world.run(2_500);
    assert!(asked(&world) > 590, "{} ms", asked(&world));
    world.sharing = Sharing {
        own: 0.75,
        workers: 0,
        ..PRESSING
    };
    let mut least = asked(&world);
    for _ in 0..70 {
        world.run(10);
        least = least.min(asked(&world));
    }
    assert!(least <= 400, "{least} ms");
}

#[test]
fn a_pace_that_a_late_order_has_changed_is_ordered_again() {
    let mut world = shared_world(PRESSING);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    // The first orders are carried out seconds later, after those that followed them.
    world.faults.throttles_late = (8, 5_000);
    world.submit("serving", job(vec![serving(2)]));
    world.run(3_000);
    world.submit("stream", job(vec![fillers(4)]));
    world.run(4_000);
    world.sharing.own = 0.2;
    world.run(8_000);
    let speeds = world.speeds_of("stream");
    assert_eq!(speeds, [100; 4], "nothing keeps them from full speed");
    world.sharing.own = 0.78;
    world.faults.throttles_late = (4, 3_000);
    world.run(25_000);
    assert!(world.longest_over < LONGEST, "{} ms", world.longest_over);
}

#[test]
fn fillers_that_an_owner_has_halted_go_on_under_the_next_one() {
    let mut world = shared_world(PRESSING);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("serving", job(vec![serving(2)]));
    world.run(3_000);
    world.submit("stream", job(vec![fillers(4)]));
    world.sharing.own = 0.79;
    world.run(6_000);
    assert!(world.speeds_of("stream").contains(&0));
    // The tails fall while nobody hears of it.
    let cut = |world: &mut World, cut| {
        world.workers.get_mut("w0").expect("worker").cut = cut;
    };
    cut(&mut world, true);
    world.sharing.own = 0.2;
    world.run(1_000);
    cut(&mut world, false);
    world.take_over(14_500);
    world.run(6_000);
    assert_eq!(world.speeds_of("stream"), [100; 4]);
}

/// Has a serving task report these tails, one each 300 ms; its target is 100 ms.
fn report_tails(world: &mut World, tails: &[u64]) {
    for tail in tails {
        let run = ActiveRun {
            task: "serving.0.0.0".into(),
            run: 1,
            checkpoint: "".into(),
            progress: 100,
            gauge: *tail,
        };
        let name = "w0".into();
        let run = world.owner.resolve_run(&run);
        world.owner.adjust_speeds(&name, &[run]);
        world.run(300);
    }
}

/// Returns a world in which no report but those of the test reaches the owner.
fn silent_world() -> World {
    let mut world = shared_world(Sharing::default());
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("serving", job(vec![serving(1)]));
    world.run(100);
    world.submit("filler", job(vec![fillers(1)]));
    world.run(2_500);
    world.workers.get_mut("w0").expect("worker").cut = true;
    world.ordered_speeds.clear();
    world
}

#[test]
fn a_rough_gauge_below_the_target_begins_no_spell_anew() {
    let mut world = silent_world();
    let begun = world.now;
    report_tails(&mut world, &[97, 90, 97, 90, 97]);
    assert_eq!(world.owner.workers["w0"].over_target_since, Some(begun));
    report_tails(&mut world, &[90, 90, 90]);
    assert_eq!(world.owner.workers["w0"].over_target_since, None);
}

#[test]
fn a_serving_task_without_a_tail_keeps_no_fillers_away() {
    let mut world = silent_world();
    report_tails(&mut world, &[150, 150]);
    assert!(world.owner.workers["w0"].is_over_target());
    report_tails(&mut world, &[0, 0, 0]);
    assert!(!world.owner.workers["w0"].is_over_target());
}

/// Draws how tasks press on each other and how many orders get lost, and returns the longest
/// time over target by what fills.
fn drawn_course(seed: u64) -> Millis {
    let mut random = Random::new(seed);
    let mut world = shared_world(Sharing {
        own: 0.5 + 0.28 * random.unit(),
        factor: 0.1 + 0.9 * random.unit(),
        swing: random.unit(),
        period: 2_000 + random.below(10_000),
        workers: 200 + random.below(800),
    });
    world.seed(seed);
    world.faults.throttles_lost = random.below(9) as u32;
    if random.chance(0.5) {
        world.script = |_, _| (1_000_000, RunOutcome::Done);
    }
    run_beside_stream(&mut world);
    world.longest_over
}

#[test]
fn drawn_courses_of_fillers_keep_no_serving_task_over_its_target() {
    for seed in seeds() {
        let over = drawn_course(seed);
        assert!(over < LONGEST, "seed {seed}: {over} ms");
    }
}
