//! Learned pressure between images.

use super::world::{World, job, step};
use crate::sched::message::{How, Running};
use crate::sched::pressure::Pressure;
use crate::sched::spec::StepSpec;
use crate::sched::worker::{Gauge, Mix};

fn gauge(busy: f64, mix: &[(&str, f64)]) -> (Gauge, Mix) {
    let mix: Mix = mix.iter().map(|(i, s)| ((*i).into(), *s)).collect();
    let gauge = Gauge {
        at: 0,
        busy,
        over_since: None,
        own_load: busy,
        mix: mix.clone().into(),
    };
    (gauge, mix)
}

fn learned() -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..40 {
        let (calm, nothing) = gauge(0.4, &[]);
        let (pressed, loud) = gauge(0.6, &[("loud", 0.1)]);
        let (_, soft) = gauge(0.4, &[("soft", 0.1)]);
        pressure.learn(&"serving".into(), &calm, 0.6, &loud);
        pressure.learn(&"serving".into(), &pressed, 0.4, &nothing);
        pressure.learn(&"serving".into(), &calm, 0.4, &soft);
    }
    pressure
}

fn factor(pressure: &Pressure, image: &str) -> f64 {
    let mix: Mix = [(image.into(), 1.0)].into();
    pressure.pressed("serving", &mix)
}

#[test]
fn factors_are_learned_from_what_comes_and_goes() {
    let pressure = learned();
    assert!((factor(&pressure, "loud") - 2.0).abs() < 0.2);
    assert!(factor(&pressure, "soft").abs() < 0.2);
}

#[test]
fn the_next_owner_goes_on_with_what_was_learned() {
    let mut before = learned();
    let mut after = Pressure::default();
    after.import(before.export().expect("something was learned"));
    assert_eq!(factor(&before, "loud"), factor(&after, "loud"));
    assert!(before.export().is_none(), "nothing new was learned");
}

#[test]
fn a_filler_does_not_reserve_processors() {
    let mut world = World::new(1);
    let filler = StepSpec {
        filler: true,
        ..step(3, 3_000)
    };
    world.submit("j1", job(vec![filler]));
    world.run(3_000);
    assert_eq!(world.starts.len(), 3, "only memory bounds them");
}

#[test]
fn everything_is_halted_beside_a_task_that_stays_at_its_target() {
    let mut world = World::new(1);
    world.script = |_, _| (1_000_000, How::Done);
    let serving = StepSpec {
        target: 100,
        lasting: true,
        image: "serving".into(),
        ..step(1, 1_000)
    };
    let filler = StepSpec {
        filler: true,
        image: "filler".into(),
        ..step(1, 1_000)
    };
    world.submit("serving", job(vec![serving]));
    world.submit("filler", job(vec![filler]));
    world.run(300);
    let run = Running {
        task: "serving.0.0.0".into(),
        run: 1,
        saved: "".into(),
        progress: 100,
        // Below where fillers are slowed by what was learned.
        gauge: 97,
    };
    for _ in 0..5 {
        let name = "w0".into();
        let mix = world.owner.mix(&name);
        world.owner.relieve(&name, mix, std::slice::from_ref(&run));
        world.run(400);
    }
    assert!(world.paces.contains(&0), "{:?}", world.paces);
}
