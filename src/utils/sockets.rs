//! Socket options that detect dead connections, and that let a listener be closed without resetting
//! connections.

use std::os::fd::{AsRawFd, RawFd};

use libc::{BPF_ABS, BPF_ALU, BPF_AND, BPF_B, BPF_JEQ, BPF_JMP, BPF_K, BPF_LD, BPF_RET};
use libc::{IPPROTO_TCP, SO_ATTACH_FILTER, SO_KEEPALIVE, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET};
use libc::{TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_USER_TIMEOUT};

/// Idle time after which the peer is probed, in seconds.
const KEEPALIVE_IDLE: libc::c_int = 2;
/// Interval of probes, in seconds.
const PROBE_INTERVAL: libc::c_int = 1;
/// Number of unanswered probes after which the connection is closed.
const MAX_PROBES: libc::c_int = 2;
/// Longest time that sent bytes may stay unacknowledged, in milliseconds: as long as probes take to
/// detect that the peer of an idle connection is silent, and no longer than a worker's lease.
const USER_TIMEOUT: libc::c_int = 4_000;

/// Bytes that a caller may send before they are read, and that may be sent to it before it reads
/// them; the kernel keeps twice as many. These bytes count as memory of this process.
const BUFFER_SIZE: libc::c_int = 16 << 10;

/// Limits the bytes that the kernel keeps of each connection that a listener accepts.
pub fn limit_buffers(listener: &impl AsRawFd) {
    for name in [SO_RCVBUF, SO_SNDBUF] {
        if let Err(e) = set_option(listener.as_raw_fd(), SOL_SOCKET, name, BUFFER_SIZE) {
            log::debug!(target: "sockets", "cannot limit the buffers of connections: {e}");
        }
    }
}

/// Makes the kernel close a connection whose peer acknowledges nothing for about 4 s.
///
/// Without probes, an idle connection whose network path is lost stays open for ever and keeps its
/// file descriptor.
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
            // The connection works without the option: timeouts of calls detect a silent peer.
            log::debug!(target: "sockets", "cannot set socket option {name}: {e}");
        }
    }
}

/// Offset of the flags in a TCP segment, and the flags of a handshake (RFC 9293, section 3.1).
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;
/// Return values of a socket filter: the number of bytes of the segment to keep.
const DROP: u32 = 0;
const KEEP: u32 = u32::MAX;

/// Makes the kernel ignore new connections to a listener. Handshakes that have begun still
/// complete.
///
/// Closing a listener resets the connections in its queue, so new ones have to stop first.
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
        // The first segment of a connection has SYN without ACK.
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
    // SAFETY: `value` is readable for `size` bytes during the call.
    let result = unsafe { libc::setsockopt(fd, level, name, (&raw const value).cast(), size) };
    match result {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}
