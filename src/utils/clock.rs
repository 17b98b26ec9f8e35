//! Clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds on a clock that never goes back, or a span of them.
pub type Millis = u64;

/// Returns milliseconds since boot, the time spent frozen or suspended included.
pub fn now() -> Millis {
    micros() / 1_000
}

/// Returns microseconds since boot, the time spent frozen or suspended included: by a clock
/// that stands meanwhile, an owner that was suspended would take its last commit for a
/// recent one, and extend leases that its successor counts as ended.
pub fn micros() -> u64 {
    read(libc::CLOCK_BOOTTIME)
}

/// Returns milliseconds on the clock that timers go by, which stands while the machine is
/// suspended.
pub fn monotonic() -> Millis {
    read(libc::CLOCK_MONOTONIC) / 1_000
}

fn read(clock: libc::clockid_t) -> u64 {
    let mut spec = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `spec` is valid for writing and both clocks exist on every Linux.
    unsafe { libc::clock_gettime(clock, &mut spec) };
    spec.tv_sec as u64 * 1_000_000 + spec.tv_nsec as u64 / 1_000
}

/// Returns milliseconds since the Unix epoch.
pub fn wall() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as Millis
}
