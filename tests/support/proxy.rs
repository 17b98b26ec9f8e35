//! A TCP proxy that can block the data of a connection in either direction, or close it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time between two checks of whether a direction is still blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks of whether an idle connection is to be closed.
const IDLE_CHECK: Duration = Duration::from_millis(100);
/// Size of the buffer of each direction in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// One direction of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// What becomes of the data of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// It is forwarded.
    Pass,
    /// It waits.
    Hold,
    /// The connection is closed on both sides; new ones are refused.
    Close,
}

/// Starts a proxy that forwards connections to `target`, each on two threads that end with it.
/// Data waits while `is_blocked` returns true for its direction and for the time when the
/// connection was opened. Returns the address of the proxy, on a port chosen by the kernel.
pub fn start<H>(target: SocketAddr, is_blocked: H) -> SocketAddr
where
    H: Fn(Direction, Instant) -> bool + Clone + Send + 'static,
{
    start_with(target, move |direction, opened| {
        match is_blocked(direction, opened) {
            true => Flow::Hold,
            false => Flow::Pass,
        }
    })
}

/// Starts a proxy whose `flow` decides about the data of each direction and of connections opened
/// at each time. It also decides, for the present time, whether the port is open.
pub fn start_with<H>(target: SocketAddr, flow: H) -> SocketAddr
where
    H: Fn(Direction, Instant) -> Flow + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the proxy");
    let address = listener.local_addr().expect("the address of the proxy");
    std::thread::spawn(move || {
        let is_closed = || flow(Direction::ToTarget, Instant::now()) == Flow::Close;
        let mut listener = Some(listener);
        loop {
            let Some(open) = listener.take() else {
                if is_closed() {
                    std::thread::sleep(POLL_INTERVAL);
                } else {
                    listener = TcpListener::bind(address).ok();
                }
                continue;
            };
            accept_until(&open, target, &flow, &is_closed);
        }
    });
    address
}

/// Accepts and forwards connections until `is_closed` returns true.
fn accept_until<H>(
    listener: &TcpListener,
    target: SocketAddr,
    flow: &H,
    is_closed: &impl Fn() -> bool,
) where
    H: Fn(Direction, Instant) -> Flow + Clone + Send + 'static,
{
    listener
        .set_nonblocking(true)
        .expect("the listener can be made non-blocking");
    while !is_closed() {
        let Ok((stream, _)) = listener.accept() else {
            wait_readable(listener);
            continue;
        };
        stream
            .set_nonblocking(false)
            .expect("the socket can be made blocking");
        // If the target does not listen yet, the client gets a reset.
        if let Ok(upstream) = TcpStream::connect(target) {
            forward_both(stream, upstream, flow);
        }
    }
}

/// Waits until a connection can be accepted, or for a short time.
fn wait_readable(listener: &TcpListener) {
    use std::os::fd::AsRawFd;
    let mut poll = libc::pollfd {
        fd: listener.as_raw_fd(),
        events: libc::POLLIN,
        revents: 0,
    };
    // SAFETY: `poll` is one valid entry, and the listener stays open during the call.
    unsafe { libc::poll(&raw mut poll, 1, POLL_INTERVAL.as_millis() as i32) };
}

/// Forwards both directions of a connection on two new threads.
fn forward_both<H>(stream: TcpStream, upstream: TcpStream, flow: &H)
where
    H: Fn(Direction, Instant) -> Flow + Clone + Send + 'static,
{
    let opened = Instant::now();
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let reverse = (clone(&upstream), clone(&stream));
    let (request_flow, reply_flow) = (flow.clone(), flow.clone());
    std::thread::spawn(move || {
        forward(stream, upstream, || {
            request_flow(Direction::ToTarget, opened)
        })
    });
    std::thread::spawn(move || {
        forward(reverse.0, reverse.1, || {
            reply_flow(Direction::ToClient, opened)
        })
    });
}

fn clone(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a duplicate of the socket")
}

/// Forwards data in one direction until either side closes its connection.
fn forward(mut from: TcpStream, mut to: TcpStream, flow: impl Fn() -> Flow) {
    let mut buffer = vec![0; BUFFER_SIZE];
    // Wakes up without data too, to close idle connections.
    let _ = from.set_read_timeout(Some(IDLE_CHECK));
    'data: loop {
        let count = match from.read(&mut buffer) {
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::WouldBlock && flow() != Flow::Close => continue,
            Err(_) => break,
        };
        loop {
            match flow() {
                Flow::Pass => break,
                Flow::Hold => std::thread::sleep(POLL_INTERVAL),
                Flow::Close => break 'data,
            }
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
