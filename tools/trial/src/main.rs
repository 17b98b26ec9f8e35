//! Randomised simulation of several engines, the platform and workers.
//!
//! Each run follows a generated schedule of delays, losses, freezes, crashes and operators'
//! changes in virtual time. The engines are the daemon's own code; only the sockets are replaced.
//! The program fails if a rule is violated, or if some kind of fault was never injected or some
//! rule never checked.

mod counts;
mod schedule;
mod truth;
mod world;

#[cfg(test)]
mod tests;

use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use bpaf::Bpaf;
use counts::Counts;
use quickcheck::Arbitrary;
use schedule::{KINDS, Schedule};
use truth::Violation;
use willowpoint::invariant::{RULES, panic_on_violation};

/// Simulates several boxes under random faults and checks the rules that they must keep.
///
/// Example: cargo run --release -p willowpoint-trial -- --seeds 10000 --steps 600
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of schedules, one for each seed
    #[bpaf(argument("N"), fallback(200), display_fallback)]
    seeds: u64,
    /// First seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    first: u64,
    /// Steps of 50 ms under faults in each schedule
    #[bpaf(argument("N"), fallback(600), display_fallback)]
    steps: u64,
    /// Number of threads
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    threads: usize,
    /// Shrink the first failing schedule and print it
    shrink: bool,
}

/// Outcome of all runs.
#[derive(Debug, Default)]
struct Report {
    counts: Counts,
    failed: Vec<(u64, Violation)>,
}

fn main() -> ExitCode {
    let options = options().run();
    panic_on_violation();
    std::panic::set_hook(Box::new(|_| {}));
    let report = run_all(&options);
    print(&options, &report);
    if options.shrink
        && let Some((seed, _)) = report.failed.first()
    {
        shrink(Schedule::from_seed(*seed, options.steps));
    }
    let missing = coverage_gaps(&report.counts);
    missing.iter().for_each(|m| println!("FAILED: {m}"));
    match report.failed.is_empty() && missing.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn run_all(options: &Options) -> Report {
    let next = AtomicU64::new(options.first);
    let end = options.first + options.seeds;
    let report = Mutex::new(Report::default());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let (counts, violation) = run_one(&Schedule::from_seed(seed, options.steps));
                    let mut report = report.lock().unwrap_or_else(|e| e.into_inner());
                    report.counts.add(&counts);
                    report.failed.extend(violation.map(|v| (seed, v)));
                }
            });
        }
    });
    let mut report = report.into_inner().unwrap_or_else(|e| e.into_inner());
    report.failed.sort_by_key(|(seed, _)| *seed);
    report
}

/// Runs one schedule. A panic of the program under test counts as a violation.
fn run_one(schedule: &Schedule) -> (Counts, Option<Violation>) {
    let result = std::panic::catch_unwind(|| world::run(schedule));
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
        let violation = Violation {
            rule: willowpoint::invariant::Rule::Answer,
            at: 0,
            detail: format!("panic: {}", text.unwrap_or_default()),
        };
        (Counts::default(), Some(violation))
    })
}

fn print(options: &Options, report: &Report) {
    let Options {
        first,
        seeds,
        steps,
        ..
    } = options;
    println!("seeds {first}..{}, {steps} steps each", first + seeds);
    println!("\nfaults injected");
    for kind in KINDS {
        let count = report.counts.faults.get(&kind).copied().unwrap_or(0);
        println!("  {:14} {count:>10}", format!("{kind:?}"));
    }
    println!("\nchecks made from outside");
    for (rule, count) in &report.counts.checks {
        println!("  {rule:14} {count:>10}");
    }
    println!("\nchecks made inside the program");
    for rule in RULES {
        let count = willowpoint::invariant::checks(rule);
        println!("  {:14} {count:>10}", counts::rule_name(rule));
    }
    println!("\nevents");
    for (name, count) in &report.counts.events {
        println!("  {name:34} {count:>10}");
    }
    println!("\n{} of {seeds} seeds violated a rule", report.failed.len());
    for (seed, violation) in report.failed.iter().take(20) {
        let Violation { rule, at, detail } = violation;
        println!("  seed {seed} at {at} ms: {rule:?}: {detail}");
    }
}

/// Returns a message for each kind of fault that was never injected and each rule that was never
/// checked.
fn coverage_gaps(counts: &Counts) -> Vec<String> {
    let mut missing = Vec::new();
    for kind in KINDS {
        if !counts.faults.contains_key(&kind) {
            missing.push(format!("no fault of kind {kind:?} was injected"));
        }
    }
    for rule in RULES {
        if !counts.checks.contains_key(counts::rule_name(rule)) {
            missing.push(format!("rule {rule:?} was never checked"));
        }
        if willowpoint::invariant::checks(rule) == 0 {
            missing.push(format!(
                "rule {rule:?} was never checked inside the program"
            ));
        }
    }
    missing
}

/// Prints the smallest schedule, derived from a failing one, that still violates a rule.
fn shrink(mut failing: Schedule) {
    loop {
        let smaller = failing.shrink().find(|s| run_one(s).1.is_some());
        match smaller {
            Some(smaller) => failing = smaller,
            None => break,
        }
    }
    println!("\nsmallest failing schedule:\n{failing:#?}");
    if let Some(violation) = run_one(&failing).1 {
        println!("{violation:?}");
    }
}
