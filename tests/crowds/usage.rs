//! Memory and file descriptors that a process uses, as the kernel counts them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Highest usage of a process so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident bytes of the process, and bytes in the kernel that it has not read.
    pub memory: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Samples the usage of a process on a thread of its own.
pub struct Monitor {
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
    process: u32,
}

#[derive(Default)]
struct State {
    stopped: AtomicBool,
    unread: AtomicUsize,
    descriptors: AtomicUsize,
}

impl Monitor {
    /// Starts to sample a process that listens on `address`.
    pub fn start(process: u32, address: SocketAddr) -> Self {
        let state = Arc::<State>::default();
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            while !shared.stopped.load(Ordering::Relaxed) {
                let unread = unread_bytes(address.port());
                shared.unread.fetch_max(unread, Ordering::Relaxed);
                let count = open_descriptors(process);
                shared.descriptors.fetch_max(count, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        let thread = Some(thread);
        Self {
            state,
            thread,
            process,
        }
    }

    /// Returns the highest usage so far.
    pub fn peak(&self) -> Usage {
        Usage {
            memory: peak_resident(self.process) + self.state.unread.load(Ordering::Relaxed),
            descriptors: self.state.descriptors.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns the highest number of resident bytes that a process has had.
fn peak_resident(process: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.expect("the kernel tells the peak of a running process") << 10
}

fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that have arrived at a local port and that no process has read.
fn unread_bytes(port: u16) -> usize {
    let text = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = format!(":{port:04X}");
    let rows = text
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    let own = rows.filter(|row| row.get(1).is_some_and(|address| address.ends_with(&local)));
    let unread = own.filter_map(|row| row.get(4)?.split_once(':').map(|(_, r)| r.to_string()));
    unread
        .filter_map(|r| usize::from_str_radix(&r, 16).ok())
        .sum()
}
