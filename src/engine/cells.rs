//! Runs the owned cells: ticks them, performs their actions and updates their lists of workers.

use super::in_flight::UNKNOWN_AFTER_RESEND;
use super::state::Engine;
use super::{Action, Now, WorkerCallOutcome};
use crate::cell::{self, ListedWorker, Reason};
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two scans of a cell for job shards whose hint was lost.
const RESCAN_INTERVAL: Millis = 10_000;

impl Engine {
    /// Ticks all owned cells and releases leaving cells in which nothing is in progress.
    pub(super) fn tick_cells(&mut self, now: Now, out: &mut Vec<Action>) {
        let names: Vec<Name> = self.cells.keys().cloned().collect();
        for name in names {
            let leaving = self
                .claims
                .owned()
                .get(&name)
                .is_none_or(|owned| owned.leaving);
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            cell.leaving = leaving;
            let mut actions = Vec::new();
            if leaving {
                actions.extend(cell.refuse_all(Reason::Stopping));
            }
            actions.extend(cell.tick(now.millis, now.micros));
            let epoch = cell.epoch;
            let idle = cell.is_idle();
            for action in actions {
                self.apply_cell_action(now, &name, epoch, action, out);
            }
            if leaving && idle {
                self.release(now, &name, out);
            }
        }
        for shard in self.dedup_shards.values_mut() {
            shard.forget_expired(now.wall);
        }
        self.release_dedup_shards(now, out);
    }

    /// Refuses the queued requests of all cells, as the lease has lapsed.
    pub(super) fn refuse_queued(&mut self, now: Now, out: &mut Vec<Action>) {
        let names: Vec<Name> = self.cells.keys().cloned().collect();
        for name in names {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let epoch = cell.epoch;
            let refused = cell.refuse_all(Reason::Lapsed);
            for action in refused {
                self.apply_cell_action(now, &name, epoch, action, out);
            }
        }
    }

    /// Returns true if this box may act for a cell under an epoch; counts a violation otherwise.
    fn may_act_for(&self, now: Now, cell: &Name, epoch: u64) -> bool {
        let owned = self.claims.owned().get(cell);
        let allowed =
            self.lease.may_act(now.millis) && owned.is_some_and(|owned| owned.epoch == epoch);
        let detail = || format!("{} may not act for {cell} under epoch {epoch}", self.id());
        invariant::check(allowed, Rule::Owner, detail)
    }

    /// Performs an action that a cell requests.
    pub(super) fn apply_cell_action(
        &mut self,
        now: Now,
        cell: &Name,
        epoch: u64,
        action: cell::Action,
        out: &mut Vec<Action>,
    ) {
        match action {
            // The lease is checked here and again right before the write to the socket.
            cell::Action::Send { ticket, .. } if !self.lease.may_act(now.millis) => {
                self.handle_lapsed_send(now, cell, ticket, out);
            }
            cell::Action::Send { ticket, http, .. } => {
                if !self.may_act_for(now, cell, epoch) {
                    return self.handle_lapsed_send(now, cell, ticket, out);
                }
                if !self.mark_sending(ticket) {
                    return self.finish(ticket, UNKNOWN_AFTER_RESEND, out);
                }
                let time_left = self
                    .in_flight
                    .get(&ticket)
                    .map_or(0, |r| r.time_left(now.millis));
                out.push(Action::Send {
                    ticket,
                    cell: cell.clone(),
                    epoch,
                    http,
                    time_left,
                });
            }
            cell::Action::Refuse {
                ticket,
                reason,
                retry_after,
            } => self.handle_refusal(now, ticket, reason, retry_after, out),
            cell::Action::Start { worker, run, .. } if !self.may_act_for(now, cell, epoch) => {
                let outcome = WorkerCallOutcome::Started(run.id, cell::CallOutcome::Refused);
                self.handle_worker_outcome(now, cell, epoch, &worker, outcome, out);
            }
            other => out.push(Action::CallWorker {
                cell: cell.clone(),
                epoch,
                action: other,
            }),
        }
    }

    /// Applies the outcome of a call to a worker, unless the cell has another epoch by now.
    pub(super) fn handle_worker_outcome(
        &mut self,
        now: Now,
        name: &Name,
        epoch: u64,
        worker: &Name,
        outcome: WorkerCallOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(cell) = self.cells.get_mut(name).filter(|c| c.epoch == epoch) else {
            return;
        };
        let (millis, micros) = (now.millis, now.micros);
        let actions = match outcome {
            WorkerCallOutcome::Polled {
                sent,
                round,
                acks,
                outcome,
            } => {
                let (outranked, actions) = cell.finish_poll(
                    millis,
                    micros,
                    worker,
                    cell::SentPoll { sent, round, acks },
                    outcome,
                );
                if outranked {
                    log::warn!(target: "claim", "worker {worker} knows a higher epoch of cell {name}");
                }
                actions
            }
            WorkerCallOutcome::Started(run, result) => {
                cell.finish_start(millis, worker, run, result)
            }
            WorkerCallOutcome::Stopped(run, result) => {
                cell.finish_stop(millis, micros, worker, run, result)
            }
            WorkerCallOutcome::Throttled(run, share, result) => {
                cell.finish_throttle(millis, micros, worker, run, share, result)
            }
        };
        for action in actions {
            self.apply_cell_action(now, name, epoch, action, out);
        }
    }

    /// Reads the list of workers if that is due.
    pub(super) fn poll_workers(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.settings.intervals.poll;
        let due = self.listed_at.is_none_or(|at| now.millis >= at + interval);
        if due && !self.listing {
            self.listing = true;
            self.listed_at = Some(now.millis);
            out.push(Action::ListWorkers);
        }
    }

    /// Replaces the list of workers; `None` if the read failed.
    pub(super) fn update_workers(&mut self, workers: Option<Vec<ListedWorker>>) {
        self.listing = false;
        let Some(workers) = workers else {
            return;
        };
        if workers == self.listed_workers {
            return;
        }
        self.listed_workers = workers;
        self.update_cells();
    }

    /// Updates the workers, quotas and drains of all owned cells.
    pub(super) fn update_cells(&mut self) {
        let total = self.listed_workers.len().max(1) as f64;
        for cell in self.cells.values_mut() {
            cell.set_workers(&self.listed_workers, self.config.drained());
            cell.quotas = self.config.quotas().clone();
            cell.capacity_share = cell.workers.len() as f64 / total;
        }
    }

    /// Scans the cells again whose last scan is older than [`RESCAN_INTERVAL`].
    pub(super) fn rescan_due_cells(&mut self, now: Now, out: &mut Vec<Action>) {
        let due: Vec<Name> = self
            .cells
            .keys()
            .filter(|c| {
                let at = self.scanned_at.get(*c).copied();
                at.is_some_and(|at| now.millis >= at + RESCAN_INTERVAL)
            })
            .cloned()
            .collect();
        for cell in due {
            self.scanned_at.insert(cell.clone(), now.millis);
            self.scan_shards(&cell, out);
        }
    }
}
