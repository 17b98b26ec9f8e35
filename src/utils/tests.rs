//! Tests of the small helpers.

use std::net::TcpListener;
use std::time::Duration;

use super::listen;
use super::peak::Peak;
use crate::program::block_on;

#[test]
fn an_address_that_is_in_use_is_waited_for() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = held.local_addr().expect("an address");
    let holder = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        drop(held);
    });
    let bound = block_on(async { listen::bind(address).map(drop) });
    holder.join().expect("the holder ends");
    assert!(bound.is_ok_and(|b| b.is_ok()));
}

#[test]
fn an_address_that_stays_in_use_is_told() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = held.local_addr().expect("an address");
    let bound = block_on(async { listen::bind(address).map(drop) });
    let text = format!("{:#}", bound.expect("a runtime").expect_err("in use"));
    assert!(text.contains("cannot listen on 127.0.0.1"), "{text}");
}

#[test]
fn a_peak_is_told_for_at_least_5_s_and_at_most_10() {
    let mut peak = Peak::default();
    peak.note(700, 9_000);
    for now in (9_100..=14_000).step_by(100) {
        peak.note(1, now);
        assert_eq!(peak.late(), 700, "at {now}");
    }
    peak.note(1, 19_100);
    assert_eq!(peak.late(), 1);
    assert_eq!(peak.highest(), 700);
}

#[test]
fn a_peak_before_a_long_pause_is_not_told() {
    let mut peak = Peak::default();
    peak.note(700, 9_000);
    peak.note(3, 60_000);
    assert_eq!(peak.late(), 3);
}
