//! A proxy between two parts that can hold up what passes through it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Pause between two looks at a held direction.
const PAUSE: Duration = Duration::from_millis(10);
/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// One direction of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From who connected.
    There,
    /// To who connected.
    Back,
}

/// Forwards connections to one address, on threads that end with them; what `held`
/// is true for waits, by its direction and by when the connection was opened.
/// Returns where it listens, on a port that the kernel chooses.
pub fn start<H>(target: SocketAddr, held: H) -> SocketAddr
where
    H: Fn(Way, Instant) -> bool + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the proxy");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A target that is not there yet: the client sees a reset.
            let Ok(there) = TcpStream::connect(target) else {
                continue;
            };
            let opened = Instant::now();
            let back = (clone(&there), clone(&stream));
            let (first, second) = (held.clone(), held.clone());
            std::thread::spawn(move || pump(stream, there, || first(Way::There, opened)));
            std::thread::spawn(move || pump(back.0, back.1, || second(Way::Back, opened)));
        }
    });
    address
}

fn clone(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a descriptor")
}

/// Passes bytes on in one direction until either side ends.
fn pump(mut from: TcpStream, mut to: TcpStream, held: impl Fn() -> bool) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut buffer) {
        while held() {
            std::thread::sleep(PAUSE);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
