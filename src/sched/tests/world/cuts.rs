//! Simulates workers that are cut off from the boxes, or from the store as well, and run on.

use super::World;
use crate::sched::message::{DirectoryEntry, Event};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds from the cut of a worker from the store until its listing lapses.
const LAPSE: Millis = 3_300;

/// A worker that is cut off and runs on.
struct Cut {
    worker: Name,
    /// When its listing lapses; none if it reaches the store.
    lapses_at: Option<Millis>,
    ends_at: Millis,
}

/// Cuts of workers that are under way.
#[derive(Default)]
pub struct Cuts(Vec<Cut>);

impl Cuts {
    /// Cuts a worker off from the boxes, and from the store as well if `from_store` is true.
    pub fn begin(&mut self, world: &mut World, worker: &Name, span: Millis, from_store: bool) {
        world.workers.get_mut(worker).expect("worker").disconnected = true;
        self.0.push(Cut {
            worker: worker.clone(),
            lapses_at: from_store.then_some(world.now + LAPSE),
            ends_at: world.now + span,
        });
    }

    /// Applies what is due: listings that lapse, and cuts that end.
    pub fn apply_due(&mut self, world: &mut World) {
        let now = world.now;
        for cut in &mut self.0 {
            let lapses = cut.lapses_at.take_if(|at| *at <= now).is_some();
            if let Some(worker) = world.workers.get_mut(&cut.worker).filter(|_| lapses) {
                worker.listed = false;
                let entry = (cut.worker.clone(), DirectoryEntry::Removed);
                world.notify(Event::DirectoryChanged(vec![entry]));
            }
        }
        for cut in self.0.extract_if(.., |cut| cut.ends_at <= now) {
            if let Some(worker) = world.workers.get_mut(&cut.worker) {
                worker.disconnected = false;
                worker.listed = true;
                world.send_listing(&cut.worker);
            }
        }
    }

    /// Returns true while a worker is cut off.
    pub fn contains(&self, worker: &Name) -> bool {
        self.0.iter().any(|cut| cut.worker == *worker)
    }
}
