//! Batch tasks: which starts where, which yields, and what is recorded.

use std::collections::{BTreeMap, BTreeSet};

use super::room::Worker;
use super::runs::{Called, Report, Run, RunId, RunPhase, RunState};
use super::state::Cell;
use super::{Action, Pick, Size};
use crate::constants::WHOLE;
use crate::invariant::{self, Rule};
use crate::job::{LotRow, Phase, Versioned};
use crate::lease::Written;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Starts of one tick, so that a tick stays short.
const STARTS: usize = 64;
/// Shares with which a run may start, in thousandths, the best first.
const SHARES: [u32; 3] = [WHOLE, WHOLE / 2, LOWEST];
/// Milliseconds after which a waiting task starts at the lowest share though
/// it hurts services, so that none waits for ever.
const STARVED: Millis = 10_000;
/// Milliseconds for which a service counts as in use after a request.
const IN_USE: Millis = 5_000;
/// Lowest share to which a run is throttled, in thousandths.
const LOWEST: u32 = 250;
/// Milliseconds between two steps of throttling on one worker.
const STEP: Millis = 1_000;
/// Milliseconds at the lowest share before a run is evicted.
const PERSIST: Millis = 3_000;
/// Milliseconds between two evictions on one worker, unless for urgent work.
const COOL: Millis = 5_000;
/// Failures in a row, of two jobs or more, that put a worker in quarantine.
const FAILURES: usize = 3;

/// Doublings of a quarantine at most.
const BACKOFF: u32 = 4;

/// Where a task is, beyond what its row tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Live {
    /// It may be started.
    Waiting,
    /// An earlier owner may have started it where nobody answers.
    Held,
    /// It may be running.
    Running(RunId),
    /// Its last run has ended and that is not recorded yet.
    Recording,
    /// It needs no further run.
    Ended,
}

impl Live {
    /// Returns the word for operators.
    pub fn word(&self, phase: Phase) -> &'static str {
        match (self, phase) {
            (Self::Waiting, _) => "waiting",
            (Self::Held, _) => "held",
            (Self::Running(_), _) => "running",
            (Self::Recording, _) => "recording",
            (Self::Ended, Phase::Done) => "done",
            (Self::Ended, Phase::Failed) => "failed",
            (Self::Ended, _) => "cancelled",
        }
    }
}

/// A task that looks for a worker.
struct Wanted<'a> {
    kind: &'a str,
    size: Size,
    urgent: bool,
    /// True when it has waited so long that it may hurt.
    starved: bool,
    /// Worker on which its last run failed.
    shunned: Option<Name>,
}

/// What one write of a lot's row settles.
#[derive(Clone, Debug)]
struct Writing {
    seq: u64,
    recorded: Vec<usize>,
    acks: Vec<(Name, RunId)>,
}

/// A lot of the cell.
#[derive(Clone, Debug)]
pub struct Lot {
    /// Version of its row.
    pub version: u64,
    /// Its row as it is to be.
    pub row: LotRow,
    /// Where each task is.
    pub live: Vec<Live>,
    /// True once its job was cancelled.
    pub cancelled: bool,
    /// When a task of it last started, or when it came.
    since: Millis,
    dirty: bool,
    writing: Option<Writing>,
    reread: bool,
    acks: Vec<(Name, RunId)>,
    /// Worker of the last failed run of each task.
    shunned: BTreeMap<usize, Name>,
}

impl Lot {
    fn new(now: Millis, versioned: Versioned, fresh: bool) -> Self {
        let start = |phase| match phase {
            Phase::Open if fresh => Live::Waiting,
            Phase::Open => Live::Held,
            _ => Live::Ended,
        };
        let live = versioned.row.tasks.iter().map(|t| start(t.phase)).collect();
        Self {
            version: versioned.version,
            row: versioned.row,
            live,
            cancelled: false,
            since: now,
            dirty: false,
            writing: None,
            reread: false,
            acks: Vec::new(),
            shunned: BTreeMap::new(),
        }
    }

    /// Returns true when every task has ended and that is recorded.
    pub fn ended(&self) -> bool {
        let done = self.live.iter().all(|l| *l == Live::Ended);
        done && !self.dirty && self.writing.is_none()
    }

    /// Returns true when its row must be read, as a write is in doubt.
    pub fn reread(&self) -> bool {
        self.reread
    }

    /// Returns true when nothing of it is to be written or read.
    pub fn quiet(&self) -> bool {
        !self.dirty && self.writing.is_none() && !self.reread
    }

    fn index(&self, task: u32) -> Option<usize> {
        self.row.tasks.iter().position(|t| t.index == task)
    }
}

impl Cell {
    /// Takes in the lots of the cell as read after it was won.
    pub fn load(&mut self, now: Millis, lots: Vec<Versioned>) {
        // Nothing of an earlier owner can be running where there was none.
        let fresh = self.epoch == 1;
        for versioned in lots {
            self.add(now, versioned, fresh);
        }
        self.loaded = true;
    }

    /// Takes in a lot that was read later: new, or known already.
    pub fn offer(&mut self, now: Millis, versioned: Versioned) {
        // A read that is older than the end of a lot must not bring it back.
        let closed = self.closed.get(&versioned.key);
        let old = closed.is_some_and(|version| versioned.version <= *version);
        if old || self.lots.contains_key(&versioned.key) || !self.loaded {
            return;
        }
        // Another owner's mark means that it may have been started before.
        let fresh = versioned.row.epoch == 0;
        self.add(now, versioned, fresh);
    }

    fn add(&mut self, now: Millis, versioned: Versioned, fresh: bool) {
        let key = versioned.key.clone();
        let lot = Lot::new(now, versioned, fresh);
        if !lot.ended() {
            self.lots.entry(key).or_insert(lot);
        }
    }

    /// Returns the run of a task and its worker.
    pub fn run(&self, live: &Live) -> Option<(&Worker, &Run)> {
        let Live::Running(id) = live else {
            return None;
        };
        let holds = |w: &'_ &Worker| w.runs.contains_key(id);
        let worker = self.workers.values().find(holds)?;
        Some((worker, worker.runs.get(id)?))
    }

    /// Cancels the tasks of some jobs; what runs is stopped.
    pub fn cancel(&mut self, jobs: &[Name]) -> Vec<Action> {
        for lot in self.lots.values_mut() {
            if !jobs.contains(&lot.row.spec.id) || lot.cancelled {
                continue;
            }
            lot.cancelled = true;
            for (index, live) in lot.live.iter_mut().enumerate() {
                if *live == Live::Waiting {
                    *live = Live::Ended;
                    lot.row.tasks[index].phase = Phase::Cancelled;
                    lot.dirty = true;
                }
            }
        }
        let mut stops = Vec::new();
        for worker in self.workers.values() {
            let runs = worker.running().filter(|r| jobs.contains(&r.job));
            stops.extend(runs.map(|r| (worker.name.clone(), r.id)));
        }
        stops
            .into_iter()
            .filter_map(|(worker, run)| self.stop(&worker, run, false))
            .collect()
    }

    /// Lets tasks start that an earlier owner can no longer have running.
    ///
    /// A start that it sent may lie unread before a worker that stands still,
    /// so every listed worker must have answered, and some time ago.
    pub fn unhold(&mut self, now: Millis) {
        let settled = |w: &Worker| !w.listed || (w.known && now > w.awake + self.margin);
        if now < self.hold || !self.loaded || !self.workers.values().all(settled) {
            return;
        }
        for lot in self.lots.values_mut() {
            // Work that a worker told of is recorded before it is resumed.
            if !lot.quiet() {
                continue;
            }
            for live in &mut lot.live {
                if *live == Live::Held {
                    *live = Live::Waiting;
                }
            }
            if lot.cancelled {
                end_waiting(lot);
            }
        }
    }

    /// Starts waiting tasks where there is room.
    pub fn start(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.leaving || !self.loaded {
            return actions;
        }
        let mut passed = BTreeSet::new();
        while actions.len() < STARTS {
            let Some(key) = self.next(&passed) else {
                break;
            };
            match self.start_one(now, &key) {
                Some(action) => actions.push(action),
                None => {
                    actions.extend(self.start_urgent(now, &key));
                    passed.insert(key);
                }
            }
        }
        actions
    }

    /// Returns the lot whose task is to start next: urgent ones first, then
    /// the team with the least of its quota in use, then the oldest.
    fn next(&self, passed: &BTreeSet<Name>) -> Option<Name> {
        let ready = self
            .lots
            .iter()
            .filter(|(key, lot)| !passed.contains(*key) && lot.live.contains(&Live::Waiting))
            .filter(|(_, lot)| self.within_quota(lot));
        let rank = |(key, lot): &(&Name, &Lot)| {
            let team = &lot.row.spec.team;
            let used = self.teams.get(team).copied().unwrap_or(0);
            let weight = self.weight(team);
            let share = (used as f64 / weight * 1_000.0) as u64;
            (
                !lot.row.spec.urgent,
                share,
                lot.row.submitted,
                (*key).clone(),
            )
        };
        ready.min_by_key(rank).map(|(key, _)| key.clone())
    }

    fn within_quota(&self, lot: &Lot) -> bool {
        let spec = &lot.row.spec;
        let Some(quota) = self.quotas.get(&spec.team) else {
            return true;
        };
        let used = self.teams.get(&spec.team).copied().unwrap_or(0);
        // The quota of the deployment, by this cell's share of its cores; one
        // task always may run, or a small cell could never serve a team.
        let part = (quota.cores as f64 * self.part) as u64;
        used == 0 || used + u64::from(spec.size.cores) <= part
    }

    fn weight(&self, team: &str) -> f64 {
        let quota = self.quotas.get(team);
        quota.map_or(1.0, |q| f64::from(q.weight.max(1)))
    }

    fn start_one(&mut self, now: Millis, key: &Name) -> Option<Action> {
        let lot = self.lots.get(key)?;
        let index = lot.live.iter().position(|l| *l == Live::Waiting)?;
        let spec = lot.row.spec.clone();
        let size = self.corrected(&spec.kind, spec.size);
        let shunned = lot.shunned.get(&index).cloned();
        let saved = lot.row.tasks[index].saved;
        let task = lot.row.tasks[index].index;
        let wanted = Wanted {
            kind: &spec.kind,
            size,
            urgent: spec.urgent,
            starved: now >= lot.since + STARVED,
            shunned,
        };
        let (name, share) = self.place(now, wanted)?;
        if self.runs_already(&spec.id, task) || !self.workers.get(&name)?.stays() {
            return None;
        }
        self.counter += 1;
        let id = (self.epoch << 32) | self.counter;
        let worker = self.workers.get_mut(&name)?;
        let run = Run {
            id,
            job: spec.id.clone(),
            task,
            kind: spec.kind.clone(),
            size,
            share,
            floor: 0,
            throttling: false,
            phase: RunPhase::Starting,
            saved,
            progress: saved,
            since: now,
            round: self.round,
            urgent: spec.urgent,
        };
        worker.hold(run.clone());
        worker.renewed = worker.renewed.max(now);
        invariant::check(worker.within(), Rule::Room, || format!("start on {name}"));
        let rpc = worker.rpc;
        *self.teams.entry(spec.team.clone()).or_default() += u64::from(size.cores);
        if let Some(lot) = self.lots.get_mut(key) {
            lot.since = now;
            let before = std::mem::replace(&mut lot.live[index], Live::Running(id));
            invariant::check(before == Live::Waiting, Rule::Resume, || {
                format!("{key} {task}")
            });
        }
        Some(Action::Start {
            worker: name,
            rpc,
            run,
            work: spec.work,
        })
    }

    /// Returns true when a run of a task is held anywhere in the cell.
    fn runs_already(&self, job: &Name, task: u32) -> bool {
        let twin = |r: &Run| r.task == task && r.job == *job;
        let found = self.workers.values().any(|w| w.runs.values().any(twin));
        let detail = || format!("{job} {task} would start beside a run of it");
        !invariant::check(!found, Rule::Place, detail)
    }

    /// Makes room for urgent work: the run whose stop loses least yields.
    fn start_urgent(&mut self, now: Millis, key: &Name) -> Option<Action> {
        let lot = self.lots.get(key)?;
        let spec = &lot.row.spec;
        if !spec.urgent {
            return None;
        }
        let size = self.corrected(&spec.kind, spec.size);
        let yielding = self
            .workers
            .values()
            .any(|w| w.runs.values().any(|r| r.phase == RunPhase::Stopping));
        if yielding {
            return None;
        }
        let index = lot.live.iter().position(|l| *l == Live::Waiting)?;
        let shunned = lot.shunned.get(&index);
        // Only where the urgent task could then run.
        let victims = self
            .workers
            .values()
            .filter(|w| w.open(now) && w.quarantine <= now && Some(&w.name) != shunned);
        let victims = victims.flat_map(|w| w.running().map(move |r| (w, r)));
        let enough = |(w, r): &(&Worker, &Run)| !r.urgent && fits_without(w, r, size);
        let loss = |(_, r): &(&Worker, &Run)| (r.progress.saturating_sub(r.saved), r.id);
        let (worker, run) = victims.filter(enough).min_by_key(loss)?;
        let (worker, run) = (worker.name.clone(), run.id);
        self.evict(now, &worker, run)
    }

    /// Returns a worker for a task and the share with which it may start.
    fn place(&mut self, now: Millis, wanted: Wanted) -> Option<(Name, u32)> {
        let reserve = if wanted.urgent {
            0.0
        } else {
            self.policy.reserve
        };
        let kept = |w: &Worker| (f64::from(w.shape.cores) * reserve) as u32;
        let size = wanted.size;
        let candidates: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| w.open(now) && w.quarantine <= now)
            .filter(|w| Some(&w.name) != wanted.shunned.as_ref())
            .filter(|w| w.fits(size) && w.cores() >= size.cores + kept(w))
            .collect();
        let count = candidates.len() as u64;
        let chosen = match self.policy.place {
            Pick::First => candidates.first().copied(),
            Pick::Least => candidates
                .into_iter()
                .max_by_key(|w| (w.cores(), w.name.clone())),
            Pick::Random => {
                let index = self.random.below(count) as usize;
                candidates.get(index).copied()
            }
            Pick::Turn => {
                self.turn += 1;
                let index = self.turn.checked_rem(count).unwrap_or(0) as usize;
                candidates.get(index).copied()
            }
            Pick::Learned => return self.least_harm(now, candidates, &wanted),
        };
        chosen.map(|w| (w.name.clone(), WHOLE))
    }

    /// Returns the worker on which a task would hurt least, and the largest
    /// share at which that is bearable.
    fn least_harm(
        &self,
        now: Millis,
        workers: Vec<&Worker>,
        wanted: &Wanted,
    ) -> Option<(Name, u32)> {
        let scored = workers
            .into_iter()
            .map(|w| (self.hurt(now, w, wanted.kind), w));
        let ((present, added), worker) =
            scored.min_by(|(a, _), (b, _)| (a.0 + a.1).total_cmp(&(b.0 + b.1)))?;
        if wanted.urgent {
            return Some((worker.name.clone(), WHOLE));
        }
        let bearable = self.bearable() - 1.0;
        let hurt = |share: u32| present + added * f64::from(share) / f64::from(WHOLE);
        let share = SHARES.into_iter().find(|share| hurt(*share) <= bearable);
        let share = share.or(wanted.starved.then_some(LOWEST))?;
        Some((worker.name.clone(), share))
    }

    /// Returns the slowdown above 1 that services see on a worker now, and
    /// what one more run of a kind would add at its whole share. Of several
    /// services the one that would be hurt most counts.
    fn hurt(&self, now: Millis, worker: &Worker, kind: &str) -> (f64, f64) {
        let busy = worker.crowded();
        let mut worst = (0.0, 0.0);
        let in_use = |at: &Millis| now < at + IN_USE;
        for (service, _) in self.used.iter().filter(|(_, at)| in_use(at)) {
            let present: f64 = worker
                .runs
                .values()
                .map(|r| {
                    let share = f64::from(r.share) / f64::from(WHOLE);
                    self.harm.of(service, &r.kind, busy) * share
                })
                .sum();
            let added = self.harm.of(service, kind, busy);
            if present + added > worst.0 + worst.1 {
                worst = (present, added);
            }
        }
        worst
    }

    /// Returns the slowdown of services at which batch has to yield.
    pub fn bearable(&self) -> f64 {
        2.5 - 1.5 * self.policy.tail
    }

    /// Raises a declared size to what runs of the kind were seen to use.
    fn corrected(&self, kind: &str, size: Size) -> Size {
        let factor = self.usage.get(kind).copied().unwrap_or(1.0).clamp(1.0, 4.0);
        let cores = (f64::from(size.cores) * factor) as u32;
        let most = self.workers.values().map(|w| w.shape.cores).max();
        Size {
            cores: cores.min(most.unwrap_or(size.cores)).max(size.cores),
            ..size
        }
    }

    /// Throttles or evicts where services are hurt, and lets go where not.
    pub fn relieve(&mut self, now: Millis) -> Vec<Action> {
        if !self.policy.throttle {
            return Vec::new();
        }
        let bearable = self.bearable();
        let mut steps = Vec::new();
        for worker in self.workers.values() {
            if !worker.known || now < worker.throttled + STEP {
                continue;
            }
            let slow = self.slowdowns.get(&worker.name).copied().unwrap_or(1.0);
            if slow > bearable {
                steps.extend(self.slow_down(now, worker));
            } else if slow < 1.0 + (bearable - 1.0) * 0.6 {
                steps.extend(speed_up(worker));
            }
        }
        let mut actions = Vec::new();
        for (name, run, share) in steps {
            let action = match share {
                Some(share) => self.throttle(now, &name, run, share),
                None => self.evict(now, &name, run),
            };
            actions.extend(action);
        }
        actions
    }

    /// Returns the next step against the run that hurts most: half its share,
    /// or its eviction when that did not help for a while.
    fn slow_down(&self, now: Millis, worker: &Worker) -> Option<(Name, RunId, Option<u32>)> {
        let busy = worker.crowded();
        let services: Vec<&Name> = worker.active.values().map(|a| &a.service).collect();
        let harm = |r: &Run| -> f64 {
            let known = services.iter().map(|s| self.harm.of(s, &r.kind, busy));
            known.fold(0.0, f64::max) * f64::from(r.share)
        };
        let worst = worker
            .running()
            .max_by(|a, b| harm(a).total_cmp(&harm(b)))?;
        if worst.share > LOWEST {
            let share = (worst.share / 2).max(LOWEST);
            return Some((worker.name.clone(), worst.id, Some(share)));
        }
        let waited = now >= worst.since + PERSIST && now >= worker.evicted + COOL;
        waited.then(|| (worker.name.clone(), worst.id, None))
    }

    /// Makes room for a waiting critical request that no worker can hold.
    pub fn make_room(&mut self, now: Millis, size: Size) -> Vec<Action> {
        let stuck = |w: &&Worker| w.open(now) && w.slots() > 0 && !w.fits(size);
        let fits = self
            .workers
            .values()
            .any(|w| w.open(now) && w.slots() > 0 && w.fits(size));
        if fits {
            return Vec::new();
        }
        let chosen = self
            .workers
            .values()
            .filter(stuck)
            .filter(|w| now >= w.throttled + STEP)
            .max_by_key(|w| (w.cores(), w.slots()));
        let Some(worker) = chosen else {
            return Vec::new();
        };
        let largest = worker.running().max_by_key(|r| (r.held().cores, r.id));
        let Some(run) = largest else {
            return Vec::new();
        };
        let (name, id, share) = (worker.name.clone(), run.id, run.share);
        let action = match share > LOWEST && self.policy.throttle {
            true => self.throttle(now, &name, id, (share / 2).max(LOWEST)),
            false => self.evict(now, &name, id),
        };
        action.into_iter().collect()
    }

    fn throttle(&mut self, now: Millis, name: &Name, id: RunId, share: u32) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        let rpc = worker.rpc;
        let run = worker.runs.get(&id).filter(|r| !r.throttling)?;
        let (old, held) = (run.share, run.held().cores);
        let wanted = run.size.at(share).cores;
        if share > old && wanted > worker.cores() + held {
            return None;
        }
        worker.throttled = now;
        // More is counted at once, less only when the worker has confirmed it.
        worker.change(id, |r| {
            r.throttling = true;
            r.share = r.share.max(share);
        });
        Some(Action::Throttle {
            worker: name.clone(),
            rpc,
            run: id,
            share,
        })
    }

    /// Takes in how a throttle ended.
    pub fn throttled(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        id: RunId,
        share: u32,
        called: Called,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        worker.change(id, |r| {
            r.throttling = false;
            match called {
                Called::Done(_) => {
                    r.share = share;
                    r.since = now;
                }
                Called::Lost => r.floor = r.floor.max(share),
                Called::Refused => {}
            }
        });
        self.pump(now, micros)
    }

    fn evict(&mut self, now: Millis, name: &Name, id: RunId) -> Option<Action> {
        let action = self.stop(name, id, true)?;
        let worker = self.workers.get_mut(name)?;
        worker.evicted = now;
        worker.throttled = now;
        self.evictions += 1;
        Some(action)
    }

    fn stop(&mut self, name: &Name, id: RunId, checkpoint: bool) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        let rpc = worker.rpc;
        worker.change(id, |r| r.phase = RunPhase::Stopping)?;
        Some(Action::Stop {
            worker: name.clone(),
            rpc,
            run: id,
            checkpoint,
        })
    }

    /// Takes in how a start ended.
    pub fn started(&mut self, now: Millis, name: &Name, id: RunId, called: Called) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        match called {
            Called::Done(_) => {
                worker.change(id, |r| {
                    if r.phase == RunPhase::Starting {
                        r.phase = RunPhase::Running;
                        r.since = now;
                    }
                });
            }
            Called::Lost => {
                worker.change(id, |r| {
                    if r.phase == RunPhase::Starting {
                        r.phase = RunPhase::Doubt;
                        r.since = now;
                    }
                });
            }
            Called::Refused => {
                if let Some(run) = worker.free(now, id) {
                    self.unstarted(&run);
                }
            }
        }
        self.stop_cancelled(name, id)
    }

    /// Stops a run whose job was cancelled while it started.
    fn stop_cancelled(&mut self, name: &Name, id: RunId) -> Vec<Action> {
        let run = self.workers.get(name).and_then(|w| w.runs.get(&id));
        let Some(job) = run
            .filter(|r| r.phase == RunPhase::Running)
            .map(|r| r.job.clone())
        else {
            return Vec::new();
        };
        let cancelled = self
            .lots
            .values()
            .any(|l| l.cancelled && l.row.spec.id == job);
        match cancelled {
            true => self.stop(name, id, false).into_iter().collect(),
            false => Vec::new(),
        }
    }

    /// Puts a task back whose run never started.
    fn unstarted(&mut self, run: &Run) {
        let ended = self.uncount(run);
        let Some((lot, index)) = ended else {
            return;
        };
        lot.live[index] = Live::Waiting;
        if lot.cancelled {
            lot.live[index] = Live::Ended;
            lot.row.tasks[index].phase = Phase::Cancelled;
            lot.dirty = true;
        }
    }

    /// Takes a run out of its team's count; returns the task if it is its run.
    fn uncount(&mut self, run: &Run) -> Option<(&mut Lot, usize)> {
        let (lot, index) = self.task(&run.job, run.task)?;
        let team = lot.row.spec.team.clone();
        if let Some(used) = self.teams.get_mut(&team) {
            *used = used.saturating_sub(u64::from(run.size.cores));
        }
        let (lot, index) = self.task(&run.job, run.task).filter(|(_, i)| *i == index)?;
        (lot.live[index] == Live::Running(run.id)).then_some((lot, index))
    }

    /// Takes in how a stop ended.
    pub fn stopped(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        id: RunId,
        called: Called,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        // A lost or refused stop is settled by the next exchange.
        if let Called::Done(kept) = called
            && let Some(run) = worker.free(now, id)
        {
            self.end(now, name, &run, RunState::Stopped, kept);
        }
        self.pump(now, micros)
    }

    /// Takes in that a run has ended; its task's row is changed and written.
    pub fn end(&mut self, now: Millis, name: &Name, run: &Run, state: RunState, kept: Millis) {
        let failures = self.policy.failures;
        let Some((lot, index)) = self.uncount(run) else {
            return;
        };
        let task = &mut lot.row.tasks[index];
        let cancelled = lot.cancelled;
        match state {
            RunState::Finished => task.phase = Phase::Done,
            _ if cancelled => task.phase = Phase::Cancelled,
            RunState::Failed => {
                task.failures += 1;
                lot.shunned.insert(index, name.clone());
                if task.failures >= failures {
                    task.phase = Phase::Failed;
                }
            }
            RunState::Stopped | RunState::Running => {
                task.evictions += 1;
                task.saved = task.saved.max(kept);
            }
        }
        lot.live[index] = match task.phase {
            Phase::Open => Live::Recording,
            _ => Live::Ended,
        };
        lot.dirty = true;
        lot.acks.push((name.clone(), run.id));
        let job = run.job.clone();
        match state {
            RunState::Finished => self.succeeded(name),
            RunState::Failed => self.strike(now, name, job),
            RunState::Stopped | RunState::Running => {}
        }
    }

    fn succeeded(&mut self, name: &Name) {
        self.finished += 1;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.failing.clear();
            worker.quarantines = 0;
        }
    }

    /// Counts a failed run; a worker that fails the tasks of several jobs is
    /// put in quarantine, and those failures no longer count for the tasks.
    fn strike(&mut self, now: Millis, name: &Name, job: Name) {
        let quarantine = self.policy.quarantine;
        let listed = self.workers.values().filter(|w| w.listed).count();
        let shut = self.workers.values().filter(|w| w.quarantine > now).count();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.failing.push(job);
        let jobs: BTreeSet<&Name> = worker.failing.iter().collect();
        let again = worker.quarantines > 0;
        if !again && (worker.failing.len() < FAILURES || jobs.len() < 2) {
            return;
        }
        // Where half of the workers fail, the fault is more likely the jobs'.
        if (shut + 1) * 2 > listed {
            return;
        }
        let span = quarantine << worker.quarantines.min(BACKOFF);
        worker.quarantine = now + span;
        worker.quarantines += 1;
        let blamed = std::mem::take(&mut worker.failing);
        log::warn!(target: "cell", "{name} fails every task; in quarantine for {span} ms");
        for lot in self.lots.values_mut() {
            if blamed.contains(&lot.row.spec.id) {
                forgive(lot, name);
            }
        }
    }

    /// Takes in a worker's word on a run.
    pub fn settle(&mut self, now: Millis, name: &Name, report: &Report) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        if report.state != RunState::Running {
            let held = worker.free(now, report.id);
            let run = held.unwrap_or_else(|| adopted(report, now));
            self.settle_ended(now, name, &run, report);
            return None;
        }
        if worker.has_ended(report.id) {
            return None;
        }
        match worker.runs.contains_key(&report.id) {
            true => {
                worker.change(report.id, |r| {
                    r.progress = report.progress;
                    // A report may be older than the last change of the share.
                    r.share = r.share.max(report.share);
                    if matches!(r.phase, RunPhase::Starting | RunPhase::Doubt) {
                        r.phase = RunPhase::Running;
                        r.since = now;
                    }
                });
                if !self.loaded {
                    return None;
                }
                self.adopt(name, report, now)
            }
            false => {
                worker.hold(adopted(report, now));
                if !self.loaded {
                    return None;
                }
                self.adopt(name, report, now)
            }
        }
    }

    /// Ties a running run to its task, or stops it when it has none.
    fn adopt(&mut self, name: &Name, report: &Report, now: Millis) -> Option<Action> {
        let Some((lot, index)) = self.task(&report.job, report.task) else {
            return self.stop_once(name, report.id);
        };
        match lot.live[index] {
            Live::Running(id) if id == report.id => None,
            Live::Held => {
                lot.live[index] = Live::Running(report.id);
                let team = lot.row.spec.team.clone();
                let urgent = lot.row.spec.urgent;
                let saved = lot.row.tasks[index].saved;
                *self.teams.entry(team).or_default() += u64::from(report.size.cores);
                let worker = self.workers.get_mut(name)?;
                worker.change(report.id, |r| {
                    r.urgent = urgent;
                    r.saved = saved;
                    r.since = now;
                });
                None
            }
            other => {
                let twice = matches!(other, Live::Running(_) | Live::Waiting | Live::Recording);
                invariant::check(!twice, Rule::Place, || {
                    format!(
                        "{} {} runs on {name} beside {other:?}",
                        report.job, report.task
                    )
                });
                self.stop_once(name, report.id)
            }
        }
    }

    fn stop_once(&mut self, name: &Name, id: RunId) -> Option<Action> {
        let run = self.workers.get(name)?.runs.get(&id)?;
        match run.phase {
            RunPhase::Stopping => None,
            _ => self.stop(name, id, false),
        }
    }

    /// Takes in a worker's word on a run that has ended.
    fn settle_ended(&mut self, now: Millis, name: &Name, run: &Run, report: &Report) {
        let Some((lot, index)) = self.task(&run.job, run.task) else {
            return self.acknowledge(name, run.id);
        };
        match lot.live[index] {
            Live::Running(id) if id == run.id => {
                self.end(now, name, run, report.state, report.progress);
            }
            // A finished task is done, whichever of its runs finished it.
            Live::Held if report.state == RunState::Finished => {
                lot.live[index] = Live::Running(run.id);
                self.end(now, name, run, report.state, report.progress);
            }
            // It may not be the last run of the task: its work is kept, and
            // the task is held on.
            Live::Held => {
                let task = &mut lot.row.tasks[index];
                task.saved = task.saved.max(report.progress);
                lot.dirty = true;
                lot.acks.push((name.clone(), run.id));
            }
            _ => self.acknowledge(name, run.id),
        }
    }

    /// Returns the lot of a task and its place in there.
    fn task(&mut self, job: &Name, task: u32) -> Option<(&mut Lot, usize)> {
        let holds = |l: &&mut Lot| l.row.spec.id == *job && l.index(task).is_some();
        let lot = self.lots.values_mut().find(holds)?;
        let index = lot.index(task)?;
        Some((lot, index))
    }

    /// Lets a worker forget a run, unless its end is yet to be recorded.
    fn acknowledge(&mut self, name: &Name, id: RunId) {
        if !self.loaded || self.awaits(id) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.acks.contains(&id)
        {
            worker.acks.push(id);
        }
    }

    fn awaits(&self, id: RunId) -> bool {
        let pending = |w: &Writing| w.acks.iter().any(|(_, r)| *r == id);
        self.lots.values().any(|l| {
            l.acks.iter().any(|(_, r)| *r == id) || l.writing.as_ref().is_some_and(pending)
        })
    }

    /// Takes in that a run is not on its worker any more and left no word.
    pub fn vanish(&mut self, now: Millis, name: &Name, id: RunId) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(run) = worker.free(now, id) else {
            return;
        };
        match run.phase {
            RunPhase::Doubt | RunPhase::Starting => self.unstarted(&run),
            _ => self.end(now, name, &run, RunState::Stopped, run.saved),
        }
    }

    /// Writes the rows of changed lots.
    pub fn flush(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.loaded {
            return actions;
        }
        for (key, lot) in &mut self.lots {
            if !lot.dirty || lot.writing.is_some() || lot.reread {
                continue;
            }
            lot.dirty = false;
            lot.row.epoch = self.epoch;
            lot.row.seq += 1;
            let recorded = lot.live.iter().enumerate();
            let recorded = recorded.filter(|(_, l)| **l == Live::Recording);
            lot.writing = Some(Writing {
                seq: lot.row.seq,
                recorded: recorded.map(|(i, _)| i).collect(),
                acks: std::mem::take(&mut lot.acks),
            });
            actions.push(Action::Write {
                key: key.clone(),
                expect: lot.version,
                row: lot.row.clone(),
            });
        }
        actions
    }

    /// Takes in how the write of a lot's row ended.
    pub fn written(&mut self, key: &Name, written: Written) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        match written {
            Written::Committed => {
                lot.version += 1;
                self.recorded(key);
            }
            Written::NotSent => self.unwritten(key),
            Written::Conflict | Written::Unknown => lot.reread = true,
        }
    }

    /// Takes in a lot's row as read after a write in doubt.
    pub fn reread(&mut self, key: &Name, row: Option<&Versioned>) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        let Some(versioned) = row else {
            return;
        };
        lot.reread = false;
        let seq = lot.writing.as_ref().map_or(0, |w| w.seq);
        let ours = versioned.row.epoch == self.epoch && versioned.row.seq == seq;
        lot.version = versioned.version;
        match ours {
            true => self.recorded(key),
            false => self.unwritten(key),
        }
    }

    fn recorded(&mut self, key: &Name) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        let Some(writing) = lot.writing.take() else {
            return;
        };
        for index in writing.recorded {
            if lot.live[index] == Live::Recording {
                lot.live[index] = Live::Waiting;
            }
        }
        if lot.cancelled {
            end_waiting(lot);
        }
        let ended = lot.ended();
        for (name, id) in writing.acks {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.acks.push(id);
            }
        }
        if ended && let Some(lot) = self.lots.remove(key) {
            self.closed.insert(key.clone(), lot.version);
        }
    }

    fn unwritten(&mut self, key: &Name) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        if let Some(writing) = lot.writing.take() {
            lot.acks.extend(writing.acks);
            lot.dirty = true;
        }
    }
}

fn end_waiting(lot: &mut Lot) {
    for (index, live) in lot.live.iter_mut().enumerate() {
        if *live == Live::Waiting {
            *live = Live::Ended;
            lot.row.tasks[index].phase = Phase::Cancelled;
            lot.dirty = true;
        }
    }
}

/// Takes back what a worker's own fault was counted for.
fn forgive(lot: &mut Lot, name: &Name) {
    let blamed: Vec<usize> = lot
        .shunned
        .iter()
        .filter(|(_, worker)| *worker == name)
        .map(|(index, _)| *index)
        .collect();
    for index in blamed {
        let task = &mut lot.row.tasks[index];
        task.failures = task.failures.saturating_sub(1);
        if task.phase == Phase::Failed {
            continue;
        }
        lot.dirty = true;
    }
}

fn adopted(report: &Report, now: Millis) -> Run {
    Run {
        id: report.id,
        job: report.job.clone(),
        task: report.task,
        kind: report.kind.clone(),
        size: report.size,
        share: report.share,
        // An earlier owner may have raised its share without an answer.
        floor: WHOLE,
        throttling: false,
        phase: RunPhase::Running,
        saved: 0,
        progress: report.progress,
        since: now,
        round: 0,
        urgent: false,
    }
}

/// Returns the next step towards a run's full share on a calm worker.
fn speed_up(worker: &Worker) -> Option<(Name, RunId, Option<u32>)> {
    let run = worker.running().find(|r| r.share < WHOLE)?;
    let share = (run.share * 2).min(WHOLE);
    Some((worker.name.clone(), run.id, Some(share)))
}

fn fits_without(worker: &Worker, run: &Run, size: Size) -> bool {
    let mut rest = worker.clone();
    rest.drop_run(run.id);
    rest.fits(size)
}
