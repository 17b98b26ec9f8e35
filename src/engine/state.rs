//! The engine's state and its steps.

use std::collections::{BTreeMap, BTreeSet};

use super::in_flight::Flight;
use super::requests::BUDGET;
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
const SILENT: u64 = 5;
/// Heartbeats for which a box that stops goes on refusing.
const LINGER: u64 = 3;
/// Milliseconds that the servers have to end when the time of the stop is over.
const LAST: Millis = 1_000;

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
    pub(super) places: Vec<ListedWorker>,
    pub(super) flights: BTreeMap<u64, Flight>,
    pub(super) ops: BTreeMap<u64, Purpose>,
    pub(super) next_op: u64,
    pub(super) budget: f64,
    pub(super) stopping: Option<Millis>,
    pub(super) listed: Option<Millis>,
    pub(super) listing: bool,
    pub(super) polled: Option<Millis>,
    pub(super) polling: bool,
    pub(super) greeted: BTreeMap<Name, Millis>,
    /// Moves of cells that each peer told of, and the own ones told to all.
    pub(super) moves: BTreeMap<Name, u64>,
    pub(super) told: u64,
    /// Other boxes that are stopping: nothing is given to them.
    pub(super) leavers: BTreeSet<Name>,
    /// Until when the last own moves are told.
    pub(super) news: Millis,
    pub(super) flushed: Millis,
    pub(super) scanned: BTreeMap<Name, Millis>,
    pub(super) checked: Millis,
    pub(super) answered: Millis,
    pub(super) snapshot: Option<Millis>,
    /// Since when nothing is in progress, during a planned stop.
    idle: Option<Millis>,
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
            places: Vec::new(),
            flights: BTreeMap::new(),
            ops: BTreeMap::new(),
            next_op: 0,
            budget: BUDGET,
            stopping: None,
            listed: None,
            listing: false,
            polled: None,
            polling: false,
            greeted: BTreeMap::new(),
            moves: BTreeMap::new(),
            told: 0,
            leavers: BTreeSet::new(),
            news: 0,
            flushed: 0,
            scanned: BTreeMap::new(),
            checked: 0,
            answered: 0,
            snapshot: None,
            idle: None,
            exited: false,
            settings,
        }
    }

    /// Returns the own incarnation.
    pub fn id(&self) -> &Name {
        self.lease.id()
    }

    /// Returns the time until which sends to workers may leave.
    pub fn until(&self) -> Millis {
        self.lease.acts_until()
    }

    /// Returns true while the box may act for its cells.
    pub fn acts(&self, now: Millis) -> bool {
        self.lease.may_act(now)
    }

    /// Returns true while the box acts past its lease by promises.
    pub fn extended(&self, now: Millis) -> bool {
        self.lease.acts_by_promises(now)
    }

    /// Returns the owned cells with their epochs.
    pub fn owned(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.claims
            .mine()
            .iter()
            .map(|(cell, mine)| (cell, mine.epoch))
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.config.version()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns true when callers' requests can be taken.
    pub fn ready(&self) -> bool {
        self.stopping.is_none() && self.config.known() && !self.router.views().is_empty()
    }

    /// Takes in an event; returns what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Request { ticket, meta } => self.request(now, ticket, meta, &mut out),
            Event::Forwarded {
                ticket,
                meta,
                cell,
                dedup_shard,
                epoch,
            } => self.forwarded(now, ticket, meta, cell, dedup_shard, epoch, &mut out),
            Event::SendEnded { ticket, outcome } => self.sent(now, ticket, outcome, &mut out),
            Event::ForwardEnded { ticket, outcome } => self.handed(now, ticket, outcome, &mut out),
            Event::TableCallEnded { op, sent, outcome } => {
                self.stored(now, op, sent, outcome, &mut out)
            }
            Event::WorkersListed(places) => self.list(places),
            Event::WorkerCallEnded {
                cell,
                epoch,
                worker,
                outcome,
            } => self.worker(now, &cell, epoch, &worker, outcome, &mut out),
            Event::GreetingReceived { ticket, greeting } => {
                self.greeting(now, ticket, greeting, &mut out)
            }
            Event::GreetingEnded { to, sent, reply } => {
                self.greeted(now, &to, sent, reply, &mut out)
            }
            Event::SnapshotEnded(config) => self.snapshot(config),
            Event::Hint { cells, cancelled } => self.hint(now, cells, cancelled, &mut out),
            Event::Query { ticket, query } => {
                let view = self.view(now.millis, &query);
                out.push(Action::AnswerQuery { ticket, view });
            }
            Event::Stop => self.stop(now),
        }
        out
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        let pace = self.settings.pace;
        self.leases(now, out);
        self.directory(now, out);
        self.poll(now, out);
        self.greet(now, out);
        self.claim(now, out);
        self.seek_owners(now, out);
        if self.lease.may_act(now.millis) {
            self.run_cells(now, out);
        } else {
            self.rest(now, out);
        }
        self.journal(now, out);
        self.rescan(now, out);
        self.check_jobs(now, out);
        self.report_own(now.millis);
        let oldest = now.millis.saturating_sub(pace.heartbeat * SILENT);
        self.router.forget_before(oldest);
        self.finish_stop(now, out);
    }

    fn stop(&mut self, now: Now) {
        if self.stopping.is_none() {
            log::info!(target: "engine", "a planned stop begins");
            self.stopping = Some(now.millis);
            self.claims.stop();
            // All others are told at once, so that they give it no cells.
            self.greeted.clear();
        }
    }

    /// Ends a planned stop when nothing is owned or in progress, or when its
    /// time is over. It lingers until its peers know, and refuses what they
    /// still hand over; ended at once it would cut that off.
    fn finish_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.stopping else {
            return;
        };
        let busy = !self.flights.is_empty() || !self.claims.empty();
        if busy {
            self.idle = None;
        }
        let idle = *self.idle.get_or_insert(now.millis);
        let quiet = !busy && now.millis >= idle + self.settings.pace.heartbeat * LINGER;
        let over = now.millis >= since + self.settings.pace.stop;
        if (quiet || over) && !self.exited {
            self.exited = true;
            let end = since + self.settings.pace.stop;
            let within = end.saturating_sub(now.millis).max(LAST);
            out.push(Action::Exit { within });
        }
    }
}

/// Returns the name of one life of a box.
pub(super) fn incarnation(name: &str, boot: u64) -> Name {
    format!("{name}.{boot:x}").into()
}
