//! Short runs with fixed seeds, which are the same on every machine.

use crate::schedule::Schedule;
use crate::{Counts, coverage_gaps, run_one};

const SEEDS: std::ops::Range<u64> = 1..41;
const STEPS: u64 = 400;
/// Number of schedules that are run twice.
const REPLAYED_SEEDS: usize = 5;

#[test]
fn no_schedule_violates_a_rule() {
    willowpoint::invariant::panic_on_violation();
    println!("seeds {SEEDS:?}, {STEPS} steps each");
    let mut counts = Counts::default();
    for seed in SEEDS {
        let (one, violation) = run_one(&Schedule::from_seed(seed, STEPS));
        assert!(violation.is_none(), "seed {seed}: {violation:?}");
        counts.add(&one);
    }
    assert_eq!(coverage_gaps(&counts), Vec::<String>::new());
}

#[test]
fn a_schedule_is_deterministic() {
    for seed in SEEDS.take(REPLAYED_SEEDS) {
        let schedule = Schedule::from_seed(seed, STEPS);
        let (first, _) = run_one(&schedule);
        let (second, _) = run_one(&schedule);
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "seed {seed}");
    }
}
