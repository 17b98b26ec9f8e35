//! Reads and checks the settings file of the `entry` daemon.

use log::LevelFilter;

use super::reader::{Finding, Reader};
use super::{EntrySettings, Intervals, check};
use crate::cell::Policy;
use crate::lease::LeaseTimings;
use crate::logs::{Format, LogSettings};
use crate::web::server::Limits;

/// Milliseconds in an hour.
const HOUR: u64 = 3_600_000;
/// Milliseconds in a minute.
const MINUTE: u64 = 60_000;

/// Reads and checks a settings file. Returns all findings, not only the first.
pub fn load(path: &str) -> Result<EntrySettings, Vec<Finding>> {
    parse(path, &read_file(path)?)
}

/// Returns the text of a settings file, or a finding if it cannot be read.
pub(super) fn read_file(path: &str) -> Result<String, Vec<Finding>> {
    std::fs::read_to_string(path).map_err(|e| {
        vec![Finding {
            file: path.into(),
            line: 1,
            key: "(file)".into(),
            problem: format!("cannot be read: {e}"),
            hint: "name a readable file".into(),
        }]
    })
}

/// Parses and checks the text of a settings file.
pub fn parse(file: &str, text: &str) -> Result<EntrySettings, Vec<Finding>> {
    let mut reader = Reader::new(file, text).map_err(|f| vec![f])?;
    let settings = EntrySettings {
        name: reader.name("box.name").into(),
        hall: reader.name("box.hall").into(),
        web: reader.address("box.web"),
        rpc: reader.address("box.rpc"),
        admin: reader.address("box.admin"),
        platform: reader.address("platform.rpc"),
        call_timeout: reader.duration("platform.patience", 2_000, 10..=MINUTE),
        lease_timings: lease_timings(&mut reader),
        intervals: intervals(&mut reader),
        limits: limits(&mut reader, Limits::DEFAULT),
        policy: policy(&mut reader),
        trace_share: reader.fraction("trace.sample", 0.01),
        logs: logs(&mut reader),
    };
    check::entry(&settings, &mut reader);
    let findings = reader.finish();
    match findings.is_empty() {
        true => Ok(settings),
        false => Err(findings),
    }
}

fn lease_timings(reader: &mut Reader) -> LeaseTimings {
    let default = LeaseTimings::default();
    LeaseTimings {
        length: reader.duration("lease.length", default.length, 200..=HOUR),
        margin: reader.duration("lease.margin", default.margin, 10..=MINUTE),
        promise: reader.duration("lease.promise", default.promise, 50..=HOUR),
        outage: reader.duration("lease.outage", default.outage, 1_000..=48 * HOUR),
    }
}

fn intervals(reader: &mut Reader) -> Intervals {
    Intervals {
        heartbeat: reader.duration("pace.heartbeat", 1_000, 20..=MINUTE),
        poll: reader.duration("pace.poll", 1_000, 20..=MINUTE),
        worker_poll: reader.duration("pace.sync", 1_000, 20..=MINUTE),
        shard_write: reader.duration("pace.journal", 300, 20..=MINUTE),
        task_lease: reader.duration("pace.task", 10_000, 200..=HOUR),
        stop_timeout: reader.duration("pace.stop", 30_000, 0..=HOUR),
    }
}

/// Reads the limits on callers, whose defaults depend on the machine.
pub(super) fn limits(reader: &mut Reader, default: Limits) -> Limits {
    let connections = default.connections as u64;
    Limits {
        head: reader.size("limits.head", default.head as u64, 512..=1 << 20) as usize,
        body: reader.size("limits.body", default.body as u64, 1..=64 << 20) as usize,
        connections: reader.count("limits.connections", connections, 1..=60_000) as usize,
        memory: reader.size("limits.memory", default.memory as u64, 1 << 20..=1 << 40) as usize,
        idle: reader.duration("limits.idle", default.idle, 10..=HOUR),
        request: reader.duration("limits.request", default.request, 10..=HOUR),
        stall: reader.duration("limits.stall", default.stall, 10..=HOUR),
        answer: reader.duration("limits.answer", default.answer, 10..=HOUR),
    }
}

fn policy(reader: &mut Reader) -> Policy {
    let default = Policy::default();
    Policy {
        tail_weight: reader.fraction("policy.tail-weight", default.tail_weight),
        queue_limit: reader.count("policy.queue", default.queue_limit as u64, 0..=100_000) as usize,
        retries: reader.count("policy.retries", u64::from(default.retries), 0..=16) as u32,
        default_deadline: reader.duration("policy.deadline", default.default_deadline, 1..=HOUR),
        reserve: reader.fraction("policy.reserve", default.reserve),
        failure_limit: reader.count("policy.failures", u64::from(default.failure_limit), 1..=100)
            as u32,
        first_quarantine: reader.duration(
            "policy.quarantine",
            default.first_quarantine,
            100..=HOUR,
        ),
        ..default
    }
}

pub(super) fn logs(reader: &mut Reader) -> LogSettings {
    let format = match reader.string("log.format", Some("json")).as_str() {
        "json" => Format::Json,
        "text" => Format::Text,
        other => {
            let problem = format!("`{other}` is not a log format");
            reader.report("log.format", problem, "write \"json\" or \"text\"");
            Format::Json
        }
    };
    let text = reader.string("log.level", Some("info"));
    let level = parse_level(reader, "log.level", &text);
    let mut modules = Vec::new();
    for (module, text) in reader.strings("log.modules") {
        let key = format!("log.modules.{module}");
        modules.push((module, parse_level(reader, &key, &text)));
    }
    LogSettings {
        format,
        level,
        modules,
    }
}

fn parse_level(reader: &mut Reader, key: &str, text: &str) -> LevelFilter {
    text.parse().unwrap_or_else(|_| {
        let problem = format!("`{text}` is not a log level");
        reader.report(key, problem, "write off, error, warn, info, debug or trace");
        LevelFilter::Info
    })
}
