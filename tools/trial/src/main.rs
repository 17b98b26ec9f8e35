//! Long randomised runs of the decisions.
//!
//! Several engines, a platform and workers are driven through generated
//! schedules of delays, losses, freezes, crashes and operators' changes. The
//! engines are the very code of the daemon; only the sockets are replaced. A
//! run that injected none of a kind of fault, or never checked a rule, fails.

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

/// Drives the decisions of several boxes through random faults.
///
/// Example: cargo run --release -p willowpoint-trial -- --seeds 10000 --steps 600
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of schedules
    #[bpaf(argument("N"), fallback(200), display_fallback)]
    seeds: u64,
    /// First seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    first: u64,
    /// Steps of 50 ms under faults in each schedule
    #[bpaf(argument("N"), fallback(600), display_fallback)]
    steps: u64,
    /// Threads
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    threads: usize,
    /// Shrink the first failing schedule and print it
    shrink: bool,
}

/// What many runs came to.
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
        shrink(Schedule::of(*seed, options.steps));
    }
    let missing = missing(&report.counts);
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
                    let (counts, violation) = run_one(&Schedule::of(seed, options.steps));
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

/// Runs one schedule; a panic of the program under test is a violation too.
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
        println!("  {:14} {count:>10}", counts::word(rule));
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

/// Returns what a run of this size should have done and did not.
fn missing(counts: &Counts) -> Vec<String> {
    let mut missing = Vec::new();
    for kind in KINDS {
        if !counts.faults.contains_key(&kind) {
            missing.push(format!("no fault of kind {kind:?} was injected"));
        }
    }
    for rule in RULES {
        if !counts.checks.contains_key(counts::word(rule)) {
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
