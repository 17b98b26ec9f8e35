//! A request on its way, and what may be told of it.

use super::Verdict;
use crate::invariant::{self, Rule};
use crate::request::Meta;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// What is told of a request that was sent before and may have run.
pub(super) const UNKNOWN_AFTER_RESEND: Verdict = Verdict::Unknown { reason: "retried" };

/// Who asked this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// A box that asks this one to deduplicate the id.
    PeerForDedup,
    /// A box that has chosen a cell of this one.
    PeerForCell,
}

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not yet anywhere.
    New,
    /// At the box that owns the dedup shard.
    Dedup,
    /// Waiting for an owner of the dedup shard, or of any cell, to be known.
    Backoff(Millis),
    /// In an own cell.
    Local(Name),
    /// At the owner of another cell.
    Remote(Name),
}

/// A request on its way.
#[derive(Clone, Debug)]
pub(super) struct InFlightRequest {
    /// What it says of itself.
    pub meta: Meta,
    /// When its caller does not wait any more, in milliseconds.
    pub deadline: Millis,
    /// Who asked this box.
    pub origin: Origin,
    /// Where it is.
    pub stage: Stage,
    /// Cells that were tried.
    pub tried: Vec<Name>,
    /// The dedup shard that let it through, and the epoch.
    pub dedup_shard: Option<(Name, u64)>,
    /// Sends that are left to it.
    pub retries: u32,
    /// True while a send of it has no outcome.
    pub sending: bool,
    /// True once a send of it may have run.
    pub may_have_run: bool,
}

impl InFlightRequest {
    /// Returns the milliseconds until its deadline.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }

    /// Returns the verdict, or unknown in place of a denial that is not proved.
    pub fn provable_verdict(&self, ticket: u64, verdict: Verdict) -> Verdict {
        let Verdict::NotRun { reason, .. } = verdict else {
            return verdict;
        };
        let proved = !self.sending && !self.may_have_run;
        let detail = || format!("{ticket} is denied ({}) and may run", reason.as_str());
        match invariant::check(proved, Rule::NotRun, detail) {
            true => verdict,
            false => UNKNOWN_AFTER_RESEND,
        }
    }

    /// Returns true when an own dedup shard let it through.
    pub fn admitted_by(&self, shard: &str) -> bool {
        self.dedup_shard
            .as_ref()
            .is_some_and(|(name, _)| &**name == shard)
    }
}
