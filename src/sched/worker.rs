//! What the owner knows of one worker: its room, its tasks and its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::colocation::Colocation;
use super::incarnation::{BootTime, Incarnation};
use super::job::TaskKey;
use super::placement::{Gauge, Placement};
use super::preempt::Reservation;
use super::recently_ended::RecentlyEnded;
use super::spec::Resources;
use super::throttling::FULL_SPEED;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Slowest that a worker's clock runs, in hundredths (the platform's bound).
const CLOCK_RATE: u64 = 98;
/// Milliseconds added to the computed end of a lease, for timers that fire late.
const LAPSE_MARGIN: Millis = 250;
/// Milliseconds without an answer after which a worker gets no new tasks: a
/// long poll and half of one more.
const SILENT_AFTER: Millis = 1_800;

/// Returns the longest that a lease of `span` milliseconds may last.
pub fn max_lease_duration(span: Millis) -> Millis {
    span * 100 / CLOCK_RATE + LAPSE_MARGIN
}

/// A worker as the platform's directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Its id, under which it may start again.
    pub id: Name,
    /// When it started.
    pub boot: BootTime,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Hall in which it stands.
    pub hall: Name,
    /// Labels, the rack among them.
    pub labels: Vec<Name>,
    /// Rack in which it stands; empty when that is not known.
    pub rack: Name,
    /// Its whole room.
    pub capacity: Resources,
    /// True once it has said that it will leave.
    pub leaving: bool,
    /// Least milliseconds that it stays once it leaves, from when it was listed.
    pub min_stay: Millis,
}

/// Processor shares of fillers by image.
pub(super) type ImageShares = BTreeMap<Name, f64>;

/// A report of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// Milliseconds on the clock of the worker.
    clock: Millis,
    /// When its report arrived.
    at: Millis,
}

/// The exchange with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollState {
    /// The next exchange is due at this time.
    Due(Millis),
    /// An exchange sent at this time has no answer yet.
    InFlight(Millis),
}

/// Whether the directory lists a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    /// It is listed.
    Listed,
    /// Its listing lapsed at this time, around trouble of the store: it may
    /// come back.
    Lapsed(Millis),
    /// Its entry names no worker to use: another may have written it.
    Unusable,
    /// Its listing was removed.
    Removed,
}

/// A worker at the owner.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    /// As listed last; its start may be another than that of the life that is known.
    pub listing: Listing,
    /// An entry that was passed over, as it is of an earlier start.
    pub ignored_listing: Option<Box<Listing>>,
    /// Start of the life that all else here is known of.
    pub boot: BootTime,
    /// True from news of another life until its next report.
    pub unverified: bool,
    /// The most room that it has had: what has shrunk may grow again.
    pub max_capacity: Resources,
    /// Whether the directory lists it.
    pub presence: Presence,
    /// When it ends at the earliest, once it is known to leave.
    pub leaves_at: Option<Millis>,
    /// Tasks placed there.
    pub placements: BTreeMap<TaskKey, Placement>,
    /// Room held by them.
    pub allocated: Resources,
    /// Processor share that fillers there would like.
    pub wanted_cpu: u64,
    /// Its serving and best-effort tasks, reduced to what they mean for each other.
    pub colocation: Colocation,
    /// Lasting tasks there.
    pub lasting_tasks: u32,
    /// Since when a serving task there is over its target; none while none is.
    pub over_target_since: Option<Millis>,
    /// The exchange with it.
    pub poll: PollState,
    /// Exchanges without an answer in a row.
    pub missed_polls: u32,
    /// When it answered last; 0 for never.
    pub last_answer: Millis,
    /// Highest end that was taken in.
    pub last_completion: u64,
    /// Ends taken in that the store does not hold yet.
    pub pending_completions: BTreeSet<u64>,
    /// Highest end that it was told to forget, in an exchange that it answered.
    pub acknowledged: u64,
    /// Failed runs without a good one between.
    pub failures: u32,
    /// Until when it gets no new tasks.
    pub quarantined_until: Millis,
    /// True while its hall is cordoned.
    pub cordoned: bool,
    /// True when it runs something that is not known here.
    pub unknown_runs: bool,
    /// Room that is being made there for a task.
    pub reservation: Option<Reservation>,
    /// Job of the suspects there, which may crash it: no others are started
    /// meanwhile, as they would go with it and hide whose fault it was.
    pub isolated_job: Option<u32>,
    /// Best-effort tasks that ended within the last gauge window.
    pub recently_ended: RecentlyEnded,
    /// Its clock as reported last.
    clock_reading: Option<ClockReading>,
    /// When every lease given to it here has certainly ended.
    leases_end: Millis,
}

impl Worker {
    /// Returns a worker that was just listed.
    pub fn new(listing: Listing, now: Millis) -> Self {
        Self {
            max_capacity: listing.capacity,
            boot: listing.boot,
            listing,
            ignored_listing: None,
            unverified: false,
            presence: Presence::Listed,
            leaves_at: None,
            placements: BTreeMap::new(),
            allocated: Resources::default(),
            wanted_cpu: 0,
            colocation: Colocation::default(),
            lasting_tasks: 0,
            over_target_since: None,
            poll: PollState::Due(now),
            missed_polls: 0,
            last_answer: 0,
            last_completion: 0,
            pending_completions: BTreeSet::new(),
            acknowledged: 0,
            failures: 0,
            quarantined_until: 0,
            cordoned: false,
            unknown_runs: false,
            reservation: None,
            isolated_job: None,
            recently_ended: RecentlyEnded::default(),
            clock_reading: None,
            leases_end: 0,
        }
    }

    /// Forgets all but how it is listed and what its contact is: a later life is there.
    /// Leases given to it end at `granted` at the latest.
    pub fn begin_incarnation(&mut self, boot: BootTime, granted: Millis) {
        let next = Self::new(self.listing.clone(), 0);
        let before = std::mem::replace(self, next);
        self.boot = boot;
        self.presence = before.presence;
        self.leaves_at = before.leaves_at;
        self.cordoned = before.cordoned;
        self.poll = before.poll;
        self.leases_end = granted.max(before.leases_end);
    }

    /// Returns the life that is known.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.listing.id.clone(),
            boot: self.boot,
            clock: self.clock_reading.map_or(0, |h| h.clock),
        }
    }

    /// Returns true when its entry is of the life that is known, as far as that is told:
    /// room, labels and whether it leaves are those of one life.
    pub fn listing_is_current(&self) -> bool {
        match (self.listing.boot, self.boot) {
            (Some(listed), Some(known)) => listed == known,
            _ => true,
        }
    }

    /// Returns true when it is certain that the known life takes the next order.
    pub fn is_incarnation_certain(&self) -> bool {
        self.missed_polls == 0 && !self.unverified
    }

    /// Puts a task there.
    pub fn insert(&mut self, key: TaskKey, placement: Placement) {
        self.allocated = self.allocated.plus(placement.resources);
        self.wanted_cpu += placement.unreserved_cpu;
        self.lasting_tasks += u32::from(placement.lasting);
        self.colocation.place(key, &placement);
        if placement.suspect {
            self.isolated_job = Some(key.job);
        }
        self.placements.insert(key, placement);
    }

    /// Takes a task away.
    pub fn remove(&mut self, key: TaskKey, now: Millis) {
        let Some(placement) = self.placements.remove(&key) else {
            return;
        };
        self.colocation.release(key, &placement);
        self.update_isolation();
        if placement.best_effort && placement.has_started() {
            let share = self.cpu_share(&placement);
            self.recently_ended
                .record(&placement.image, share, placement.placed_at, now);
        }
        self.allocated = self.allocated.minus(placement.resources);
        self.wanted_cpu -= placement.unreserved_cpu;
        self.lasting_tasks -= u32::from(placement.lasting);
        if placement.serving {
            self.update_over_since();
        }
    }

    /// Ends the isolation once no suspect is there.
    fn update_isolation(&mut self) {
        if self.isolated_job.is_some() {
            let mut suspects = self.placements.iter().filter(|(_, run)| run.suspect);
            self.isolated_job = suspects.next().map(|(key, _)| key.job);
        }
    }

    /// Clears the suspects for which `lasted` is true, and returns them.
    pub fn clear_suspects(&mut self, lasted: impl Fn(&Placement) -> bool) -> Vec<TaskKey> {
        let mut cleared = Vec::new();
        for (key, run) in &mut self.placements {
            if run.suspect && lasted(run) {
                run.suspect = false;
                cleared.push(*key);
            }
        }
        self.update_isolation();
        cleared
    }

    /// Returns true when a task, a suspect or not, may start beside the suspects there.
    pub fn admits(&self, key: TaskKey, suspect: bool) -> bool {
        self.isolated_job
            .is_none_or(|job| suspect && job == key.job)
    }

    /// Returns true while a serving task there is over its target: it takes no fillers.
    pub fn is_over_target(&self) -> bool {
        self.over_target_since.is_some()
    }

    /// Returns the share of the worker's processors that a run there uses.
    pub fn cpu_share(&self, run: &Placement) -> f64 {
        let allowed = || run.cpu * u64::from(run.speed) / u64::from(FULL_SPEED);
        run.cpu_used.unwrap_or_else(allowed) as f64 / self.listing.capacity.cpu.max(1) as f64
    }

    /// Takes in how busy a serving task was.
    pub fn update_gauge(&mut self, key: TaskKey, gauge: Gauge) {
        self.colocation.set_own_load(key, gauge.own_load);
        if let Some(placement) = self.placements.get_mut(&key) {
            placement.gauge = Some(gauge);
        }
        self.update_over_since();
    }

    /// Updates the start of the longest breach that the last report shows.
    fn update_over_since(&mut self) {
        let gauges = self.placements.values().filter_map(|p| p.gauge.as_ref());
        let breaches = gauges.filter_map(|g| g.breach);
        let current = breaches.filter(|s| s.current);
        self.over_target_since = current.map(|s| s.since).min();
    }

    /// Returns the processor share that work other than fillers takes.
    pub fn busy_cpu(&self) -> u64 {
        self.allocated.cpu - self.colocation.idle_cpu
    }

    /// Returns true when a task of this room fits beside what is there.
    pub fn fits(&self, resources: Resources) -> bool {
        self.allocated.plus(resources).within(self.listing.capacity)
    }

    /// Returns true when it fits beside that and what was promised to another.
    pub fn fits_beside_reservation(&self, key: TaskKey, resources: Resources) -> bool {
        let other = self.reservation.as_ref().filter(|p| p.key != key);
        self.fits(other.map_or(resources, |p| resources.plus(p.resources)))
    }

    /// Returns how many runs there never give way: fillers, and those that last unless
    /// some of these can be spared.
    pub fn non_preemptible(&self, spare: bool) -> usize {
        let fillers = self.colocation.best_effort.len();
        let both = self
            .colocation
            .best_effort
            .iter()
            .filter(|f| f.lasting)
            .count();
        match spare {
            true => fillers,
            false => fillers + self.lasting_tasks as usize - both,
        }
    }

    /// Returns the task for which room is kept there.
    pub fn reserved_task(&self) -> Option<TaskKey> {
        self.reservation.as_ref().map(|p| p.key)
    }

    /// Returns true when a task of this room would fit without a run that is
    /// there, and nothing is promised to another.
    pub fn fits_without(&self, run: &Placement, resources: Resources) -> bool {
        let whole = self.allocated.plus(resources);
        self.reservation.is_none() && whole.within(self.listing.capacity.plus(run.resources))
    }

    /// Returns how much of a room is free, in thousandths of its scarcest part.
    pub fn headroom(&self, resources: Resources) -> u64 {
        let all = self.listing.capacity;
        let part = |all: u64, used: u64, wanted: u64| match wanted {
            0 => u64::MAX,
            wanted => all.saturating_sub(used) * 1_000 / wanted,
        };
        part(all.cpu, self.allocated.cpu, resources.cpu)
            .min(part(all.memory, self.allocated.memory, resources.memory))
            .min(part(all.gpu, self.allocated.gpu, resources.gpu))
    }

    /// Returns true when new tasks may be sent there.
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        let offered = !matches!(self.presence, Presence::Removed | Presence::Unusable);
        offered
            && self.leaves_at.is_none()
            && self.is_answering(now)
            && now >= self.quarantined_until
            && !self.unknown_runs
            && !self.cordoned
            && !self.unverified
            && self.listing_is_current()
    }

    /// Returns true while it answers.
    pub fn is_answering(&self, now: Millis) -> bool {
        self.last_answer > 0 && self.missed_polls == 0 && now < self.last_answer + SILENT_AFTER
    }

    /// Takes in a report of its clock.
    pub fn record_clock(&mut self, clock: Millis, now: Millis) {
        self.clock_reading = Some(ClockReading { clock, at: now });
        self.last_answer = now;
    }

    /// Returns the time on its clock at which a lease of `span` ends, and counts it as given.
    pub fn grant_lease(&mut self, span: Millis, now: Millis) -> Option<Millis> {
        let heard = self.clock_reading?;
        let clock = heard.clock + (now - heard.at) * CLOCK_RATE / 100;
        let end = clock + span;
        let last = heard.at + max_lease_duration(end - heard.clock);
        self.leases_end = self.leases_end.max(last);
        Some(end)
    }

    /// Returns when every lease given to it here has certainly ended.
    pub fn lease_end(&self) -> Millis {
        self.leases_end
    }

    /// Returns the highest end up to which all are in the store.
    fn last_stored_completion(&self) -> u64 {
        match self.pending_completions.first() {
            Some(first) => first - 1,
            None => self.last_completion,
        }
    }

    /// Returns up to which end it may forget now; 0 for none. It is told once, and only
    /// where it is certain which life hears it: a later one would forget ends of its own.
    pub fn next_acknowledgement(&self) -> u64 {
        let stored = self.last_stored_completion();
        match self.is_incarnation_certain() && stored > self.acknowledged {
            true => stored,
            false => 0,
        }
    }
}
