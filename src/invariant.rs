//! Invariants that are checked at run time, also in release builds.
//!
//! A violation is counted and logged as an error, and the caller of the check rejects the operation
//! that would break the rule. Tests and randomised runs read the counts.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A rule that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No worker is allocated more than its capacity.
    Room,
    /// No task runs on two workers.
    Place,
    /// An evicted task resumes exactly once.
    Resume,
    /// An answer is returned for the request that it belongs to.
    Answer,
    /// A request that is answered `not-run` was not run.
    NotRun,
    /// A request that is not repeatable runs at most once.
    Once,
    /// An endpoint that leaves gets no new requests or tasks.
    Leaving,
    /// The version of the configuration never decreases.
    Config,
    /// A cell has at most one owner that acts.
    Owner,
}

/// All rules, in the order of their counters.
pub const RULES: [Rule; 9] = [
    Rule::Room,
    Rule::Place,
    Rule::Resume,
    Rule::Answer,
    Rule::NotRun,
    Rule::Once,
    Rule::Leaving,
    Rule::Config,
    Rule::Owner,
];

/// Number of checks of each rule.
static CHECKS: [AtomicU64; 9] = [const { AtomicU64::new(0) }; 9];
/// Number of violations of each rule.
static VIOLATIONS: [AtomicU64; 9] = [const { AtomicU64::new(0) }; 9];

/// True if a violation panics.
static PANIC_ON_VIOLATION: AtomicBool = AtomicBool::new(false);

/// Makes every violation panic from now on, for randomised runs.
pub fn panic_on_violation() {
    PANIC_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Counts a check of a rule and returns `holds`. If it is false, counts and logs a violation.
pub fn check(holds: bool, rule: Rule, detail: impl FnOnce() -> String) -> bool {
    let index = rule as usize;
    CHECKS[index].fetch_add(1, Ordering::Relaxed);
    if !holds {
        VIOLATIONS[index].fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        log::error!(target: "invariant", "{rule:?} violated: {detail}");
        assert!(
            !PANIC_ON_VIOLATION.load(Ordering::Relaxed),
            "{rule:?} violated: {detail}"
        );
    }
    holds
}

/// Returns the number of checks of a rule.
pub fn checks(rule: Rule) -> u64 {
    CHECKS[rule as usize].load(Ordering::Relaxed)
}

/// Returns the number of violations of a rule.
pub fn violations(rule: Rule) -> u64 {
    VIOLATIONS[rule as usize].load(Ordering::Relaxed)
}

/// Returns the number of violations of all rules.
pub fn total_violations() -> u64 {
    RULES.iter().map(|r| violations(*r)).sum()
}
