//! Tests of when a box replaces the owner, and which box does.

use super::world::owner_row;
use crate::sched::failover::{
    Assessment, OwnerProgress, Pong, TakeoverCause, assess_owner, offered_cores, should_release_to,
    should_replace, smaller_box_delay, takeover_delay, unlisted_box_delay, wanted_cores,
};
use crate::sched::journal::OwnerRow;
use crate::utils::clock::Millis;

#[test]
fn boxes_with_fewer_cores_wait_longer_before_a_takeover() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(smaller_box_delay(500, &before), 0);
    assert_eq!(smaller_box_delay(1_000, &before), 0);
    assert!(smaller_box_delay(120, &before) > 0);
}

#[test]
fn an_owner_makes_way_for_more_cores_after_the_minimum_term() {
    assert!(!should_release_to(500, 500, 1_000, 60_000));
    assert!(!should_release_to(500, 0, 1_000, 60_000));
    assert!(!should_release_to(120, 500, 1_000, 1_500));
    assert!(should_release_to(120, 500, 1_000, 6_000));
}

#[test]
fn after_a_weak_owner_strong_boxes_still_go_first() {
    let strong = OwnerRow {
        cores: wanted_cores(500, None),
        ..owner_row(1)
    };
    let weak = OwnerRow {
        cores: wanted_cores(120, Some(&strong)),
        ..owner_row(2)
    };
    assert!(
        smaller_box_delay(120, &weak) > 0,
        "a weak box still waits for strong ones"
    );
    assert_eq!(smaller_box_delay(500, &weak), 0);
}

/// Progress of an owner that served at 1,000 ms.
const SERVED: OwnerProgress = OwnerProgress {
    at: 1_000,
    pages: None,
};
/// Progress of an owner that had loaded three pages at 1,000 ms.
const LOADED: OwnerProgress = OwnerProgress {
    at: 1_000,
    pages: Some(3),
};

/// Returns what a box with 500 thousandths of cores does about the owner of epoch 7.
fn assess(last: OwnerProgress, pong: Option<Pong>, now: Millis) -> Assessment {
    assess_owner(500, 7, last, pong, now)
}

/// Returns the answer of an owner of epoch 7 that loads.
fn loads(pages: u64, cores: u32) -> Option<Pong> {
    Some(Pong::Loads {
        epoch: 7,
        pages,
        cores,
    })
}

#[test]
fn a_loading_owner_is_not_replaced_while_it_makes_progress() {
    let mut last = SERVED;
    for pages in 0..60 {
        let now = last.at + 3_000;
        let Assessment::CheckRow(progress) = assess(last, loads(pages, 500), now) else {
            panic!("replaced after {pages} pages");
        };
        assert_eq!(progress.at, now, "page {pages} counts as progress");
        last = progress;
    }
    assert_eq!(
        assess(LOADED, loads(3, 500), 4_500),
        Assessment::CheckRow(LOADED)
    );
    let stuck = Assessment::Replace(TakeoverCause::Stuck);
    assert_eq!(assess(LOADED, loads(3, 500), 4_501), stuck);
}

#[test]
fn a_loading_owner_is_replaced_by_a_box_with_more_cores() {
    let smaller_owner = Assessment::Replace(TakeoverCause::Weaker);
    assert_eq!(assess(LOADED, loads(4, 120), 1_001), smaller_owner);
    let smaller_box = assess_owner(120, 7, LOADED, loads(3, 500), 1_001);
    assert_eq!(smaller_box, Assessment::CheckRow(LOADED));
}

#[test]
fn the_row_of_a_box_that_is_no_longer_owner_is_checked_first() {
    let idle = Some(Pong::Idle);
    assert_eq!(assess(SERVED, idle, 1_200), Assessment::CheckRow(SERVED));
    let other = Some(Pong::Serves {
        epoch: 6,
        confirmed: 0,
    });
    assert_eq!(assess(SERVED, other, 1_200), Assessment::CheckRow(SERVED));
    let replaced = Assessment::Replace(TakeoverCause::Stuck);
    assert_eq!(assess(SERVED, idle, 3_500), replaced);
}

#[test]
fn a_serving_owner_is_replaced_only_if_the_store_does_not_confirm_it() {
    let serves = |confirmed| {
        Some(Pong::Serves {
            epoch: 7,
            confirmed,
        })
    };
    let serving = OwnerProgress {
        at: 90_000,
        pages: None,
    };
    let follow = Assessment::Follow(serving);
    assert_eq!(assess(SERVED, serves(300), 90_000), follow);
    assert_eq!(assess(LOADED, serves(300), 90_000), follow);
    let unconfirmed = Assessment::Replace(TakeoverCause::Unconfirmed(801));
    assert_eq!(assess(SERVED, serves(801), 1_100), unconfirmed);
}

#[test]
fn silence_replaces_a_serving_owner_at_once_and_a_loading_owner_later() {
    let silent = Assessment::Replace(TakeoverCause::Silent);
    assert_eq!(assess(SERVED, None, 1_100), silent);
    assert_eq!(assess(LOADED, None, 2_000), Assessment::CheckRow(LOADED));
    assert_eq!(assess(LOADED, None, 2_001), silent);
}

#[test]
fn a_box_that_stops_or_is_not_served_by_the_store_offers_no_cores() {
    assert_eq!(offered_cores(500, true, false), 500);
    assert_eq!(offered_cores(500, true, true), 0);
    assert_eq!(offered_cores(500, false, false), 0);
}

#[test]
fn a_vacant_cell_is_taken_over_at_once() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(takeover_delay(500, &before, true, 100), 0);
    assert_eq!(
        takeover_delay(120, &before, true, 100),
        smaller_box_delay(120, &before)
    );
    assert!(
        takeover_delay(500, &before, false, 100) > 300,
        "a serving owner writes its row every 300 ms"
    );
}

/// Guards against a takeover by a box that has to wait longest for the leases of the owner, while one
/// of the owner's followers could take over.
#[test]
fn followers_that_the_row_lists_take_over_before_other_boxes() {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let before = OwnerRow {
        followers: vec![address(2), address(3)],
        ..owner_row(1)
    };
    assert_eq!(unlisted_box_delay(address(2), &before), 0);
    assert!(unlisted_box_delay(address(4), &before) > 0);
    let unlisted = owner_row(1);
    assert_eq!(
        unlisted_box_delay(address(4), &unlisted),
        0,
        "all wait alike"
    );
}

/// A slow store confirms an owner late, and a box that replaced it would be confirmed as late.
#[test]
fn an_owner_without_commits_is_replaced_later_while_the_store_is_slow() {
    let unconfirmed = TakeoverCause::Unconfirmed;
    assert!(should_replace(unconfirmed(900), 5));
    assert!(!should_replace(unconfirmed(900), 250));
    assert!(!should_replace(unconfirmed(1_500), 250));
    assert!(should_replace(unconfirmed(1_501), 250));
    assert!(should_replace(TakeoverCause::Silent, 250));
}
