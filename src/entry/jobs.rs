//! Operators' calls that submit, show, list and cancel jobs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tonic::Status;

use super::driver::{Context, Message};
use super::listings::collect_tasks;
use super::operators::{PAGE_SIZE, read_rows, stopping_status};
use super::peers;
use crate::cell::Size;
use crate::engine::{Event, Query, View};
use crate::job::{self, CandidateCell, JobRow, JobShardRow, Spec};
use crate::lease::WriteOutcome;
use crate::proto;
use crate::table::{Call, Expect, Op, Outcome, decode};
use crate::utils::Name;
use crate::utils::clock;

/// Number of attempts at a commit that conflicts with other writers or is not answered.
const COMMIT_ATTEMPTS: u32 = 8;

/// Spreads a job over the cells, stores it and notifies the owners of its cells.
pub(super) async fn submit(
    context: Rc<Context>,
    spec: proto::JobSpec,
) -> Result<proto::JobReply, Status> {
    let spec = Spec {
        id: spec.id.into(),
        team: spec.team.into(),
        kind: spec.kind.into(),
        tasks: spec.tasks,
        size: Size {
            cores: spec.cores,
            memory: spec.memory,
            accelerators: spec.accelerators,
        },
        work: spec.work,
        urgent: spec.urgent,
    };
    let findings = job::validate(&spec);
    if !findings.is_empty() {
        return Err(Status::invalid_argument(findings.join("; ")));
    }
    let Some(View::CandidateCells(candidates)) = context.query(Query::CandidateCells).await else {
        return Err(stopping_status());
    };
    let owners: BTreeMap<Name, Option<SocketAddr>> = candidates
        .iter()
        .map(|(candidate, rpc)| (candidate.cell.clone(), *rpc))
        .collect();
    let candidates: Vec<CandidateCell> = candidates
        .into_iter()
        .map(|(candidate, _)| candidate)
        .collect();
    if candidates.is_empty() {
        return Err(Status::unavailable(
            "no cell has an owner yet; nothing was submitted",
        ));
    }
    let (row, shards) = job::spread(&spec, &candidates, clock::wall())
        .map_err(|refusal| Status::failed_precondition(refusal.to_string()))?;
    let mut ops = vec![Op::put(job::key(&spec.id), Expect::Absent, &row)];
    for (key, shard) in row.shards.iter().zip(&shards) {
        ops.push(Op::put(key.clone(), Expect::Absent, shard));
    }
    match commit(&context, ops).await {
        WriteOutcome::Committed => {}
        WriteOutcome::Conflict => return existing_job_reply(&context, &spec).await,
        WriteOutcome::NotSent => {
            return Err(Status::unavailable(
                "the table cannot be reached; nothing was submitted",
            ));
        }
        // The row under the job's id shows whether the commit took effect.
        WriteOutcome::Unknown => return existing_job_reply(&context, &spec).await,
    }
    hint_owners(&context, &row, &owners);
    Ok(job_reply(&row, &shards))
}

async fn commit(context: &Context, ops: Vec<Op>) -> WriteOutcome {
    match context.platform.call(Call::Commit(ops)).await {
        Outcome::Written(written) => written,
        _ => WriteOutcome::Unknown,
    }
}

/// Returns the reply to a submission whose job may already be stored.
///
/// A second submission with the same id and specification succeeds, so a caller may retry.
async fn existing_job_reply(context: &Context, spec: &Spec) -> Result<proto::JobReply, Status> {
    let in_doubt = |_| Status::unknown("the table did not answer; the job may have been submitted");
    let (row, _) = match read_job(context, &spec.id).await {
        Err(status) if status.code() == tonic::Code::NotFound => {
            return Err(Status::unknown(
                "the table did not answer; submit the job again with the same id",
            ));
        }
        other => other.map_err(in_doubt)?,
    };
    if row.spec != *spec {
        return Err(Status::already_exists(
            "a job with this id and a different specification already exists",
        ));
    }
    let shards = read_shards(context, &row).await?;
    Ok(job_reply(&row, &shards))
}

/// Notifies the owners of a job's cells of its job shards.
fn hint_owners(context: &Rc<Context>, row: &JobRow, owners: &BTreeMap<Name, Option<SocketAddr>>) {
    let mut hints: BTreeMap<Option<SocketAddr>, Vec<Name>> = BTreeMap::new();
    for cell in row.shards.iter().filter_map(|key| job::shard_cell(key)) {
        if let Some(owner) = owners.get(cell) {
            hints.entry(*owner).or_default().push(cell.into());
        }
    }
    for (owner, cells) in hints {
        send_hint(context, owner, cells, Vec::new());
    }
}

/// Notifies a box of new job shards or cancelled jobs; `None` means this box.
fn send_hint(
    context: &Rc<Context>,
    owner: Option<SocketAddr>,
    cells: Vec<Name>,
    cancelled: Vec<Name>,
) {
    let Some(rpc) = owner else {
        context.send(Message::Event(Event::Hint { cells, cancelled }));
        return;
    };
    let context = context.clone();
    monoio::spawn(async move { peers::hint(&context, rpc, cells, cancelled).await });
}

/// Returns the row of a job and the row's version.
async fn read_job(context: &Context, id: &str) -> Result<(JobRow, u64), Status> {
    let rows = read_rows(context, vec![job::key(id).into()]).await?;
    let Some(row) = rows.first() else {
        return Err(Status::not_found(format!("job `{id}` does not exist")));
    };
    match decode(row) {
        Some(job) => Ok((job, row.version)),
        None => Err(Status::data_loss(format!(
            "the row of job `{id}` cannot be decoded"
        ))),
    }
}

/// Returns the job shards of a job, without those whose row is missing or cannot be decoded.
async fn read_shards(context: &Context, row: &JobRow) -> Result<Vec<JobShardRow>, Status> {
    let rows = read_rows(context, row.shards.clone()).await?;
    Ok(rows.iter().filter_map(decode).collect())
}

fn job_reply(row: &JobRow, shards: &[JobShardRow]) -> proto::JobReply {
    let summary = job::summarize(row, shards);
    let spec = &row.spec;
    proto::JobReply {
        spec: Some(proto::JobSpec {
            id: spec.id.to_string(),
            team: spec.team.to_string(),
            kind: spec.kind.to_string(),
            tasks: spec.tasks,
            cores: spec.size.cores,
            memory: spec.size.memory,
            accelerators: spec.size.accelerators,
            work: spec.work,
            urgent: spec.urgent,
        }),
        state: summary.state.into(),
        reason: String::new(),
        done: summary.done,
        failed: summary.failed,
        running: 0,
        evictions: summary.evictions,
    }
}

/// Returns the state of a job and the number of its running tasks.
pub(super) async fn show(context: Rc<Context>, id: String) -> Result<proto::JobReply, Status> {
    let (row, _) = read_job(&context, &id).await?;
    let shards = read_shards(&context, &row).await?;
    let mut reply = job_reply(&row, &shards);
    let (tasks, _) = collect_tasks(&context, Some(id.as_str().into()), false).await?;
    reply.running = tasks.iter().filter(|t| t.state == "running").count() as u32;
    Ok(reply)
}

/// Returns a page of the jobs in the order of their ids.
pub(super) async fn list_jobs(
    context: Rc<Context>,
    request: proto::ListJobsRequest,
) -> Result<proto::ListJobsReply, Status> {
    let Outcome::Rows(rows) = context.platform.call(Call::Scan(job::PREFIX.into())).await else {
        return Err(Status::unavailable("the table did not answer"));
    };
    let after = job::key(&request.after);
    let limit = match request.limit {
        0 => PAGE_SIZE,
        limit => (limit as usize).min(PAGE_SIZE),
    };
    let mut remaining = rows
        .iter()
        .filter(|r| request.after.is_empty() || *r.key > *after);
    let mut jobs = Vec::new();
    for row in remaining.by_ref().take(limit) {
        let Some(row) = decode::<JobRow>(row) else {
            continue;
        };
        let shards = read_shards(&context, &row).await?;
        jobs.push(job_reply(&row, &shards));
    }
    Ok(proto::ListJobsReply {
        jobs,
        more: remaining.next().is_some(),
    })
}

/// Cancels a job.
pub(super) async fn cancel(context: Rc<Context>, id: String) -> Result<proto::JobReply, Status> {
    for _ in 0..COMMIT_ATTEMPTS {
        let (mut row, version) = read_job(&context, &id).await?;
        if row.cancelled {
            return finish_cancel(&context, row).await;
        }
        row.cancelled = true;
        let op = Op::put(job::key(&id), Expect::Version(version), &row);
        match commit(&context, vec![op]).await {
            WriteOutcome::Committed => return finish_cancel(&context, row).await,
            // The next read shows whether a commit that was not answered took effect.
            WriteOutcome::Conflict | WriteOutcome::Unknown => {}
            WriteOutcome::NotSent => {
                return Err(Status::unavailable(
                    "the table cannot be reached; nothing was cancelled",
                ));
            }
        }
    }
    Err(Status::unknown(
        "no attempt to cancel the job was confirmed; the job may have been cancelled",
    ))
}

/// Notifies all boxes of a cancelled job and returns the reply.
async fn finish_cancel(context: &Rc<Context>, row: JobRow) -> Result<proto::JobReply, Status> {
    let ids = vec![row.spec.id.clone()];
    if let Some(View::Boxes(boxes)) = context.query(Query::Boxes).await {
        for rpc in boxes.iter().filter_map(|b| b.rpc.parse().ok()) {
            let is_own = rpc == context.settings.rpc;
            send_hint(context, (!is_own).then_some(rpc), Vec::new(), ids.clone());
        }
    }
    let shards = read_shards(context, &row).await?;
    Ok(job_reply(&row, &shards))
}
