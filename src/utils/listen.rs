//! Listening sockets and what they accept.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use eyre::WrapErr;
use futures::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};

use super::drain::Drain;
use super::sockets;

/// Pause after a failed accept, for descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Tries to bind an address that is in use, 2 s in all: the sockets of a process
/// that was just killed may linger.
const BIND_ATTEMPTS: u32 = 40;
/// Pause between two of them.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for a handshake that has begun to end: some round trips between halls.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);

/// Binds a listener on an address; waits up to 2 s for one that is in use.
///
/// It blocks the thread, as nothing runs before a process listens.
pub fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let mut attempt = 1;
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && attempt < BIND_ATTEMPTS => {
                log::warn!(target: "listen", "{address} is in use, try {attempt} of {BIND_ATTEMPTS}");
                std::thread::sleep(BIND_RETRY_DELAY);
                attempt += 1;
            }
            outcome => return outcome.wrap_err_with(|| format!("cannot listen on {address}")),
        }
    }
}

/// Hands each accepted connection to `serve`, until `drain` has begun.
///
/// What the kernel had accepted by then is handed over as well, as closing the
/// listener would reset it. What comes while it closes is ignored by the kernel: a
/// caller's kernel asks again after a second, and is refused. Without that, 6 to 51
/// connections were reset in 300 ends beside four callers (the test of it).
pub async fn accept_all(listener: TcpListener, drain: &Drain, serve: impl Fn(TcpStream)) {
    let mut begun = Box::pin(drain.begun());
    loop {
        let accepted = match select(Box::pin(listener.accept()), begun.as_mut()).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                sockets::enable_keepalive(&stream);
                serve(stream);
            }
            Err(e) => {
                log::warn!(target: "listen", "accept failed: {e}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = sockets::drop_new_connections(&listener) {
        log::warn!(target: "listen", "connections may be cut off at the end: {e}");
    }
    monoio::time::sleep(HANDSHAKE_TIME).await;
    if let Err(e) = accept_pending(listener, serve) {
        log::warn!(target: "listen", "connections were not accepted: {e}");
    }
}

fn accept_pending(listener: TcpListener, serve: impl Fn(TcpStream)) -> std::io::Result<()> {
    // SAFETY: the descriptor is open while `listener` lives.
    let fd = unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) };
    let duplicate = std::net::TcpListener::from(fd.try_clone_to_owned()?);
    duplicate.set_nonblocking(true)?;
    loop {
        match duplicate.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                serve(TcpStream::from_std(stream)?);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
}
