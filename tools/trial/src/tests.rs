//! A short run with fixed seeds, the same on every machine.

use crate::schedule::Schedule;
use crate::{Counts, missing, run_one};

const SEEDS: std::ops::Range<u64> = 1..41;
const STEPS: u64 = 400;
/// Schedules that are run twice.
const REPLAYED: usize = 5;

#[test]
fn no_schedule_violates_a_rule() {
    willowpoint::invariant::panic_on_violation();
    println!("seeds {SEEDS:?}, {STEPS} steps each");
    let mut counts = Counts::default();
    for seed in SEEDS {
        let (one, violation) = run_one(&Schedule::of(seed, STEPS));
        assert!(violation.is_none(), "seed {seed}: {violation:?}");
        counts.add(&one);
    }
    assert_eq!(missing(&counts), Vec::<String>::new());
}

#[test]
fn a_schedule_takes_the_same_course_each_time() {
    for seed in SEEDS.take(REPLAYED) {
        let schedule = Schedule::of(seed, STEPS);
        let (first, _) = run_one(&schedule);
        let (second, _) = run_one(&schedule);
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "seed {seed}");
    }
}
