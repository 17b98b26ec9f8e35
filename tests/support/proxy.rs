//! A TCP proxy that can block the data of a connection in either direction.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time between two checks of whether a direction is still blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
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

/// Starts a proxy that forwards connections to `target`, each on two threads that end with it.
/// Data waits while `is_blocked` returns true for its direction and for the time when the
/// connection was opened. Returns the address of the proxy, on a port chosen by the kernel.
pub fn start<H>(target: SocketAddr, is_blocked: H) -> SocketAddr
where
    H: Fn(Direction, Instant) -> bool + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the proxy");
    let address = listener.local_addr().expect("the address of the proxy");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // If the target does not listen yet, the client gets a reset.
            let Ok(upstream) = TcpStream::connect(target) else {
                continue;
            };
            let opened = Instant::now();
            let reverse = (clone(&upstream), clone(&stream));
            let (is_request_blocked, is_reply_blocked) = (is_blocked.clone(), is_blocked.clone());
            std::thread::spawn(move || {
                forward(stream, upstream, || {
                    is_request_blocked(Direction::ToTarget, opened)
                })
            });
            std::thread::spawn(move || {
                forward(reverse.0, reverse.1, || {
                    is_reply_blocked(Direction::ToClient, opened)
                })
            });
        }
    });
    address
}

fn clone(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a duplicate of the socket")
}

/// Forwards data in one direction until either side closes its connection.
fn forward(mut from: TcpStream, mut to: TcpStream, is_blocked: impl Fn() -> bool) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(count) = from.read(&mut buffer) {
        while is_blocked() {
            std::thread::sleep(POLL_INTERVAL);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
