//! What operators are shown of the state.

use std::net::SocketAddr;

use super::state::Engine;
use crate::cell::{Cell, Shape, Worker};
use crate::config::Config;
use crate::job::CandidateCell;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// A question about the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The box itself.
    Status,
    /// All boxes.
    Boxes,
    /// The workers of own cells.
    Workers,
    /// Running and waiting tasks of own cells, of one job or of all.
    Tasks(Option<Name>),
    /// The cells that can take job shards.
    CandidateCells,
    /// The configuration in force.
    Config,
}

/// The box itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusView {
    /// Incarnation.
    pub id: Name,
    /// Hall in which it stands.
    pub hall: Name,
    /// True when it takes requests.
    pub ready: bool,
    /// Version of the configuration in force.
    pub config: u64,
    /// Cells owned.
    pub cells: usize,
    /// Boxes known, itself included.
    pub boxes: usize,
    /// True while it may act for its cells.
    pub may_act: bool,
    /// Milliseconds since the table last answered.
    pub table_silence: Millis,
}

/// A box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoxView {
    /// Incarnation.
    pub id: Name,
    /// Address for other boxes.
    pub rpc: Name,
    /// Hall in which it stands.
    pub hall: Name,
    /// Cells owned, as far as known.
    pub cells: usize,
    /// True when it stops, as far as known.
    pub stopping: bool,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Name of the worker.
    pub name: Name,
    /// Cell to which it belongs.
    pub cell: Name,
    /// `open`, `silent`, `leaving`, `ejected` or `quarantine`.
    pub state: &'static str,
    /// What it has.
    pub shape: Shape,
    /// Slots in use.
    pub used_slots: u32,
    /// Free thousandths of cores.
    pub free_cores: u32,
    /// Runs on it.
    pub runs: usize,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Where it is.
    pub state: &'static str,
    /// Worker that runs it, or an empty name.
    pub worker: Name,
    /// Milliseconds of work done.
    pub progress: Millis,
    /// Times it was evicted.
    pub evictions: u32,
}

/// The answer to a question.
#[derive(Clone, Debug)]
pub enum View {
    /// The box itself.
    Status(StatusView),
    /// All boxes.
    Boxes(Vec<BoxView>),
    /// Workers of own cells.
    Workers(Vec<WorkerView>),
    /// Tasks of own cells.
    Tasks(Vec<TaskView>),
    /// Cells that can take job shards, with the address of the owner; none for own ones.
    CandidateCells(Vec<(CandidateCell, Option<SocketAddr>)>),
    /// The configuration in force.
    Config(Config),
}

impl Engine {
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
            ready: self.ready(),
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
        for (row, live) in shard.row.tasks.iter().zip(&shard.states) {
            let run = cell.find_run(live);
            views.push(TaskView {
                job: shard.row.spec.id.clone(),
                task: row.index,
                state: live.as_str(row.phase),
                worker: run.map_or_else(|| "".into(), |(w, _)| w.name.clone()),
                progress: run.map_or(row.saved, |(_, r)| r.progress),
                evictions: row.evictions,
            });
        }
    }
    views
}
