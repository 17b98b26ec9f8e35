//! Snapshot of the learned estimates for the next owner.
//!
//! Load: the owner is lost in a burst, and its successor has to decide before it has seen ends of
//! its own. The row holds one section for each part that learns; a part that is missing in it
//! starts without estimates, and sections of a later build are ignored.

use serde::{Deserialize, Serialize};

use super::run_times::StoredKind;
use super::speeds::StoredSpeed;
use crate::utils::clock::Millis;

/// Version of the meaning of the fields. A section that is added needs no new version.
const VERSION: u32 = 1;
/// Most bytes of the row. It is written every 3 s with a commit whose rows may take 500 KB.
pub(in crate::sched) const MAX_BYTES: usize = 32 * 1024;
/// Milliseconds by which the clock of the box that wrote the snapshot may be ahead.
const MAX_AHEAD: Millis = 5_000;
/// Milliseconds in which the weight of run times falls by half. Within a minute the mix of jobs
/// can change completely; a change of owner takes seconds.
const HALF_LIFE: f64 = 30_000.0;

/// What an owner learned, as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(in crate::sched) struct Snapshot {
    /// Version of the meaning of the fields.
    pub version: u32,
    /// When it was written, in milliseconds since the Unix epoch.
    pub written: Millis,
    /// Run times by kind, the most recently used first.
    #[serde(default)]
    pub run_times: Vec<StoredKind>,
    /// Slow workers, those with the latest runs first.
    #[serde(default)]
    pub speeds: Vec<StoredSpeed>,
}

/// The fields that each version has.
#[derive(Deserialize)]
struct Header {
    version: u32,
    written: Millis,
}

/// Why a snapshot is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sched) enum Unusable {
    /// It has more bytes than an owner writes.
    TooLarge,
    /// It does not decode, as when it was cut short.
    Malformed,
    /// A build with other fields wrote it.
    Version(u32),
    /// It was written this many milliseconds in the future.
    Future(Millis),
}

impl Snapshot {
    /// Returns an empty snapshot that is written now.
    pub fn new(written: Millis) -> Self {
        Self {
            version: VERSION,
            written,
            ..Self::default()
        }
    }

    /// Returns the bytes of the row. If they are too many, the entries used least recently are
    /// left out.
    pub fn encode(mut self) -> Vec<u8> {
        loop {
            let bytes = serde_json::to_vec(&self).unwrap_or_default();
            if bytes.len() <= MAX_BYTES {
                return bytes;
            }
            let (kinds, speeds) = (self.run_times.len(), self.speeds.len());
            if kinds + speeds == 0 {
                return Vec::new();
            }
            self.run_times.truncate(kinds * 3 / 4);
            self.speeds.truncate(speeds * 3 / 4);
        }
    }

    /// Decodes a row.
    pub fn decode(bytes: &[u8], wall: Millis) -> Result<Self, Unusable> {
        if bytes.len() > MAX_BYTES {
            return Err(Unusable::TooLarge);
        }
        let header: Header = serde_json::from_slice(bytes).map_err(|_| Unusable::Malformed)?;
        if header.version != VERSION {
            return Err(Unusable::Version(header.version));
        }
        if header.written > wall.saturating_add(MAX_AHEAD) {
            return Err(Unusable::Future(header.written - wall));
        }
        serde_json::from_slice(bytes).map_err(|_| Unusable::Malformed)
    }

    /// Returns the milliseconds since it was written.
    pub fn age(&self, wall: Millis) -> Millis {
        wall.saturating_sub(self.written)
    }

    /// Returns the part of what was learned that still counts, from 0 to 1.
    pub fn weight(&self, wall: Millis) -> f64 {
        (-(self.age(wall) as f64) / HALF_LIFE).exp2()
    }
}
