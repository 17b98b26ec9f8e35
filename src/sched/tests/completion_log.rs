//! Tests of the record of a worker's completions.

use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::sched::completion_log::{CompletionLog, Coverage};

/// Number of random sequences of steps.
const SEQUENCES: u64 = 1_000;
/// Steps in a random sequence.
const STEPS: usize = 120;
/// Seed of the random sequences.
const SEED: u64 = 49;
/// The effect of each completion with a multiple of this number is unknown.
const UNKNOWN: u64 = 17;
/// Completions in a full report.
const FULL: usize = 4;

/// Records a report of stored completions.
fn report(log: &mut CompletionLog, listed: &[u64], coverage: Coverage) {
    for number in listed {
        log.receive(*number);
    }
    log.end_report(listed.iter().copied(), coverage);
}

#[test]
fn a_completion_listed_after_a_higher_one_is_received() {
    let mut log = CompletionLog::default();
    assert!(log.receive(2));
    assert!(log.receive(1));
    assert!(!log.receive(2), "each one is received once");
}

#[test]
fn a_number_that_a_whole_report_skips_does_not_exist() {
    let mut log = CompletionLog::default();
    report(&mut log, &[7, 3, 5], Coverage::All);
    assert_eq!(log.next_acknowledgement(), Some(7));
}

#[test]
fn a_number_that_a_full_report_skips_is_not_acknowledged() {
    let mut log = CompletionLog::default();
    report(&mut log, &[1], Coverage::All);
    log.acknowledge(1);
    report(&mut log, &[6, 2, 5, 3], Coverage::Full);
    assert_eq!(log.next_acknowledgement(), Some(3));
    report(&mut log, &[4, 5, 6, 7], Coverage::Full);
    assert_eq!(log.next_acknowledgement(), Some(7));
}

#[test]
fn full_reports_are_acknowledged_where_an_earlier_owner_acknowledged_others() {
    let mut log = CompletionLog::default();
    report(&mut log, &[], Coverage::All);
    report(&mut log, &[61, 58, 60, 59], Coverage::Full);
    assert_eq!(log.next_acknowledgement(), Some(61));
}

#[test]
fn a_completion_that_is_not_stored_is_not_acknowledged() {
    let mut log = CompletionLog::default();
    report(&mut log, &[1, 2, 3], Coverage::All);
    log.await_store(2);
    assert_eq!(log.next_acknowledgement(), Some(1));
    log.mark_stored(2);
    assert_eq!(log.next_acknowledgement(), Some(3));
    log.acknowledge(3);
    assert_eq!(log.next_acknowledgement(), None);
}

#[test]
fn the_highest_number_does_not_overflow() {
    let mut log = CompletionLog::default();
    report(&mut log, &[u64::MAX, 0], Coverage::Full);
    report(&mut log, &[u64::MAX, 0], Coverage::All);
    assert_eq!(log.next_acknowledgement(), Some(u64::MAX));
}

#[test]
fn a_held_completion_is_never_acknowledged() {
    let mut log = CompletionLog::default();
    report(&mut log, &[1, 2, 3], Coverage::All);
    log.hold(2);
    assert_eq!(log.next_acknowledgement(), Some(1));
    assert!(!log.is_stalled());
    log.acknowledge(1);
    assert_eq!(log.next_acknowledgement(), None);
    assert!(log.is_stalled() && log.all_stored());
}

#[test]
fn a_number_that_a_partial_report_skips_is_not_acknowledged() {
    let mut log = CompletionLog::default();
    report(&mut log, &[3, 4], Coverage::Partial);
    assert_eq!(log.next_acknowledgement(), None);
    report(&mut log, &[1], Coverage::All);
    report(&mut log, &[1, 2, 4], Coverage::Partial);
    assert_eq!(log.next_acknowledgement(), Some(4));
    report(&mut log, &[6], Coverage::Partial);
    assert_eq!(log.next_acknowledgement(), Some(4));
}

/// A step of a worker or its owner.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A run ends; with true, a number is skipped.
    End(bool),
    /// The worker reports its completions, rotated by this many; with true, the first row does
    /// not decode.
    Report(usize, bool),
    /// The commit with the first completion that is not stored ends.
    Store,
    /// The worker forgets what the owner acknowledges.
    Acknowledge,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match g.choose(&[0, 0, 0, 1, 1, 2, 2, 3]).expect("a choice") {
            0 => Self::End(u8::arbitrary(g) % 8 == 0),
            1 => Self::Report(usize::arbitrary(g), u8::arbitrary(g) % 8 == 0),
            2 => Self::Store,
            _ => Self::Acknowledge,
        }
    }
}

/// A worker with its owner's record of it.
#[derive(Default)]
struct Model {
    log: CompletionLog,
    /// Completions that the worker holds.
    held: BTreeSet<u64>,
    last: u64,
    received: BTreeSet<u64>,
    unstored: BTreeSet<u64>,
    /// True once a report without garbled rows has listed a completion.
    based: bool,
    /// Completions whose effect is unknown.
    unknown: BTreeSet<u64>,
}

impl Model {
    /// Applies a step; returns an error if a completion is forgotten that is not stored.
    fn apply(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::End(skips) => {
                self.last += 1 + u64::from(skips);
                self.held.insert(self.last);
            }
            Step::Report(turn, garbled) => self.report(turn, garbled),
            Step::Store => {
                if let Some(number) = self.unstored.pop_first() {
                    self.log.mark_stored(number);
                }
            }
            Step::Acknowledge => return self.acknowledge(),
        }
        Ok(())
    }

    fn report(&mut self, turn: usize, garbled: bool) {
        let mut listed: Vec<u64> = self.held.iter().copied().collect();
        let coverage = match listed.len() < FULL {
            _ if garbled => Coverage::Partial,
            true => Coverage::All,
            false => Coverage::Full,
        };
        if !self.based {
            // The first full report starts with the oldest completions.
            listed.truncate(FULL);
        }
        self.based |= !listed.is_empty() && !garbled;
        let count = listed.len().max(1);
        listed.rotate_left(turn % count);
        listed.truncate(FULL);
        let listed = listed.into_iter().skip(usize::from(garbled));
        let listed: Vec<u64> = listed.collect();
        for number in &listed {
            assert_eq!(self.log.receive(*number), self.received.insert(*number));
            if number % UNKNOWN == 0 {
                self.unknown.insert(*number);
                self.log.hold(*number);
            } else if number % 3 == 0 && !self.unstored.contains(number) {
                self.unstored.insert(*number);
                self.log.await_store(*number);
            }
        }
        self.log.end_report(listed.into_iter(), coverage);
    }

    fn acknowledge(&mut self) -> Result<(), String> {
        let Some(number) = self.log.next_acknowledgement() else {
            return Ok(());
        };
        let forgotten = self.held.range(..=number);
        let kept = |n: &u64| self.unstored.contains(n) || self.unknown.contains(n);
        let lost = |n: &&u64| !self.received.contains(n) || kept(n);
        let lost: Vec<&u64> = forgotten.filter(lost).collect();
        if !lost.is_empty() {
            return Err(format!("{number} is acknowledged, {lost:?} are lost"));
        }
        self.held.retain(|n| *n > number);
        self.log.acknowledge(number);
        Ok(())
    }
}

/// Checks that a worker forgets only stored completions, and all of them in the end unless a
/// skipped number fills its reports or the effect of a completion is unknown.
fn check(steps: Vec<Step>) -> TestResult {
    let mut model = Model::default();
    let gapless = !steps.iter().any(|s| matches!(s, Step::End(true)));
    for step in &steps {
        if let Err(error) = model.apply(*step) {
            return TestResult::error(error);
        }
    }
    for turn in 0..STEPS * FULL {
        let rest = [Step::Report(turn, false), Step::Store, Step::Acknowledge];
        if let Some(error) = rest.into_iter().find_map(|s| model.apply(s).err()) {
            return TestResult::error(error);
        }
    }
    let ends = gapless && model.unknown.is_empty();
    TestResult::from_bool(!ends || model.held.is_empty())
}

#[test]
fn no_order_of_reports_loses_a_completion() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(SEQUENCES)
        .quickcheck(check as fn(Vec<Step>) -> TestResult);
}
