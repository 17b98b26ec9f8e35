//! Cordons halls: nothing new is started on their workers.
//!
//! Runs in a cordoned hall go on. If they were stopped, they would lose their progress since the
//! last checkpoint and would need resources in the other halls, which are scarcer just then.

use super::owner::Owner;
use crate::cordons::Halls;
use crate::utils::Name;

impl Owner {
    /// Sets the cordoned halls.
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
        self.cancel_cordoned_reservations();
        self.cordoned_halls = Some(halls);
        self.ranking = None;
        self.saturated = false;
    }

    /// Returns true when a hall is cordoned.
    pub(super) fn is_cordoned(&self, hall: &str) -> bool {
        self.cordoned_halls
            .as_ref()
            .is_some_and(|h| h.contains(hall))
    }

    /// Cancels the reservations on cordoned workers, so that their tasks are placed elsewhere.
    fn cancel_cordoned_reservations(&mut self) {
        let cordoned = |name: &&Name| self.workers.get(*name).is_some_and(|w| w.cordoned);
        let names: Vec<Name> = self
            .reservations
            .values()
            .filter(cordoned)
            .cloned()
            .collect();
        for name in names {
            self.cancel_reservation(&name);
        }
    }
}
