//! Crowds of misbehaving callers, which come again and again while their fault is in effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::platform::crowd::{Crowd, Kind, Target};
use crate::platform::{HOST, PATH};

/// What the connections of crowds send, one kind in each fault.
const KINDS: [Kind; 9] = [
    Kind::WholeBody,
    Kind::Silent,
    Kind::SmallChunks,
    Kind::ManySteps,
    Kind::BodyInPieces,
    Kind::PartialHead,
    Kind::AnnouncedExcess,
    Kind::LargeChunks,
    Kind::UnannouncedExcess,
];
/// Connections of a crowd: with bodies of 1 MB, more than a box has memory for.
const SIZE: usize = 40;
/// Time for which the connections stay open after everything was sent.
const STAY: Duration = Duration::from_millis(500);
const TARGET: Target = Target {
    host: HOST,
    path: PATH,
};

/// Lets a crowd loose on a box until the returned value is dropped. `number` selects its kind.
pub fn start(address: SocketAddr, number: u64) -> Arc<()> {
    let kind = KINDS[number as usize % KINDS.len()];
    let wanted = Arc::new(());
    let here = Arc::downgrade(&wanted);
    std::thread::spawn(move || {
        while here.strong_count() > 0 {
            let _crowd = Crowd::gather(address, kind, SIZE, &TARGET);
            std::thread::sleep(STAY);
        }
    });
    wanted
}
