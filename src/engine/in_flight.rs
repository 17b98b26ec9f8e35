//! State of a request in progress on this box, and the verdict that its state permits.

use super::Verdict;
use crate::invariant::{self, Rule};
use crate::request::Meta;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Verdict for a request of which an earlier send may have run.
pub(super) const UNKNOWN_AFTER_RESEND: Verdict = Verdict::Unknown { reason: "retried" };

/// Who sent a request to this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// A box that forwarded the request because this box owns its dedup shard.
    PeerForDedup,
    /// A box that forwarded the request to a cell of this box.
    PeerForCell,
}

/// Where a request is being processed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not routed yet, or to be routed again.
    New,
    /// Forwarded to the owner of its dedup shard.
    Dedup,
    /// Waiting until this time, in ms, for the dedup shard or the cells to get an owner.
    Backoff(Millis),
    /// In a cell of this box.
    Local(Name),
    /// Forwarded to the owner of another cell.
    Remote(Name),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct InFlightRequest {
    /// Checked headers.
    pub meta: Meta,
    /// Time at which the caller stops waiting, in ms on the boot-time clock.
    pub deadline: Millis,
    /// Who sent the request.
    pub origin: Origin,
    /// Where the request is being processed.
    pub stage: Stage,
    /// Cells that were already tried.
    pub tried: Vec<Name>,
    /// Own dedup shard that admitted the request, with the shard's epoch.
    pub dedup_shard: Option<(Name, u64)>,
    /// Number of retries left.
    pub retries: u32,
    /// True while the outcome of a send is pending.
    pub sending: bool,
    /// True once an earlier send may have run.
    pub may_have_run: bool,
}

impl InFlightRequest {
    /// Returns the milliseconds until the deadline.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }

    /// Returns the verdict, but replaces "not run" by "unknown" if a send may have run.
    pub fn provable_verdict(&self, ticket: u64, verdict: Verdict) -> Verdict {
        let Verdict::NotRun { reason, .. } = verdict else {
            return verdict;
        };
        let proved = !self.sending && !self.may_have_run;
        let detail = || {
            format!(
                "request {ticket} is reported as not run ({}) but may run",
                reason.as_str()
            )
        };
        match invariant::check(proved, Rule::NotRun, detail) {
            true => verdict,
            false => UNKNOWN_AFTER_RESEND,
        }
    }

    /// Returns true if this dedup shard admitted the request.
    pub fn admitted_by(&self, shard: &str) -> bool {
        self.dedup_shard
            .as_ref()
            .is_some_and(|(name, _)| &**name == shard)
    }
}
