//! Reads the clocks of the system.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A time or a duration in milliseconds. Times are since boot unless stated otherwise.
pub type Millis = u64;

/// Returns the time since boot in milliseconds, including time in which the machine was suspended.
pub fn now() -> Millis {
    micros() / 1_000
}

/// Returns the time since boot in microseconds, including time in which the machine was suspended.
///
/// With a clock that stops during a suspension, an owner that was suspended would take its last
/// commit for a recent one, and extend leases that its successor counts as expired.
pub fn micros() -> u64 {
    read(libc::CLOCK_BOOTTIME)
}

/// Returns the time in milliseconds on the clock that timers use, which stops while the machine is
/// suspended.
pub fn monotonic() -> Millis {
    read(libc::CLOCK_MONOTONIC) / 1_000
}

fn read(clock: libc::clockid_t) -> u64 {
    let mut spec = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `spec` is valid for writing, and Linux has both clocks.
    unsafe { libc::clock_gettime(clock, &mut spec) };
    spec.tv_sec as u64 * 1_000_000 + spec.tv_nsec as u64 / 1_000
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub fn wall() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as Millis
}
