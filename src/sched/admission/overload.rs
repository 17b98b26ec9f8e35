//! Calls of the owner to its admission by load, for queues that submit more than the workers
//! complete.

use std::collections::BTreeMap;

use super::forecast::{Cell, Demand, Lanes, Load, Overload, band, lane, overload};
use super::rejection::Rejection;
use crate::sched::job::{Job, Phase, Queue, TaskKey};
use crate::sched::owner::Owner;
use crate::sched::shares::order::{Prospect, prospect, task_work};
use crate::sched::spec::JobSpec;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds for which a task must wait to count as overload: longer than best-effort tasks wait
/// for a better worker while others are free.
const OVERLOAD_WAIT: Millis = 2_000;

impl Owner {
    /// Returns why a job is refused for load, or `None` if it can be served.
    pub(in crate::sched) fn load_rejection(
        &mut self,
        id: &Name,
        spec: &JobSpec,
        queue: &Queue,
    ) -> Option<Rejection> {
        if !self.settings.mechanisms.admission {
            return None;
        }
        let now = self.now.steady;
        let admission = &mut self.admission;
        let waited = admission.returns.waited(id, now);
        let Overload { job, wait, rate } = overload(&admission.load, spec, queue, waited)?;
        let retry = admission.returns.retry_after(&job, wait, rate, now);
        admission.returns.remember(id, now);
        crate::metrics::get().load_refusals.inc();
        let left = job.left();
        log::info!(target: "job", "job={id} event=overload queue={} turn_ms={} end_ms={} left_ms={left} waited_ms={waited} rate={rate:.0} retry_ms={retry}", queue.name, wait.turn, wait.end);
        Some(Rejection::Overload(retry))
    }

    /// Records that a job is accepted, and returns the time of its first attempt, in milliseconds
    /// since the Unix epoch.
    pub(in crate::sched) fn first_attempt(
        &mut self,
        id: &Name,
        spec: &JobSpec,
        queue: &Queue,
    ) -> Millis {
        let now = self.now;
        if !self.settings.mechanisms.admission {
            return now.wall;
        }
        let admission = &mut self.admission;
        let waited = admission.returns.waited(id, now.steady);
        admission.returns.forget(id);
        let demand = Demand::of(spec, queue, spec.ideal_duration(), waited, &admission.load);
        if let Some(job) = demand {
            admission.load.add(&job);
        }
        if waited > 0 {
            crate::metrics::get().returned_jobs.inc();
            log::info!(target: "job", "job={id} event=returned waited_ms={waited}");
        }
        now.wall.saturating_sub(waited)
    }

    /// Records the end of a task for the measured rate.
    pub(in crate::sched) fn record_ended_work(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = job.step(key);
        if self.settings.mechanisms.admission && !step.lasting {
            let (lane, work) = (lane(step.best_effort), task_work(step));
            let throughput = &mut self.admission.throughput;
            throughput.record_end(lane, work, self.now.steady);
        }
    }

    /// Brings the inputs of the forecast up to date.
    pub(in crate::sched) fn update_admission(&mut self) {
        if !self.settings.mechanisms.admission {
            return;
        }
        let now = self.now.steady;
        let waits = self.waiting_lanes();
        self.admission.throughput.observe(waits, now);
        let start_rate = self.start_limit().map_or(0.0, |limit| limit / 1_000.0);
        let cells = match waits != [false; 2] || start_rate > 0.0 {
            true => self.waiting_cells(),
            false => Vec::new(),
        };
        let typical = self.typical_work.iter();
        let throughput = &self.admission.throughput;
        self.admission.load = Load {
            rates: throughput.rates(now),
            start_rate,
            cells,
            typical: typical.map(|(q, work)| (q.clone(), *work)).collect(),
        };
    }

    /// Returns for each lane whether tasks wait for longer than usual. The first task of each step
    /// stands for the others, as the tasks of a step begin to wait together.
    fn waiting_lanes(&self) -> [bool; 2] {
        let mut waits = [false; 2];
        let mut next = self.ready.first_key_value();
        while let Some((key, since)) = next.filter(|_| waits != [true; 2]) {
            let step = self.jobs.get(&key.job).map(|job| job.step(*key));
            if let Some(step) = step.filter(|step| !step.lasting) {
                waits[lane(step.best_effort)] |= self.now.steady >= since + OVERLOAD_WAIT;
            }
            next = self.ready.range(key.step_key().task(u32::MAX)..).next();
        }
        waits
    }

    /// Returns the waiting work by place in the order.
    fn waiting_cells(&self) -> Vec<Cell> {
        let mut cells: BTreeMap<(u32, u8), Cell> = BTreeMap::new();
        let new = |priority, band| Cell {
            priority,
            band,
            ..Cell::default()
        };
        for job in self.jobs.values().filter(|j| j.is_open()) {
            for round in 0..job.row.rounds.len() {
                let (work, tasks) = waiting_work(job, round);
                let prospect = prospect(job, round, self.now.wall).0;
                if work == Lanes::default() || prospect == Prospect::Worthless {
                    continue;
                }
                let place = (job.row.queue.priority, band(self.round_cost(job, round)));
                let cell = cells.entry(place).or_insert_with(|| new(place.0, place.1));
                let sums = match prospect {
                    Prospect::OnTime => &mut cell.on_time,
                    _ => &mut cell.late,
                };
                sums[0] += work[0];
                sums[1] += work[1];
                cell.tasks += tasks;
            }
        }
        cells.into_values().collect()
    }
}

/// Returns the declared work of the tasks of a round that wait, also for earlier steps, and their
/// number.
fn waiting_work(job: &Job, round: usize) -> (Lanes, f64) {
    let mut work = Lanes::default();
    let mut count = 0.0;
    for (tasks, step) in job.row.rounds[round].iter().zip(&job.spec.steps) {
        if !step.lasting {
            let waiting = tasks.iter().filter(|t| t.phase == Phase::Waiting).count() as f64;
            work[lane(step.best_effort)] += waiting * task_work(step);
            count += waiting;
        }
    }
    (work, count)
}
