//! Binds listening sockets and accepts connections, without losing any at a shutdown.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use eyre::WrapErr;
use futures::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};

use super::drain::Drain;
use super::log_limit::LogLimit;
use super::{clock, sockets};

/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Attempts to bind an address that is in use, which take 2 s in all. The sockets of a process that
/// was just killed may linger.
const BIND_ATTEMPTS: u32 = 40;
/// Pause between two attempts to bind an address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time in which a handshake that has begun completes: some round trips between halls.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);

/// Binds a listener to an address. If the address is in use, retries for up to 2 s.
///
/// Blocks the thread, because nothing else runs before a process listens.
pub fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let mut attempt = 1;
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && attempt < BIND_ATTEMPTS => {
                log::warn!(target: "listen", "{address} is in use, attempt {attempt} of {BIND_ATTEMPTS}");
                std::thread::sleep(BIND_RETRY_DELAY);
                attempt += 1;
            }
            outcome => return outcome.wrap_err_with(|| format!("cannot listen on {address}")),
        }
    }
}

/// Passes each accepted connection to `serve`, until `drain` has begun.
///
/// Connections that the kernel has accepted by then are passed on, too, because closing the
/// listener would reset them. Connections that arrive while it closes are ignored by the kernel:
/// the caller's kernel retries after a second and is refused. Without this, 6 to 51 connections
/// were reset when 300 listeners were closed while four callers connected, as in the test
/// `closing_a_listener_resets_no_connection`.
pub async fn accept_all(listener: TcpListener, drain: &Drain, serve: impl Fn(TcpStream)) {
    let mut begun = Box::pin(drain.begun());
    let log_limit = LogLimit::default();
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
                if let Some(count) = log_limit.admit(clock::now()) {
                    log::warn!(target: "listen", "accept failed: {e} count={count}");
                }
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = sockets::drop_new_connections(&listener) {
        log::warn!(target: "listen", "new connections may be reset at the shutdown: {e}");
    }
    monoio::time::sleep(HANDSHAKE_TIME).await;
    if let Err(e) = accept_pending(listener, serve) {
        log::warn!(target: "listen", "cannot accept the pending connections: {e}");
    }
}

/// Passes the connections that the kernel has already accepted to `serve`.
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
