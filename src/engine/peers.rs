//! What boxes tell each other.

use super::state::Engine;
use super::{Action, Greeting, Now, largest};
use crate::claim::VersionedCell;
use crate::route::CellLoad;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Heartbeats for which a move of a cell is told.
const MOVE_HEARTBEATS: u64 = 3;

impl Engine {
    /// Greets the other boxes when that is due.
    pub(super) fn greet_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.settings.intervals.heartbeat;
        let others: Vec<(Name, _)> = self
            .lease
            .other_boxes()
            .filter_map(|b| b.rpc.parse().ok().map(|rpc| (b.id.clone(), rpc)))
            .collect();
        // A cell that has moved is told at once.
        if self.announced_moves != self.claims.move_count() {
            self.announced_moves = self.claims.move_count();
            self.announce_until = now.millis + interval * MOVE_HEARTBEATS;
            self.greeted_at.clear();
        }
        let listed = |id: &Name| others.iter().any(|(o, _)| o == id);
        self.greeted_at.retain(|id, _| listed(id));
        self.peer_moves.retain(|id, _| listed(id));
        self.stopping_peers.retain(listed);
        for (id, rpc) in others {
            let last = self.greeted_at.get(&id).copied();
            if last.is_some_and(|at| now.millis < at + interval) {
                continue;
            }
            self.greeted_at.insert(id.clone(), now.millis);
            let mut greeting = self.build_greeting(now.millis);
            let listed = self.lease.successors().contains(&id);
            greeting.ask = listed.then(|| id.clone());
            out.push(Action::Greet {
                to: id,
                rpc,
                greeting,
            });
        }
    }

    fn build_greeting(&self, now: Millis) -> Greeting {
        Greeting {
            from: self.id().clone(),
            rpc: self.settings.rpc,
            hall: self.settings.hall.clone(),
            config: self.config.version(),
            stopping: self.stopping_since.is_some(),
            ask: None,
            sent: now,
            moves: self.claims.move_count(),
            moved: self.recent_moves(now),
            loads: self.own_loads(now),
        }
    }

    /// Returns the last own moves of cells, while they are news.
    fn recent_moves(&self, now: Millis) -> Vec<VersionedCell> {
        match now < self.announce_until {
            true => self.claims.recent_moves().cloned().collect(),
            false => Vec::new(),
        }
    }

    /// Returns the load of the own cells that take requests.
    fn own_loads(&self, now: Millis) -> Vec<CellLoad> {
        if !self.lease.may_act(now) {
            return Vec::new();
        }
        let open = self.cells.values().filter(|c| !c.leaving);
        open.map(|cell| CellLoad {
            cell: cell.name.clone(),
            epoch: cell.epoch,
            free_slots: cell.free_slots(now),
            queued: cell.queued_requests() as u32,
            free_cores: cell.free_cores(now),
            largest_worker: largest(cell.workers.values().map(|w| w.shape)),
        })
        .collect()
    }

    /// Tells the own router the load of the own cells.
    pub(super) fn report_own_loads(&mut self, now: Millis) {
        let loads = self.own_loads(now);
        let me = self.id().clone();
        self.router.update_owner(now, &me, None, loads);
    }

    pub(super) fn handle_greeting(
        &mut self,
        now: Now,
        ticket: u64,
        greeting: Greeting,
        out: &mut Vec<Action>,
    ) {
        let asked = greeting.ask.as_ref() == Some(self.id());
        let promised = asked && self.lease.grant_promise(now.millis, &greeting.from);
        self.apply_greeting(now, &greeting, out);
        out.push(Action::AnswerGreeting {
            ticket,
            greeting: self.build_greeting(now.millis),
            promised,
        });
    }

    pub(super) fn handle_greeting_reply(
        &mut self,
        now: Now,
        to: &Name,
        sent: Millis,
        reply: Option<(Greeting, bool)>,
        out: &mut Vec<Action>,
    ) {
        let Some((greeting, promised)) = reply else {
            return;
        };
        // A restarted box at the same address is another incarnation, and its
        // word does not count for the one that was asked.
        if promised && greeting.from == *to {
            self.lease.record_promise(to, sent);
        }
        self.apply_greeting(now, &greeting, out);
    }

    fn apply_greeting(&mut self, now: Now, greeting: &Greeting, out: &mut Vec<Action>) {
        for versioned in &greeting.moved {
            if let Some(action) = self.claims.apply_move(versioned.clone()) {
                self.apply_claim_action(now, action, out);
            }
        }
        let known = self
            .peer_moves
            .insert(greeting.from.clone(), greeting.moves);
        let complete = |known: u64| known + greeting.moved.len() as u64 >= greeting.moves;
        if known.is_some_and(|known| !complete(known)) {
            self.claims.request_read();
        }
        if greeting.stopping {
            self.stopping_peers.insert(greeting.from.clone());
            self.router.remove_owner(&greeting.from);
        } else {
            let rpc = Some(greeting.rpc);
            let loads = greeting.loads.clone();
            self.router
                .update_owner(now.millis, &greeting.from, rpc, loads);
        }
        self.handle_peer_version(now, greeting.config, greeting.rpc, out);
    }
}
