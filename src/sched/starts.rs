//! Starting and stopping the runs of placed tasks.

use std::net::SocketAddr;

use super::incarnation::{BootOrder, Incarnation, compare_boots};
use super::job::TaskKey;
use super::lost_workers::IncarnationEnd;
use super::message::{Action, OrderAck, Refusal, Reply, Start, Stop};
use super::owner::Owner;
use super::placement::Stage;
use super::spec::Resources;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds for which a worker that lacked room or was unwell gets nothing new.
const BARRED: Millis = 700;
/// Half of the milliseconds that a task waits after a start that its worker could not take,
/// doubled with each one.
const DEFERRED: Millis = 500;
/// Times that this wait is doubled at most: 16 s.
const DEFERRED_MOST: u32 = 5;
/// Milliseconds after which a stop without an effect is sent again.
pub(super) const STOP_AGAIN: Millis = 1_000;

/// How long a task waits whose starts no worker could take.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Deferral {
    /// Starts that were turned away.
    times: u32,
    /// When it may be placed again.
    pub until: Millis,
}

impl Owner {
    /// Starts a run whose placement is in the store.
    pub(super) fn start_run(&mut self, key: TaskKey, run: u32) {
        let Some(name) = self.placed_on.get(&key).cloned() else {
            return;
        };
        let Some(job) = self.jobs.get(&key.job).filter(|j| j.is_open()) else {
            self.unplace(key);
            return;
        };
        let (now, span) = (self.now.steady, self.settings.lease_length);
        let gives_up = self.is_resigning();
        let permit = self.permit_token(key, &name);
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        let current = worker.placements.get(&key);
        if current.is_none_or(|s| s.run != run || s.stage != Stage::Recording) {
            return;
        }
        // Its room may have shrunk since the task was placed: sent all the same, the start
        // would overcommit a worker that takes whatever it is told.
        let fits = worker.fits(Resources::default());
        let cordoned = worker.cordoned;
        // Begun at full pace, it would keep a tail up that is over its target already.
        let presses = current.is_some_and(|s| s.best_effort) && worker.is_over_target();
        let lease = match worker.accepts_tasks(now) && fits && !presses && !gives_up {
            true => worker.grant_lease(span, now),
            false => None,
        };
        let (Some(lease), Some(permit), Some(placement)) =
            (lease, permit, worker.placements.get_mut(&key))
        else {
            log::info!(target: "task", "task={} run={run} event=withdrawn worker={name} fits={fits} cordoned={cordoned} over_target={presses}", job.task_name(key));
            crate::metrics::get().withdrawn.inc();
            self.unplace(key);
            return;
        };
        placement.stage = Stage::Starting;
        placement.placed_at = now;
        self.send_start(key, run, name, lease, permit);
    }

    /// Orders a worker to start a run.
    fn send_start(&mut self, key: TaskKey, run: u32, worker: Name, lease: Millis, permit: Name) {
        let known = self.workers.get(&worker);
        let Some((address, incarnation)) = known.map(|w| (w.listing.address, w.incarnation()))
        else {
            return;
        };
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let task = job.task_name(key);
        let age = self.now.wall.saturating_sub(job.row.accepted);
        if (key.step, key.index, run) == (0, 0, 1) {
            let seconds = age as f64 / 1_000.0;
            crate::metrics::get().start_seconds.observe(seconds);
        }
        log::info!(target: "task", "task={task} run={run} event=start worker={incarnation} job_age_ms={age}");
        self.actions.push(Action::Start(Start {
            key,
            run,
            incarnation,
            address,
            task,
            payload: job.spec.payload.clone(),
            lease,
            epoch: self.journal.epoch(),
            checkpoint: job
                .task(key)
                .map(|t| t.checkpoint.clone())
                .unwrap_or_default(),
            permit,
        }));
    }

    /// Takes in how a start went.
    pub(super) fn handle_start_reply(
        &mut self,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
        reply: Reply<OrderAck>,
    ) {
        let now = self.now.steady;
        let name = &incarnation.id;
        if reply == Reply::Lost {
            self.add_late_start(key, run, incarnation);
        }
        if !self.accept_reply(incarnation, &reply) {
            return;
        }
        let Some(placement) = self.placement_mut(name, key, run) else {
            return;
        };
        match reply {
            Reply::Ok(_) => {
                placement.confirm(now);
                self.mark_begun(key);
                self.halt_run(name, key);
            }
            Reply::Lost if placement.stage == Stage::Starting => {
                // It may be carried out seconds later, unless a stop of it is answered first.
                placement.stage = Stage::Doubt;
                self.stop_task(key);
            }
            Reply::Lost => {}
            Reply::NotSent => self.unplace(key),
            Reply::Refused(refusal) => self.handle_start_refusal(key, run, name, refusal),
        }
    }

    /// Returns true when the answer to an order is that of the life that is known and that
    /// the order was sent to. Word of a later one has it report at once.
    pub(super) fn accept_reply(
        &mut self,
        incarnation: &Incarnation,
        reply: &Reply<OrderAck>,
    ) -> bool {
        let Some(worker) = self.workers.get(&incarnation.id) else {
            return false;
        };
        if worker.boot != incarnation.boot {
            return false;
        }
        let Reply::Ok(word) = reply else {
            return true;
        };
        let later = compare_boots(worker.boot, word.boot) == BootOrder::Later;
        // Its clock goes on from what it had told before the order was sent.
        let another = later || word.clock < incarnation.clock;
        if another {
            self.verify_incarnation(&incarnation.id, "answer");
        }
        !another
    }

    /// Takes in that a worker has begun a task.
    pub(super) fn mark_begun(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.row.begun = true;
        }
    }

    /// Takes in that a worker did not take a start.
    fn handle_start_refusal(&mut self, key: TaskKey, run: u32, name: &Name, refusal: Refusal) {
        let task = self.task_name(key);
        log::info!(target: "task", "task={task} run={run} event=refused worker={name} reason={refusal:?}");
        match refusal {
            Refusal::Full | Refusal::Unwell => self.quarantine(name),
            Refusal::Unfit => {
                self.quarantine(name);
                self.defer_task(key);
            }
            Refusal::NoPermit => self.invalidate_permit(key, name),
            Refusal::Late | Refusal::Old | Refusal::Fenced | Refusal::Replaced => {}
        }
        self.unplace(key);
        if refusal == Refusal::Replaced {
            self.end_incarnation(name, IncarnationEnd::Replaced);
        }
    }

    /// Has a task wait longer with each start that a worker could not take: as each of them
    /// gets nothing for a while, a task that none can read took all of them out of use.
    fn defer_task(&mut self, key: TaskKey) {
        let now = self.now.steady;
        let deferral = self.deferred.entry(key).or_default();
        deferral.times += 1;
        deferral.until = now + (DEFERRED << deferral.times.min(DEFERRED_MOST));
    }

    /// Gives a worker nothing new for a while.
    fn quarantine(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.quarantined_until = self.now.steady + BARRED;
        }
    }

    /// Takes in how a stop went.
    pub(super) fn handle_stop_reply(
        &mut self,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
        reply: Reply<OrderAck>,
    ) {
        let now = self.now.steady;
        let name = &incarnation.id;
        if !self.accept_reply(incarnation, &reply) {
            return;
        }
        if matches!(reply, Reply::Ok(_)) {
            self.mark_late_start_stopped(key, run, incarnation);
        }
        let Some(placement) = self.placement_mut(name, key, run) else {
            return;
        };
        match reply {
            Reply::Ok(_) => placement.stage = Stage::Stopped(now),
            // It is sent again while the worker answers.
            Reply::Lost | Reply::NotSent => placement.stage = Stage::Stopping(now),
            Reply::Refused(Refusal::Replaced) => {
                self.end_incarnation(name, IncarnationEnd::Replaced)
            }
            Reply::Refused(_) => placement.stage = Stage::Stopping(now),
        }
    }

    /// Repeats stops that had no effect yet.
    pub(super) fn retry_stops(&mut self) {
        let now = self.now.steady;
        let mut again = Vec::new();
        for (name, worker) in &mut self.workers {
            if !worker.is_answering(now) {
                continue;
            }
            let address = worker.listing.address;
            for (key, placement) in &mut worker.placements {
                if let Stage::Stopping(at) = placement.stage
                    && now >= at + STOP_AGAIN
                {
                    placement.stage = Stage::Stopping(now);
                    again.push((*key, placement.run, name.clone(), address));
                }
            }
        }
        for (key, run, name, address) in again {
            self.send_stop(key, run, name, address);
        }
    }

    /// Stops what runs of a job that is over.
    pub(super) fn stop_job(&mut self, number: u32) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let keys: Vec<TaskKey> = job.tasks(number).map(|(key, _)| key).collect();
        for key in keys {
            self.stop_task(key);
        }
    }

    /// Stops a placed task, or takes it back when its start was not sent.
    pub(super) fn stop_task(&mut self, key: TaskKey) {
        let Some(name) = self.placed_on.get(&key).cloned() else {
            return;
        };
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        let address = worker.listing.address;
        let Some(placement) = worker.placements.get_mut(&key) else {
            return;
        };
        match placement.stage {
            Stage::Recording => {
                self.unplace(key);
                return;
            }
            Stage::Inherited | Stage::Stopping(_) | Stage::Stopped(_) => return,
            Stage::Starting | Stage::Running(_) | Stage::Doubt => {
                placement.stage = Stage::Stopping(now);
            }
        }
        let run = placement.run;
        self.send_stop(key, run, name, address);
    }

    /// Orders a worker to stop a run.
    pub(super) fn send_stop(&mut self, key: TaskKey, run: u32, worker: Name, address: SocketAddr) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let task = job.task_name(key);
        self.send_stop_by_name(key, run, task, worker, address);
    }

    /// Orders a worker to stop a run by the name of its task.
    pub(super) fn send_stop_by_name(
        &mut self,
        key: TaskKey,
        run: u32,
        task: String,
        worker: Name,
        address: SocketAddr,
    ) {
        let Some(incarnation) = self.workers.get(&worker).map(Worker::incarnation) else {
            return;
        };
        log::info!(target: "task", "task={task} run={run} event=stop worker={incarnation}");
        self.actions.push(Action::Stop(Stop {
            key,
            run,
            incarnation,
            address,
            task,
            epoch: self.journal.epoch(),
        }));
    }
}
