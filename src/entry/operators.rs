//! Operators' calls: changes, jobs and views.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tonic::{Request, Response, Status};

use super::shell::{Context, Message};
use super::{convert, peers};
use crate::cell::Size;
use crate::config::{self, ChangeRow, Edit, Editor, Refusal, Step};
use crate::engine::{Event, Query, TaskView, View, WorkerView};
use crate::invariant;
use crate::job::{self, JobRow, LotRow, Site, Spec};
use crate::lease::Written;
use crate::proto::{self, operator_client::OperatorClient, operator_server};
use crate::rpc::bridge::Bridge;
use crate::table::{Call, Expect, Op, Outcome, Row, decode};
use crate::utils::Name;
use crate::utils::clock::{self, Millis};

/// Bound of one call to another box in milliseconds.
const PATIENCE: Millis = 2_000;
/// Tries at a commit that other writers spoil.
const TRIES: u32 = 8;
/// Largest number of entries in one list.
const PAGE: usize = 500;

/// The operators' service.
pub struct Service {
    bridge: Bridge<Context>,
}

impl Service {
    /// Returns the service on a bridge to the box's tasks.
    pub fn new(bridge: Bridge<Context>) -> Self {
        Self { bridge }
    }
}

type Reply<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl operator_server::Operator for Service {
    async fn change(&self, request: Request<proto::ChangeRequest>) -> Reply<proto::ChangeReply> {
        let request = request.into_inner();
        self.bridge.run(move |c| change(c, request)).await
    }

    async fn show_config(
        &self,
        _: Request<proto::ShowConfigRequest>,
    ) -> Reply<proto::ShowConfigReply> {
        self.bridge.run(show_config).await
    }

    async fn list_versions(
        &self,
        request: Request<proto::ListVersionsRequest>,
    ) -> Reply<proto::ListVersionsReply> {
        let limit = request.into_inner().limit;
        self.bridge.run(move |c| list_versions(c, limit)).await
    }

    async fn submit_job(
        &self,
        request: Request<proto::SubmitJobRequest>,
    ) -> Reply<proto::JobReply> {
        let spec = request.into_inner().spec.unwrap_or_default();
        self.bridge.run(move |c| submit(c, spec)).await
    }

    async fn show_job(&self, request: Request<proto::ShowJobRequest>) -> Reply<proto::JobReply> {
        let id = request.into_inner().id;
        self.bridge.run(move |c| show(c, id)).await
    }

    async fn list_jobs(
        &self,
        request: Request<proto::ListJobsRequest>,
    ) -> Reply<proto::ListJobsReply> {
        let request = request.into_inner();
        self.bridge.run(move |c| list_jobs(c, request)).await
    }

    async fn cancel_job(
        &self,
        request: Request<proto::CancelJobRequest>,
    ) -> Reply<proto::JobReply> {
        let id = request.into_inner().id;
        self.bridge.run(move |c| cancel(c, id)).await
    }

    async fn list_boxes(
        &self,
        _: Request<proto::ListBoxesRequest>,
    ) -> Reply<proto::ListBoxesReply> {
        self.bridge.run(list_boxes).await
    }

    async fn list_workers(
        &self,
        request: Request<proto::ListWorkersRequest>,
    ) -> Reply<proto::ListWorkersReply> {
        let local = request.into_inner().local;
        self.bridge.run(move |c| list_workers(c, local)).await
    }

    async fn list_tasks(
        &self,
        request: Request<proto::ListTasksRequest>,
    ) -> Reply<proto::ListTasksReply> {
        let request = request.into_inner();
        self.bridge.run(move |c| list_tasks(c, request)).await
    }

    async fn status(&self, _: Request<proto::StatusRequest>) -> Reply<proto::StatusReply> {
        self.bridge.run(status).await
    }
}

fn stopping() -> Status {
    Status::unavailable("the box is stopping")
}

async fn change(
    context: Rc<Context>,
    request: proto::ChangeRequest,
) -> Result<proto::ChangeReply, Status> {
    let edit = |e: proto::EntryChange| Edit {
        key: e.key.into(),
        value: (!e.remove).then(|| e.value.into()),
        expect: e.expect,
    };
    let row = ChangeRow {
        version: 0,
        id: request.id.into(),
        author: request.author.into(),
        when: clock::wall(),
        edits: request.changes.into_iter().map(edit).collect(),
    };
    let (mut editor, mut step) = Editor::new(row);
    loop {
        match step {
            Step::Call(call) => step = editor.next(context.store.call(call).await),
            Step::Accepted(version) => {
                log::info!(target: "config", "version {version} is accepted");
                return Ok(proto::ChangeReply { version });
            }
            Step::Refused(refusal) => return Err(refused(refusal)),
        }
    }
}

fn refused(refusal: Refusal) -> Status {
    match refusal {
        Refusal::Invalid(findings) => Status::invalid_argument(findings.join("; ")),
        Refusal::Conflict { key, version } => {
            let found = match version {
                0 => "is absent".to_string(),
                version => format!("is at version {version}"),
            };
            Status::failed_precondition(format!("conflict: {key} {found}"))
        }
        Refusal::Busy => Status::aborted("other changes were faster; try again"),
        Refusal::NotReached => {
            Status::unavailable("the table does not answer; nothing was changed")
        }
        Refusal::Unknown => Status::unknown("the table did not answer; the change may be made"),
    }
}

async fn show_config(context: Rc<Context>) -> Result<proto::ShowConfigReply, Status> {
    let Some(View::Config(config)) = context.query(Query::Config).await else {
        return Err(stopping());
    };
    let entries = config.entries().iter().map(|(key, row)| proto::Entry {
        key: key.to_string(),
        value: row.value.to_string(),
        version: row.version,
    });
    Ok(proto::ShowConfigReply {
        version: config.version(),
        entries: entries.collect(),
    })
}

async fn list_versions(
    context: Rc<Context>,
    limit: u32,
) -> Result<proto::ListVersionsReply, Status> {
    let Some(View::Config(config)) = context.query(Query::Config).await else {
        return Err(stopping());
    };
    let last = config.version();
    let limit = (limit.max(1) as u64).min(PAGE as u64);
    let first = last.saturating_sub(limit) + 1;
    let keys = (first..=last).map(config::change_key).collect();
    let rows = read(&context, keys).await?;
    let mut versions: Vec<ChangeRow> = rows.iter().filter_map(decode).collect();
    versions.sort_by_key(|v| std::cmp::Reverse(v.version));
    let info = |v: ChangeRow| proto::VersionInfo {
        version: v.version,
        id: v.id.to_string(),
        author: v.author.to_string(),
        when: v.when,
        keys: v.edits.iter().map(|e| e.key.to_string()).collect(),
    };
    Ok(proto::ListVersionsReply {
        versions: versions.into_iter().map(info).collect(),
    })
}

async fn read(context: &Context, keys: Vec<Name>) -> Result<Vec<Row>, Status> {
    if keys.is_empty() {
        return Ok(Vec::new());
    }
    match context.store.call(Call::Read(keys)).await {
        Outcome::Rows(rows) => Ok(rows),
        _ => Err(Status::unavailable("the table does not answer")),
    }
}

async fn submit(context: Rc<Context>, spec: proto::JobSpec) -> Result<proto::JobReply, Status> {
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
    let Some(View::Sites(sites)) = context.query(Query::Sites).await else {
        return Err(stopping());
    };
    let owners: BTreeMap<Name, Option<SocketAddr>> = sites
        .iter()
        .map(|(s, rpc)| (s.cell.clone(), *rpc))
        .collect();
    let sites: Vec<Site> = sites.into_iter().map(|(site, _)| site).collect();
    if sites.is_empty() {
        return Err(Status::unavailable(
            "no cell has an owner yet; nothing was submitted",
        ));
    }
    let (row, lots) = job::spread(&spec, &sites, clock::wall())
        .map_err(|refusal| Status::failed_precondition(refusal.to_string()))?;
    let mut ops = vec![Op::put(job::key(&spec.id), Expect::Absent, &row)];
    for (key, lot) in row.lots.iter().zip(&lots) {
        ops.push(Op::put(key.clone(), Expect::Absent, lot));
    }
    match commit(&context, ops).await {
        Written::Committed => {}
        Written::Conflict => return submitted_before(&context, &spec).await,
        Written::NotSent => {
            return Err(Status::unavailable(
                "the table is not reached; nothing was submitted",
            ));
        }
        // The row by the job's id tells whether the commit took effect.
        Written::Unknown => return submitted_before(&context, &spec).await,
    }
    hint_owners(&context, &row, &owners);
    Ok(reply(&row, &lots))
}

async fn commit(context: &Context, ops: Vec<Op>) -> Written {
    match context.store.call(Call::Commit(ops)).await {
        Outcome::Written(written) => written,
        _ => Written::Unknown,
    }
}

/// Answers a submission whose job may be there already.
async fn submitted_before(context: &Context, spec: &Spec) -> Result<proto::JobReply, Status> {
    let doubt = |_| Status::unknown("the table did not answer; the job may be submitted");
    let (row, _) = match load(context, &spec.id).await {
        Err(status) if status.code() == tonic::Code::NotFound => {
            return Err(Status::unknown(
                "no answer from the table; submit again with the same id",
            ));
        }
        other => other.map_err(doubt)?,
    };
    if row.spec != *spec {
        return Err(Status::already_exists(
            "a job with this id and another content exists",
        ));
    }
    let lots = lots(context, &row).await?;
    Ok(reply(&row, &lots))
}

fn hint_owners(context: &Rc<Context>, row: &JobRow, owners: &BTreeMap<Name, Option<SocketAddr>>) {
    let mut hints: BTreeMap<Option<SocketAddr>, Vec<Name>> = BTreeMap::new();
    for cell in row.lots.iter().filter_map(|key| job::lot_cell(key)) {
        if let Some(owner) = owners.get(cell) {
            hints.entry(*owner).or_default().push(cell.into());
        }
    }
    for (owner, cells) in hints {
        hint(context, owner, cells, Vec::new());
    }
}

fn hint(context: &Rc<Context>, owner: Option<SocketAddr>, cells: Vec<Name>, cancelled: Vec<Name>) {
    let Some(rpc) = owner else {
        context.send(Message::Event(Event::Hint { cells, cancelled }));
        return;
    };
    let context = context.clone();
    monoio::spawn(async move { peers::hint(&context, rpc, cells, cancelled).await });
}

async fn load(context: &Context, id: &str) -> Result<(JobRow, u64), Status> {
    let rows = read(context, vec![job::key(id).into()]).await?;
    let Some(row) = rows.first() else {
        return Err(Status::not_found(format!("no job `{id}`")));
    };
    match decode(row) {
        Some(job) => Ok((job, row.version)),
        None => Err(Status::data_loss(format!(
            "the row of job `{id}` does not decode"
        ))),
    }
}

async fn lots(context: &Context, row: &JobRow) -> Result<Vec<LotRow>, Status> {
    let rows = read(context, row.lots.clone()).await?;
    Ok(rows.iter().filter_map(decode).collect())
}

fn reply(row: &JobRow, lots: &[LotRow]) -> proto::JobReply {
    let summary = job::summarize(row, lots);
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

async fn show(context: Rc<Context>, id: String) -> Result<proto::JobReply, Status> {
    let (row, _) = load(&context, &id).await?;
    let lots = lots(&context, &row).await?;
    let mut reply = reply(&row, &lots);
    let (tasks, _) = all_tasks(&context, Some(id.as_str().into()), false).await?;
    reply.running = tasks.iter().filter(|t| t.state == "running").count() as u32;
    Ok(reply)
}

async fn list_jobs(
    context: Rc<Context>,
    request: proto::ListJobsRequest,
) -> Result<proto::ListJobsReply, Status> {
    let Outcome::Rows(rows) = context.store.call(Call::Scan(job::PREFIX.into())).await else {
        return Err(Status::unavailable("the table does not answer"));
    };
    let after = job::key(&request.after);
    let limit = match request.limit {
        0 => PAGE,
        limit => (limit as usize).min(PAGE),
    };
    let mut rest = rows
        .iter()
        .filter(|r| request.after.is_empty() || *r.key > *after);
    let mut jobs = Vec::new();
    for row in rest.by_ref().take(limit) {
        let Some(row) = decode::<JobRow>(row) else {
            continue;
        };
        let lots = lots(&context, &row).await?;
        jobs.push(reply(&row, &lots));
    }
    Ok(proto::ListJobsReply {
        jobs,
        more: rest.next().is_some(),
    })
}

async fn cancel(context: Rc<Context>, id: String) -> Result<proto::JobReply, Status> {
    for _ in 0..TRIES {
        let (mut row, version) = load(&context, &id).await?;
        if row.cancelled {
            return cancelled(&context, row).await;
        }
        row.cancelled = true;
        let op = Op::put(job::key(&id), Expect::Version(version), &row);
        match commit(&context, vec![op]).await {
            Written::Committed => return cancelled(&context, row).await,
            // After a lost answer the next read tells.
            Written::Conflict | Written::Unknown => {}
            Written::NotSent => {
                return Err(Status::unavailable(
                    "the table is not reached; nothing was cancelled",
                ));
            }
        }
    }
    Err(Status::unknown(
        "the table did not answer; the job may be cancelled",
    ))
}

async fn cancelled(context: &Rc<Context>, row: JobRow) -> Result<proto::JobReply, Status> {
    let ids = vec![row.spec.id.clone()];
    if let Some(View::Boxes(boxes)) = context.query(Query::Boxes).await {
        for rpc in boxes.iter().filter_map(|b| b.rpc.parse().ok()) {
            let own = rpc == context.settings.rpc;
            hint(context, (!own).then_some(rpc), Vec::new(), ids.clone());
        }
    }
    let lots = lots(context, &row).await?;
    Ok(reply(&row, &lots))
}

async fn list_boxes(context: Rc<Context>) -> Result<proto::ListBoxesReply, Status> {
    let Some(View::Boxes(boxes)) = context.query(Query::Boxes).await else {
        return Err(stopping());
    };
    let info = |b: crate::engine::BoxView| proto::BoxInfo {
        id: b.id.to_string(),
        address: b.rpc.to_string(),
        hall: b.hall.to_string(),
        cells: b.cells as u32,
        stopping: b.stopping,
    };
    Ok(proto::ListBoxesReply {
        boxes: boxes.into_iter().map(info).collect(),
    })
}

/// Returns the addresses of the other boxes.
async fn others(context: &Context) -> Result<Vec<(Name, SocketAddr)>, Status> {
    let Some(View::Boxes(boxes)) = context.query(Query::Boxes).await else {
        return Err(stopping());
    };
    let own = context.settings.rpc;
    let parsed = boxes
        .into_iter()
        .filter_map(|b| Some((b.id, b.rpc.parse().ok()?)));
    Ok(parsed.filter(|(_, rpc)| *rpc != own).collect())
}

async fn list_workers(
    context: Rc<Context>,
    local: bool,
) -> Result<proto::ListWorkersReply, Status> {
    let Some(View::Workers(views)) = context.query(Query::Workers).await else {
        return Err(stopping());
    };
    let owner = &context.settings.name;
    let mut workers: Vec<_> = views.into_iter().map(|w| worker(w, owner)).collect();
    let mut missing = Vec::new();
    if !local {
        for (id, rpc) in others(&context).await? {
            let request = proto::ListWorkersRequest { local: true };
            let call = |c| async move { OperatorClient::new(c).list_workers(request).await };
            match context.channel(rpc).call(PATIENCE, call).await {
                Ok(reply) => workers.extend(reply.workers),
                Err(_) => missing.push(id.to_string()),
            }
        }
    }
    workers.sort_by(|a, b| (&a.cell, &a.name).cmp(&(&b.cell, &b.name)));
    Ok(proto::ListWorkersReply { workers, missing })
}

fn worker(view: WorkerView, owner: &str) -> proto::WorkerInfo {
    proto::WorkerInfo {
        name: view.name.to_string(),
        cell: view.cell.to_string(),
        state: view.state.into(),
        slots: view.shape.slots,
        busy: view.busy,
        cores: view.shape.cores,
        free: view.free,
        runs: view.runs as u32,
        owner: owner.into(),
    }
}

async fn list_tasks(
    context: Rc<Context>,
    request: proto::ListTasksRequest,
) -> Result<proto::ListTasksReply, Status> {
    let job = convert::optional(request.job);
    let (tasks, missing) = all_tasks(&context, job, request.local).await?;
    Ok(proto::ListTasksReply { tasks, missing })
}

async fn all_tasks(
    context: &Rc<Context>,
    job: Option<Name>,
    local: bool,
) -> Result<(Vec<proto::TaskInfo>, Vec<String>), Status> {
    let Some(View::Tasks(views)) = context.query(Query::Tasks(job.clone())).await else {
        return Err(stopping());
    };
    let mut tasks: Vec<_> = views.into_iter().map(task).collect();
    let mut missing = Vec::new();
    if !local {
        for (id, rpc) in others(context).await? {
            let request = proto::ListTasksRequest {
                job: job.as_ref().map(|j| j.to_string()).unwrap_or_default(),
                local: true,
            };
            let call = |c| async move { OperatorClient::new(c).list_tasks(request).await };
            match context.channel(rpc).call(PATIENCE, call).await {
                Ok(reply) => tasks.extend(reply.tasks),
                Err(_) => missing.push(id.to_string()),
            }
        }
    }
    tasks.sort_by(|a, b| (&a.job, a.task).cmp(&(&b.job, b.task)));
    Ok((tasks, missing))
}

fn task(view: TaskView) -> proto::TaskInfo {
    proto::TaskInfo {
        job: view.job.to_string(),
        task: view.task,
        state: view.state.into(),
        worker: view.worker.to_string(),
        progress: view.progress,
        evictions: view.evictions,
    }
}

async fn status(context: Rc<Context>) -> Result<proto::StatusReply, Status> {
    let Some(View::Status(view)) = context.query(Query::Status).await else {
        return Err(stopping());
    };
    Ok(proto::StatusReply {
        id: view.id.to_string(),
        hall: view.hall.to_string(),
        ready: view.ready,
        config: view.config,
        cells: view.cells as u32,
        boxes: view.boxes as u32,
        lease: view.lease,
        store: view.store,
        violations: invariant::violated(),
    })
}
