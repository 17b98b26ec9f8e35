//! Placing tasks on workers, in their order and gangs as a whole.

use std::collections::{BTreeMap, BTreeSet};

use super::choice::{Wish, choose};
use super::job::{Phase, TaskKey};
use super::journal::After;
use super::owner::Owner;
use super::paces::FULL_PACE;
use super::spec::{Room, StepSpec};
use super::worker::{Placement, Stage};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two goes, as one looks at all that waits.
const PLACE_PAUSE: Millis = 10;
/// Most tasks that are placed in one go, so that other events get their turn.
const PLACED_AT_ONCE: usize = 200;
/// Fillers that are tried in vain in one go: what one did not find, the next
/// rarely does.
const FILLERS_TRIED: usize = 6;

impl Owner {
    /// Places ready tasks in their order, as far as there is room.
    pub(super) fn place(&mut self) {
        let now = self.now.steady;
        if self.crowded || now < self.next_place || self.journal.doubtful() {
            return;
        }
        self.next_place = now + PLACE_PAUSE;
        let mut misfits: BTreeSet<(Name, Room, bool)> = BTreeSet::new();
        let mut fillers_left = FILLERS_TRIED;
        let mut count = 0;
        for key in self.order() {
            if count >= PLACED_AT_ONCE {
                return;
            }
            if !self.ready.contains_key(&key) {
                continue;
            }
            let job = &self.jobs[&key.job];
            let step = job.step(key);
            let shape = (job.row.queue.service.clone(), step.reserved(), step.filler);
            let plain = step.label.is_empty() && step.spread == 0 && !step.filler;
            let filler = step.filler;
            if misfits.contains(&shape) || (filler && fillers_left == 0) {
                continue;
            }
            let placed = match step.gang {
                true => self.place_gang(key),
                false => self.place_one(key),
            };
            count += placed;
            if placed == 0 && filler {
                fillers_left -= 1;
            }
            if placed == 0 && plain {
                misfits.insert(shape);
            }
        }
        self.crowded = count == 0;
    }

    fn place_one(&mut self, key: TaskKey) -> usize {
        let Some(worker) = self.pick(key, "") else {
            return 0;
        };
        let run = self.jobs[&key.job].task(key).map_or(0, |t| t.run) + 1;
        self.assign(key, run, worker);
        1
    }

    /// Places all members of a gang or none; they share the number of their run.
    fn place_gang(&mut self, key: TaskKey) -> usize {
        let members = self.members(key);
        let job = &self.jobs[&key.job];
        let tasks: Vec<_> = members.iter().filter_map(|m| job.task(*m)).collect();
        if tasks.iter().any(|t| t.phase != Phase::Waiting) {
            return 0;
        }
        let run = tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let one_rack = job.step(key).one_rack;
        let mut rack = Name::from("");
        let mut done = Vec::new();
        for member in &members {
            let Some(worker) = self.pick(*member, &rack) else {
                break;
            };
            if one_rack && rack.is_empty() {
                rack = self.workers[&worker].listing.rack().into();
            }
            self.assign(*member, run, worker);
            done.push(*member);
        }
        if done.len() == members.len() {
            return done.len();
        }
        for member in done {
            self.free(member);
            if let Some(task) = self.jobs.get_mut(&key.job).and_then(|j| j.task_mut(member)) {
                task.run = run - 1;
            }
        }
        0
    }

    /// Returns all tasks of a task's step and round.
    pub(super) fn members(&self, key: TaskKey) -> Vec<TaskKey> {
        let count = self.jobs.get(&key.job).map_or(0, |j| j.step(key).count);
        (0..count).map(|index| TaskKey { index, ..key }).collect()
    }

    /// Returns the worker for a task, on `rack` unless that is empty.
    fn pick(&self, key: TaskKey, rack: &str) -> Option<Name> {
        let job = &self.jobs[&key.job];
        let task = job.task(key)?;
        let step = job.step(key);
        let wanted;
        let step = match rack {
            "" => step,
            rack => {
                wanted = StepSpec {
                    rack: rack.into(),
                    ..step.clone()
                };
                &wanted
            }
        };
        let mut beside = BTreeMap::new();
        if step.spread > 0 {
            for member in self.members(key) {
                if let Some(worker) = self.placed.get(&member) {
                    *beside.entry(worker.clone()).or_insert(0) += 1;
                }
            }
        }
        let since = self.ready.get(&key).copied().unwrap_or(self.now.steady);
        let wish = Wish {
            waited: self.now.steady - since,
            service: &job.row.queue.service,
            step,
            last_try: !step.lasting && task.failures + 1 >= job.row.queue.attempts,
            image: self.pressure.number_of(&step.image),
            pressure: &self.pressure,
            avoid: self.failed_on.get(&key).map_or("", |w| w),
            beside: &beside,
        };
        choose(&self.workers, &wish, self.now.steady)
    }

    /// Gives a task to a worker; the start is sent once the store holds it.
    fn assign(&mut self, key: TaskKey, run: u32, name: Name) {
        self.ready.remove(&key);
        let placement = self.placement(key, run, Stage::Recording);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if let Some(task) = job.task_mut(key) {
            task.run = run;
            task.phase = Phase::Placed(name.clone());
        }
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.put(key, placement);
        }
        self.placed.insert(key, name);
        self.journal.after(key.job, After::Start(key, run));
    }

    /// Returns what a run of a task takes on its worker.
    pub(super) fn placement(&mut self, key: TaskKey, run: u32, stage: Stage) -> Placement {
        let step = self.jobs[&key.job].step(key);
        let image_number = self.pressure.intern(&step.image);
        Placement {
            run,
            stage,
            room: step.reserved(),
            soft: if step.filler { step.room.cpu } else { 0 },
            serving: step.target > 0,
            filler: step.filler,
            image: step.image.clone(),
            image_number,
            target: step.target,
            cpu: step.room.cpu,
            pace: FULL_PACE,
            pacing: false,
            at_work: false,
            gauge: None,
            since: self.now.steady,
        }
    }
}
