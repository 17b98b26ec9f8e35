//! Invariants asserted inside the program, in release builds as well.
//!
//! A violation is counted and logged as an error; the caller refuses what
//! would break the rule. Tests and randomised runs read the counts.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No worker is given more than its room.
    Room,
    /// No task runs in two places.
    Place,
    /// Evicted work resumes exactly once.
    Resume,
    /// An answer goes to its own request.
    Answer,
    /// What is called not run was not run.
    NotRun,
    /// A request that is not repeatable runs at most once.
    Once,
    /// A leaving endpoint gets nothing new.
    Leaving,
    /// A configuration never goes back.
    Config,
    /// One owner acts for a cell.
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

static CHECKS: [AtomicU64; 9] = [const { AtomicU64::new(0) }; 9];
static VIOLATIONS: [AtomicU64; 9] = [const { AtomicU64::new(0) }; 9];

static PANIC: AtomicBool = AtomicBool::new(false);

/// Makes every violation a panic, for randomised runs.
pub fn panic_on_violation() {
    PANIC.store(true, Ordering::Relaxed);
}

/// Counts a check; returns `holds`, and logs the violation when it is false.
pub fn check(holds: bool, rule: Rule, detail: impl FnOnce() -> String) -> bool {
    let index = rule as usize;
    CHECKS[index].fetch_add(1, Ordering::Relaxed);
    if !holds {
        VIOLATIONS[index].fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        log::error!(target: "invariant", "{rule:?} violated: {detail}");
        assert!(
            !PANIC.load(Ordering::Relaxed),
            "{rule:?} violated: {detail}"
        );
    }
    holds
}

/// Returns how often a rule was checked.
pub fn checks(rule: Rule) -> u64 {
    CHECKS[rule as usize].load(Ordering::Relaxed)
}

/// Returns how often a rule was violated.
pub fn violations(rule: Rule) -> u64 {
    VIOLATIONS[rule as usize].load(Ordering::Relaxed)
}

/// Returns how often any rule was violated.
pub fn total_violations() -> u64 {
    RULES.iter().map(|r| violations(*r)).sum()
}
