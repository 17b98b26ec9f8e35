//! Options of sockets that find connections which have fallen silent for good.

use std::os::fd::{AsRawFd, RawFd};

use libc::{IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET};
use libc::{TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_USER_TIMEOUT};

/// Seconds without traffic after which the peer is probed.
const IDLE: libc::c_int = 2;
/// Seconds between two probes.
const INTERVAL: libc::c_int = 1;
/// Probes without an answer after which the connection ends.
const PROBES: libc::c_int = 2;
/// Milliseconds for which sent bytes may stay unconfirmed: as long as it takes the
/// probes to find an idle connection silent, and below a worker's lease.
const UNCONFIRMED: libc::c_int = 4_000;

/// Has the kernel end a connection whose peer confirms nothing for about 4 s.
///
/// An idle connection without probes stays open for ever when it is cut without
/// a word, and holds its descriptor.
pub fn probe(socket: &impl AsRawFd) {
    let fd = socket.as_raw_fd();
    let options = [
        (SOL_SOCKET, SO_KEEPALIVE, 1),
        (IPPROTO_TCP, TCP_KEEPIDLE, IDLE),
        (IPPROTO_TCP, TCP_KEEPINTVL, INTERVAL),
        (IPPROTO_TCP, TCP_KEEPCNT, PROBES),
        (IPPROTO_TCP, TCP_USER_TIMEOUT, UNCONFIRMED),
    ];
    for (level, name, value) in options {
        if let Err(e) = set(fd, level, name, value) {
            // The connection works without it, and is found silent by its calls.
            log::debug!(target: "sockets", "option {name} is not set: {e}");
        }
    }
}

fn set(fd: RawFd, level: i32, name: i32, value: libc::c_int) -> std::io::Result<()> {
    let size = size_of::<libc::c_int>() as libc::socklen_t;
    // SAFETY: `value` is readable for `size` bytes for the length of the call.
    let result = unsafe { libc::setsockopt(fd, level, name, (&raw const value).cast(), size) };
    match result {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}
