//! Options of sockets: connections that have fallen silent are found, and listeners
//! can end without cutting one off.

use std::os::fd::{AsRawFd, RawFd};

use libc::{BPF_ABS, BPF_ALU, BPF_AND, BPF_B, BPF_JEQ, BPF_JMP, BPF_K, BPF_LD, BPF_RET};
use libc::{IPPROTO_TCP, SO_ATTACH_FILTER, SO_KEEPALIVE, SOL_SOCKET};
use libc::{TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_USER_TIMEOUT};

/// Seconds without traffic after which the peer is probed.
const KEEPALIVE_IDLE: libc::c_int = 2;
/// Seconds between two probes.
const PROBE_INTERVAL: libc::c_int = 1;
/// Probes without an answer after which the connection ends.
const MAX_PROBES: libc::c_int = 2;
/// Milliseconds for which sent bytes may stay unconfirmed: as long as it takes the
/// probes to find an idle connection silent, and below a worker's lease.
const USER_TIMEOUT: libc::c_int = 4_000;

/// Has the kernel end a connection whose peer confirms nothing for about 4 s.
///
/// An idle connection without probes stays open for ever when it is cut without
/// a word, and holds its descriptor.
pub fn enable_keepalive(socket: &impl AsRawFd) {
    let fd = socket.as_raw_fd();
    let options = [
        (SOL_SOCKET, SO_KEEPALIVE, 1),
        (IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL),
        (IPPROTO_TCP, TCP_KEEPCNT, MAX_PROBES),
        (IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT),
    ];
    for (level, name, value) in options {
        if let Err(e) = set_option(fd, level, name, value) {
            // The connection works without it, and is found silent by its calls.
            log::debug!(target: "sockets", "option {name} is not set: {e}");
        }
    }
}

/// Byte of a segment's flags, and the flags of a handshake (RFC 9293, 3.1).
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;
/// Verdicts of a filter: the bytes of a segment that are kept.
const DROP: u32 = 0;
const KEEP: u32 = u32::MAX;

/// Has the kernel ignore new connections to a listener; those whose handshake has
/// begun are still made.
///
/// A listener can't be shut without losing the connections that wait in it.
pub fn drop_new_connections(listener: &impl AsRawFd) -> std::io::Result<()> {
    let instruction = |code: u32, k: u32, jt: u8, jf: u8| libc::sock_filter {
        code: code as u16,
        jt,
        jf,
        k,
    };
    let mut instructions = [
        instruction(BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET, 0, 0),
        instruction(BPF_ALU | BPF_AND | BPF_K, SYN | ACK, 0, 0),
        // A first segment has SYN alone.
        instruction(BPF_JMP | BPF_JEQ | BPF_K, SYN, 0, 1),
        instruction(BPF_RET | BPF_K, DROP, 0, 0),
        instruction(BPF_RET | BPF_K, KEEP, 0, 0),
    ];
    let program = libc::sock_fprog {
        len: instructions.len() as u16,
        filter: instructions.as_mut_ptr(),
    };
    set_option(listener.as_raw_fd(), SOL_SOCKET, SO_ATTACH_FILTER, program)
}

fn set_option<T>(fd: RawFd, level: i32, name: i32, value: T) -> std::io::Result<()> {
    let size = size_of::<T>() as libc::socklen_t;
    // SAFETY: `value` is readable for `size` bytes for the length of the call.
    let result = unsafe { libc::setsockopt(fd, level, name, (&raw const value).cast(), size) };
    match result {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}
