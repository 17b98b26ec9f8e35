//! Tests of boxes that act at the same time: how much they ask of the store together.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::future::join_all;
use http::{Method, StatusCode};
use serde_json::json;

use super::{owner_row, shared_with_store};
use crate::daemon::follower::replace_owner;
use crate::daemon::shared::{KnownOwner, Shared};
use crate::program::block_on;
use crate::sched::failover::OwnerProgress;
use crate::table::encode;
use crate::utils::drain::Drain;
use crate::web::server::{Limits, serve};
use crate::web::{Reply, Request};

/// Epoch of the owner that has failed.
const EPOCH: u64 = 7;
/// Number of boxes that suspect it.
const BOXES: usize = 60;

/// A store in which the first commit makes another box the owner. Counts the commits.
async fn serve_store(commits: Rc<Cell<usize>>) -> SocketAddr {
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let limits = Limits {
        head: 16 << 10,
        body: 1 << 20,
        connections: 2 * BOXES,
        memory: 1 << 30,
        idle: 10_000,
        request: 10_000,
        stall: 10_000,
        answer: 10_000,
    };
    let handle = move |request: Request| {
        let before = commits.get();
        if request.method == Method::POST {
            commits.set(before + 1);
        }
        let epoch = EPOCH + u64::from(commits.get() > 0);
        let value = STANDARD.encode(encode(&owner_row(epoch)));
        let rows =
            json!({ "rows": [{ "key": "owner", "value": value, "ver": epoch }], "ver": epoch });
        let status = match request.method == Method::POST && before > 0 {
            true => StatusCode::PRECONDITION_FAILED,
            false => StatusCode::OK,
        };
        async move { Reply::text(status, rows.to_string()) }
    };
    monoio::spawn(serve(listener, limits, Drain::never(), handle));
    address
}

/// Returns a box that knows the owner of `EPOCH`.
fn following_box(store: SocketAddr, number: usize) -> Rc<Shared> {
    let (mut shared, _) = shared_with_store(store);
    shared.settings.name = format!("box-{number}").into();
    shared.set_owner(Some(failed_owner()));
    Rc::new(shared)
}

fn failed_owner() -> KnownOwner {
    KnownOwner {
        row: owner_row(EPOCH),
        version: EPOCH,
        progress: OwnerProgress { at: 0, pages: None },
    }
}

/// The store carries out commits to one part one after the other, so the next owner's commits would
/// wait behind those of all boxes that suspect the owner.
#[test]
fn most_boxes_that_suspect_an_owner_read_who_replaced_it_instead_of_trying() {
    block_on(async {
        let commits = Rc::new(Cell::new(0));
        let store = serve_store(commits.clone()).await;
        let boxes: Vec<_> = (0..BOXES).map(|n| following_box(store, n)).collect();
        let before = failed_owner();
        join_all(
            boxes
                .iter()
                .map(|shared| replace_owner(shared, &before, None)),
        )
        .await;
        assert!(commits.get() >= 1, "no box replaces the owner");
        assert!(commits.get() <= BOXES / 2, "{} commits", commits.get());
        let follows = |shared: &&Rc<Shared>| shared.owner().is_none_or(|o| o.row.epoch > EPOCH);
        assert_eq!(boxes.iter().filter(follows).count(), BOXES);
    })
    .expect("runtime");
}
