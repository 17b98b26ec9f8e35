//! Applies the decision of `racks` to the tasks of a placement pass.

use crate::metrics;
use crate::sched::job::TaskKey;
use crate::sched::learned::run_times::Kind;
use crate::sched::owner::Owner;
use crate::sched::placing::racks::{RackClaims, RackRun, places, waits};
use crate::sched::placing::scoring::could_run;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

impl Owner {
    /// Returns true when a task is to wait for a place on its rack although it could run elsewhere.
    ///
    /// A gang is placed as a whole and never waits. A task that waits in vain for a place anywhere
    /// uses up none of its time to wait for the rack.
    pub(in crate::sched) fn awaits_rack(&mut self, key: TaskKey, claims: &mut RackClaims) -> bool {
        let step = self.jobs[&key.job].step(key);
        if !self.settings.mechanisms.spreading || step.rack.is_empty() || step.gang {
            return false;
        }
        let rack = step.rack.clone();
        // A worker is being freed for the task; waiting longer would leave it idle.
        if self.reservations.contains_key(&key) {
            return false;
        }
        let Some(best) = self.pick_worker(key, "") else {
            return false;
        };
        if self.workers[&best].listing.rack == rack {
            return false;
        }
        let run_time = self.expected_run_time(key);
        let now = self.now.steady;
        let waited = self.rack_wait(key);
        let job = &self.jobs[&key.job];
        let step = job.step(key);
        let kind = (
            rack.clone(),
            job.row.queue.service.clone(),
            step.label.clone(),
            step.reserved(),
        );
        let place = claims.next(kind, || self.expected_places(key, &rack));
        if !waits(place, waited, run_time, self.settings.far_factor) {
            return false;
        }
        claims.claim(&rack);
        if self.rack_waits.begin(key, &rack, now) {
            let wait = place.unwrap_or(0);
            metrics::get().rack_waits.inc();
            log::info!(target: "task", "task={} event=rack-wait rack={rack} expected_ms={wait} run_ms={run_time} elsewhere={best}", self.task_name(key));
        }
        true
    }

    /// Returns how long a task has already waited while it could have run. Best-effort tasks also
    /// wait for better workers, which counts.
    fn rack_wait(&self, key: TaskKey) -> Millis {
        let now = self.now.steady;
        let waited = self.rack_waits.waited(key, now);
        match self.jobs[&key.job].step(key).best_effort {
            true => now - self.ready.get(&key).copied().unwrap_or(now),
            false => waited,
        }
    }

    /// Logs the end of a task's wait for its rack when it is placed on a worker.
    pub(in crate::sched) fn end_rack_wait(&mut self, key: TaskKey, worker: &Name) {
        if !self.settings.mechanisms.spreading {
            return;
        }
        let step = self.jobs[&key.job].step(key);
        let rack = &step.rack;
        let on_rack = self
            .workers
            .get(worker)
            .is_some_and(|w| w.listing.rack == *rack);
        if !rack.is_empty() && !on_rack {
            metrics::get().rack_misses.inc();
        }
        if let Some(waited) = self.rack_waits.end(key, self.now.steady) {
            log::info!(target: "task", "task={} event=rack-wait-over worker={worker} on_rack={on_rack} waited_ms={waited}", self.task_name(key));
        }
    }

    /// Forgets the waits of tasks that no longer wait for a worker.
    pub(in crate::sched) fn prune_rack_waits(&mut self) {
        let ready = &self.ready;
        self.rack_waits.retain(|key| ready.contains_key(&key));
    }

    /// Returns the expected run time of a task on its rack, in milliseconds.
    fn expected_run_time(&self, key: TaskKey) -> Millis {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let step = job.step(key);
        let kind = Kind {
            queue: job.row.queue.name.clone(),
            image: step.image.clone(),
        };
        self.learned.run_times.expected(&kind, step.estimate)
    }

    /// Returns in how many milliseconds places for a task become free on the workers of a rack.
    fn expected_places(&self, key: TaskKey, rack: &Name) -> Vec<Millis> {
        let now = self.now.steady;
        let resources = self.jobs[&key.job].step(key).reserved();
        let usable = self.with_request(key, "", |request| {
            let workers = self.racks.at(rack).filter_map(|id| self.workers.get(id));
            let usable = workers.filter(|w| could_run(w, request, now));
            usable.collect::<Vec<_>>()
        });
        let all = usable.into_iter().flat_map(|worker| {
            let free = worker.free();
            places(free, &self.rack_runs(worker), resources, now)
        });
        all.collect()
    }

    /// Returns the runs of a worker with their expected times there.
    fn rack_runs(&self, worker: &Worker) -> Vec<RackRun> {
        let runs = worker.placements.iter().map(|(key, run)| {
            let job = self.jobs.get(&key.job);
            let far = job.is_some_and(|job| {
                let rack = &job.step(*key).rack;
                !rack.is_empty() && *rack != worker.listing.rack
            });
            let factor = if far { self.settings.far_factor } else { 1.0 };
            let expected = (self.expected_run_time(*key) as f64 * factor) as Millis;
            RackRun {
                resources: run.resources,
                placed_at: run.placed_at,
                expected: (!run.lasting).then_some(expected),
            }
        });
        runs.collect()
    }
}
