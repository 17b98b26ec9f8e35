//! Exchanges greetings with other boxes: loads, moved cells, promises and configuration versions.

use super::state::Engine;
use super::{Action, Greeting, Now, max_shape};
use crate::claim::VersionedCell;
use crate::route::CellLoad;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Heartbeat intervals for which greetings list the latest cells acquired or released.
const MOVE_HEARTBEATS: u64 = 3;

impl Engine {
    /// Greets the other boxes for which a greeting is due.
    pub(super) fn greet_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.settings.intervals.heartbeat;
        let others: Vec<(Name, _)> = self
            .lease
            .other_boxes()
            .filter_map(|b| b.rpc.parse().ok().map(|rpc| (b.id.clone(), rpc)))
            .collect();
        // Acquired and released cells are announced to all boxes at once.
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
            let is_successor = self.lease.successors().contains(&id);
            greeting.ask = is_successor.then(|| id.clone());
            out.push(Action::Greet {
                to: id,
                rpc,
                greeting,
            });
        }
    }

    /// Returns a greeting with the current state of this box.
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

    /// Returns the rows of the latest cells acquired or released, while they are announced.
    fn recent_moves(&self, now: Millis) -> Vec<VersionedCell> {
        match now < self.announce_until {
            true => self.claims.recent_moves().cloned().collect(),
            false => Vec::new(),
        }
    }

    /// Returns the loads of the own cells that accept requests.
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
            largest_worker: max_shape(cell.workers.values().map(|w| w.shape)),
        })
        .collect()
    }

    /// Reports the loads of the own cells to the router.
    pub(super) fn report_own_loads(&mut self, now: Millis) {
        let loads = self.own_loads(now);
        let own_id = self.id().clone();
        self.router.update_owner(now, &own_id, None, loads);
    }

    /// Applies a greeting of another box and replies to it.
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

    /// Applies the reply to a greeting that was sent at `sent`.
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
        // A restarted box at the same address is another incarnation, whose promise does not count
        // for the incarnation that was asked.
        if promised && greeting.from == *to {
            self.lease.record_promise(to, sent);
        }
        self.apply_greeting(now, &greeting, out);
    }

    /// Applies the moved cells, loads and configuration version of another box. Rereads all owners
    /// if some of its moves were missed.
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
