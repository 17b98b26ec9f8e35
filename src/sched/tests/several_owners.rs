//! Randomised simulations of boxes that replace each other as owners, while earlier owners are
//! suspended, cut off from the store or from workers, and act on late.

use std::collections::{BTreeMap, BTreeSet};

use super::random::seeds;
use super::world::{Faults, World, job, step};
use crate::sched::fences::next_epoch;
use crate::sched::job::JobState;
use crate::sched::journal::OwnerRow;
use crate::sched::message::RunOutcome;
use crate::sched::predecessors::owners_to_notify;
use crate::sched::spec::JobSpec;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Boxes that may be the owner.
const BOXES: u16 = 5;
/// Workers.
const WORKERS: u16 = 6;
/// Random changes in one simulation.
const CHANGES: u64 = 32;
/// Milliseconds between two random changes.
const CHANGE_INTERVAL: Millis = 1_500;
/// Milliseconds between two pings of a follower, and the highest delay of one that is late.
const FOLLOWER_INTERVAL: Millis = 200;
const MAX_PING_DELAY: u64 = 3_000;
/// Milliseconds between two pings that notify a predecessor.
const PING_INTERVAL: Millis = 50;
/// Milliseconds from one takeover to the next: mostly so long that all leases of earlier owners have
/// ended, sometimes not.
const TAKEOVER_INTERVALS: [Millis; 3] = [16_000, 16_000, 2_000];
/// Longest time in milliseconds for which a machine is suspended.
const MAX_SUSPENSION: u64 = 6_000;
/// Milliseconds after which a released cell is taken over.
const RELEASE_TIME: Millis = 20;
/// Longest time in milliseconds for which a box answers no pings.
const MAX_SILENCE: u64 = 15_000;
/// Milliseconds without faults at the end, in which all jobs have to end.
const RECOVERY_TIME: Millis = 200_000;
/// Milliseconds for which finished jobs are kept: longer than a simulation.
const RETENTION: Millis = 3_600_000;

/// A predecessor that the owner of an epoch notifies.
struct Notice {
    epoch: u64,
    row: OwnerRow,
    last: bool,
}

/// A follower's ping on its way to the owner of an epoch.
struct Ping {
    arrives: Millis,
    from: u16,
    epoch: u64,
    clock: Millis,
}

/// Boxes that replace each other as the owner.
struct Cluster {
    world: World,
    random: Random,
    /// The box of the present owner.
    serving: u16,
    /// Box of each earlier owner by epoch.
    boxes: Vec<(u64, u16)>,
    notices: Vec<Notice>,
    /// Time before which no box takes over.
    next_takeover: Millis,
    /// Until when the box of the owner of an epoch answers no pings.
    silent: BTreeMap<u64, Millis>,
    /// Highest epoch that each box has acquired. It confirms no owner before.
    acquired: BTreeMap<u16, u64>,
    /// Last clock reading that a box has from the owner of an epoch.
    readings: BTreeMap<(u16, u64), Millis>,
    /// Pings on their way.
    pings: Vec<Ping>,
    /// Boxes that can't reach the owner of an epoch.
    cut_followers: BTreeSet<(u16, u64)>,
    /// How often a listed follower replaced an owner that may have gone on.
    listed: usize,
    /// How often a new owner learned that its predecessor has ended.
    proofs: usize,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut world = World::new(WORKERS);
        world.seed(seed ^ 1);
        world.settings.retention = RETENTION;
        world.owner.change_settings(world.settings);
        world.script = |task, run| {
            let number = task.bytes().map(u64::from).sum::<u64>() + u64::from(run);
            let long = number.is_multiple_of(2);
            (if long { 13_000 } else { 900 }, RunOutcome::Done)
        };
        Self {
            world,
            random: Random::new(seed),
            serving: 0,
            boxes: Vec::new(),
            notices: Vec::new(),
            next_takeover: 0,
            silent: BTreeMap::new(),
            acquired: BTreeMap::new(),
            readings: BTreeMap::new(),
            pings: Vec::new(),
            cut_followers: BTreeSet::new(),
            listed: 0,
            proofs: 0,
        }
    }

    /// Advances the time, in which new owners notify their predecessors.
    fn run(&mut self, span: Millis) {
        for _ in 0..span / PING_INTERVAL {
            self.world.run(PING_INTERVAL);
            self.notify_predecessors();
            self.deliver_pings();
            if self.world.now.is_multiple_of(FOLLOWER_INTERVAL) {
                self.ping_owners();
            }
        }
    }

    /// Has each box ping all owners that it may still confirm, also those that were replaced.
    fn ping_owners(&mut self) {
        let mut owners = self.boxes.clone();
        owners.push((self.world.owner_epoch(), self.serving));
        for (epoch, owner) in owners {
            for from in (0..BOXES).filter(|number| *number != owner) {
                if self.acquired.get(&from).is_some_and(|own| *own > epoch) {
                    continue;
                }
                let delay = match self.random.below(10) {
                    0 => continue,
                    1 => self.random.below(MAX_PING_DELAY),
                    _ => 0,
                };
                let clock = self.readings.get(&(from, epoch)).copied();
                self.pings.push(Ping {
                    arrives: self.world.now + delay,
                    from,
                    epoch,
                    clock: clock.unwrap_or(0),
                });
            }
        }
        self.deliver_pings();
    }

    /// Delivers the pings that have arrived, and the replies to them.
    fn deliver_pings(&mut self) {
        let now = self.world.now;
        let due = |ping: &Ping| ping.arrives <= now;
        let arrived: Vec<Ping> = self.pings.extract_if(.., |ping| due(ping)).collect();
        for ping in arrived {
            let cut = self.cut_followers.contains(&(ping.from, ping.epoch));
            let silent = self.silent.get(&ping.epoch).is_some_and(|at| now < *at);
            if cut || silent {
                continue;
            }
            let address = ([127, 0, 0, 1], 1 + ping.from).into();
            let reply = self.world.ping_owner(ping.epoch, address, ping.clock);
            if let Some(clock) = reply.filter(|_| self.random.chance(0.9)) {
                self.readings.insert((ping.from, ping.epoch), clock);
            }
        }
    }

    /// Pings the predecessors, and tells the present owner of the end of the last that could act.
    fn notify_predecessors(&mut self) {
        let epoch = self.world.owner_epoch();
        let notices = std::mem::take(&mut self.notices);
        for notice in notices.into_iter().filter(|n| n.epoch == epoch) {
            // An owner that answers handles nothing of its queue afterwards.
            let earlier = notice.row.epoch;
            let silent = self.silent.get(&earlier);
            let silent = silent.is_some_and(|until| self.world.now < *until);
            if silent || !self.world.end_earlier_owner(earlier) {
                self.notices.push(notice);
                continue;
            }
            if notice.last {
                self.proofs += 1;
                self.world.owner.record_predecessor_end(self.world.clock());
            }
        }
    }

    /// Has a box take over that is not an owner; `restarted` has the box of the present owner take
    /// over from its own killed process.
    fn take_over(&mut self, restarted: bool) {
        let active = self.world.earlier_owners();
        self.boxes.retain(|(epoch, _)| active.contains(epoch));
        let is_owner = |number: &u16| self.boxes.iter().any(|(_, owner)| owner == number);
        let free = (0..BOXES).filter(|n| *n != self.serving && !is_owner(n));
        let free: Vec<u16> = free.collect();
        let next = match (restarted, free.len() as u64) {
            (true, _) => self.serving,
            (false, 0) => return,
            (false, count) => free[self.random.below(count) as usize],
        };
        let epoch = self.world.owner_epoch();
        let name: Name = format!("box-{next}").into();
        let (before, row) = self.world.take_over_beside(name, 1 + next);
        self.boxes.push((epoch, self.serving));
        self.acquired.insert(next, row.epoch);
        self.listed += usize::from(!restarted && before.followers.contains(&row.address));
        if restarted {
            self.world.kill_earlier_owner(epoch);
        }
        self.serving = next;
        let epoch = row.epoch;
        let notices = owners_to_notify(Some(before), None, &row).into_iter();
        self.notices
            .extend(notices.map(|(row, last)| Notice { epoch, row, last }));
    }

    /// Has a box take over that can't reach some workers, from an owner that goes on there.
    fn split(&mut self) {
        let index = self.random.below(TAKEOVER_INTERVALS.len() as u64) as usize;
        self.next_takeover = self.world.now + TAKEOVER_INTERVALS[index];
        let epoch = self.world.owner_epoch();
        for _ in 0..WORKERS / 2 {
            let worker = self.random_worker();
            self.world.toggle_worker(next_epoch(epoch), worker);
        }
        if self.random.chance(0.7) {
            self.world.toggle_store(epoch);
        }
        if self.random.chance(0.5) {
            let until = self.world.now + self.random.below(MAX_SILENCE);
            self.silent.insert(epoch, until);
        }
        match self.random.below(8) {
            0 => {
                self.world.owner.release(self.world.clock());
                self.world.run(RELEASE_TIME);
            }
            1..=4 => self.world.suspend(100 + self.random.below(MAX_SUSPENSION)),
            _ => {}
        }
        self.take_over(false);
    }

    fn random_worker(&mut self) -> Name {
        format!("w{}", self.random.below(u64::from(WORKERS))).into()
    }

    /// Returns the epoch of the present or of a random earlier owner.
    fn random_epoch(&mut self) -> u64 {
        let earlier = self.world.earlier_owners();
        let index = self.random.below(earlier.len() as u64 + 1) as usize;
        let present = self.world.owner_epoch();
        earlier.get(index).copied().unwrap_or(present)
    }

    /// Applies a random change, or has a random box take over if a takeover is due.
    fn change(&mut self) {
        if self.world.now >= self.next_takeover {
            return self.split();
        }
        let worker = self.random_worker();
        let epoch = self.random_epoch();
        match self.random.below(20) {
            0 | 1 => self.world.suspend(100 + self.random.below(MAX_SUSPENSION)),
            2..=4 => self.world.toggle_worker(epoch, worker),
            5 => self.world.toggle_store(epoch),
            6 => self.take_over(true),
            7 => {
                if let Some(worker) = self.world.workers.get_mut(&worker) {
                    worker.disconnected = !worker.disconnected;
                }
            }
            9 | 10 => {
                let cut = (self.random.below(u64::from(BOXES)) as u16, epoch);
                if !self.cut_followers.remove(&cut) {
                    self.cut_followers.insert(cut);
                }
            }
            8 => {
                self.world.faults = Faults {
                    lost_replies: 0.2 * self.random.unit(),
                    delayed_calls: 0.2 * self.random.unit(),
                    lost_commit_replies: 0.3 * self.random.unit(),
                    ..Faults::default()
                }
            }
            _ => {}
        }
    }

    /// Ends all faults, with a last owner that no other one follows.
    fn recover(&mut self) {
        self.world.faults = Faults::default();
        self.world.reconnect_owners();
        for worker in self.world.workers.values_mut() {
            worker.disconnected = false;
        }
        self.silent.clear();
        self.cut_followers.clear();
        self.run(MAX_SUSPENSION);
        self.take_over(true);
        self.run(MAX_SUSPENSION);
    }

    /// Returns true when all jobs are complete.
    fn all_complete(&mut self, jobs: &[(String, JobSpec)]) -> bool {
        let state = |id: &str| self.world.job_state(id);
        let mut states = jobs.iter().map(|(id, _)| id.as_str()).map(state);
        states.all(|state| state == Some(JobState::Completed))
    }
}

/// What a simulation has shown.
struct Outcome {
    errors: Vec<String>,
    /// How often a new owner learned that its predecessor has ended.
    proofs: usize,
    /// How often a listed follower replaced an owner that may have gone on.
    listed: usize,
}

/// Simulates random changes drawn from a seed. Listed followers that take over wait `span_cut` ms less
/// than they should for the leases of earlier owners.
fn simulate(seed: u64, span_cut: Millis) -> Outcome {
    let mut cluster = Cluster::new(seed);
    cluster.world.span_cut = span_cut;
    let mut jobs = Vec::new();
    for number in 0..CHANGES {
        let id = format!("job-{number}");
        let tasks = 1 + cluster.random.below(3) as u32;
        let spec = job(vec![step(tasks, 1_000)]);
        jobs.push((id.clone(), spec.clone()));
        cluster.world.submit(&id, spec);
        cluster.change();
        cluster.run(CHANGE_INTERVAL);
    }
    cluster.recover();
    // A job whose submission was not stored is unknown to the last owner.
    for (id, spec) in &jobs {
        cluster.world.submit(id, spec.clone());
    }
    let end = cluster.world.now + RECOVERY_TIME;
    while !cluster.all_complete(&jobs) && cluster.world.now < end {
        cluster.run(PING_INTERVAL);
    }
    let mut errors = std::mem::take(&mut cluster.world.duplicates);
    for (id, _) in jobs {
        let state = cluster.world.job_state(&id);
        if state != Some(JobState::Completed) {
            errors.push(format!("{id} is {state:?}"));
        }
    }
    let running = cluster.world.running().into_iter();
    errors.extend(running.map(|run| format!("{run:?} still runs")));
    Outcome {
        errors,
        proofs: cluster.proofs,
        listed: cluster.listed,
    }
}

/// An owner whose machine resumes after it was replaced extends leases until it learns of its end.
#[test]
fn a_suspended_owner_that_goes_on_is_waited_for_until_it_ends() {
    for ends in [false, true] {
        let mut world = World::new(2);
        world.script = |_, _| (30_000, RunOutcome::Done);
        world.submit("j1", job(vec![step(2, 4_000)]));
        world.run(500);
        let epoch = world.owner_epoch();
        world.toggle_worker(next_epoch(epoch), "w0".into());
        world.toggle_store(epoch);
        world.suspend(2_000);
        let (before, row) = world.take_over_beside("next".into(), 2);
        assert_eq!(
            owners_to_notify(Some(before.clone()), None, &row),
            [(before, true)]
        );
        world.add_worker("w2", 102);
        world.send_directory();
        assert!(!world.end_earlier_owner(epoch), "it answers no ping yet");
        world.run(6_000);
        assert_eq!(world.starts.len(), 2, "the earlier owner extends leases");
        if ends {
            assert!(world.end_earlier_owner(epoch));
            world.owner.record_predecessor_end(world.clock());
        }
        world.run(3_500);
        assert_eq!(world.starts.len(), 2, "a lease of the earlier owner holds");
        world.run(if ends { 1_500 } else { 6_000 });
        assert_eq!(world.starts.len(), 3, "all leases have ended");
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    }
}

#[test]
fn no_task_runs_twice_while_earlier_owners_act_late() {
    let (mut proofs, mut listed) = (0, 0);
    let mut failed = Vec::new();
    for seed in seeds() {
        let outcome = simulate(seed, 0);
        proofs += outcome.proofs;
        listed += outcome.listed;
        if !outcome.errors.is_empty() {
            eprintln!("seed {seed}: {:?}", outcome.errors);
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
    assert!(proofs > 0, "no predecessor has answered");
    assert!(listed > 0, "no listed follower has taken over");
}

/// Guards against a simulation that would not notice a new owner which waits too short a time.
#[test]
fn a_wait_that_is_too_short_by_a_second_runs_tasks_twice() {
    let runs_twice = |seed| !simulate(seed, 1_000).errors.is_empty();
    assert!(seeds().any(runs_twice));
}
