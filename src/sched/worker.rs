//! The owner's state of one worker: its resources, tasks, polls and lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::colocation::Colocation;
use super::completion_log::CompletionLog;
use super::incarnation::{BootOrder, BootTime, Incarnation, compare_boots};
use super::job::TaskKey;
use super::placing::placement::{Gauge, Placement};
use super::placing::preemption::Reservation;
use super::recently_ended::RecentlyEnded;
use super::sequence::Sequence;
use super::spec::Resources;
use super::throttling::FULL_SPEED;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Lowest rate of a worker's clock that the platform allows, in percent of real time.
const MIN_CLOCK_RATE: u64 = 98;
/// Milliseconds added to the computed end of a lease, for timers that fire late.
const TIMER_MARGIN: Millis = 250;
/// Milliseconds without an answer after which a worker gets no new tasks: longer than
/// one long poll and half of the next.
const ANSWER_TIMEOUT: Millis = 1_800;

/// Returns the real time in milliseconds within which a lease of `span` milliseconds on a
/// worker's clock has ended, however slow that clock is.
pub fn max_lease_duration(span: Millis) -> Millis {
    span * 100 / MIN_CLOCK_RATE + TIMER_MARGIN
}

/// Returns the thousandths of cores reserved for a task that ends; 0 for a lasting task.
fn ending_cpu(placement: &Placement) -> u64 {
    match placement.lasting {
        true => 0,
        false => placement.resources.cpu,
    }
}

/// A worker as listed in the platform's directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Id of the worker; a restart may keep it.
    pub id: Name,
    /// When the worker started.
    pub boot: BootTime,
    /// Service that the worker belongs to.
    pub service: Name,
    /// Address that accepts orders.
    pub address: SocketAddr,
    /// Hall of the worker.
    pub hall: Name,
    /// Labels, including the rack.
    pub labels: Vec<Name>,
    /// Rack of the worker; empty when unknown.
    pub rack: Name,
    /// Resources of the whole worker.
    pub capacity: Resources,
    /// True once the worker has announced that it will leave.
    pub leaving: bool,
    /// Milliseconds that a leaving worker stays at least, from when this was listed.
    pub min_stay: Millis,
}

/// Shares of a worker's processors that best-effort tasks use, by image.
pub(super) type ImageShares = BTreeMap<Name, f64>;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// Milliseconds on the clock of the worker.
    clock: Millis,
    /// When the reading arrived, on the clock of this box.
    received: Millis,
}

/// State of the next poll of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollState {
    /// The next poll is due at this time.
    Due(Millis),
    /// The poll with this position has no answer yet.
    InFlight(Sequence),
}

/// Whether the directory lists a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    /// The directory lists the worker.
    Listed,
    /// The listing disappeared at this time, close to an outage of the store: it may come
    /// back.
    Lapsed(Millis),
    /// The entry names no usable worker; another writer may have written it.
    Unusable,
    /// The listing was removed.
    Removed,
}

/// The owner's state of one worker; all but the listing is that of one incarnation.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    /// The last listing, which may be that of another incarnation.
    pub listing: Listing,
    /// A listing that was ignored because it has an earlier boot time.
    pub ignored_listing: Option<Box<Listing>>,
    /// Boot time of the known incarnation.
    pub boot: BootTime,
    /// True from a sign of another incarnation until the next report.
    pub unverified: bool,
    /// Fence of the next order.
    pub fence: u64,
    /// Highest fence of an order that must not take effect late: any but a stop, or a poll that
    /// neither extends the lease nor acknowledges a completion.
    pub used_fence: u64,
    /// Highest fence of a poll that the worker answered.
    pub answered_fence: u64,
    /// Largest capacity seen: a worker that has shrunk may grow again.
    pub max_capacity: Resources,
    /// Whether the directory lists the worker.
    pub presence: Presence,
    /// Earliest time at which the worker ends; none while it is not known to leave.
    pub leaves_at: Option<Millis>,
    /// Tasks placed on the worker.
    pub placements: BTreeMap<TaskKey, Placement>,
    /// Resources reserved for these tasks.
    pub allocated: Resources,
    /// Thousandths of cores that the tasks can use without a reservation.
    pub unreserved_cpu: u64,
    /// The properties of its serving and best-effort tasks that matter to each other.
    pub colocation: Colocation,
    /// Number of lasting tasks placed on the worker.
    pub lasting_tasks: u32,
    /// Thousandths of cores reserved for tasks that end.
    pub ending_cpu: u64,
    /// Since when a serving task of the worker is over its latency target; none while none is.
    pub over_target_since: Option<Millis>,
    /// State of the next poll.
    pub poll: PollState,
    /// Consecutive polls without an answer.
    pub missed_polls: u32,
    /// When the worker answered again after polls without an answer; 0 for never.
    pub regained_at: Millis,
    /// When the worker last answered a poll; 0 for never.
    pub last_answer: Millis,
    /// Address at which the known incarnation last answered a poll; none if it never did.
    pub answer_address: Option<SocketAddr>,
    /// When the poll that the worker answered last was sent; 0 for none.
    pub answered_sent: Millis,
    /// Event in which the known incarnation last answered a poll.
    pub last_report: Sequence,
    /// Completions that the worker has reported.
    pub completions: CompletionLog,
    /// Consecutive failed runs.
    pub failures: u32,
    /// Until when the worker gets no new tasks.
    pub quarantined_until: Millis,
    /// True while the worker's hall is cordoned.
    pub cordoned: bool,
    /// True while the worker reports runs that the owner does not know.
    pub unknown_runs: bool,
    /// True while the worker reports runs whose job the owner can't read.
    pub unreadable_runs: bool,
    /// Resources of the worker that are kept for a waiting task.
    pub reservation: Option<Reservation>,
    /// Job of the suspects on the worker. No other tasks are started beside them: a crash
    /// would end these too and hide which task had caused it.
    pub isolated_job: Option<u32>,
    /// Best-effort tasks that ended within the last gauge window.
    pub recently_ended: RecentlyEnded,
    /// Last reading of the worker's clock.
    clock_reading: Option<ClockReading>,
    /// When every lease granted by this owner has certainly ended.
    leases_end: Millis,
}

impl Worker {
    /// Returns the state of a worker that was listed for the first time.
    pub fn new(listing: Listing, now: Millis) -> Self {
        Self {
            max_capacity: listing.capacity,
            boot: listing.boot,
            listing,
            ignored_listing: None,
            unverified: false,
            fence: 0,
            used_fence: 0,
            answered_fence: 0,
            presence: Presence::Listed,
            leaves_at: None,
            placements: BTreeMap::new(),
            allocated: Resources::default(),
            unreserved_cpu: 0,
            colocation: Colocation::default(),
            lasting_tasks: 0,
            ending_cpu: 0,
            over_target_since: None,
            poll: PollState::Due(now),
            missed_polls: 0,
            regained_at: 0,
            last_answer: 0,
            answer_address: None,
            answered_sent: 0,
            last_report: Sequence::default(),
            completions: CompletionLog::default(),
            failures: 0,
            quarantined_until: 0,
            cordoned: false,
            unknown_runs: false,
            unreadable_runs: false,
            reservation: None,
            isolated_job: None,
            recently_ended: RecentlyEnded::default(),
            clock_reading: None,
            leases_end: 0,
        }
    }

    /// Resets the state for a later incarnation, except for the listing and the poll.
    /// Leases that orders in flight may still grant end at `leases_end` at the latest.
    pub fn begin_incarnation(&mut self, boot: BootTime, leases_end: Millis) {
        let next = Self::new(self.listing.clone(), 0);
        let before = std::mem::replace(self, next);
        self.boot = boot;
        self.presence = before.presence;
        self.leaves_at = before.leaves_at;
        self.cordoned = before.cordoned;
        self.poll = before.poll;
        self.fence = before.fence;
        self.used_fence = before.used_fence;
        self.leases_end = leases_end.max(before.leases_end);
    }

    /// Returns the known incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.listing.id.clone(),
            boot: self.boot,
            clock: self.clock_reading.map_or(0, |reading| reading.clock),
        }
    }

    /// Returns true unless the listing is certainly that of another incarnation. Capacity,
    /// labels and the leaving flag hold for the incarnation that wrote them only.
    pub fn listing_is_current(&self) -> bool {
        match (self.listing.boot, self.boot) {
            (Some(listed), Some(known)) => listed == known,
            _ => true,
        }
    }

    /// Returns true when the known incarnation is known at this address and no other: by its
    /// answers, and by its listing.
    pub fn is_known_at(&self, address: SocketAddr) -> bool {
        let answered = self.answer_address.is_none_or(|at| at == address);
        let ignored = self.ignored_listing.as_ref();
        answered
            && self.listing.address == address
            && self.listing_is_current()
            && ignored.is_none_or(|listing| listing.address == address)
    }

    /// Returns true when the known incarnation has ended, given that another worker answers at
    /// this address.
    pub fn is_replaced_at(&self, address: SocketAddr) -> bool {
        let located = self.answer_address.is_some() || self.presence == Presence::Listed;
        let later = |run: &Placement| compare_boots(self.boot, run.boot) == BootOrder::Later;
        located && self.is_known_at(address) && !self.placements.values().any(later)
    }

    /// Returns true when the known incarnation has announced its end and its listing is gone.
    pub fn is_leave_announced(&self) -> bool {
        self.presence == Presence::Removed && self.listing.leaving && self.listing_is_current()
    }

    /// Returns true when the next order certainly reaches the known incarnation.
    pub fn is_incarnation_certain(&self) -> bool {
        self.missed_polls == 0 && !self.unverified
    }

    /// Records that an order with the present fence must not take effect late.
    pub fn use_fence(&mut self) {
        self.used_fence = self.fence;
    }

    /// Places a task on the worker.
    pub fn insert(&mut self, key: TaskKey, placement: Placement) {
        self.allocated = self.allocated.plus(placement.resources);
        self.unreserved_cpu += placement.unreserved_cpu;
        self.lasting_tasks += u32::from(placement.lasting);
        self.ending_cpu += ending_cpu(&placement);
        self.colocation.insert(key, &placement);
        if placement.suspect {
            self.isolated_job = Some(key.job);
        }
        self.placements.insert(key, placement);
    }

    /// Removes a task from the worker.
    pub fn remove(&mut self, key: TaskKey, now: Millis) {
        let Some(placement) = self.placements.remove(&key) else {
            return;
        };
        self.colocation.remove(key, &placement);
        self.update_isolation();
        if placement.best_effort && placement.has_started() {
            let share = self.cpu_share(&placement);
            self.recently_ended
                .record(&placement.image, share, placement.placed_at, now);
        }
        self.allocated = self.allocated.minus(placement.resources);
        self.unreserved_cpu -= placement.unreserved_cpu;
        self.lasting_tasks -= u32::from(placement.lasting);
        self.ending_cpu -= ending_cpu(&placement);
        if placement.serving {
            self.update_over_target_since();
        }
    }

    /// Ends the isolation once the worker has no suspect.
    fn update_isolation(&mut self) {
        if self.isolated_job.is_some() {
            let mut suspects = self.placements.iter().filter(|(_, run)| run.suspect);
            self.isolated_job = suspects.next().map(|(key, _)| key.job);
        }
    }

    /// Clears the suspects for which `has_lasted` returns true, and returns them.
    pub fn clear_suspects(&mut self, has_lasted: impl Fn(&Placement) -> bool) -> Vec<TaskKey> {
        let mut cleared = Vec::new();
        for (key, run) in &mut self.placements {
            if run.suspect && has_lasted(run) {
                run.suspect = false;
                cleared.push(*key);
            }
        }
        self.update_isolation();
        cleared
    }

    /// Returns true when a task may start beside the suspects on the worker; `suspect` is true
    /// when the task is a suspect itself.
    pub fn admits(&self, key: TaskKey, suspect: bool) -> bool {
        self.isolated_job
            .is_none_or(|job| suspect && job == key.job)
    }

    /// Returns true while a serving task of the worker is over its latency target: the
    /// worker gets no best-effort tasks then.
    pub fn is_over_target(&self) -> bool {
        self.over_target_since.is_some()
    }

    /// Returns the share of the worker's processors that a run uses, from 0 to 1: as last
    /// reported, otherwise as much as its speed allows.
    pub fn cpu_share(&self, run: &Placement) -> f64 {
        let allowed = || run.cpu * u64::from(run.speed) / u64::from(FULL_SPEED);
        run.cpu_used.unwrap_or_else(allowed) as f64 / self.listing.capacity.cpu.max(1) as f64
    }

    /// Records the load and latency of a serving task.
    pub fn update_gauge(&mut self, key: TaskKey, gauge: Gauge) {
        self.colocation.set_own_load(key, &gauge);
        if let Some(placement) = self.placements.get_mut(&key) {
            placement.gauge = Some(gauge);
        }
        self.update_over_target_since();
    }

    /// Updates the start of the longest breach that the last report shows.
    fn update_over_target_since(&mut self) {
        let gauges = self.placements.values().filter_map(|p| p.gauge.as_ref());
        let breaches = gauges.filter_map(|g| g.breach);
        let current = breaches.filter(|breach| breach.current);
        self.over_target_since = current.map(|breach| breach.since).min();
    }

    /// Returns the reserved thousandths of cores less those that serving tasks leave idle.
    pub fn busy_cpu(&self) -> u64 {
        self.allocated.cpu - self.colocation.idle_cpu
    }

    /// Returns the resources that are not allocated; none of a kind that a shrunk capacity exceeds.
    pub fn free(&self) -> Resources {
        let capacity = self.listing.capacity;
        Resources {
            cpu: capacity.cpu.saturating_sub(self.allocated.cpu),
            memory: capacity.memory.saturating_sub(self.allocated.memory),
            gpu: capacity.gpu.saturating_sub(self.allocated.gpu),
        }
    }

    /// Returns true when a task with these resources fits beside the allocated ones.
    pub fn fits(&self, resources: Resources) -> bool {
        self.allocated.plus(resources).within(self.listing.capacity)
    }

    /// Returns true when a task fits beside the allocated resources and a reservation for
    /// another task.
    pub fn fits_beside_reservation(&self, key: TaskKey, resources: Resources) -> bool {
        let other = self.reservation.as_ref().filter(|r| r.key != key);
        self.fits(other.map_or(resources, |r| resources.plus(r.resources)))
    }

    /// Returns how many runs are never preempted: best-effort tasks, and also lasting ones
    /// unless `include_lasting` is true.
    pub fn count_non_preemptible(&self, include_lasting: bool) -> usize {
        let best_effort = self.colocation.best_effort.len();
        let both = self
            .colocation
            .best_effort
            .iter()
            .filter(|task| task.lasting)
            .count();
        match include_lasting {
            true => best_effort,
            false => best_effort + self.lasting_tasks as usize - both,
        }
    }

    /// Returns the task for which resources of the worker are reserved.
    pub fn reserved_task(&self) -> Option<TaskKey> {
        self.reservation.as_ref().map(|r| r.key)
    }

    /// Returns true when a task would fit in place of runs with the resources `freed`, and the
    /// worker has no reservation.
    pub fn fits_without(&self, freed: Resources, resources: Resources) -> bool {
        let total = self.allocated.plus(resources);
        self.reservation.is_none() && total.within(self.listing.capacity.plus(freed))
    }

    /// Returns how many times these resources fit into the free ones, in thousandths, by the
    /// scarcest of them.
    pub fn headroom(&self, resources: Resources) -> u64 {
        let capacity = self.listing.capacity;
        let ratio = |capacity: u64, allocated: u64, wanted: u64| match wanted {
            0 => u64::MAX,
            wanted => capacity.saturating_sub(allocated) * 1_000 / wanted,
        };
        ratio(capacity.cpu, self.allocated.cpu, resources.cpu)
            .min(ratio(
                capacity.memory,
                self.allocated.memory,
                resources.memory,
            ))
            .min(ratio(capacity.gpu, self.allocated.gpu, resources.gpu))
    }

    /// Returns true when new tasks may be started on the worker.
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        let usable = !matches!(self.presence, Presence::Removed | Presence::Unusable);
        usable
            && self.leaves_at.is_none()
            && self.is_answering(now)
            && now >= self.quarantined_until
            && !self.unknown_runs
            && !self.completions.is_backed_up()
            && !self.cordoned
            && !self.unverified
            && self.listing_is_current()
    }

    /// Returns true while the worker answers its polls.
    pub fn is_answering(&self, now: Millis) -> bool {
        self.last_answer > 0 && self.missed_polls == 0 && now < self.last_answer + ANSWER_TIMEOUT
    }

    /// Records the clock that the worker sent with its answer to a poll.
    pub fn record_clock(&mut self, clock: Millis, now: Millis) {
        self.clock_reading = Some(ClockReading {
            clock,
            received: now,
        });
        self.last_answer = now;
    }

    /// Grants a lease of `span` milliseconds and includes it in `leases_end`. Returns its end on
    /// the worker's clock; none before the clock is known.
    pub fn grant_lease(&mut self, span: Millis, now: Millis) -> Option<Millis> {
        let reading = self.clock_reading?;
        let clock = reading.clock + (now - reading.received) * MIN_CLOCK_RATE / 100;
        let end = clock + span;
        let last = reading.received + max_lease_duration(end - reading.clock);
        self.leases_end = self.leases_end.max(last);
        self.use_fence();
        Some(end)
    }

    /// Returns when every lease granted by this owner has certainly ended.
    pub fn lease_end(&self) -> Millis {
        self.leases_end
    }

    /// Includes leases that end by `end` in `leases_end`.
    pub fn extend_lease_end(&mut self, end: Millis) {
        self.leases_end = self.leases_end.max(end);
    }

    /// Returns the completion up to which the worker may forget its ended runs; 0 when there
    /// is nothing new to acknowledge. Returns 0 also while another incarnation could receive
    /// it: completions are numbered anew there, and it would forget unreported ones.
    pub fn next_acknowledgement(&self) -> u64 {
        match self.is_settled() {
            true => self.completions.next_acknowledgement().unwrap_or(0),
            false => 0,
        }
    }

    /// Returns true while completions that may be forgotten are not acknowledged.
    pub fn withholds_acknowledgement(&self) -> bool {
        self.completions.next_acknowledgement().is_some() && !self.is_settled()
    }

    /// Returns true when no order without an answer may have reached a later incarnation, which
    /// would then hold completions that the owner does not know of.
    fn is_settled(&self) -> bool {
        let unconfirmed = self.placements.values().any(Placement::is_unconfirmed);
        self.is_incarnation_certain() && self.answered_fence == self.fence && !unconfirmed
    }
}
