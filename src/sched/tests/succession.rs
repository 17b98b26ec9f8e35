//! Which box takes the place of an owner.

use super::world::owner_row;
use crate::sched::journal::OwnerRow;
use crate::sched::succession::{Cause, Life, Pong, Verdict, judge, makes_way, pause, wait, wanted};
use crate::utils::clock::Millis;

#[test]
fn boxes_with_fewer_cores_leave_an_owners_place_to_others() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(wait(500, &before), 0);
    assert_eq!(wait(1_000, &before), 0);
    assert!(wait(120, &before) > 0);
}

#[test]
fn an_owner_makes_way_for_more_cores_once_it_has_settled() {
    assert!(!makes_way(500, 500, 1_000, 60_000));
    assert!(!makes_way(500, 0, 1_000, 60_000));
    assert!(!makes_way(120, 500, 1_000, 1_500));
    assert!(makes_way(120, 500, 1_000, 6_000));
}

#[test]
fn a_weak_owner_is_not_followed_by_weak_ones() {
    let strong = OwnerRow {
        cores: wanted(500, None),
        ..owner_row(1)
    };
    let weak = OwnerRow {
        cores: wanted(120, Some(&strong)),
        ..owner_row(2)
    };
    assert!(wait(120, &weak) > 0, "strong boxes go first again");
    assert_eq!(wait(500, &weak), 0);
}

/// Life of an owner that was heard of at 1,000 ms, with three pages loaded.
const LIFE: Life = Life {
    at: 1_000,
    pages: 3,
};

/// Returns what a box of 500 thousandths of cores does about the owner of epoch 7.
fn judged(pong: Pong, now: Millis) -> Verdict {
    judge(500, 7, LIFE, Some(pong), now)
}

fn loads(pages: u64, cores: u32) -> Pong {
    Pong::Loads {
        epoch: 7,
        pages,
        cores,
    }
}

#[test]
fn an_owner_that_loads_is_left_to_it_as_long_as_it_goes_on() {
    let mut last = LIFE;
    for pages in 4..60 {
        let now = last.at + 1_400;
        let Verdict::Follow(life) = judge(500, 7, last, Some(loads(pages, 500)), now) else {
            panic!("replaced after {pages} pages");
        };
        last = life;
    }
    assert_eq!(judged(loads(3, 500), 2_500), Verdict::Wait);
    let stuck = Verdict::Replace(Cause::Stuck);
    assert_eq!(judged(loads(3, 500), 3_500), stuck);
}

#[test]
fn a_box_with_more_cores_does_not_wait_for_one_that_loads() {
    let weaker = Verdict::Replace(Cause::Weaker);
    assert_eq!(judged(loads(4, 120), 1_001), weaker);
    assert_eq!(
        judge(120, 7, LIFE, Some(loads(3, 500)), 1_001),
        Verdict::Wait
    );
}

#[test]
fn one_that_served_until_now_and_is_no_owner_is_looked_up_first() {
    assert_eq!(judged(Pong::Idle, 1_200), Verdict::Look);
    let other = Pong::Serves {
        epoch: 6,
        confirmed: 0,
    };
    assert_eq!(judged(other, 1_200), Verdict::Look);
    assert_eq!(judged(Pong::Idle, 3_500), Verdict::Replace(Cause::Stuck));
}

#[test]
fn one_that_serves_is_replaced_only_when_the_store_confirms_nothing_of_it() {
    let serves = |confirmed| Pong::Serves {
        epoch: 7,
        confirmed,
    };
    let alive = Life { at: 90_000, ..LIFE };
    assert_eq!(judged(serves(300), 90_000), Verdict::Follow(alive));
    let cut_off = Verdict::Replace(Cause::Unconfirmed);
    assert_eq!(judged(serves(1_501), 1_100), cut_off);
    let silent = Verdict::Replace(Cause::Silent);
    assert_eq!(judge(500, 7, LIFE, None, 1_100), silent);
}

#[test]
fn the_place_of_one_that_gave_up_is_taken_at_once() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(pause(500, &before, true, 100), 0);
    assert_eq!(pause(120, &before, true, 100), wait(120, &before));
    assert!(
        pause(500, &before, false, 100) > 300,
        "an owner writes each 300"
    );
}
