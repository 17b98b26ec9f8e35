//! Workers of cordoned halls: nothing new is started there.
//!
//! What runs there goes on. Stopped, it would lose what it has not saved and would ask for
//! room in the halls that are left, which have less of it just then.

use super::owner::Owner;
use crate::cordons::Halls;
use crate::utils::Name;

impl Owner {
    /// Takes in which halls are cordoned.
    pub(super) fn set_cordoned_halls(&mut self, halls: Halls) {
        if self.cordoned_halls.as_ref() == Some(&halls) {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.cordoned = halls.contains(&worker.listing.hall);
        }
        let cordoned = || self.workers.values().filter(|w| w.cordoned);
        let tasks: usize = cordoned().map(|w| w.placements.len()).sum();
        let names: Vec<&str> = halls.iter().map(|h| &**h).collect();
        log::info!(target: "owner", "event=cordons halls={} workers={} tasks={tasks}", names.join(","), cordoned().count());
        self.break_promises();
        self.cordoned_halls = Some(halls);
        self.ranking = None;
        self.saturated = false;
    }

    /// Returns true when nothing new may be started in a hall.
    pub(super) fn is_cordoned(&self, hall: &str) -> bool {
        self.cordoned_halls
            .as_ref()
            .is_some_and(|h| h.contains(hall))
    }

    /// Has tasks look for room elsewhere for which it was made on cordoned workers.
    fn break_promises(&mut self) {
        let broken = |name: &&Name| self.workers.get(*name).is_some_and(|w| w.cordoned);
        let broken: Vec<Name> = self.reservations.values().filter(broken).cloned().collect();
        for name in broken {
            self.cancel_reservation(&name);
        }
    }
}
