//! Operators' calls that list boxes, workers and tasks, and show the state of a box.

use std::net::SocketAddr;
use std::rc::Rc;

use tonic::Status;

use super::convert;
use super::driver::Context;
use super::operators::stopping_status;
use crate::engine::{Query, TaskView, View, WorkerView};
use crate::invariant;
use crate::proto::{self, operator_client::OperatorClient};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Time limit of a call to another box in milliseconds.
const CALL_TIMEOUT: Millis = 2_000;

/// Returns the boxes known to this box.
pub(super) async fn list_boxes(context: Rc<Context>) -> Result<proto::ListBoxesReply, Status> {
    let Some(View::Boxes(boxes)) = context.query(Query::Boxes).await else {
        return Err(stopping_status());
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

/// Returns the names and RPC addresses of the other boxes.
async fn other_boxes(context: &Context) -> Result<Vec<(Name, SocketAddr)>, Status> {
    let Some(View::Boxes(boxes)) = context.query(Query::Boxes).await else {
        return Err(stopping_status());
    };
    let own_rpc = context.settings.rpc;
    let parsed = boxes
        .into_iter()
        .filter_map(|b| Some((b.id, b.rpc.parse().ok()?)));
    Ok(parsed.filter(|(_, rpc)| *rpc != own_rpc).collect())
}

/// Returns the workers of this box's cells if `local`, and those of all boxes' cells otherwise.
pub(super) async fn list_workers(
    context: Rc<Context>,
    local: bool,
) -> Result<proto::ListWorkersReply, Status> {
    let Some(View::Workers(views)) = context.query(Query::Workers).await else {
        return Err(stopping_status());
    };
    let owner = &context.settings.name;
    let mut workers: Vec<_> = views.into_iter().map(|w| worker_info(w, owner)).collect();
    let mut missing = Vec::new();
    if !local {
        for (id, rpc) in other_boxes(&context).await? {
            let request = proto::ListWorkersRequest { local: true };
            let call = |c| async move { OperatorClient::new(c).list_workers(request).await };
            match context.channel(rpc).call(CALL_TIMEOUT, call).await {
                Ok(reply) => workers.extend(reply.workers),
                Err(_) => missing.push(id.to_string()),
            }
        }
    }
    workers.sort_by(|a, b| (&a.cell, &a.name).cmp(&(&b.cell, &b.name)));
    Ok(proto::ListWorkersReply { workers, missing })
}

fn worker_info(view: WorkerView, owner: &str) -> proto::WorkerInfo {
    proto::WorkerInfo {
        name: view.name.to_string(),
        cell: view.cell.to_string(),
        state: view.state.into(),
        slots: view.shape.slots,
        busy: view.used_slots,
        cores: view.shape.cores,
        free: view.free_cores,
        runs: view.runs as u32,
        owner: owner.into(),
    }
}

/// Returns the tasks of this box's cells if `local`, and those of all boxes' cells otherwise.
pub(super) async fn list_tasks(
    context: Rc<Context>,
    request: proto::ListTasksRequest,
) -> Result<proto::ListTasksReply, Status> {
    let job = convert::non_empty_name(request.job);
    let (tasks, missing) = collect_tasks(&context, job, request.local).await?;
    Ok(proto::ListTasksReply { tasks, missing })
}

/// Returns the tasks of one job or of all jobs, and the boxes that did not answer. Asks no other
/// box if `local`.
pub(super) async fn collect_tasks(
    context: &Rc<Context>,
    job: Option<Name>,
    local: bool,
) -> Result<(Vec<proto::TaskInfo>, Vec<String>), Status> {
    let Some(View::Tasks(views)) = context.query(Query::Tasks(job.clone())).await else {
        return Err(stopping_status());
    };
    let mut tasks: Vec<_> = views.into_iter().map(task_info).collect();
    let mut missing = Vec::new();
    if !local {
        for (id, rpc) in other_boxes(context).await? {
            let request = proto::ListTasksRequest {
                job: job.as_ref().map(|j| j.to_string()).unwrap_or_default(),
                local: true,
            };
            let call = |c| async move { OperatorClient::new(c).list_tasks(request).await };
            match context.channel(rpc).call(CALL_TIMEOUT, call).await {
                Ok(reply) => tasks.extend(reply.tasks),
                Err(_) => missing.push(id.to_string()),
            }
        }
    }
    tasks.sort_by(|a, b| (&a.job, a.task).cmp(&(&b.job, b.task)));
    Ok((tasks, missing))
}

fn task_info(view: TaskView) -> proto::TaskInfo {
    proto::TaskInfo {
        job: view.job.to_string(),
        task: view.task,
        state: view.state.into(),
        worker: view.worker.to_string(),
        progress: view.progress,
        evictions: view.evictions,
    }
}

/// Returns the state of this box.
pub(super) async fn status(context: Rc<Context>) -> Result<proto::StatusReply, Status> {
    let Some(View::Status(view)) = context.query(Query::Status).await else {
        return Err(stopping_status());
    };
    Ok(proto::StatusReply {
        id: view.id.to_string(),
        hall: view.hall.to_string(),
        ready: view.ready,
        config: view.config,
        cells: view.cells as u32,
        boxes: view.boxes as u32,
        lease: view.may_act,
        store: view.table_silence,
        violations: invariant::total_violations(),
    })
}
