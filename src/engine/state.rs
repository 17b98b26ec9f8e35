//! State of the engine, dispatch of events and the planned stop.

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

/// Heartbeat intervals without a report after which the load of a cell is discarded.
const LOAD_EXPIRY: u64 = 5;
/// Heartbeat intervals for which a stopped box keeps refusing requests of its peers.
const LINGER_HEARTBEATS: u64 = 3;
/// Shortest time limit in ms for the drain of the servers, also once the stop has timed out.
const MIN_DRAIN: Millis = 1_000;

/// State machine of one entry box. All times are in ms on the boot-time clock.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) lease: Lease,
    pub(super) claims: Claims,
    /// Owned cells with workers.
    pub(super) cells: BTreeMap<Name, Cell>,
    /// Owned dedup shards.
    pub(super) dedup_shards: BTreeMap<Name, DedupShard>,
    /// Active configuration.
    pub(super) config: Config,
    /// Configuration that was read but may still lack changes made during the read.
    pub(super) staged: Option<Config>,
    pub(super) router: Router,
    /// Workers of the whole deployment as last listed.
    pub(super) listed_workers: Vec<ListedWorker>,
    /// Requests in progress, by ticket.
    pub(super) in_flight: BTreeMap<u64, InFlightRequest>,
    /// Pending calls to the table, by number.
    pub(super) table_calls: BTreeMap<u64, Purpose>,
    /// Number of the last call to the table.
    pub(super) last_op: u64,
    /// Number of retries that this box may make for all requests together.
    pub(super) retry_budget: f64,
    /// Start of the planned stop, if any.
    pub(super) stopping_since: Option<Millis>,
    /// Time of the last request for the list of workers.
    pub(super) listed_at: Option<Millis>,
    /// True while that request is pending.
    pub(super) listing: bool,
    /// Time of the last read of the configuration's head; `None` if a read is due at once.
    pub(super) polled_at: Option<Millis>,
    /// True while a read of the configuration is pending.
    pub(super) polling: bool,
    /// Time of the last greeting to each peer; a peer without an entry is greeted at once.
    pub(super) greeted_at: BTreeMap<Name, Millis>,
    /// Number of cells acquired or released that each peer last reported.
    pub(super) peer_moves: BTreeMap<Name, u64>,
    /// Number of cells acquired or released that this box last announced.
    pub(super) announced_moves: u64,
    /// Peers that are stopping; they are assigned no cells.
    pub(super) stopping_peers: BTreeSet<Name>,
    /// Time until which greetings list the latest cells acquired or released.
    pub(super) announce_until: Millis,
    /// Time of the last write of job shards.
    pub(super) flushed_at: Millis,
    /// Time of the last scan of each cell's job shards; no entry before the first scan.
    pub(super) scanned_at: BTreeMap<Name, Millis>,
    /// Time of the last check for cancelled jobs.
    pub(super) jobs_checked_at: Millis,
    /// Time of the table's last answer.
    pub(super) answered_at: Millis,
    /// Time of the last fetch of a peer's configuration.
    pub(super) snapshot_at: Option<Millis>,
    /// Time since which nothing is owned or in progress during a planned stop.
    idle_since: Option<Millis>,
    /// True once the exit was requested.
    exited: bool,
}

impl Engine {
    /// Returns the engine of a box that has just started.
    pub fn new(settings: EngineSettings) -> Self {
        let id = incarnation(&settings.name, settings.boot);
        let own_row = BoxRow {
            id: id.clone(),
            name: settings.name.clone(),
            rpc: settings.rpc.to_string().into(),
            hall: settings.hall.clone(),
            successors: Vec::new(),
            beat: 0,
        };
        let seed = crate::utils::hash::stable(&[&id]);
        Self {
            lease: Lease::new(settings.lease_timings, own_row),
            claims: Claims::new(id),
            cells: BTreeMap::new(),
            dedup_shards: BTreeMap::new(),
            config: Config::default(),
            staged: None,
            router: Router::new(settings.hall.clone(), seed),
            listed_workers: Vec::new(),
            in_flight: BTreeMap::new(),
            table_calls: BTreeMap::new(),
            last_op: 0,
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
            jobs_checked_at: 0,
            answered_at: 0,
            snapshot_at: None,
            idle_since: None,
            exited: false,
            settings,
        }
    }

    /// Returns the incarnation of this box.
    pub fn id(&self) -> &Name {
        self.lease.id()
    }

    /// Returns the time until which requests and calls may be sent to workers.
    pub fn send_until(&self) -> Millis {
        self.lease.acts_until()
    }

    /// Returns true while the box may act for its cells.
    pub fn may_act(&self, now: Millis) -> bool {
        self.lease.may_act(now)
    }

    /// Returns true while the box may act by promises alone, as its lease has ended.
    pub fn acts_by_promises(&self, now: Millis) -> bool {
        self.lease.acts_by_promises(now)
    }

    /// Returns the owned cells with their epochs.
    pub fn owned_cells(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.claims
            .owned()
            .iter()
            .map(|(cell, owned)| (cell, owned.epoch))
    }

    /// Returns the version of the active configuration.
    pub fn config_version(&self) -> u64 {
        self.config.version()
    }

    /// Returns the active configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns true if the box accepts callers' requests.
    pub fn is_ready(&self) -> bool {
        self.stopping_since.is_none() && self.config.is_loaded() && !self.router.views().is_empty()
    }

    /// Applies an event and returns the resulting actions.
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

    /// Does all periodic work that is due.
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

    /// Begins a planned stop: this box releases its cells and claims no new ones.
    fn begin_stop(&mut self, now: Now) {
        if self.stopping_since.is_none() {
            log::info!(target: "engine", "planned stop begins");
            self.stopping_since = Some(now.millis);
            self.claims.stop();
            // Greets all peers at once, so that they assign no cells to this box.
            self.greeted_at.clear();
        }
    }

    /// Ends a planned stop once nothing is owned or in progress, or at its timeout.
    ///
    /// An idle box stays up for [`LINGER_HEARTBEATS`] until its peers know of the stop, and refuses
    /// the requests that they still forward. An immediate exit would break these off.
    fn finish_stop(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let busy = !self.in_flight.is_empty() || !self.claims.owns_nothing();
        if busy {
            self.idle_since = None;
        }
        let idle_since = *self.idle_since.get_or_insert(now.millis);
        let lingered = !busy
            && now.millis >= idle_since + self.settings.intervals.heartbeat * LINGER_HEARTBEATS;
        let timed_out = now.millis >= since + self.settings.intervals.stop_timeout;
        if (lingered || timed_out) && !self.exited {
            self.exited = true;
            let end = since + self.settings.intervals.stop_timeout;
            let within = end.saturating_sub(now.millis).max(MIN_DRAIN);
            out.push(Action::Exit { within });
        }
    }
}

/// Returns the name of one incarnation of a box.
pub(super) fn incarnation(name: &str, boot: u64) -> Name {
    format!("{name}.{boot:x}").into()
}
