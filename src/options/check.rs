//! Checks of settings against each other.

use std::net::SocketAddr;

use super::reader::Reader;
use super::{EntrySettings, daemon};
use crate::web::server::Limits;

/// Reports settings of the `entry` daemon that contradict each other.
pub fn entry(settings: &EntrySettings, reader: &mut Reader) {
    check_addresses(settings, reader);
    check_limits(settings.limits, reader);
    let (lease_timings, intervals) = (settings.lease_timings, settings.intervals);
    let mut check = |holds: bool, key: &str, problem: &str, hint: &str| {
        if !holds {
            reader.report(key, problem, hint);
        }
    };
    check(
        lease_timings.margin * 2 <= lease_timings.length,
        "lease.margin",
        "is more than half of lease.length",
        "shorten it, or lengthen lease.length",
    );
    check(
        lease_timings.promise < lease_timings.length,
        "lease.promise",
        "is not less than lease.length",
        "shorten it, or lengthen lease.length",
    );
    check(
        intervals.heartbeat * 3 <= lease_timings.promise,
        "pace.heartbeat",
        "is more than a third of lease.promise",
        "shorten it, or lengthen lease.promise",
    );
    check(
        intervals.worker_poll * 3 <= intervals.task_lease,
        "pace.sync",
        "is more than a third of pace.task",
        "shorten it, or lengthen pace.task",
    );
    check(
        settings.call_timeout < lease_timings.length,
        "platform.patience",
        "is not less than lease.length",
        "shorten it, or lengthen lease.length",
    );
}

/// Reports settings of the `serve` daemon that contradict each other.
pub fn daemon(settings: &daemon::Settings, reader: &mut Reader) {
    let mut all = vec![
        ("box.web", settings.web),
        ("box.rpc", settings.rpc),
        ("box.admin", settings.admin),
        ("platform.store", settings.store),
    ];
    all.extend(settings.metrics.map(|a| ("box.metrics", a)));
    all.extend(settings.advisor.map(|a| ("platform.advisor", a)));
    check_distinct(&all, reader);
    check_reachable(&[all[1], all[3]], reader);
    check_limits(settings.limits, reader);
    if settings.owner.max_unconfirmed < settings.owner.lease_length {
        let problem = "is less than workers.lease";
        let hint = "lengthen it, or shorten workers.lease";
        reader.report("workers.unconfirmed", problem, hint);
    }
}

/// Reports limits on callers under which no request of the largest size could be read.
fn check_limits(limits: Limits, reader: &mut Reader) {
    if limits.head + limits.body > limits.memory / 4 {
        let problem = "is, with limits.head, more than a quarter of limits.memory";
        let hint = "lower it, or raise limits.memory or box.memory";
        reader.report("limits.body", problem, hint);
    }
}

fn check_addresses(settings: &EntrySettings, reader: &mut Reader) {
    let all = [
        ("box.web", settings.web),
        ("box.rpc", settings.rpc),
        ("box.admin", settings.admin),
        ("platform.rpc", settings.platform),
    ];
    check_distinct(&all, reader);
    check_reachable(&[all[1], all[3]], reader);
}

/// Reports addresses that are used twice, and addresses with port 0.
fn check_distinct(all: &[(&str, SocketAddr)], reader: &mut Reader) {
    for (i, (key, address)) in all.iter().enumerate() {
        if address.port() == 0 && !address.ip().is_unspecified() {
            reader.report(key, "has port 0", "set a port from 1 to 65535");
        }
        let duplicate = all[..i].iter().find(|(_, a)| a == address && a.port() != 0);
        if let Some((other, _)) = duplicate {
            let problem = format!("is the same as {other} ({address})");
            reader.report(key, problem, "use a different address");
        }
    }
}

/// Reports unspecified addresses (such as 0.0.0.0), which other boxes cannot connect to.
fn check_reachable(all: &[(&str, SocketAddr)], reader: &mut Reader) {
    for (key, address) in all {
        if address.ip().is_unspecified() && address.port() != 0 {
            let hint = "set an IP address that other boxes can connect to";
            reader.report(
                key,
                format!("other boxes cannot connect to `{address}`"),
                hint,
            );
        }
    }
}
