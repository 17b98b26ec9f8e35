//! Helpers of the tests that start real processes: ports, processes, waits and requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Generous timeout of every wait for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// First port of all blocks, number of blocks (one for each concurrent test run), and ports per
/// block.
const PORT_BLOCKS: (u16, u32, u16) = (12_000, 20, 900);
/// Distance of the ports of a block that mark it as used, and size of the smallest block that other
/// versions of these tests may use.
const CLAIM_INTERVAL: usize = 300;
/// Time between two checks of a condition that is waited for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A range of ports that is reserved for this test run.
struct PortBlock {
    first: u16,
    /// Occupy the first port and every `CLAIM_INTERVAL`-th one after it, so that concurrent test
    /// runs take other blocks. Boxes share ports, so two deployments could answer each other's
    /// calls.
    _claims: Vec<TcpListener>,
}

impl PortBlock {
    fn claim() -> Self {
        let start = std::process::id() % PORT_BLOCKS.1;
        for number in 0..PORT_BLOCKS.1 {
            let first = PORT_BLOCKS.0 + ((start + number) % PORT_BLOCKS.1) as u16 * PORT_BLOCKS.2;
            if let Ok(claims) = Self::occupy(first) {
                return Self {
                    first,
                    _claims: claims,
                };
            }
        }
        panic!("no block of ports is free: other test runs use all of them");
    }

    fn occupy(first: u16) -> std::io::Result<Vec<TcpListener>> {
        let ports = (first..first + PORT_BLOCKS.2).step_by(CLAIM_INTERVAL);
        ports.map(|p| TcpListener::bind(("127.0.0.1", p))).collect()
    }
}

/// Returns an unused address. Its port is below the range of ephemeral ports, so that no outgoing
/// connection takes it before it is used.
pub fn free_address() -> SocketAddr {
    static PORT_BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::claim);
    static NEXT_PORT: AtomicU16 = AtomicU16::new(1);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port < PORT_BLOCKS.2, "all ports of the block are used");
        let address = SocketAddr::from(([127, 0, 0, 1], PORT_BLOCK.first + port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the path of the program under test: the one built with these tests, or else the one in
/// the build folder of the running program.
pub fn binary() -> PathBuf {
    if let Some(built) = option_env!("CARGO_BIN_EXE_willowpoint") {
        return built.into();
    }
    let own = std::env::current_exe().expect("the path of this program");
    let folder = own.parent().expect("the folder of this program");
    let folder = match folder.ends_with("deps") {
        true => folder.parent().expect("the build folder"),
        false => folder,
    };
    folder.join("willowpoint")
}

/// Starts the program and appends its standard output and error to the file `output`.
pub fn spawn(arguments: &[String], output: &Path) -> Child {
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(output)
        .expect("the output file can be opened");
    let errors = file.try_clone().expect("the output file can be duplicated");
    let mut command = Command::new(binary());
    command.args(arguments).stdout(file).stderr(errors);
    command.spawn().expect("the program starts")
}

/// Waits for a condition; returns false when `TIMEOUT` has passed without it.
pub fn eventually(mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}

/// Waits for a condition, and panics when `TIMEOUT` has passed without it.
pub fn wait_for(description: &str, condition: impl FnMut() -> bool) {
    assert!(
        eventually(condition),
        "timed out waiting for: {description}"
    );
}

/// Splits a command line at its spaces.
pub fn split_arguments(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_string).collect()
}

/// Sends a request on a new connection and returns everything received up to its end.
pub fn send_request(address: SocketAddr, message: &str) -> std::io::Result<String> {
    complete_request(TcpStream::connect_timeout(&address, TIMEOUT)?, message)
}

/// Sends the rest of a request and returns everything received up to the end of the connection.
pub fn complete_request(mut stream: TcpStream, message: &str) -> std::io::Result<String> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(message.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
