//! Tests of the small helpers.

use std::net::TcpListener;
use std::time::Duration;

use super::listen;
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
