//! Calls an entry box for each command, and formats the reply.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::exit;
use super::print::Table;
use crate::options::args::{self, Command, Target};
use crate::proto::{self, operator_client::OperatorClient};
use crate::rpc::client::{CallError, Channel};
use crate::utils::clock;

/// Text that a command prints, or the error of its call.
type CommandResult = Result<String, CallError>;

/// Runs an operator's command. Returns the text to print and the exit code.
pub async fn run(command: &Command) -> (String, u8) {
    let printed = match command {
        Command::Service { target, action } => run_service(target, action).await,
        Command::Job { target, action } => run_job(target, action).await,
        Command::Config { target, action } => run_config(target, action).await,
        Command::Box { target, action } => run_box(target, action).await,
        Command::Worker { target, action } => run_worker(target, action).await,
        Command::Task { target, action } => run_task(target, action).await,
        Command::Status { target } => run_status(target).await,
        _ => Err(CallError::NotSent("not an operator's command".into())),
    };
    match printed {
        Ok(text) => (text, exit::DONE),
        Err(e) => (format!("{}\n", describe_error(&e)), exit_code(&e)),
    }
}

/// Returns the exit code for a failed call.
fn exit_code(e: &CallError) -> u8 {
    use tonic::Code;
    match e {
        CallError::NotSent(_) => exit::NOT_REACHED,
        CallError::Lost(_) => exit::UNKNOWN,
        CallError::Refused(Code::Unavailable, _) => exit::NOT_REACHED,
        CallError::Refused(Code::Unknown | Code::DeadlineExceeded | Code::Internal, _) => {
            exit::UNKNOWN
        }
        CallError::Refused(..) => exit::REFUSED,
    }
}

fn describe_error(e: &CallError) -> String {
    let reason = match e {
        CallError::NotSent(reason) | CallError::Lost(reason) => reason,
        CallError::Refused(_, reason) => reason,
    };
    match exit_code(e) {
        exit::NOT_REACHED => format!("not reached: {reason}"),
        exit::UNKNOWN => format!("unknown outcome: {reason}"),
        _ => format!("refused: {reason}"),
    }
}

/// Returns a channel to the first of the given boxes that can be reached.
async fn connect(target: &Target) -> Result<Channel, CallError> {
    let mut last = CallError::NotSent("name an entry box with --at or WILLOWPOINT_AT".into());
    for address in &target.at {
        let channel = Channel::new(*address);
        match channel.connect(target.timeout).await {
            Ok(()) => return Ok(channel),
            Err(e) => last = with_address(*address, e),
        }
    }
    Err(last)
}

/// Adds the address to the error of a failed connection.
fn with_address(address: SocketAddr, e: CallError) -> CallError {
    match e {
        CallError::NotSent(reason) => CallError::NotSent(format!("{address}: {reason}")),
        other => other,
    }
}

/// Connects to a box, and calls a method of its operator service.
macro_rules! call {
    ($target:expr, $method:ident, $request:expr) => {{
        let channel = connect($target).await?;
        let request = $request;
        let call = |c| async move { OperatorClient::new(c).$method(request).await };
        channel.call($target.timeout, call).await
    }};
}

fn pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}

/// Sends a change of the configuration. Without an id, makes one from the time and the process id.
async fn apply_change(
    target: &Target,
    changes: Vec<proto::EntryChange>,
    id: Option<String>,
) -> CommandResult {
    let id = id.unwrap_or_else(|| format!("c{:x}-{:x}", clock::wall(), std::process::id()));
    let author = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let request = proto::ChangeRequest {
        id,
        author,
        changes,
    };
    let reply = call!(target, change, request)?;
    let version = reply.version;
    Ok(match target.json {
        true => pretty_json(&json!({ "version": version })),
        false => format!("accepted as version {version}\n"),
    })
}

fn entry_change(key: String, value: Option<String>, expect: Option<u64>) -> proto::EntryChange {
    proto::EntryChange {
        key,
        remove: value.is_none(),
        value: value.unwrap_or_default(),
        expect,
    }
}

fn service_entry(spec: &args::ServiceSpec, expect: Option<u64>) -> proto::EntryChange {
    let value = json!({
        "team": spec.team,
        "cores": spec.cores,
        "memory": spec.memory,
    });
    entry_change(
        format!("service/{}", spec.name),
        Some(value.to_string()),
        expect,
    )
}

async fn run_service(target: &Target, action: &args::Service) -> CommandResult {
    match action {
        args::Service::Create(spec) => {
            apply_change(target, vec![service_entry(spec, Some(0))], None).await
        }
        args::Service::Update { spec, expect } => {
            let key = format!("service/{}", spec.name);
            let expect = existing_version(target, &key, *expect).await?;
            apply_change(target, vec![service_entry(spec, Some(expect))], None).await
        }
        args::Service::Remove { name, expect } => {
            let key = format!("service/{name}");
            let expect = existing_version(target, &key, *expect).await?;
            apply_change(target, vec![entry_change(key, None, Some(expect))], None).await
        }
        args::Service::List => list_services(target).await,
    }
}

/// Returns the expected version of an entry: the given one, or that of the current configuration.
/// Without a given version, the entry must exist.
async fn existing_version(
    target: &Target,
    key: &str,
    expect: Option<u64>,
) -> Result<u64, CallError> {
    if let Some(expect) = expect {
        return Ok(expect);
    }
    let shown = call!(target, show_config, proto::ShowConfigRequest {})?;
    let found = shown.entries.iter().find(|e| e.key == key);
    found.map(|e| e.version).ok_or_else(|| {
        let reason = format!("{key} does not exist");
        CallError::Refused(tonic::Code::NotFound, reason)
    })
}

async fn list_services(target: &Target) -> CommandResult {
    let shown = call!(target, show_config, proto::ShowConfigRequest {})?;
    let parsed = shown.entries.iter().filter_map(|e| {
        let name = e.key.strip_prefix("service/")?;
        let value: crate::config::Service = serde_json::from_str(&e.value).ok()?;
        Some((name, value, e.version))
    });
    if target.json {
        let list: Vec<Value> = parsed
            .map(|(name, s, version)| {
                json!({ "name": name, "team": &*s.team, "cores": s.cores,
                        "memory": s.memory, "version": version })
            })
            .collect();
        return Ok(pretty_json(&json!(list)));
    }
    let mut table = Table::new(&["name", "team", "cores/1000", "memory MiB", "version"]);
    for (name, s, version) in parsed {
        table.add_row(&[&name, &s.team, &s.cores, &s.memory, &version]);
    }
    Ok(table.to_string())
}

async fn run_job(target: &Target, action: &args::Job) -> CommandResult {
    match action {
        args::Job::Submit {
            team,
            kind,
            tasks,
            cores,
            memory,
            accelerators,
            work,
            urgent,
            id,
        } => {
            let spec = proto::JobSpec {
                id: id.clone(),
                team: team.clone(),
                kind: kind.clone(),
                tasks: *tasks,
                cores: *cores,
                memory: *memory,
                accelerators: *accelerators,
                work: *work,
                urgent: *urgent,
            };
            let request = proto::SubmitJobRequest { spec: Some(spec) };
            let reply = call!(target, submit_job, request)?;
            Ok(format_jobs(target, &[reply]))
        }
        args::Job::Show { id } => {
            let reply = call!(target, show_job, proto::ShowJobRequest { id: id.clone() })?;
            Ok(format_jobs(target, &[reply]))
        }
        args::Job::Cancel { id } => {
            let reply = call!(
                target,
                cancel_job,
                proto::CancelJobRequest { id: id.clone() }
            )?;
            Ok(format_jobs(target, &[reply]))
        }
        args::Job::List { after } => list_jobs(target, after).await,
    }
}

async fn list_jobs(target: &Target, after: &str) -> CommandResult {
    let mut all = Vec::new();
    let mut after = after.to_string();
    loop {
        let request = proto::ListJobsRequest {
            after: after.clone(),
            limit: 0,
        };
        let reply = call!(target, list_jobs, request)?;
        let last = reply.jobs.last().and_then(|j| j.spec.as_ref());
        let next = last.map(|s| s.id.clone());
        all.extend(reply.jobs);
        match next {
            Some(next) if reply.more => after = next,
            _ => return Ok(format_jobs(target, &all)),
        }
    }
}

fn format_jobs(target: &Target, replies: &[proto::JobReply]) -> String {
    if target.json {
        let list: Vec<Value> = replies.iter().map(job_json).collect();
        return pretty_json(&json!(list));
    }
    let mut table = Table::new(&[
        "id",
        "team",
        "kind",
        "state",
        "tasks",
        "done",
        "failed",
        "running",
        "evictions",
    ]);
    for r in replies {
        let spec = r.spec.clone().unwrap_or_default();
        table.add_row(&[
            &spec.id,
            &spec.team,
            &spec.kind,
            &r.state,
            &spec.tasks,
            &r.done,
            &r.failed,
            &r.running,
            &r.evictions,
        ]);
    }
    table.to_string()
}

fn job_json(r: &proto::JobReply) -> Value {
    let spec = r.spec.clone().unwrap_or_default();
    json!({
        "id": spec.id, "team": spec.team, "kind": spec.kind, "state": r.state,
        "tasks": spec.tasks, "done": r.done, "failed": r.failed,
        "running": r.running, "evictions": r.evictions,
    })
}

async fn run_config(target: &Target, action: &args::Config) -> CommandResult {
    match action {
        args::Config::Apply {
            set,
            remove,
            expect,
            id,
        } => {
            let mut changes = Vec::new();
            for text in set {
                let Some((key, value)) = text.split_once('=') else {
                    let reason = format!("--set {text}: not of the form KIND/NAME=JSON");
                    return Err(CallError::Refused(tonic::Code::InvalidArgument, reason));
                };
                changes.push(entry_change(key.into(), Some(value.into()), *expect));
            }
            let removed = remove
                .iter()
                .map(|key| entry_change(key.clone(), None, *expect));
            changes.extend(removed);
            apply_change(target, changes, id.clone()).await
        }
        args::Config::Show => show_config(target).await,
        args::Config::Versions { limit } => list_versions(target, *limit).await,
    }
}

async fn show_config(target: &Target) -> CommandResult {
    let shown = call!(target, show_config, proto::ShowConfigRequest {})?;
    if target.json {
        let entries: Vec<Value> = shown
            .entries
            .iter()
            .map(|e| json!({ "key": e.key, "value": e.value, "version": e.version }))
            .collect();
        let value = json!({ "version": shown.version, "entries": entries });
        return Ok(pretty_json(&value));
    }
    let mut table = Table::new(&["key", "version", "value"]);
    for e in &shown.entries {
        table.add_row(&[&e.key, &e.version, &e.value]);
    }
    Ok(format!("version {}\n{table}", shown.version))
}

async fn list_versions(target: &Target, limit: u32) -> CommandResult {
    let reply = call!(target, list_versions, proto::ListVersionsRequest { limit })?;
    if target.json {
        let list: Vec<Value> = reply
            .versions
            .iter()
            .map(|v| {
                json!({ "version": v.version, "id": v.id, "author": v.author,
                        "when": v.when, "keys": v.keys })
            })
            .collect();
        return Ok(pretty_json(&json!(list)));
    }
    let mut table = Table::new(&["version", "author", "when (unix ms)", "id", "keys"]);
    for v in &reply.versions {
        let keys = v.keys.join(",");
        table.add_row(&[&v.version, &v.author, &v.when, &v.id, &keys]);
    }
    Ok(table.to_string())
}

async fn run_box(target: &Target, action: &args::Boxes) -> CommandResult {
    let args::Boxes::List = action;
    let reply = call!(target, list_boxes, proto::ListBoxesRequest {})?;
    if target.json {
        let list: Vec<Value> = reply
            .boxes
            .iter()
            .map(|b| {
                json!({ "id": b.id, "rpc": b.address, "hall": b.hall,
                        "cells": b.cells, "stopping": b.stopping })
            })
            .collect();
        return Ok(pretty_json(&json!(list)));
    }
    let mut table = Table::new(&["id", "rpc", "hall", "cells"]);
    for b in &reply.boxes {
        table.add_row(&[&b.id, &b.address, &b.hall, &b.cells]);
    }
    Ok(table.to_string())
}

async fn run_worker(target: &Target, action: &args::Worker) -> CommandResult {
    match action {
        args::Worker::Drain { name } => {
            let drain = entry_change(format!("drain/{name}"), Some("true".into()), None);
            apply_change(target, vec![drain], None).await
        }
        args::Worker::Restore { name } => {
            let restore = entry_change(format!("drain/{name}"), None, None);
            apply_change(target, vec![restore], None).await
        }
        args::Worker::List => list_workers(target).await,
    }
}

async fn list_workers(target: &Target) -> CommandResult {
    let reply = call!(
        target,
        list_workers,
        proto::ListWorkersRequest { local: false }
    )?;
    if target.json {
        let list: Vec<Value> = reply
            .workers
            .iter()
            .map(|w| {
                json!({ "name": w.name, "cell": w.cell, "state": w.state, "slots": w.slots,
                        "busy": w.busy, "cores": w.cores, "free": w.free, "runs": w.runs,
                        "owner": w.owner })
            })
            .collect();
        return Ok(pretty_json(
            &json!({ "workers": list, "missing": reply.missing }),
        ));
    }
    let mut table = Table::new(&[
        "name",
        "cell",
        "state",
        "busy",
        "slots",
        "free/1000",
        "runs",
        "owner",
    ]);
    for w in &reply.workers {
        table.add_row(&[
            &w.name, &w.cell, &w.state, &w.busy, &w.slots, &w.free, &w.runs, &w.owner,
        ]);
    }
    Ok(format!("{table}{}", missing_note(&reply.missing)))
}

/// Returns a line with the boxes that did not answer, or nothing if all did.
fn missing_note(boxes: &[String]) -> String {
    match boxes.is_empty() {
        true => String::new(),
        false => format!("no answer from: {}\n", boxes.join(", ")),
    }
}

async fn run_task(target: &Target, action: &args::Task) -> CommandResult {
    let args::Task::List { job } = action;
    let request = proto::ListTasksRequest {
        job: job.clone(),
        local: false,
    };
    let reply = call!(target, list_tasks, request)?;
    if target.json {
        let list: Vec<Value> = reply
            .tasks
            .iter()
            .map(|t| {
                json!({ "job": t.job, "task": t.task, "state": t.state, "worker": t.worker,
                        "progress": t.progress, "evictions": t.evictions })
            })
            .collect();
        return Ok(pretty_json(
            &json!({ "tasks": list, "missing": reply.missing }),
        ));
    }
    let mut table = Table::new(&["job", "task", "state", "worker", "progress ms", "evictions"]);
    for t in &reply.tasks {
        table.add_row(&[
            &t.job,
            &t.task,
            &t.state,
            &t.worker,
            &t.progress,
            &t.evictions,
        ]);
    }
    Ok(format!("{table}{}", missing_note(&reply.missing)))
}

async fn run_status(target: &Target) -> CommandResult {
    let s = call!(target, status, proto::StatusRequest {})?;
    if target.json {
        let value = json!({ "id": s.id, "hall": s.hall, "ready": s.ready, "config": s.config,
                            "cells": s.cells, "boxes": s.boxes, "lease": s.lease,
                            "store_ms": s.store, "violations": s.violations });
        return Ok(pretty_json(&value));
    }
    let mut table = Table::new(&["what", "value"]);
    table.add_row(&[&"box", &s.id]);
    table.add_row(&[&"hall", &s.hall]);
    table.add_row(&[&"ready", &s.ready]);
    table.add_row(&[&"lease held", &s.lease]);
    table.add_row(&[&"cells owned", &s.cells]);
    table.add_row(&[&"boxes known", &s.boxes]);
    table.add_row(&[&"configuration", &s.config]);
    table.add_row(&[&"table answered, ms ago", &s.store]);
    table.add_row(&[&"invariants violated", &s.violations]);
    Ok(table.to_string())
}
