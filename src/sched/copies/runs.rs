//! Starts copies of slow runs, and ends them with the runs that they repeat.
//!
//! `placed_on` and the row's phase name the primary run. A copy is a placement on another worker,
//! stored with the task before its start. When the primary run ends without success, the copy takes
//! its place; a task with a copy therefore never waits.

use std::collections::BTreeSet;

use crate::sched::copies::policy::{
    CopyReason, MAX_STARTS, RunFacts, SLOW_FACTOR, choose_runs, may_have_copy,
};
use crate::sched::crashes::listed_for;
use crate::sched::job::{Phase, StoredCopy, TaskKey};
use crate::sched::journal::AfterCommit;
use crate::sched::learned::run_times::Kind;
use crate::sched::owner::Owner;
use crate::sched::placing::placement::{Placement, Stage};
use crate::sched::placing::scoring::best_worker;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most waiting steps that are compared with a worker. With more of them there is hardly any spare
/// capacity, and a review would take too long.
const MAX_WAITING_STEPS: usize = 32;

/// A run that may get a copy.
struct Candidate {
    key: TaskKey,
    worker: Name,
}

impl Owner {
    /// Starts copies of late runs where capacity is spare, and stops those that hold capacity for
    /// which another task waits.
    pub(in crate::sched) fn review_copies(&mut self) {
        let enabled = self.settings.mechanisms.copies;
        if !enabled || self.journal.in_doubt() || !self.copies.take_review(self.now.steady) {
            return;
        }
        self.yield_copies();
        let chosen = choose_runs(self.copy_candidates());
        let mut started = 0;
        for (candidate, facts, reason) in chosen {
            if started == MAX_STARTS {
                break;
            }
            if let Some(worker) = self.pick_copy_worker(&candidate) {
                self.start_copy(candidate.key, worker, facts, reason);
                started += 1;
            }
        }
    }

    /// Returns the runs that may have copies, with what is known of them.
    fn copy_candidates(&self) -> Vec<(Candidate, RunFacts)> {
        let runs = |worker: &Worker| {
            let runs = worker.placements.iter();
            let speculative = runs.filter(|(_, run)| run.speculative && run.is_running());
            let facts = speculative.filter_map(|(key, run)| self.run_facts(*key, worker, run));
            facts.collect::<Vec<_>>()
        };
        self.workers.values().flat_map(runs).collect()
    }

    /// Returns what is known of a run; `None` if its task may not have a copy now.
    fn run_facts(
        &self,
        key: TaskKey,
        worker: &Worker,
        run: &Placement,
    ) -> Option<(Candidate, RunFacts)> {
        let now = self.now.steady;
        let job = self.jobs.get(&key.job).filter(|job| job.is_open())?;
        let (step, task) = (job.step(key), job.task(key)?);
        let name = &worker.listing.id;
        let placed = matches!(task.phase, Phase::Placed(_)) && self.copies.may_add(key);
        if !placed || !may_have_copy(step, task, job.row.queue.max_attempts) {
            return None;
        }
        let kind = Kind {
            queue: job.row.queue.name.clone(),
            image: step.image.clone(),
        };
        let facts = RunFacts {
            // The run of an earlier owner counts from its first report to this one.
            age: now - run.confirmed_at?,
            listed: listed_for(worker, run),
            expected: self.learned.run_times.expected(&kind, step.estimate),
            tail: self.learned.run_times.tail(&kind, step.estimate),
            slowness: self.learned.speeds.slowness(name, now),
        };
        let worker = name.clone();
        Some((Candidate { key, worker }, facts))
    }

    /// Returns the best worker with spare capacity for the copy of a run.
    fn pick_copy_worker(&self, candidate: &Candidate) -> Option<Name> {
        let now = self.now.steady;
        let usable = |w: &&Worker| {
            let name = &w.listing.id;
            *name != candidate.worker && self.learned.speeds.slowness(name, now) < SLOW_FACTOR
        };
        let best = self.with_request(candidate.key, "", |request| {
            best_worker(self.workers.values().filter(usable), request, now)
        })?;
        (!self.is_awaited(&best)).then_some(best)
    }

    /// Returns true when a waiting task could run on a worker.
    fn is_awaited(&self, name: &Name) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let mut steps = BTreeSet::new();
        for key in self.ready.keys() {
            if !steps.insert(key.step_key()) {
                continue;
            }
            if steps.len() > MAX_WAITING_STEPS || self.could_run_on(*key, worker) {
                return true;
            }
        }
        false
    }

    /// Stops the copies on workers on which another task could run that waits.
    fn yield_copies(&mut self) {
        let running = |(key, copy): &(&TaskKey, &super::running::Copy)| {
            let worker = self.workers.get(&copy.worker);
            let run = worker.and_then(|w| w.placements.get(key));
            run.is_some_and(Placement::is_running) && self.is_awaited(&copy.worker)
        };
        let awaited = self.copies.iter().filter(running);
        let awaited: Vec<(TaskKey, Name)> =
            awaited.map(|(key, c)| (*key, c.worker.clone())).collect();
        for (key, name) in awaited {
            self.stop_run(key, &name);
        }
    }

    /// Places a copy of a run. It is started once the store has its worker and run number.
    fn start_copy(&mut self, key: TaskKey, name: Name, facts: RunFacts, reason: CopyReason) {
        let boot = self.workers.get(&name).and_then(|w| w.boot);
        let long_lease = self.may_have_long_lease(&name);
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|job| job.task_mut(key)) else {
            return;
        };
        let run = task.next_run();
        task.last_copy = run;
        task.copy = Some(StoredCopy {
            worker: name.clone(),
            run,
            boot,
            long_lease,
        });
        let placement = Placement {
            boot,
            ..self.new_placement(key, run, Stage::Recording)
        };
        let task = self.task_name(key);
        let RunFacts { age, expected, .. } = facts;
        log::info!(target: "task", "task={task} run={run} event=copy-started worker={name} age_ms={age} expected_ms={expected} reason={reason:?}");
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.insert(key, placement);
        }
        self.ranking = None;
        self.copies.add(key, name, run);
        self.copies.started += 1;
        crate::metrics::get().copies_started.inc();
        self.journal
            .run_after_commit(key.job, AfterCommit::Start(key, run));
    }

    /// Loads the copies of a job that an earlier owner stored.
    pub(in crate::sched) fn load_copies(&mut self, number: u32) {
        let stored = self.jobs[&number].tasks(number).filter_map(|(key, task)| {
            let Phase::Placed(primary) = &task.phase else {
                return None;
            };
            // A worker holds one run of a task, and the copy always is the later run. Another copy
            // in a damaged row is stopped when its worker reports it as unknown.
            let sound = |copy: &&StoredCopy| copy.worker != *primary && copy.run > task.run;
            let copy = task.copy.as_ref().filter(sound)?;
            Some((key, copy.worker.clone(), copy.run))
        });
        let stored: Vec<_> = stored.collect();
        for (key, worker, run) in stored {
            let job = self.jobs.get_mut(&number);
            if let Some(task) = job.and_then(|job| job.task_mut(key)) {
                task.last_copy = task.last_copy.max(run);
            }
            self.unadopted.entry(worker.clone()).or_default().push(key);
            self.copies.add(key, worker, run);
        }
    }

    /// Returns the placement of a copy that an earlier owner stored.
    pub(in crate::sched) fn inherited_copy(&mut self, key: TaskKey) -> Placement {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let copy = task.and_then(|task| task.copy.as_ref());
        let (run, boot) = copy.map_or((0, None), |copy| (copy.run, copy.boot));
        Placement {
            boot,
            ..self.new_placement(key, run, Stage::Inherited)
        }
    }

    /// Returns true when the primary run of a task or its copy is placed on a worker.
    pub(in crate::sched) fn is_on(&self, key: TaskKey, name: &Name) -> bool {
        self.placed_on.get(&key) == Some(name) || self.copies.is_on(key, name)
    }

    /// Returns the worker that a run to be started is placed on.
    pub(in crate::sched) fn worker_of_run(&self, key: TaskKey, run: u32) -> Option<Name> {
        if let Some(copy) = self.copies.get(key).filter(|copy| copy.run == run) {
            return Some(copy.worker.clone());
        }
        // A copy may have been released since, while the primary run goes on.
        let other = |p: &Placement| p.speculative && p.run != run;
        if self.placement_of(key).is_some_and(other) {
            return None;
        }
        self.placed_on.get(&key).cloned()
    }

    /// Releases the run of a task on a worker: its copy if that is there, or its primary run.
    pub(in crate::sched) fn release_run(&mut self, key: TaskKey, name: &Name) {
        match self.copies.is_on(key, name) {
            true => self.release_copy(key),
            false => self.release_task(key),
        }
    }

    /// Releases the copy of a task. The primary run goes on.
    fn release_copy(&mut self, key: TaskKey) {
        let now = self.now.steady;
        let Some(copy) = self.copies.remove(key, now) else {
            return;
        };
        if !copy.decided {
            let lost = self.core_time(key, &copy.worker);
            self.log_decision(key, copy.run, "primary", "copy-ended", lost);
        }
        if let Some(worker) = self.workers.get_mut(&copy.worker) {
            worker.remove(key, now);
        }
        self.saturated = false;
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.copy = None;
            self.journal.mark_changed(key.job);
        }
    }

    /// Makes the copy of a task its primary run, after the primary run was released. Returns false
    /// if there is no copy.
    pub(in crate::sched) fn promote_copy(&mut self, key: TaskKey) -> bool {
        let Some(copy) = self.copies.remove(key, self.now.steady) else {
            return false;
        };
        if !copy.decided {
            self.log_decision(key, copy.run, "copy", "primary-ended", 0);
        }
        self.placed_on.insert(key, copy.worker.clone());
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|job| job.task_mut(key)) else {
            return true;
        };
        let stored = task.copy.take();
        if matches!(task.phase, Phase::Placed(_)) {
            task.phase = Phase::Placed(copy.worker);
            task.long_lease = stored.as_ref().is_some_and(|copy| copy.long_lease);
        }
        // Also of a task that is done: the worker of the copy may not be listed yet, and is given
        // the run by this number then.
        task.run = copy.run;
        task.boot = stored.and_then(|copy| copy.boot);
        self.journal.mark_changed(key.job);
        true
    }

    /// Records that the run of a task on a worker was successful, if the task has a copy.
    pub(in crate::sched) fn record_winner(&mut self, key: TaskKey, name: &Name) {
        if !self.copies.decide(key) {
            return;
        }
        let Some(copy) = self.copies.get(key).cloned() else {
            return;
        };
        let copy_won = copy.worker == *name;
        let (winner, loser) = match copy_won {
            true => ("copy", self.placed_on.get(&key).cloned()),
            false => ("primary", Some(copy.worker)),
        };
        let lost = loser.map_or(0, |name| self.core_time(key, &name));
        if copy_won {
            self.copies.won += 1;
            crate::metrics::get().copies_won.inc();
        }
        self.log_decision(key, copy.run, winner, "done", lost);
    }

    /// Returns the core-milliseconds that the run of a task on a worker has taken so far.
    fn core_time(&self, key: TaskKey, name: &Name) -> u64 {
        let worker = self.workers.get(name);
        let run = worker.and_then(|w| w.placements.get(&key));
        let time = |run: &Placement| {
            let age: Millis = run.confirmed_at.map_or(0, |at| self.now.steady - at);
            run.cpu * age / 1_000
        };
        run.map_or(0, time)
    }

    /// Logs and counts which run of a task with a copy was kept, and what the other one has cost.
    fn log_decision(&mut self, key: TaskKey, run: u32, won: &str, reason: &str, lost: u64) {
        let task = self.task_name(key);
        log::info!(target: "task", "task={task} run={run} event=copy-decided won={won} reason={reason} lost_core_ms={lost}");
        self.copies.lost += lost;
        crate::metrics::get().copies_lost_core_time.inc_by(lost);
    }
}
