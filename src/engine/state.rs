//! The engine's state and its steps.

use std::collections::{BTreeMap, BTreeSet};

use super::in_flight::InFlightRequest;
use super::requests::RETRY_BUDGET;
use super::table_calls::Purpose;
use super::{Action, EngineSettings, Event, Now};
use crate::cell::{Cell, ListedWorker};
use crate::claim::Claims;
use crate::config::Config;
use crate::dedup::DedupShard;
use crate::lease::{BoxRow, Lease};
use crate::route::Router;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Heartbeats without a word after which a peer's loads are forgotten.
const LOAD_EXPIRY: u64 = 5;
/// Heartbeats for which a box that stops goes on refusing.
const LINGER_HEARTBEATS: u64 = 3;
/// Milliseconds that the servers have to end when the time of the stop is over.
const MIN_DRAIN: Millis = 1_000;

/// The decisions of one entry box.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) lease: Lease,
    pub(super) claims: Claims,
    pub(super) cells: BTreeMap<Name, Cell>,
    pub(super) dedup_shards: BTreeMap<Name, DedupShard>,
    pub(super) config: Config,
    /// A configuration that is read and not yet known to be whole.
    pub(super) staged: Option<Config>,
    pub(super) router: Router,
    pub(super) listed_workers: Vec<ListedWorker>,
    pub(super) in_flight: BTreeMap<u64, InFlightRequest>,
    pub(super) table_calls: BTreeMap<u64, Purpose>,
    pub(super) next_op: u64,
    pub(super) retry_budget: f64,
    pub(super) stopping_since: Option<Millis>,
    pub(super) listed_at: Option<Millis>,
    pub(super) listing: bool,
    pub(super) polled_at: Option<Millis>,
    pub(super) polling: bool,
    pub(super) greeted_at: BTreeMap<Name, Millis>,
    /// Moves of cells that each peer told of, and the own ones told to all.
    pub(super) peer_moves: BTreeMap<Name, u64>,
    pub(super) announced_moves: u64,
    /// Other boxes that are stopping: nothing is given to them.
    pub(super) stopping_peers: BTreeSet<Name>,
    /// Until when the last own moves are told.
    pub(super) announce_until: Millis,
    pub(super) flushed_at: Millis,
    pub(super) scanned_at: BTreeMap<Name, Millis>,
    pub(super) jobs_checked: Millis,
    pub(super) answered_at: Millis,
    pub(super) snapshot_at: Option<Millis>,
    /// Since when nothing is in progress, during a planned stop.
    idle_since: Option<Millis>,
    exited: bool,
}

impl Engine {
    /// Returns the engine of a box that has just started.
    pub fn new(settings: EngineSettings) -> Self {
        let id = incarnation(&settings.name, settings.boot);
        let me = BoxRow {
            id: id.clone(),
            name: settings.name.clone(),
            rpc: settings.rpc.to_string().into(),
            hall: settings.hall.clone(),
            successors: Vec::new(),
            beat: 0,
        };
        let seed = crate::utils::hash::stable(&[&id]);
        Self {
            lease: Lease::new(settings.lease_timings, me),
            claims: Claims::new(id),
            cells: BTreeMap::new(),
            dedup_shards: BTreeMap::new(),
            config: Config::default(),
            staged: None,
            router: Router::new(settings.hall.clone(), seed),
            listed_workers: Vec::new(),
            in_flight: BTreeMap::new(),
            table_calls: BTreeMap::new(),
            next_op: 0,
            retry_budget: RETRY_BUDGET,
            stopping_since: None,
            listed_at: None,
            listing: false,
            polled_at: None,
            polling: false,
            greeted_at: BTreeMap::new(),
            peer_moves: BTreeMap::new(),
            announced_moves: 0,
            stopping_peers: BTreeSet::new(),
            announce_until: 0,
            flushed_at: 0,
            scanned_at: BTreeMap::new(),
            jobs_checked: 0,
            answered_at: 0,
            snapshot_at: None,
            idle_since: None,
            exited: false,
            settings,
        }
    }

    /// Returns the own incarnation.
    pub fn id(&self) -> &Name {
        self.lease.id()
    }

    /// Returns the time until which sends to workers may leave.
    pub fn send_until(&self) -> Millis {
        self.lease.acts_until()
    }

    /// Returns true while the box may act for its cells.
    pub fn may_act(&self, now: Millis) -> bool {
        self.lease.may_act(now)
    }

    /// Returns true while the box acts past its lease by promises.
    pub fn acts_on_promises(&self, now: Millis) -> bool {
        self.lease.acts_by_promises(now)
    }

    /// Returns the owned cells with their epochs.
    pub fn owned_cells(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.claims
            .owned()
            .iter()
            .map(|(cell, owned)| (cell, owned.epoch))
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.config.version()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns true when callers' requests can be taken.
    pub fn ready(&self) -> bool {
        self.stopping_since.is_none() && self.config.known() && !self.router.views().is_empty()
    }

    /// Takes in an event; returns what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Request { ticket, meta } => self.handle_request(now, ticket, meta, &mut out),
            Event::Forwarded {
                ticket,
                meta,
                cell,
                dedup_shard,
                epoch,
            } => self.handle_forwarded(now, ticket, meta, cell, dedup_shard, epoch, &mut out),
            Event::SendEnded { ticket, outcome } => {
                self.handle_send_outcome(now, ticket, outcome, &mut out)
            }
            Event::ForwardEnded { ticket, outcome } => {
                self.handle_forward_outcome(now, ticket, outcome, &mut out)
            }
            Event::TableCallEnded { op, sent, outcome } => {
                self.handle_table_outcome(now, op, sent, outcome, &mut out)
            }
            Event::WorkersListed(workers) => self.update_workers(workers),
            Event::WorkerCallEnded {
                cell,
                epoch,
                worker,
                outcome,
            } => self.handle_worker_outcome(now, &cell, epoch, &worker, outcome, &mut out),
            Event::GreetingReceived { ticket, greeting } => {
                self.handle_greeting(now, ticket, greeting, &mut out)
            }
            Event::GreetingEnded { to, sent, reply } => {
                self.handle_greeting_reply(now, &to, sent, reply, &mut out)
            }
            Event::SnapshotEnded(config) => self.adopt_snapshot(config),
            Event::Hint { cells, cancelled } => self.handle_hint(now, cells, cancelled, &mut out),
            Event::Query { ticket, query } => {
                let view = self.view(now.millis, &query);
                out.push(Action::AnswerQuery { ticket, view });
            }
            Event::Stop => self.begin_stop(now),
        }
        out
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        let intervals = self.settings.intervals;
        self.tick_lease(now, out);
        self.poll_workers(now, out);
        self.poll_config(now, out);
        self.greet_peers(now, out);
        self.tick_claims(now, out);
        self.resume_backed_off(now, out);
        if self.lease.may_act(now.millis) {
            self.tick_cells(now, out);
        } else {
            self.refuse_queued(now, out);
        }
        self.write_job_shards(now, out);
        self.rescan_due_cells(now, out);
        self.read_jobs(now, out);
        self.report_own_loads(now.millis);
        let oldest = now.millis.saturating_sub(intervals.heartbeat * LOAD_EXPIRY);
        self.router.forget_before(oldest);
        self.finish_stop(now, out);
    }

    fn begin_stop(&mut self, now: Now) {
        if self.stopping_since.is_none() {
            log::info!(target: "engine", "a planned stop begins");
            self.stopping_since = Some(now.millis);
            self.claims.stop();
            // All others are told at once, so that they give it no cells.
            self.greeted_at.clear();
        }
    }

    /// Ends a planned stop when nothing is owned or in progress, or when its
    /// time is over. It lingers until its peers know, and refuses what they
    /// still hand over; ended at once it would cut that off.
    fn finish_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let busy = !self.in_flight.is_empty() || !self.claims.owns_nothing();
        if busy {
            self.idle_since = None;
        }
        let idle = *self.idle_since.get_or_insert(now.millis);
        let quiet =
            !busy && now.millis >= idle + self.settings.intervals.heartbeat * LINGER_HEARTBEATS;
        let over = now.millis >= since + self.settings.intervals.stop_timeout;
        if (quiet || over) && !self.exited {
            self.exited = true;
            let end = since + self.settings.intervals.stop_timeout;
            let within = end.saturating_sub(now.millis).max(MIN_DRAIN);
            out.push(Action::Exit { within });
        }
    }
}

/// Returns the name of one life of a box.
pub(super) fn incarnation(name: &str, boot: u64) -> Name {
    format!("{name}.{boot:x}").into()
}
