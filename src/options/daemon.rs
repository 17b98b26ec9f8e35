//! The settings file of a box on the platform.

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

/// Longest lease on a worker that is ever wished for, in milliseconds; a
/// shorter one frees the tasks of a dead worker sooner, a longer one bridges
/// a takeover of about 2 s.
const DEFAULT_LEASE: Millis = 4_000;
/// Milliseconds of the platform's grace that a planned stop leaves unused.
const STOP_MARGIN: Millis = 800;
/// Shortest grace, in milliseconds: the balancer needs most of it to send no
/// more callers.
const MIN_GRACE: Millis = 3_500;
/// Milliseconds of an hour, the longest of any setting.
const HOUR: Millis = 3_600_000;
/// Milliseconds of the platform's grace for a planned stop, unless it is set.
const DEFAULT_GRACE: Millis = 6_000;
/// Milliseconds that an owner extends leases without a commit, unless it is
/// set: longer than the outages of the store that tasks should outlast.
const DEFAULT_MAX_UNCONFIRMED: Millis = 10_000;
/// Least milliseconds that a worker serves on after its listing is gone,
/// unless the platform's bound is set.
const DEFAULT_DRAIN: Millis = 2_000;
/// Milliseconds that a serving task may stay over its target because of fillers, unless
/// the platform's bound is set.
const DEFAULT_MAX_BREACH: Millis = 4_000;
/// Milliseconds for which the state of an ended job is told, unless the
/// platform's bound is set.
const DEFAULT_RETENTION: Millis = 120_000;

/// Most cores of one box.
const MAX_CORES: f64 = 1_024.0;
/// Thousandths of a core.
const MILLICORES: f64 = 1_000.0;

/// Descriptors of a box, unless they are set.
const DEFAULT_DESCRIPTORS: f64 = 4_096.0;
/// Least and most that make sense: those of a box that never is the owner, and those of
/// the largest machine.
const DESCRIPTORS_RANGE: std::ops::RangeInclusive<f64> = 64.0..=4_000_000.0;
/// Share of them for idle connections to workers. Each worker has one more for its open
/// exchange and one idle one in any case, so that an owner of 890 workers and its orders fit
/// into 4,096.
const IDLE_SHARE: f64 = 0.375;

/// Checked settings of a box on the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box, the same after a restart.
    pub name: Name,
    /// Hall in which it stands.
    pub hall: Name,
    /// Thousandths of cores that it may use; boxes with more of them own the cell.
    pub cores: u32,
    /// Idle connections to workers that it may keep.
    pub idle_connections: usize,
    /// Address for callers.
    pub web: SocketAddr,
    /// Address for other boxes.
    pub rpc: SocketAddr,
    /// Address for readiness.
    pub admin: SocketAddr,
    /// Address for metrics, when it is another one.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the advisor that tells which workers may run a step.
    pub advisor: Option<SocketAddr>,
    /// Bounds of decisions.
    pub owner: OwnerSettings,
    /// Milliseconds within which a planned stop is complete.
    pub stop_timeout: Millis,
    /// Bounds for callers' requests.
    pub limits: Limits,
    /// Logs.
    pub logs: LogSettings,
}

/// Reads and checks a settings file; all findings are reported together.
pub fn load(path: &str) -> Result<Settings, Vec<Finding>> {
    let text = super::entry::read_file(path)?;
    parse(path, &text)
}

/// Reads which mechanisms are on; all are unless they are switched off.
fn mechanisms(reader: &mut Reader<'_>) -> Mechanisms {
    Mechanisms {
        preempt: reader.flag("mechanisms.preempt", true),
        quarantine: reader.flag("mechanisms.rest", true),
        throttle: reader.flag("mechanisms.pace", true),
        interference: reader.flag("mechanisms.pressure", true),
        swap: reader.flag("mechanisms.swap", true),
        warm_start: reader.flag("mechanisms.recall", true),
    }
}

/// Checks the text of a settings file.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Finding>> {
    let mut reader = Reader::new(file, text).map_err(|f| vec![f])?;
    let grace = reader.duration("platform.grace", DEFAULT_GRACE, MIN_GRACE..=HOUR);
    let longest = reader.duration("platform.longest-lease", DEFAULT_LEASE, 500..=HOUR);
    let settings = Settings {
        name: reader.name("box.name").into(),
        hall: reader.name("box.hall").into(),
        cores: (reader.number("box.cores", 1.0, 0.0..=MAX_CORES) * MILLICORES) as u32,
        idle_connections: (reader.number("box.descriptors", DEFAULT_DESCRIPTORS, DESCRIPTORS_RANGE)
            * IDLE_SHARE) as usize,
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
            max_unconfirmed: reader.duration(
                "workers.unconfirmed",
                DEFAULT_MAX_UNCONFIRMED,
                500..=HOUR,
            ),
            drain_time: reader.duration("platform.drain", DEFAULT_DRAIN, 0..=HOUR),
            max_breach: reader.duration("platform.longest-over", DEFAULT_MAX_BREACH, 1_000..=HOUR),
            retention: reader.duration("jobs.remember", DEFAULT_RETENTION, 1_000..=HOUR),
            mechanisms: mechanisms(&mut reader),
        },
        stop_timeout: grace - STOP_MARGIN,
        limits: limits(&mut reader),
        logs: logs(&mut reader),
    };
    check::daemon(&settings, &mut reader);
    let findings = reader.finish();
    match findings.is_empty() {
        true => Ok(settings),
        false => Err(findings),
    }
}
