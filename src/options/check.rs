//! Checks that concern several settings at once.

use std::net::SocketAddr;

use super::reader::Reader;
use super::{Settings, daemon};

/// Records a finding for each pair of settings that do not fit together.
pub fn entry(settings: &Settings, reader: &mut Reader) {
    check_addresses(settings, reader);
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
        "make it smaller, or the lease longer",
    );
    check(
        lease_timings.promise < lease_timings.length,
        "lease.promise",
        "is not below lease.length",
        "make it smaller, or the lease longer",
    );
    check(
        intervals.heartbeat * 3 <= lease_timings.promise,
        "pace.heartbeat",
        "is more than a third of lease.promise",
        "make it smaller, or the promise longer",
    );
    check(
        intervals.worker_poll * 3 <= intervals.task_lease,
        "pace.sync",
        "is more than a third of pace.task",
        "make it smaller, or the task lease longer",
    );
    check(
        settings.call_timeout < lease_timings.length,
        "platform.patience",
        "is not below lease.length",
        "make it smaller, or the lease longer",
    );
}

/// Records a finding for each pair of settings of a box on the platform that
/// do not fit together.
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
    if settings.owner.max_unconfirmed < settings.owner.lease_length {
        let problem = "is below workers.lease";
        let hint = "make it longer, or the lease shorter";
        reader.report("workers.unconfirmed", problem, hint);
    }
}

fn check_addresses(settings: &Settings, reader: &mut Reader) {
    let all = [
        ("box.web", settings.web),
        ("box.rpc", settings.rpc),
        ("box.admin", settings.admin),
        ("platform.rpc", settings.platform),
    ];
    check_distinct(&all, reader);
    check_reachable(&[all[1], all[3]], reader);
}

/// Records a finding for each address that stands twice or has no port.
fn check_distinct(all: &[(&str, SocketAddr)], reader: &mut Reader) {
    for (i, (key, address)) in all.iter().enumerate() {
        if address.port() == 0 && !address.ip().is_unspecified() {
            reader.report(key, "has port 0", "give a port from 1 to 65535");
        }
        let twin = all[..i].iter().find(|(_, a)| a == address && a.port() != 0);
        if let Some((other, _)) = twin {
            let problem = format!("clashes with {other} ({address})");
            reader.report(key, problem, "give each its own address");
        }
    }
}

/// Records a finding for each address that no other box can reach.
fn check_reachable(all: &[(&str, SocketAddr)], reader: &mut Reader) {
    for (key, address) in all {
        if address.ip().is_unspecified() && address.port() != 0 {
            let hint = "give the number that other boxes can reach";
            reader.report(key, format!("`{address}` can't be reached by others"), hint);
        }
    }
}
