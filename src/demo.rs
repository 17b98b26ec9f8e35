//! The demo: runs a deployment in one process on real sockets, and prints a summary.

pub mod deployment;

use std::sync::atomic::Ordering;

use eyre::WrapErr;
use serde_json::json;

use crate::invariant::{RULES, checks, total_violations};
use crate::load::{self, Plan, Report};
use crate::logs::{self, LogSettings};
use crate::options::args::Demo;
use crate::program::block_on;
use crate::proto::{self, operator_client::OperatorClient};
use crate::rpc::client::Channel;
use deployment::{Deployment, DeploymentSize};

/// Requests per second to all boxes together.
const REQUEST_RATE: f64 = 1_500.0;
/// Deadline of a request, in milliseconds.
const DEADLINE: u64 = 1_000;
/// Longest duration of a call to a box, in milliseconds.
const CALL_TIMEOUT: u64 = 5_000;
/// Longest wait for the deployment to become ready, in milliseconds.
const READY_TIMEOUT: u64 = 30_000;
/// Number of tasks of a batch job.
const TASKS_PER_JOB: u32 = 24;
/// Kinds of batch jobs; one job of each is submitted.
const KINDS: [&str; 4] = ["reconcile", "restock", "settle", "tariff"];

/// Runs the demo, and prints its summary. Fails if an invariant was violated.
pub fn run(options: &Demo) -> eyre::Result<()> {
    let quiet = LogSettings {
        level: log::LevelFilter::Error,
        ..LogSettings::default()
    };
    logs::init(&quiet, "demo")?;
    let mut deployment = Deployment::start(DeploymentSize {
        boxes: 3,
        workers: 8,
        service_time: 5_000,
        halls: 2,
    })?;
    let progress = |text: &str| {
        if !options.json {
            eprintln!("{text}");
        }
    };
    progress("started a platform, eight workers and three entry boxes in two halls");
    let (report, jobs, rows) = block_on(async {
        deployment.wait_ready(READY_TIMEOUT).await?;
        submit_work(&deployment).await?;
        progress("created a service and submitted jobs, starting the load");
        let half = options.seconds.max(2) * 500;
        let before = deployment.table_rows();
        let first = load::run(plan(&deployment, options.seed, half)).await;
        progress("replacing an entry box under load");
        deployment.replace(2, READY_TIMEOUT).await?;
        let second = load::run(plan(&deployment, options.seed + 1, half)).await;
        let after = deployment.table_rows();
        let rows = (after.0 - before.0, after.1 - before.1);
        let jobs = list_jobs(&deployment).await?;
        eyre::Ok((merge(first, second), jobs, rows))
    })??;
    let seconds = options.seconds.max(2);
    print_report(options, &report, &jobs, rows, seconds);
    deployment.stop();
    match total_violations() {
        0 => Ok(()),
        count => Err(eyre::eyre!("{count} violations of invariants")),
    }
}

fn plan(deployment: &Deployment, seed: u64, duration: u64) -> Plan {
    Plan {
        boxes: deployment.caller_addresses(),
        service: "stock".into(),
        rate: REQUEST_RATE,
        duration,
        deadline: DEADLINE,
        seed,
    }
}

/// Creates the service, and submits one job of each kind.
async fn submit_work(deployment: &Deployment) -> eyre::Result<()> {
    deployment.create_service().await?;
    let channel = Channel::new(deployment.rpc_address(0));
    for (index, kind) in KINDS.iter().enumerate() {
        let spec = proto::JobSpec {
            id: format!("{kind}-1"),
            team: "ledger".into(),
            kind: (*kind).into(),
            tasks: TASKS_PER_JOB,
            cores: 2_000,
            memory: 2_000,
            accelerators: 0,
            work: 1_000 + 500 * index as u64,
            urgent: false,
        };
        let request = proto::SubmitJobRequest { spec: Some(spec) };
        let call = |c| async move { OperatorClient::new(c).submit_job(request).await };
        channel
            .call(CALL_TIMEOUT, call)
            .await
            .wrap_err("cannot submit a job")?;
    }
    Ok(())
}

async fn list_jobs(deployment: &Deployment) -> eyre::Result<Vec<proto::JobReply>> {
    let channel = Channel::new(deployment.rpc_address(1));
    let request = proto::ListJobsRequest::default();
    let call = |c| async move { OperatorClient::new(c).list_jobs(request).await };
    let reply = channel
        .call(CALL_TIMEOUT, call)
        .await
        .wrap_err("cannot list the jobs")?;
    Ok(reply.jobs)
}

/// Adds up two reports.
fn merge(first: Report, second: Report) -> Report {
    let mut all = first;
    for (verdict, count) in second.verdicts {
        *all.verdicts.entry(verdict).or_default() += count;
    }
    all.wrong += second.wrong;
    all.latencies_us.extend(second.latencies_us);
    all.latencies_us.sort_unstable();
    all
}

fn print_report(
    options: &Demo,
    report: &Report,
    jobs: &[proto::JobReply],
    rows: (u64, u64),
    seconds: u64,
) {
    let done: u32 = jobs.iter().map(|j| j.done).sum();
    let evictions: u32 = jobs.iter().map(|j| j.evictions).sum();
    let rate = f64::from(done) / seconds as f64;
    let quantiles = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];
    if options.json {
        let micros: serde_json::Map<_, _> = quantiles
            .iter()
            .map(|(name, fraction)| (name.to_string(), json!(report.quantile(*fraction))))
            .collect();
        let rules: serde_json::Map<_, _> = RULES
            .iter()
            .map(|r| (format!("{r:?}").to_lowercase(), json!(checks(*r))))
            .collect();
        let value = json!({
            "seed": options.seed,
            "requests": report.verdicts,
            "wrong_answers": report.wrong,
            "micros": micros,
            "tasks_done": done,
            "tasks_a_second": rate,
            "evictions": evictions,
            "rows_read": rows.0,
            "rows_written": rows.1,
            "invariant_checks": rules,
            "invariant_violations": total_violations(),
        });
        println!("{value:#}");
        return;
    }
    println!("requests by verdict");
    for (verdict, count) in &report.verdicts {
        println!("  {verdict:28} {count:>8}");
    }
    println!("  {:28} {:>8}", "wrong or truncated answers", report.wrong);
    println!("time to the answer");
    for (name, fraction) in quantiles {
        println!(
            "  {name:28} {:>8.2} ms",
            report.quantile(fraction) as f64 / 1e3
        );
    }
    println!("batch");
    println!("  {:28} {done:>8}", "tasks finished");
    println!("  {:28} {rate:>8.1}", "tasks per second");
    println!("  {:28} {evictions:>8}", "evictions");
    println!("platform's table");
    let per_second = |rows: u64| rows as f64 / seconds as f64;
    println!(
        "  {:28} {:>8.1}",
        "rows read per second",
        per_second(rows.0)
    );
    println!(
        "  {:28} {:>8.1}",
        "rows written per second",
        per_second(rows.1)
    );
    println!("checks of invariants");
    for rule in RULES {
        let name = format!("{rule:?}").to_lowercase();
        println!("  {name:28} {:>8}", checks(rule));
    }
    println!("  {:28} {:>8}", "violated", total_violations());
}

/// Requests a planned stop of a box.
fn request_stop(stop_flag: &crate::entry::StopFlag) {
    stop_flag.store(true, Ordering::Relaxed);
}
