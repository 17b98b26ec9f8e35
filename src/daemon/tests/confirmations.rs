//! Tests of what a box confirms to the owner that it follows, and of what the owner takes from it.

use std::rc::Rc;

use super::{lock_terms, owner_row, shared_state, shared_with_messages};
use crate::daemon::message::{Message, Sent};
use crate::daemon::peers::handle_ping;
use crate::daemon::pings::follow_later_owner;
use crate::daemon::shared::Shared;
use crate::proto::PingRequest;
use crate::table::encode;
use crate::utils::clock;

/// Epoch of the owner that is followed, and the version of its row.
const EPOCH: u64 = 7;
const VERSION: u64 = 40;
/// Reading of the owner's clock in its last reply.
const CLOCK: u64 = 5_000;

/// Returns a box that has read the owner's row and had a reply from the owner.
fn follower() -> Shared {
    let shared = shared_state();
    let now = clock::now();
    shared.confirmations().record_reply(EPOCH, CLOCK, now);
    shared
}

/// Guards against an owner that goes on because a box confirms it that has replaced it, or whose
/// attempt at that may still take effect.
#[test]
fn a_box_confirms_no_owner_that_it_may_have_replaced() {
    let shared = follower();
    let reading = |epoch, version| shared.confirmations().reading_for(epoch, version);
    assert_eq!(reading(EPOCH, VERSION), CLOCK);
    assert_eq!(reading(EPOCH + 1, VERSION), 0, "not from it");
    shared.confirmations().bar(VERSION);
    assert_eq!(reading(EPOCH, VERSION), 0);
    shared.confirmations().bar(VERSION - 1);
    assert_eq!(reading(EPOCH, VERSION), 0);
    assert_eq!(
        reading(EPOCH, VERSION + 1),
        CLOCK,
        "a newer row voids the attempt"
    );
}

/// Guards against a restarted box that confirms an owner which it replaced before its restart.
#[test]
fn a_box_confirms_no_owner_whose_row_it_has_not_read_itself() {
    let shared = follower();
    follow_later_owner(&shared, encode(&owner_row(EPOCH)), VERSION);
    let known = shared.owner().map(|known| known.version);
    assert_eq!(known, Some(VERSION), "it follows the owner");
    let confirmations = shared.confirmations();
    assert_eq!(confirmations.reading_for(EPOCH, VERSION), 0);
    assert!(!confirmations.permits(VERSION), "it reads the row");
    assert_eq!(confirmations.reading_for(EPOCH, VERSION + 1), CLOCK);
}

/// Guards against an owner that loses its followers while their checks wait for the store.
#[test]
fn a_further_ping_is_due_while_the_last_reply_is_recent() {
    let shared = shared_state();
    let is_due = |epoch, now| shared.confirmations().is_due(epoch, now);
    assert!(!is_due(EPOCH, 1_000), "the owner has not answered yet");
    shared.confirmations().record_reply(EPOCH, CLOCK, 1_000);
    assert!(!is_due(EPOCH, 1_399));
    assert!(is_due(EPOCH, 1_400));
    assert!(!is_due(EPOCH + 1, 1_400));
    assert!(!is_due(EPOCH, 9_000), "the next check finds it silent");
}

/// Guards against confirmations of another epoch, and against pings of boxes of the previous release
/// that count as confirmations.
#[test]
fn an_owner_takes_confirmations_of_its_own_epoch_only() {
    let _terms = lock_terms();
    let (shared, mut messages) = shared_with_messages();
    let shared = Rc::new(shared);
    shared.set_local_epoch(Some(EPOCH));
    let mut confirmed = |epoch, confirms| {
        let ping = PingRequest {
            epoch,
            confirms,
            address: "127.0.0.1:9".into(),
            ..PingRequest::default()
        };
        let reply = handle_ping(&shared, &ping);
        assert!(reply.owner && reply.clock > 0, "the owner sends its clock");
        matches!(messages.next(), Some(Sent { message: Message::Confirmed(EPOCH, at, CLOCK), .. }) if at.port() == 9)
    };
    assert!(confirmed(EPOCH, CLOCK));
    assert!(!confirmed(EPOCH, 0), "it confirms nothing");
    assert!(!confirmed(EPOCH - 1, CLOCK));
}
