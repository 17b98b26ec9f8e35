//! Learned pressure between images.

use super::world::{World, job, serving, step};
use crate::sched::interference::InterferenceModel;
use crate::sched::message::{ActiveRun, RunOutcome};
use crate::sched::spec::StepSpec;
use crate::sched::worker::ImageShares;

fn mix(shares: &[(&str, f64)]) -> ImageShares {
    shares.iter().map(|(i, s)| ((*i).into(), *s)).collect()
}

fn learned() -> InterferenceModel {
    let mut model = InterferenceModel::default();
    for _ in 0..40 {
        model.learn(&"serving".into(), &mix(&[("loud", 0.1)]), 0.2, 0.0);
        model.learn(&"serving".into(), &mix(&[("soft", 0.1)]), 0.0, 0.0);
        let both = mix(&[("loud", 0.1), ("soft", 0.1)]);
        model.learn(&"serving".into(), &both, 0.2, 0.0);
    }
    model
}

fn factor(model: &InterferenceModel, image: &str) -> f64 {
    model.mix_load("serving", &mix(&[(image, 1.0)])).0
}

#[test]
fn factors_are_learned_from_what_fillers_take() {
    let model = learned();
    assert!((factor(&model, "loud") - 2.0).abs() < 0.2);
    assert!(factor(&model, "soft").abs() < 0.2);
}

#[test]
fn the_next_owner_goes_on_with_what_was_learned() {
    let mut before = learned();
    let mut after = InterferenceModel::default();
    after.import(before.export().expect("something was learned"));
    assert_eq!(factor(&before, "loud"), factor(&after, "loud"));
    assert!(before.export().is_none(), "nothing new was learned");
}

#[test]
fn a_filler_does_not_reserve_processors() {
    let mut world = World::new(1);
    let filler = StepSpec {
        best_effort: true,
        ..step(3, 3_000)
    };
    world.submit("j1", job(vec![filler]));
    world.run(3_000);
    assert_eq!(world.starts.len(), 3, "only memory bounds them");
}

#[test]
fn everything_is_halted_beside_a_task_that_stays_at_its_target() {
    let mut world = World::new(1);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    let filler = StepSpec {
        best_effort: true,
        image: "filler".into(),
        ..step(1, 1_000)
    };
    world.submit("serving", job(vec![serving()]));
    world.submit("filler", job(vec![filler]));
    world.run(300);
    let run = ActiveRun {
        task: "serving.0.0.0".into(),
        run: 1,
        checkpoint: "".into(),
        progress: 100,
        // Below where fillers are slowed by what was learned.
        gauge: 97,
    };
    for _ in 0..5 {
        let name = "w0".into();
        let run = world.owner.resolve_run(&run);
        world.owner.adjust_speeds(&name, &[run]);
        world.run(400);
    }
    assert!(
        world.ordered_speeds.contains(&0),
        "{:?}",
        world.ordered_speeds
    );
}
