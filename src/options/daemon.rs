//! Reads and checks the settings file of the `serve` daemon, for a box on the platform.

use std::net::SocketAddr;

use super::check;
use super::entry::{limits, logs};
use super::reader::{Finding, Reader};
use crate::logs::LogSettings;
use crate::sched::mechanisms::Mechanisms;
use crate::sched::owner::OwnerSettings;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::web::server::Limits;

/// Default of a worker's lease and of its upper limit, in milliseconds. A shorter lease frees
/// the tasks of a dead worker sooner; a longer one outlasts a takeover, which takes about 2 s.
const DEFAULT_LEASE: Millis = 4_000;
/// Part of the platform's grace period that a planned stop leaves unused, in milliseconds.
const STOP_MARGIN: Millis = 800;
/// Shortest grace period, in milliseconds. The load balancer needs most of it to stop sending
/// callers.
const MIN_GRACE: Millis = 3_500;
/// Longest value of any duration in the file, in milliseconds.
const HOUR: Millis = 3_600_000;
/// Default grace period that the platform gives a planned stop, in milliseconds.
const DEFAULT_GRACE: Millis = 6_000;
/// Default time for which an owner extends leases without a confirmed commit, in milliseconds. It
/// is longer than the outages of the store that tasks must survive.
const DEFAULT_MAX_UNCONFIRMED: Millis = 10_000;
/// Default least time for which a worker still serves after the platform removed its listing, in
/// milliseconds.
const DEFAULT_DRAIN: Millis = 2_000;
/// Default time between two heartbeats of a worker, in milliseconds.
const DEFAULT_HEARTBEAT: Millis = 1_100;
/// Default longest time for which best-effort tasks may keep a serving task over its latency
/// target, in milliseconds.
const DEFAULT_MAX_BREACH: Millis = 4_000;
/// Default factor by which a task runs longer outside the rack that holds its data. Platforms
/// state 1.5 to 3.
const DEFAULT_FAR_FACTOR: f64 = 2.0;
/// Accepted values of this factor: from no difference to more than any platform states.
const FAR_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 1.0..=100.0;
/// Default time for which the state of a finished job can be queried, in milliseconds.
const DEFAULT_RETENTION: Millis = 120_000;

/// Default largest value of a row in the store, in bytes.
const DEFAULT_ROW: u64 = 65_536;
/// Accepted sizes of a row: from what a job of a few steps needs.
const ROW_RANGE: std::ops::RangeInclusive<u64> = 4_096..=1 << 24;

/// Largest number of cores of a box.
const MAX_CORES: f64 = 1_024.0;
/// Thousandths in one core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Default number of file descriptors of a box.
const DEFAULT_DESCRIPTORS: f64 = 4_096.0;
/// Accepted numbers of file descriptors: from what a box needs that never is the owner, to the
/// limit of the largest machine.
const DESCRIPTORS_RANGE: std::ops::RangeInclusive<f64> = 64.0..=4_000_000.0;
/// Share of the file descriptors that idle connections to workers may use. Each worker always has
/// one further descriptor for its open poll and one for an idle connection, so that an owner of
/// 890 workers and its orders fit into 4,096 descriptors.
const IDLE_SHARE: f64 = 0.375;

/// Share of the file descriptors that callers' connections may use. The others are for the store,
/// other boxes, workers and the readiness checks.
const CALLER_DESCRIPTORS: f64 = 0.25;
/// Default memory of a box in megabytes: that of the smallest machine.
const DEFAULT_MEMORY: f64 = 160.0;
/// Accepted amounts of memory in megabytes.
const MEMORY_RANGE: std::ops::RangeInclusive<f64> = 64.0..=1_048_576.0;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1_048_576.0;
/// Share of the memory that callers' connections and requests may use.
const CALLER_MEMORY: f64 = 0.3;

/// Share of the memory that the accepted jobs may use while this box is the owner. The rest is for
/// the state of workers, answers of the store and workers, and the allocator.
const JOB_MEMORY: f64 = 0.25;

/// What the platform gives a box.
struct Machine {
    /// Number of file descriptors.
    descriptors: f64,
    /// Bytes of memory.
    memory: f64,
}

impl Machine {
    fn read(reader: &mut Reader<'_>) -> Self {
        let descriptors = reader.number("box.descriptors", DEFAULT_DESCRIPTORS, DESCRIPTORS_RANGE);
        let memory = reader.number("box.memory", DEFAULT_MEMORY, MEMORY_RANGE) * MEGABYTE;
        Self {
            descriptors,
            memory,
        }
    }

    /// Returns the default limits on callers.
    fn limits(&self) -> Limits {
        let connections = (self.descriptors * CALLER_DESCRIPTORS) as usize;
        Limits {
            connections: Limits::DEFAULT.connections.min(connections),
            memory: (self.memory * CALLER_MEMORY) as usize,
            ..Limits::DEFAULT
        }
    }
}

/// Settings of the `serve` daemon, after all checks.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box; a restart keeps it.
    pub name: Name,
    /// Hall that the box is in.
    pub hall: Name,
    /// Processors that the box may use, in thousandths of a core. A box with the most of them
    /// should own the cell.
    pub cores: u32,
    /// Most idle connections to workers that are kept open.
    pub idle_connections: usize,
    /// Listening address for callers.
    pub web: SocketAddr,
    /// Listening address for other boxes.
    pub rpc: SocketAddr,
    /// Listening address for readiness checks and metrics.
    pub admin: SocketAddr,
    /// Second listening address for readiness checks and metrics, if set.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's advisor, which says which workers may run a step.
    pub advisor: Option<SocketAddr>,
    /// Durations and mechanisms of this box as the owner of the cell.
    pub owner: OwnerSettings,
    /// Longest duration of a planned stop, in milliseconds.
    pub stop_timeout: Millis,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Format and levels of the log.
    pub logs: LogSettings,
}

/// Reads and checks a settings file. Returns all findings, not only the first.
pub fn load(path: &str) -> Result<Settings, Vec<Finding>> {
    let text = super::entry::read_file(path)?;
    parse(path, &text)
}

/// Reads which mechanisms of the scheduler are enabled. Those for hard load are off by default.
fn mechanisms(reader: &mut Reader<'_>) -> Mechanisms {
    Mechanisms {
        preempt: reader.flag("mechanisms.preempt", true),
        quarantine: reader.flag("mechanisms.rest", true),
        throttle: reader.flag("mechanisms.pace", true),
        interference: reader.flag("mechanisms.pressure", true),
        swap: reader.flag("mechanisms.swap", true),
        warm_start: reader.flag("mechanisms.recall", true),
        admission: reader.flag("mechanisms.admission", false),
        shares: reader.flag("mechanisms.shares", false),
        learning: reader.flag("mechanisms.learning", false),
        copies: reader.flag("mechanisms.copies", false),
        spreading: reader.flag("mechanisms.spreading", false),
        snapshot: reader.flag("mechanisms.snapshot", false),
    }
}

/// Parses and checks the text of a settings file.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Finding>> {
    let mut reader = Reader::new(file, text).map_err(|f| vec![f])?;
    let grace = reader.duration("platform.grace", DEFAULT_GRACE, MIN_GRACE..=HOUR);
    let longest = reader.duration("platform.longest-lease", DEFAULT_LEASE, 500..=HOUR);
    let machine = Machine::read(&mut reader);
    let settings = Settings {
        name: reader.name("box.name").into(),
        hall: reader.name("box.hall").into(),
        cores: (reader.number("box.cores", 1.0, 0.0..=MAX_CORES) * MILLICORES_PER_CORE) as u32,
        idle_connections: (machine.descriptors * IDLE_SHARE) as usize,
        web: reader.address("box.web"),
        rpc: reader.address("box.rpc"),
        admin: reader.address("box.admin"),
        metrics: reader.optional_address("box.metrics"),
        store: reader.address("platform.store"),
        advisor: reader.optional_address("platform.advisor"),
        owner: OwnerSettings {
            lease_length: reader
                .duration("workers.lease", DEFAULT_LEASE, 500..=HOUR)
                .min(longest),
            longest_lease: longest,
            max_unconfirmed: reader.duration(
                "workers.unconfirmed",
                DEFAULT_MAX_UNCONFIRMED,
                500..=HOUR,
            ),
            drain_time: reader.duration("platform.drain", DEFAULT_DRAIN, 0..=HOUR),
            heartbeat: reader.duration("platform.heartbeat", DEFAULT_HEARTBEAT, 50..=HOUR),
            max_breach: reader.duration("platform.longest-over", DEFAULT_MAX_BREACH, 1_000..=HOUR),
            far_factor: reader.number("platform.far-factor", DEFAULT_FAR_FACTOR, FAR_FACTOR_RANGE),
            retention: reader.duration("jobs.remember", DEFAULT_RETENTION, 1_000..=HOUR),
            row_bytes: reader.count("platform.row-bytes", DEFAULT_ROW, ROW_RANGE) as usize,
            job_memory: (machine.memory * JOB_MEMORY) as usize,
            mechanisms: mechanisms(&mut reader),
        },
        stop_timeout: grace - STOP_MARGIN,
        limits: limits(&mut reader, machine.limits()),
        logs: logs(&mut reader),
    };
    check::daemon(&settings, &mut reader);
    let findings = reader.finish();
    match findings.is_empty() {
        true => Ok(settings),
        false => Err(findings),
    }
}
