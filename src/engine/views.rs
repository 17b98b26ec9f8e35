//! Views of the engine's state for operators.

use std::net::SocketAddr;

use super::state::Engine;
use crate::cell::{Cell, Shape, Worker};
use crate::config::Config;
use crate::job::CandidateCell;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Request for a view of the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Status of this box.
    Status,
    /// All boxes.
    Boxes,
    /// Workers of own cells.
    Workers,
    /// Running and waiting tasks of own cells, of one job or of all jobs.
    Tasks(Option<Name>),
    /// Cells to which job shards can be assigned.
    CandidateCells,
    /// Active configuration.
    Config,
}

/// Status of this box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusView {
    /// Incarnation.
    pub id: Name,
    /// Hall of the box.
    pub hall: Name,
    /// True if the box accepts callers' requests.
    pub ready: bool,
    /// Version of the active configuration.
    pub config: u64,
    /// Number of owned cells.
    pub cells: usize,
    /// Number of known boxes, including this one.
    pub boxes: usize,
    /// True while the box may act for its cells.
    pub may_act: bool,
    /// Milliseconds since the table last answered.
    pub table_silence: Millis,
}

/// A box as known to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoxView {
    /// Incarnation.
    pub id: Name,
    /// RPC address for other boxes.
    pub rpc: Name,
    /// Hall of the box.
    pub hall: Name,
    /// Number of owned cells, as last read.
    pub cells: usize,
    /// True if the box is stopping; known only of this box.
    pub stopping: bool,
}

/// A worker of an own cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Name of the worker.
    pub name: Name,
    /// Cell to which it belongs.
    pub cell: Name,
    /// State: `open`, `silent`, `leaving`, `ejected` or `quarantine`.
    pub state: &'static str,
    /// Capacity of the worker.
    pub shape: Shape,
    /// Number of used slots.
    pub used_slots: u32,
    /// Free cores in thousandths.
    pub free_cores: u32,
    /// Number of runs on the worker.
    pub runs: usize,
}

/// A task of a job shard in an own cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// State of the task.
    pub state: &'static str,
    /// Worker that runs the task; empty if there is none.
    pub worker: Name,
    /// Completed work in milliseconds.
    pub progress: Millis,
    /// Number of evictions.
    pub evictions: u32,
}

/// Answer to a [`Query`].
#[derive(Clone, Debug)]
pub enum View {
    /// Status of this box.
    Status(StatusView),
    /// All boxes.
    Boxes(Vec<BoxView>),
    /// Workers of own cells.
    Workers(Vec<WorkerView>),
    /// Tasks of own cells.
    Tasks(Vec<TaskView>),
    /// Cells to which job shards can be assigned, with the owner's RPC address; `None` for own
    /// cells.
    CandidateCells(Vec<(CandidateCell, Option<SocketAddr>)>),
    /// Active configuration.
    Config(Config),
}

impl Engine {
    /// Returns the view that a query requests.
    pub(super) fn view(&self, now: Millis, query: &Query) -> View {
        match query {
            Query::Status => View::Status(self.status(now)),
            Query::Boxes => View::Boxes(self.boxes()),
            Query::Workers => {
                let cells = self.cells.values();
                View::Workers(cells.flat_map(|c| worker_views(c, now)).collect())
            }
            Query::Tasks(job) => {
                let cells = self.cells.values();
                View::Tasks(cells.flat_map(|c| task_views(c, job.as_ref())).collect())
            }
            Query::CandidateCells => View::CandidateCells(self.candidate_cells()),
            Query::Config => View::Config(self.config.clone()),
        }
    }

    /// Returns the tasks of a job in own cells.
    pub fn job_tasks(&self, job: &Name) -> Vec<TaskView> {
        let cells = self.cells.values();
        cells.flat_map(|c| task_views(c, Some(job))).collect()
    }

    fn status(&self, now: Millis) -> StatusView {
        StatusView {
            id: self.id().clone(),
            hall: self.settings.hall.clone(),
            ready: self.is_ready(),
            config: self.config.version(),
            cells: self.claims.owned().len(),
            boxes: self.lease.other_boxes().count() + 1,
            may_act: self.lease.may_act(now),
            table_silence: now.saturating_sub(self.answered_at),
        }
    }

    fn boxes(&self) -> Vec<BoxView> {
        let owned = |id: &Name| {
            let cells = self.claims.cells().iter();
            let owners = cells.filter_map(|c| self.claims.owner(c));
            owners.filter(|(owner, _)| *owner == id).count()
        };
        let rows = self.lease.other_boxes().chain([self.lease.own_row()]);
        let mut views: Vec<BoxView> = rows
            .map(|row| BoxView {
                id: row.id.clone(),
                rpc: row.rpc.clone(),
                hall: row.hall.clone(),
                cells: owned(&row.id),
                stopping: row.id == *self.id() && self.stopping_since.is_some(),
            })
            .collect();
        views.sort_by(|a, b| a.id.cmp(&b.id));
        views
    }

    fn candidate_cells(&self) -> Vec<(CandidateCell, Option<SocketAddr>)> {
        let views = self.router.views().iter();
        views
            .map(|v| {
                let candidate = CandidateCell {
                    cell: v.load.cell.clone(),
                    shapes: vec![v.load.largest_worker],
                    free_cores: v.load.free_cores,
                };
                (candidate, v.rpc)
            })
            .collect()
    }
}

fn worker_views(cell: &Cell, now: Millis) -> Vec<WorkerView> {
    let view = |w: &Worker| WorkerView {
        name: w.name.clone(),
        cell: cell.name.clone(),
        state: worker_state(w, now),
        shape: w.shape,
        used_slots: w.used_slots(),
        free_cores: w.free_cores(),
        runs: w.runs.len(),
    };
    cell.workers.values().map(view).collect()
}

fn worker_state(worker: &Worker, now: Millis) -> &'static str {
    match () {
        () if !worker.responsive => "silent",
        () if !worker.accepts_work(now) => "leaving",
        () if worker.quarantined_until > now => "quarantine",
        () if worker.ejected_until > now => "ejected",
        () => "open",
    }
}

fn task_views(cell: &Cell, job: Option<&Name>) -> Vec<TaskView> {
    let mut views = Vec::new();
    for shard in cell.shards.values() {
        if job.is_some_and(|j| *j != shard.row.spec.id) {
            continue;
        }
        for (row, state) in shard.row.tasks.iter().zip(&shard.states) {
            let run = cell.find_run(state);
            views.push(TaskView {
                job: shard.row.spec.id.clone(),
                task: row.index,
                state: state.as_str(row.phase),
                worker: run.map_or_else(|| "".into(), |(w, _)| w.name.clone()),
                progress: run.map_or(row.saved, |(_, r)| r.progress),
                evictions: row.evictions,
            });
        }
    }
    views
}
