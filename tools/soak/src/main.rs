//! Runs of the real processes under drawn faults.
//!
//! Boxes are `willowpoint serve` as processes; the store and the workers are stand-ins in this
//! one. Faults come from outside: signals, connections, the store, the workers. What callers
//! are told and what workers run is checked by code that shares nothing with the decisions.

mod callers;
mod checks;
mod faults;
mod jobs;
mod plan;
mod platform;
mod run;

#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use plan::Plan;
use run::Outcome;
use willowpoint::utils::signals;

/// Broken promises whose history is printed.
const SHOWN: usize = 3;

/// Runs boxes as processes under drawn faults and checks what they promise.
///
/// Example: cargo build --release --workspace && target/release/willowpoint-soak --seed 7
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the first run
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Runs, each with the next seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    runs: u64,
    /// Seconds for which jobs come in each run
    #[bpaf(argument("N"), fallback(60), display_fallback)]
    seconds: u64,
    /// Boxes
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    boxes: usize,
    /// Workers
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    workers: usize,
    /// Faults a minute
    #[bpaf(argument("N"), fallback(30), display_fallback)]
    faults: u64,
    /// Play this plan in place of drawn ones
    #[bpaf(argument("FILE"), optional)]
    plan: Option<PathBuf>,
    /// Keep plan, findings and logs of runs that break a promise here
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
        let outcome = run::play(&plan);
        report(&plan, &outcome, options.keep.as_deref());
        if !outcome.broken.is_empty() {
            failed.push(seed);
        }
        if outcome.cut_short {
            return ExitCode::from(3);
        }
    }
    println!("seeds that broke a promise: {failed:?}");
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Returns the plans to play, drawn or out of a file as it was printed.
fn plans(options: &Options) -> Result<Vec<Plan>, String> {
    let Some(file) = &options.plan else {
        let seeds = options.seed..options.seed + options.runs;
        let draw = |seed| {
            let Options { boxes, workers, .. } = *options;
            Plan::draw(
                seed,
                boxes,
                workers,
                options.seconds * 1_000,
                options.faults,
            )
        };
        return Ok(seeds.map(draw).collect());
    };
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| named(&e))?;
    let plan = serde_json::from_str(&text).map_err(|e| named(&e))?;
    Ok(vec![plan])
}

fn report(plan: &Plan, outcome: &Outcome, keep: Option<&Path>) {
    let Outcome { jobs, faults, .. } = outcome;
    let [asked, taken, denied, completed] = jobs;
    let ended = match (outcome.cut_short, outcome.broken.len()) {
        (true, _) => "cut short".into(),
        (false, 0) => "no promise broken".into(),
        (false, count) => format!("{count} broken"),
    };
    println!(
        "RUN seed {}: {ended}; jobs asked {asked}, taken {taken}, denied {denied}, completed \
         {completed}; faults {faults:?}",
        plan.seed
    );
    for broken in outcome.broken.iter().take(SHOWN) {
        println!("{}: {}", broken.id, broken.what);
        println!("{}", run::history(&broken.id, &outcome.logs));
    }
    if let Some(folder) = keep.filter(|_| !outcome.broken.is_empty())
        && let Err(e) = save(&folder.join(plan.seed.to_string()), plan, outcome)
    {
        eprintln!("not kept in {}: {e}", folder.display());
    }
}

/// Writes what is needed to look into a run that broke a promise.
fn save(folder: &Path, plan: &Plan, outcome: &Outcome) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let text = serde_json::to_string(plan).expect("a plan as JSON");
    std::fs::write(folder.join("plan.json"), text)?;
    let lines = outcome
        .broken
        .iter()
        .map(|b| format!("{}: {}\n", b.id, b.what));
    std::fs::write(folder.join("broken.txt"), lines.collect::<String>())?;
    for log in &outcome.logs {
        let name = log.file_name().unwrap_or_default();
        std::fs::copy(log, folder.join(name))?;
    }
    Ok(())
}
