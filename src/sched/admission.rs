//! Whether a job is taken.
//!
//! Load patterns: jobs that come while the store is away, and jobs that ask for more than
//! any worker has. Both would be held in vain, so their callers are told at once, and that
//! nothing has run. A job that merely has to wait is taken: its tasks find room within
//! seconds on full workers, and only the caller knows how long it is worth the wait.

use super::owner::Owner;
use super::scoring::could_ever_hold;
use super::spec::{JobSpec, StepSpec};
use super::worker::{Presence, Worker};
use crate::utils::clock::Millis;

/// Milliseconds without a confirmed commit after which new jobs are refused:
/// several times the store's usual answer, also when it is slow.
const OUTAGE_AFTER: Millis = 1_000;
/// The same once a commit has failed: a store that resets connections or answers 503 tells
/// so at once. Longer than an idle owner's pause between commits and than two answers lost
/// in a row take to be found, which are no outage.
const OUTAGE_AFTER_FAILURE: Millis = 450;
/// While commits are slow, so many of them may pass unconfirmed.
const OUTAGE_COMMITS: Millis = 3;
/// Longest such span, in milliseconds.
const MAX_OUTAGE_AFTER: Millis = 2_500;
/// Milliseconds after which a caller of a job that no worker could hold should come back:
/// larger workers are added within some seconds, if at all, and each try before is in vain.
const UNSERVABLE_RETRY_AFTER: Millis = 5_000;
/// Milliseconds after which a refused caller should come back; about what a
/// takeover or a short outage takes.
pub const RETRY_AFTER: Millis = 500;

/// Why a job is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The store has confirmed nothing for so many milliseconds.
    StoreAway(Millis),
    /// No worker of its service could hold a task of this step.
    Unservable(usize),
}

impl Rejection {
    /// Returns the milliseconds after which the caller should come back.
    pub fn retry_after(self) -> Millis {
        match self {
            Self::StoreAway(_) => RETRY_AFTER,
            Self::Unservable(_) => UNSERVABLE_RETRY_AFTER,
        }
    }
}

impl Owner {
    /// Returns why a job can't be taken now.
    pub(super) fn rejection(&self, spec: &JobSpec, service: &str) -> Option<Rejection> {
        let away = self.store_outage().map(Rejection::StoreAway);
        away.or_else(|| {
            self.unservable_step(spec, service)
                .map(Rejection::Unservable)
        })
    }

    /// Returns the milliseconds since the last confirmed commit when they are too
    /// many to take new jobs.
    pub(super) fn store_outage(&self) -> Option<Millis> {
        let silent = self.now.steady - self.journal.last_confirmed();
        let usual = match self.journal.last_commit_failed() {
            true => OUTAGE_AFTER_FAILURE,
            false => OUTAGE_AFTER,
        };
        let slow = (self.journal.last_commit_duration() * OUTAGE_COMMITS).min(MAX_OUTAGE_AFTER);
        (silent > usual.max(slow)).then_some(silent)
    }

    /// Returns a step of which no worker of the service could hold a task, were it empty
    /// and its room as large as it has been: one that has shrunk may grow again.
    /// Without any worker of the service nothing is known, as the directory may not be
    /// read yet.
    fn unservable_step(&self, spec: &JobSpec, service: &str) -> Option<usize> {
        let known = |w: &&Worker| {
            let there = !matches!(w.presence, Presence::Removed | Presence::Unusable);
            there && &*w.listing.service == service
        };
        let holds = |step: &StepSpec| {
            let mut workers = self.workers.values().filter(known);
            workers.any(|w| could_ever_hold(w, step))
        };
        self.workers.values().find(known)?;
        spec.steps.iter().position(|step| !holds(step))
    }
}
