//! gRPC service for operators, with the calls that change and show the configuration.

use std::rc::Rc;

use tonic::{Request, Response, Status};

use super::driver::Context;
use super::jobs::{cancel, list_jobs, show, submit};
use super::listings::{list_boxes, list_tasks, list_workers, status};
use crate::config::{self, ChangeRow, ConfigTransaction, Edit, Refusal, Step};
use crate::engine::{Query, View};
use crate::proto::{self, operator_server};
use crate::rpc::bridge::Bridge;
use crate::table::{Call, Outcome, Row, decode};
use crate::utils::Name;
use crate::utils::clock;

/// Largest number of entries in a reply.
pub(super) const PAGE_SIZE: usize = 500;

/// Implementation of the operators' gRPC service.
pub struct OperatorService {
    bridge: Bridge<Context>,
}

impl OperatorService {
    /// Returns the service; `bridge` runs its calls on the thread of the box's tasks.
    pub fn new(bridge: Bridge<Context>) -> Self {
        Self { bridge }
    }
}

type Reply<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl operator_server::Operator for OperatorService {
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

/// Returns the status for a call that the box does not answer because it is stopping.
pub(super) fn stopping_status() -> Status {
    Status::unavailable("the box is stopping")
}

/// Applies a change of the configuration.
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
    let (mut transaction, mut step) = ConfigTransaction::new(row);
    loop {
        match step {
            Step::Call(call) => step = transaction.advance(context.platform.call(call).await),
            Step::Accepted(version) => {
                log::info!(target: "config", "accepted configuration version {version}");
                return Ok(proto::ChangeReply { version });
            }
            Step::Refused(refusal) => return Err(refusal_status(refusal)),
        }
    }
}

/// Returns the status for a change that was not accepted.
fn refusal_status(refusal: Refusal) -> Status {
    match refusal {
        Refusal::Invalid(findings) => Status::invalid_argument(findings.join("; ")),
        Refusal::Conflict { key, version } => {
            let found = match version {
                0 => "is absent".to_string(),
                version => format!("is at version {version}"),
            };
            Status::failed_precondition(format!("conflict: {key} {found}"))
        }
        Refusal::Busy => {
            Status::aborted("concurrent changes conflicted with every attempt; try again")
        }
        Refusal::NotReached => Status::unavailable("the table did not answer; nothing was changed"),
        Refusal::Unknown => {
            Status::unknown("the table did not answer; the change may have been made")
        }
    }
}

/// Returns the active configuration.
async fn show_config(context: Rc<Context>) -> Result<proto::ShowConfigReply, Status> {
    let Some(View::Config(config)) = context.query(Query::Config).await else {
        return Err(stopping_status());
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

/// Returns the latest versions of the configuration, newest first.
async fn list_versions(
    context: Rc<Context>,
    limit: u32,
) -> Result<proto::ListVersionsReply, Status> {
    let Some(View::Config(config)) = context.query(Query::Config).await else {
        return Err(stopping_status());
    };
    let last = config.version();
    let limit = (limit.max(1) as u64).min(PAGE_SIZE as u64);
    let first = last.saturating_sub(limit) + 1;
    let keys = (first..=last).map(config::change_key).collect();
    let rows = read_rows(&context, keys).await?;
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

/// Returns the rows with these keys that exist in the table.
pub(super) async fn read_rows(context: &Context, keys: Vec<Name>) -> Result<Vec<Row>, Status> {
    if keys.is_empty() {
        return Ok(Vec::new());
    }
    match context.platform.call(Call::Read(keys)).await {
        Outcome::Rows(rows) => Ok(rows),
        _ => Err(Status::unavailable("the table did not answer")),
    }
}
