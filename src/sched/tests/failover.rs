//! Which box takes the place of an owner.

use super::world::owner_row;
use crate::sched::failover::{
    Assessment, Cause, OwnerProgress, Pong, assess_owner, offered_cores, should_make_way,
    takeover_delay, wanted_cores, weaker_box_delay,
};
use crate::sched::journal::OwnerRow;
use crate::utils::clock::Millis;

#[test]
fn boxes_with_fewer_cores_leave_an_owners_place_to_others() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(weaker_box_delay(500, &before), 0);
    assert_eq!(weaker_box_delay(1_000, &before), 0);
    assert!(weaker_box_delay(120, &before) > 0);
}

#[test]
fn an_owner_makes_way_for_more_cores_once_it_has_settled() {
    assert!(!should_make_way(500, 500, 1_000, 60_000));
    assert!(!should_make_way(500, 0, 1_000, 60_000));
    assert!(!should_make_way(120, 500, 1_000, 1_500));
    assert!(should_make_way(120, 500, 1_000, 6_000));
}

#[test]
fn a_weak_owner_is_not_followed_by_weak_ones() {
    let strong = OwnerRow {
        cores: wanted_cores(500, None),
        ..owner_row(1)
    };
    let weak = OwnerRow {
        cores: wanted_cores(120, Some(&strong)),
        ..owner_row(2)
    };
    assert!(
        weaker_box_delay(120, &weak) > 0,
        "strong boxes go first again"
    );
    assert_eq!(weaker_box_delay(500, &weak), 0);
}

/// OwnerProgress of an owner that served at 1,000 ms, and of one that had loaded three pages.
const SERVED: OwnerProgress = OwnerProgress {
    at: 1_000,
    pages: None,
};
const LOADED: OwnerProgress = OwnerProgress {
    at: 1_000,
    pages: Some(3),
};

/// Returns what a box of 500 thousandths of cores does about the owner of epoch 7.
fn judged(last: OwnerProgress, pong: Option<Pong>, now: Millis) -> Assessment {
    assess_owner(500, 7, last, pong, now)
}

fn loads(pages: u64, cores: u32) -> Option<Pong> {
    Some(Pong::Loads {
        epoch: 7,
        pages,
        cores,
    })
}

#[test]
fn an_owner_that_loads_is_left_to_it_as_long_as_it_goes_on() {
    let mut last = SERVED;
    for pages in 0..60 {
        let now = last.at + 3_000;
        let Assessment::CheckRow(life) = judged(last, loads(pages, 500), now) else {
            panic!("replaced after {pages} pages");
        };
        assert_eq!(life.at, now, "page {pages} is a sign of life");
        last = life;
    }
    assert_eq!(
        judged(LOADED, loads(3, 500), 4_500),
        Assessment::CheckRow(LOADED)
    );
    let stuck = Assessment::Replace(Cause::Stuck);
    assert_eq!(judged(LOADED, loads(3, 500), 4_501), stuck);
}

#[test]
fn a_box_with_more_cores_does_not_wait_for_one_that_loads() {
    let weaker = Assessment::Replace(Cause::Weaker);
    assert_eq!(judged(LOADED, loads(4, 120), 1_001), weaker);
    let left = assess_owner(120, 7, LOADED, loads(3, 500), 1_001);
    assert_eq!(left, Assessment::CheckRow(LOADED));
}

#[test]
fn one_that_served_until_now_and_is_no_owner_is_looked_up_first() {
    let idle = Some(Pong::Idle);
    assert_eq!(judged(SERVED, idle, 1_200), Assessment::CheckRow(SERVED));
    let other = Some(Pong::Serves {
        epoch: 6,
        confirmed: 0,
    });
    assert_eq!(judged(SERVED, other, 1_200), Assessment::CheckRow(SERVED));
    let gone = Assessment::Replace(Cause::Stuck);
    assert_eq!(judged(SERVED, idle, 3_500), gone);
}

#[test]
fn one_that_serves_is_replaced_only_when_the_store_confirms_nothing_of_it() {
    let serves = |confirmed| {
        Some(Pong::Serves {
            epoch: 7,
            confirmed,
        })
    };
    let alive = OwnerProgress {
        at: 90_000,
        pages: None,
    };
    let follow = Assessment::Follow(alive);
    assert_eq!(judged(SERVED, serves(300), 90_000), follow);
    assert_eq!(judged(LOADED, serves(300), 90_000), follow);
    let cut_off = Assessment::Replace(Cause::Unconfirmed);
    assert_eq!(judged(SERVED, serves(1_501), 1_100), cut_off);
}

#[test]
fn silence_counts_at_once_for_one_that_serves_and_later_for_one_that_loads() {
    let silent = Assessment::Replace(Cause::Silent);
    assert_eq!(judged(SERVED, None, 1_100), silent);
    assert_eq!(judged(LOADED, None, 2_000), Assessment::CheckRow(LOADED));
    assert_eq!(judged(LOADED, None, 2_001), silent);
}

#[test]
fn a_box_that_stops_or_is_not_served_offers_itself_to_no_owner() {
    assert_eq!(offered_cores(500, true, false), 500);
    assert_eq!(offered_cores(500, true, true), 0);
    assert_eq!(offered_cores(500, false, false), 0);
}

#[test]
fn the_place_of_one_that_gave_up_is_taken_at_once() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(takeover_delay(500, &before, true, 100), 0);
    assert_eq!(
        takeover_delay(120, &before, true, 100),
        weaker_box_delay(120, &before)
    );
    assert!(
        takeover_delay(500, &before, false, 100) > 300,
        "an owner writes each 300"
    );
}
