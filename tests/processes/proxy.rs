//! A proxy between two parts that can hold up what goes in one direction.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Pause between two looks at a held direction.
const PAUSE: Duration = Duration::from_millis(10);
/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// Forwards connections to one address, on threads that end with them.
pub struct Proxy {
    address: SocketAddr,
    /// True while nothing goes back to who connected.
    deaf: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts to forward to an address, on a port that the kernel chooses.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the proxy");
        let address = listener.local_addr().expect("an address");
        let deaf = Arc::new(AtomicBool::new(false));
        let held = deaf.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A target that is not there yet: the client sees a reset.
                let Ok(there) = TcpStream::connect(target) else {
                    continue;
                };
                let back = (clone(&there), clone(&stream));
                let held = held.clone();
                std::thread::spawn(move || pump(stream, there, || false));
                std::thread::spawn(move || pump(back.0, back.1, || held.load(Ordering::Relaxed)));
            }
        });
        Self { address, deaf }
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds up all answers, or lets them go on.
    pub fn cut_answers(&self, cut: bool) {
        self.deaf.store(cut, Ordering::Relaxed);
    }
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
