//! More work than fits: what callers see of a burst.

use super::world::{World, job, step};
use crate::sched::message::How;

/// Returns the starts of the last second, with so many tasks waiting behind them.
fn starts_a_second(waiting: u32) -> usize {
    let mut world = World::new(60);
    world.script = |_, _| (400, How::Done);
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
