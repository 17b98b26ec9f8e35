//! The engine's state and its steps.

use std::collections::{BTreeMap, BTreeSet};

use super::flights::{self, Flight};
use super::{Action, Event, Now, Reported, Setup};
use crate::cell::{self, Cell, Place, Reason, Times};
use crate::claim::{self, CellRow, Claims, GUARD, Host};
use crate::config::Config;
use crate::constants::GUARDS;
use crate::guard::Guard;
use crate::invariant::{self, Rule};
use crate::lease::{self, BoxRow, Lease, Written};
use crate::route::Router;
use crate::table::{Call, Expect, Op, Outcome, Row, decode};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Heartbeats without a word after which a peer's loads are forgotten.
const SILENT: u64 = 5;
/// Heartbeats for which a box that stops goes on refusing.
const LINGER: u64 = 3;
/// Milliseconds that the servers have to end when the time of the stop is over.
const LAST: Millis = 1_000;
/// Milliseconds between two scans for lots that no hint told of.
const RESCAN: Millis = 10_000;

/// What a call to the table is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    Boxes,
    Renew(u64),
    Declare(Name),
    Cells,
    Claim(Name, u64, CellRow),
    Release(Name, u64, CellRow),
    Head,
    Entries(u64),
    Changes,
    Lots(Name, u64),
    Reread(Vec<(Name, u64, Name)>),
    Journal(Vec<(Name, u64, Name)>),
    Jobs,
}

/// The decisions of one entry box.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) setup: Setup,
    pub(super) lease: Lease,
    pub(super) claims: Claims,
    pub(super) cells: BTreeMap<Name, Cell>,
    pub(super) guards: BTreeMap<Name, Guard>,
    pub(super) config: Config,
    /// A configuration that is read and not yet known to be whole.
    pub(super) staged: Option<Config>,
    pub(super) router: Router,
    pub(super) places: Vec<Place>,
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
    pub fn new(setup: Setup) -> Self {
        let id = incarnation(&setup.name, setup.boot);
        let me = BoxRow {
            id: id.clone(),
            name: setup.name.clone(),
            rpc: setup.rpc.to_string().into(),
            hall: setup.hall.clone(),
            successors: Vec::new(),
            beat: 0,
        };
        let seed = crate::utils::hash::stable(&[&id]);
        Self {
            lease: Lease::new(setup.terms, me),
            claims: Claims::new(id),
            cells: BTreeMap::new(),
            guards: BTreeMap::new(),
            config: Config::default(),
            staged: None,
            router: Router::new(setup.hall.clone(), seed),
            places: Vec::new(),
            flights: BTreeMap::new(),
            ops: BTreeMap::new(),
            next_op: 0,
            budget: flights::BUDGET,
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
            setup,
        }
    }

    /// Returns the own incarnation.
    pub fn id(&self) -> &Name {
        self.lease.id()
    }

    /// Returns the time until which sends to workers may leave.
    pub fn until(&self) -> Millis {
        self.lease.until()
    }

    /// Returns true while the box may act for its cells.
    pub fn acts(&self, now: Millis) -> bool {
        self.lease.acts(now)
    }

    /// Returns true while the box acts past its lease by promises.
    pub fn extended(&self, now: Millis) -> bool {
        self.lease.extended(now)
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
                guard,
                epoch,
            } => self.forwarded(now, ticket, meta, cell, guard, epoch, &mut out),
            Event::Sent { ticket, sent } => self.sent(now, ticket, sent, &mut out),
            Event::Handed { ticket, handed } => self.handed(now, ticket, handed, &mut out),
            Event::Stored { op, sent, outcome } => self.stored(now, op, sent, outcome, &mut out),
            Event::Listed(places) => self.list(places),
            Event::Worker {
                cell,
                epoch,
                worker,
                reported,
            } => self.worker(now, &cell, epoch, &worker, reported, &mut out),
            Event::Greeting { ticket, greeting } => self.greeting(now, ticket, greeting, &mut out),
            Event::Greeted { to, sent, reply } => self.greeted(now, &to, sent, reply, &mut out),
            Event::Snapshot(config) => self.snapshot(config),
            Event::Hint { cells, cancelled } => self.hint(now, cells, cancelled, &mut out),
            Event::Query { ticket, query } => {
                let view = self.view(now.millis, &query);
                out.push(Action::Answer { ticket, view });
            }
            Event::Stop => self.stop(now),
        }
        out
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        let pace = self.setup.pace;
        self.leases(now, out);
        self.directory(now, out);
        self.poll(now, out);
        self.greet(now, out);
        self.claim(now, out);
        self.seek_owners(now, out);
        if self.lease.acts(now.millis) {
            self.run_cells(now, out);
        } else {
            self.rest(now, out);
        }
        self.journal(now, out);
        self.rescan(now, out);
        self.check_jobs(now, out);
        self.report_own(now.millis);
        let oldest = now.millis.saturating_sub(pace.heartbeat * SILENT);
        self.router.forget(oldest);
        self.finish_stop(now, out);
    }

    fn leases(&mut self, now: Now, out: &mut Vec<Action>) {
        let actions = self.lease.tick(now.millis, self.setup.pace.heartbeat);
        self.lease_actions(now, actions, out);
    }

    fn lease_actions(&mut self, now: Now, actions: Vec<lease::Action>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                lease::Action::Read => {
                    self.store(Purpose::Boxes, Call::Scan(lease::PREFIX.into()), out);
                }
                lease::Action::Renew { expect, row } => {
                    let key = box_key(&row.id);
                    let op = Op::put(key, Expect::Version(expect), &row);
                    self.store(Purpose::Renew(row.beat), Call::Commit(vec![op]), out);
                }
                lease::Action::Declare { owner, version } => {
                    log::warn!(target: "lease", "{owner} is taken to be dead");
                    let op = Op::delete(box_key(&owner), Expect::Version(version));
                    self.store(Purpose::Declare(owner), Call::Commit(vec![op]), out);
                }
                lease::Action::Deposed => self.reborn(now, out),
            }
        }
    }

    /// Starts again as a new incarnation that owns nothing.
    fn reborn(&mut self, now: Now, out: &mut Vec<Action>) {
        log::error!(target: "lease", "{} was taken to be dead; starting again", self.id());
        let cells: Vec<Name> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.give_up(now, &cell, Reason::Lapsed, out);
        }
        self.guards.clear();
        self.setup.boot += 1;
        let mut me = self.lease.me().clone();
        me.id = incarnation(&self.setup.name, self.setup.boot);
        me.beat = 0;
        me.successors = Vec::new();
        self.router.drop_owner(&self.lease.id().clone());
        self.claims = Claims::new(me.id.clone());
        self.lease = Lease::new(self.setup.terms, me);
        self.ops
            .retain(|_, p| matches!(p, Purpose::Head | Purpose::Entries(_) | Purpose::Changes));
        if self.stopping.is_some() {
            self.claims.stop();
        }
    }

    fn claim(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.lease.registered() {
            return;
        }
        let (cells, hosts) = (self.cell_names(), self.hosts(now.millis));
        self.claims.observe(now.millis, cells, hosts);
        let lease = &self.lease;
        let me = lease.id().clone();
        let gone = |owner: &Name| *owner != me && lease.other(owner).is_none();
        let interval = self.setup.pace.poll;
        let actions = self.claims.tick(now.millis, interval, gone);
        for action in actions {
            self.claim_action(now, action, out);
        }
    }

    /// Returns the names of all cells: racks by the list of workers, racks
    /// that have an owner, and the guard shards.
    fn cell_names(&self) -> BTreeSet<Name> {
        let mut names: BTreeSet<Name> = self.places.iter().map(|p| p.cell.clone()).collect();
        names.extend((0..GUARDS).map(guard_name));
        names
    }

    fn hosts(&self, now: Millis) -> Vec<Host> {
        let stays = |b: &&BoxRow| self.lease.fresh(&b.id, now) && !self.leavers.contains(&b.id);
        let others = self.lease.others().filter(stays);
        let mut hosts: Vec<Host> = others.map(host).collect();
        if self.stopping.is_none() {
            hosts.push(host(self.lease.me()));
        }
        hosts
    }

    pub(super) fn claim_action(&mut self, now: Now, action: claim::Action, out: &mut Vec<Action>) {
        match action {
            claim::Action::Read => {
                self.store(Purpose::Cells, Call::Scan(claim::PREFIX.into()), out);
            }
            claim::Action::Claim {
                cell,
                expect,
                old,
                row,
            } => {
                let mut ops = vec![
                    Op::put(cell_key(&cell), Expect::Version(expect), &row),
                    Op::keep(box_key(self.lease.id()), Expect::Present),
                ];
                if let Some(old) = old {
                    ops.push(Op::keep(box_key(&old), Expect::Absent));
                }
                self.store(Purpose::Claim(cell, expect, row), Call::Commit(ops), out);
            }
            claim::Action::Release { cell, expect, row } => {
                let op = Op::put(cell_key(&cell), Expect::Version(expect), &row);
                self.store(
                    Purpose::Release(cell, expect, row),
                    Call::Commit(vec![op]),
                    out,
                );
            }
            claim::Action::Won { cell, epoch } => self.win(now, cell, epoch, out),
            claim::Action::Lost { cell } => self.give_up(now, &cell, Reason::NotOwner, out),
        }
    }

    fn win(&mut self, now: Now, cell: Name, epoch: u64, out: &mut Vec<Action>) {
        log::info!(target: "claim", "{cell} is owned under epoch {epoch}");
        if cell.starts_with(GUARD) {
            let guard = Guard::new(epoch, now.wall, self.setup.memory);
            self.guards.insert(cell, guard);
            return;
        }
        let pace = self.setup.pace;
        let times = Times {
            task: pace.task,
            margin: self.setup.terms.margin,
            sync: pace.sync,
        };
        let policy = self.setup.policy.clone();
        let mut won = Cell::new(cell.clone(), epoch, now.millis, policy, times);
        won.places(&self.places, self.config.drained());
        self.cells.insert(cell.clone(), won);
        self.refresh();
        self.scan_lots(&cell, out);
    }

    /// Stops acting for a cell that is no longer owned.
    pub(super) fn give_up(&mut self, now: Now, cell: &Name, reason: Reason, out: &mut Vec<Action>) {
        self.guards.remove(cell);
        self.scanned.remove(cell);
        let Some(mut old) = self.cells.remove(cell) else {
            return;
        };
        log::info!(target: "claim", "{cell} is given up ({})", reason.word());
        let endpoints = old.workers.values().map(|w| w.http).collect();
        let refused = old.refuse_all(reason);
        for action in refused {
            self.cell_action(now, cell, old.epoch, action, out);
        }
        out.push(Action::Disconnect(endpoints));
    }

    fn run_cells(&mut self, now: Now, out: &mut Vec<Action>) {
        let names: Vec<Name> = self.cells.keys().cloned().collect();
        for name in names {
            let leaving = self.claims.mine().get(&name).is_none_or(|m| m.leaving);
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            cell.leaving = leaving;
            let mut actions = Vec::new();
            if leaving {
                actions.extend(cell.refuse_all(Reason::Stopping));
            }
            actions.extend(cell.tick(now.millis, now.micros));
            let epoch = cell.epoch;
            let idle = cell.idle();
            for action in actions {
                self.cell_action(now, &name, epoch, action, out);
            }
            if leaving && idle {
                self.release(now, &name, out);
            }
        }
        for guard in self.guards.values_mut() {
            guard.tick(now.wall);
        }
        self.release_guards(now, out);
    }

    fn release_guards(&mut self, now: Now, out: &mut Vec<Action>) {
        let leaving: Vec<Name> = self
            .claims
            .mine()
            .iter()
            .filter(|(cell, mine)| mine.leaving && cell.starts_with(GUARD))
            .map(|(cell, _)| cell.clone())
            .collect();
        for shard in leaving {
            let busy = self.flights.values().any(|f| f.guarded_by(&shard));
            if !busy {
                self.release(now, &shard, out);
            }
        }
    }

    fn release(&mut self, now: Now, cell: &Name, out: &mut Vec<Action>) {
        for action in self.claims.release(cell) {
            self.claim_action(now, action, out);
        }
    }

    /// Refuses what waits while the lease has lapsed.
    fn rest(&mut self, now: Now, out: &mut Vec<Action>) {
        let names: Vec<Name> = self.cells.keys().cloned().collect();
        for name in names {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let epoch = cell.epoch;
            let refused = cell.refuse_all(Reason::Lapsed);
            for action in refused {
                self.cell_action(now, &name, epoch, action, out);
            }
        }
    }

    /// Returns true when this box may act for a cell under an epoch.
    fn rules(&self, now: Now, cell: &Name, epoch: u64) -> bool {
        let owned = self.claims.mine().get(cell);
        let rules = self.lease.acts(now.millis) && owned.is_some_and(|m| m.epoch == epoch);
        let detail = || format!("{} acts for {cell} under epoch {epoch}", self.id());
        invariant::check(rules, Rule::Owner, detail)
    }

    /// Carries out what a cell asks for.
    pub(super) fn cell_action(
        &mut self,
        now: Now,
        cell: &Name,
        epoch: u64,
        action: cell::Action,
        out: &mut Vec<Action>,
    ) {
        match action {
            // A lapsed lease ends sends here, and once more right before the socket.
            cell::Action::Send { ticket, .. } if !self.lease.acts(now.millis) => {
                self.unsent(now, cell, ticket, out);
            }
            cell::Action::Send { ticket, http, .. } => {
                if !self.rules(now, cell, epoch) {
                    return self.unsent(now, cell, ticket, out);
                }
                if !self.depart(ticket) {
                    return self.finish(ticket, flights::RESENT, out);
                }
                let left = self.flights.get(&ticket).map_or(0, |f| f.left(now.millis));
                out.push(Action::Send {
                    ticket,
                    cell: cell.clone(),
                    epoch,
                    http,
                    left,
                });
            }
            cell::Action::Refuse {
                ticket,
                reason,
                after,
            } => self.refused(now, ticket, reason, after, out),
            cell::Action::Start { worker, run, .. } if !self.rules(now, cell, epoch) => {
                let reported = Reported::Started(run.id, cell::Called::Refused);
                self.worker(now, cell, epoch, &worker, reported, out);
            }
            other => out.push(Action::Worker {
                cell: cell.clone(),
                epoch,
                action: other,
            }),
        }
    }

    fn worker(
        &mut self,
        now: Now,
        name: &Name,
        epoch: u64,
        worker: &Name,
        reported: Reported,
        out: &mut Vec<Action>,
    ) {
        let Some(cell) = self.cells.get_mut(name).filter(|c| c.epoch == epoch) else {
            return;
        };
        let (millis, micros) = (now.millis, now.micros);
        let actions = match reported {
            Reported::Synced {
                sent,
                round,
                acks,
                exchange,
            } => {
                let (outranked, actions) = cell.synced(
                    millis,
                    micros,
                    worker,
                    cell::Asked { sent, round, acks },
                    exchange,
                );
                if outranked {
                    log::warn!(target: "claim", "{worker} knows a higher epoch of {name}");
                }
                actions
            }
            Reported::Started(run, called) => cell.started(millis, worker, run, called),
            Reported::Stopped(run, called) => cell.stopped(millis, micros, worker, run, called),
            Reported::Throttled(run, share, called) => {
                cell.throttled(millis, micros, worker, run, share, called)
            }
        };
        for action in actions {
            self.cell_action(now, name, epoch, action, out);
        }
    }

    fn directory(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.setup.pace.poll;
        let due = self.listed.is_none_or(|at| now.millis >= at + interval);
        if due && !self.listing {
            self.listing = true;
            self.listed = Some(now.millis);
            out.push(Action::List);
        }
    }

    fn list(&mut self, places: Option<Vec<Place>>) {
        self.listing = false;
        let Some(places) = places else {
            return;
        };
        if places == self.places {
            return;
        }
        self.places = places;
        self.refresh();
    }

    /// Tells cells their workers, quotas and drains.
    pub(super) fn refresh(&mut self) {
        let total = self.places.len().max(1) as f64;
        for cell in self.cells.values_mut() {
            cell.places(&self.places, self.config.drained());
            cell.quotas = self.config.quotas().clone();
            cell.part = cell.workers.len() as f64 / total;
        }
    }

    pub(super) fn store(&mut self, purpose: Purpose, call: Call, out: &mut Vec<Action>) {
        self.next_op += 1;
        self.ops.insert(self.next_op, purpose);
        out.push(Action::Store {
            op: self.next_op,
            call,
        });
    }

    fn stored(&mut self, now: Now, op: u64, sent: Millis, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(purpose) = self.ops.remove(&op) else {
            return;
        };
        let reached = !matches!(
            outcome,
            Outcome::Failed | Outcome::Written(Written::NotSent | Written::Unknown)
        );
        if reached {
            self.answered = now.millis;
        }
        match purpose {
            Purpose::Boxes => {
                let rows = rows(&outcome).map(|r| boxes(r));
                let actions = self.lease.read(now.millis, sent, rows);
                self.lease_actions(now, actions, out);
            }
            Purpose::Renew(beat) => {
                let actions = self.lease.renewed(now.millis, beat, written(&outcome));
                self.lease_actions(now, actions, out);
            }
            Purpose::Declare(owner) => self.lease.declared(now.millis, &owner, written(&outcome)),
            Purpose::Cells => {
                let rows = rows(&outcome).map(|r| cells(r));
                let actions = self.claims.read(sent, rows);
                for action in actions {
                    self.claim_action(now, action, out);
                }
            }
            Purpose::Claim(cell, expect, row) => {
                let action = self.claims.claimed(&cell, expect, row, written(&outcome));
                if let Some(action) = action {
                    self.claim_action(now, action, out);
                }
            }
            Purpose::Release(cell, expect, row) => {
                let action = self.claims.released(&cell, expect, row, written(&outcome));
                if let Some(action) = action {
                    self.claim_action(now, action, out);
                }
            }
            Purpose::Head => self.head(now, &outcome, out),
            Purpose::Entries(version) => self.entries(version, &outcome, out),
            Purpose::Changes => self.changes(&outcome),
            Purpose::Lots(cell, epoch) => self.lots(now, &cell, epoch, &outcome, out),
            Purpose::Reread(lots) => self.rereads(&lots, &outcome),
            Purpose::Journal(lots) => self.journaled(&lots, written(&outcome)),
            Purpose::Jobs => self.jobs(now, &outcome, out),
        }
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
        let quiet = !busy && now.millis >= idle + self.setup.pace.heartbeat * LINGER;
        let over = now.millis >= since + self.setup.pace.stop;
        if (quiet || over) && !self.exited {
            self.exited = true;
            let end = since + self.setup.pace.stop;
            let within = end.saturating_sub(now.millis).max(LAST);
            out.push(Action::Exit { within });
        }
    }

    /// Returns true when lots of a cell are due to be read again.
    fn rescan(&mut self, now: Now, out: &mut Vec<Action>) {
        let due: Vec<Name> = self
            .cells
            .keys()
            .filter(|c| {
                let at = self.scanned.get(*c).copied();
                at.is_some_and(|at| now.millis >= at + RESCAN)
            })
            .cloned()
            .collect();
        for cell in due {
            self.scanned.insert(cell.clone(), now.millis);
            self.scan_lots(&cell, out);
        }
    }
}

fn incarnation(name: &str, boot: u64) -> Name {
    format!("{name}.{boot:x}").into()
}

/// Returns the name of a guard shard.
pub(super) fn guard_name(shard: u64) -> Name {
    format!("{GUARD}{shard:02}").into()
}

fn box_key(id: &str) -> Name {
    format!("{}{id}", lease::PREFIX).into()
}

pub(super) fn cell_key(cell: &str) -> Name {
    format!("{}{cell}", claim::PREFIX).into()
}

fn host(row: &BoxRow) -> Host {
    Host {
        id: row.id.clone(),
        name: row.name.clone(),
        hall: row.hall.clone(),
    }
}

pub(super) fn rows(outcome: &Outcome) -> Option<&Vec<Row>> {
    match outcome {
        Outcome::Rows(rows) => Some(rows),
        _ => None,
    }
}

pub(super) fn written(outcome: &Outcome) -> Written {
    match outcome {
        Outcome::Written(written) => *written,
        _ => Written::Unknown,
    }
}

fn boxes(rows: &[Row]) -> Vec<lease::Versioned> {
    let versioned = |row: &Row| {
        let version = row.version;
        decode(row).map(|row| lease::Versioned { version, row })
    };
    rows.iter().filter_map(versioned).collect()
}

fn cells(rows: &[Row]) -> Vec<claim::Versioned> {
    let versioned = |row: &Row| {
        let cell: Name = row.key.strip_prefix(claim::PREFIX)?.into();
        let version = row.version;
        decode(row).map(|row| claim::Versioned { cell, version, row })
    };
    rows.iter().filter_map(versioned).collect()
}
