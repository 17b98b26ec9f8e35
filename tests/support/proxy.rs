//! A proxy between two parts that can hold up what passes through it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Pause between two looks at a is_blocked direction.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes that are passed on at once.
const BUFFER_SIZE: usize = 16 << 10;

/// One direction of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From who connected.
    ToTarget,
    /// To who connected.
    ToClient,
}

/// Forwards connections to one address, on threads that end with them; what `is_blocked`
/// is true for waits, by its direction and by when the connection was opened.
/// Returns where it listens, on a port that the kernel chooses.
pub fn start<H>(target: SocketAddr, is_blocked: H) -> SocketAddr
where
    H: Fn(Direction, Instant) -> bool + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the proxy");
    let address = listener.local_addr().expect("the address of the proxy");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A target that is not there yet: the client sees a reset.
            let Ok(upstream) = TcpStream::connect(target) else {
                continue;
            };
            let opened = Instant::now();
            let reverse = (clone(&upstream), clone(&stream));
            let (first, second) = (is_blocked.clone(), is_blocked.clone());
            std::thread::spawn(move || {
                forward(stream, upstream, || first(Direction::ToTarget, opened))
            });
            std::thread::spawn(move || {
                forward(reverse.0, reverse.1, || second(Direction::ToClient, opened))
            });
        }
    });
    address
}

fn clone(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a duplicate of the socket")
}

/// Passes bytes on in one direction until either side ends.
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
