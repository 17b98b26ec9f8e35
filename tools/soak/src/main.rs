//! Soak test: runs real processes under random faults and checks the guarantees.
//!
//! Boxes are `willowpoint serve` processes; the store and the workers are stand-ins within this
//! process. Faults are injected from outside: signals, connections, the store, the workers. The
//! answers to callers and the runs of workers are checked by code that shares nothing with the
//! scheduler.

mod callers;
mod checks;
mod client;
mod crowds;
mod faults;
mod jobs;
mod pauses;
mod plan;
mod platform;
mod run;

#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use plan::{BASIC_KINDS, DEFAULT_CALLERS, KINDS, Kind, Plan, Sizes};
use run::Outcome;
use willowpoint::utils::signals;

/// Number of violations whose job history is printed.
const MAX_EXPLAINED: usize = 3;

/// Runs boxes as processes under random faults and checks their guarantees.
///
/// Example: cargo build --release --workspace && target/release/willowpoint-soak --seed 7
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the first run
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of runs, each with the next seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    runs: u64,
    /// Seconds in which jobs are submitted in each run
    #[bpaf(argument("N"), fallback(60), display_fallback)]
    seconds: u64,
    /// Number of boxes
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    boxes: usize,
    /// Number of workers
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    workers: usize,
    /// Faults per minute
    #[bpaf(argument("N"), fallback(30), display_fallback)]
    faults: u64,
    /// Number of callers that submit jobs
    #[bpaf(argument("N"), fallback(DEFAULT_CALLERS), display_fallback)]
    callers: usize,
    /// Milliseconds that a task takes; of several each job draws one
    #[bpaf(argument("MS"), many)]
    task: Vec<u64>,
    /// Draw only the basic kinds of faults, as plans of seeds below 6000 did
    #[bpaf(switch)]
    basic: bool,
    /// Draw no bursts and no series of faults, as plans of earlier seeds
    #[bpaf(switch)]
    steady: bool,
    /// Draw only this kind of fault; may be given several times
    #[bpaf(argument("KIND"), many)]
    kind: Vec<Kind>,
    /// Run this plan instead of generated ones
    #[bpaf(argument("FILE"), optional)]
    plan: Option<PathBuf>,
    /// Directory for plan, violations and logs of runs that violate a guarantee
    #[bpaf(argument("DIR"), optional)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    signals::install_handlers();
    let plans = match plans(&options) {
        Ok(plans) => plans,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let mut failed = Vec::new();
    for plan in plans {
        let seed = plan.seed;
        println!(
            "PLAN {}",
            serde_json::to_string(&plan).expect("a plan as JSON")
        );
        let outcome = run::run_plan(&plan);
        report(&plan, &outcome, options.keep.as_deref());
        if !outcome.violations.is_empty() {
            failed.push(seed);
        }
        if outcome.interrupted {
            return ExitCode::from(3);
        }
    }
    println!("seeds that broke a promise: {failed:?}");
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Returns the plans to run, generated or read from a file in the printed format.
fn plans(options: &Options) -> Result<Vec<Plan>, String> {
    let Some(file) = &options.plan else {
        let seeds = options.seed..options.seed + options.runs;
        let sizes = Sizes {
            boxes: options.boxes,
            workers: options.workers,
            span: options.seconds * 1_000,
            rate: options.faults,
            load: !options.steady && !options.basic && options.kind.is_empty(),
        };
        let kinds: &[Kind] = match options.kind.is_empty() {
            false => &options.kind,
            true if options.basic => BASIC_KINDS,
            true => &KINDS,
        };
        let generate = |seed| {
            let mut plan = Plan::generate(seed, &sizes, kinds);
            plan.callers = options.callers;
            if !options.task.is_empty() {
                plan.durations = options.task.clone();
            }
            plan
        };
        return Ok(seeds.map(generate).collect());
    };
    let in_file = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| in_file(&e))?;
    let plan = serde_json::from_str(&text).map_err(|e| in_file(&e))?;
    Ok(vec![plan])
}

fn report(plan: &Plan, outcome: &Outcome, keep: Option<&Path>) {
    let Outcome { jobs, faults, .. } = outcome;
    let Outcome {
        answers,
        offered,
        returned,
        copies,
        ..
    } = outcome;
    let [submitted, accepted, refused, completed] = jobs;
    let result = match (outcome.interrupted, outcome.violations.len()) {
        (true, _) => "cut short".into(),
        (false, 0) => "no promise broken".into(),
        (false, count) => format!("{count} broken"),
    };
    println!(
        "RUN seed {}: {result}; jobs asked {submitted}, taken {accepted}, denied {refused}, \
         completed {completed}; answers {answers:?}, taken after a denial {returned}, \
         copies {copies}, load in bursts {offered} %; faults {faults:?}",
        plan.seed
    );
    for violation in outcome.violations.iter().take(MAX_EXPLAINED) {
        println!("{}: {}", violation.id, violation.detail);
        println!("{}", run::explain(&violation.id, &outcome.logs));
    }
    if let Some(folder) = keep.filter(|_| !outcome.violations.is_empty())
        && let Err(e) = save(&folder.join(plan.seed.to_string()), plan, outcome)
    {
        eprintln!("cannot save the run in {}: {e}", folder.display());
    }
}

/// Saves plan, violations and logs of a run that violated a guarantee.
fn save(folder: &Path, plan: &Plan, outcome: &Outcome) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let text = serde_json::to_string(plan).expect("a plan as JSON");
    std::fs::write(folder.join("plan.json"), text)?;
    let lines = outcome
        .violations
        .iter()
        .map(|v| format!("{}: {}\n", v.id, v.detail));
    std::fs::write(folder.join("broken.txt"), lines.collect::<String>())?;
    for log in &outcome.logs {
        let name = log.file_name().unwrap_or_default();
        std::fs::copy(log, folder.join(name))?;
    }
    Ok(())
}
