//! Checks that concern several settings at once.

use std::net::SocketAddr;

use super::reader::Reader;
use super::{Settings, daemon};

/// Records a finding for each pair of settings that do not fit together.
pub fn settings(settings: &Settings, reader: &mut Reader) {
    addresses(settings, reader);
    let (lease_timings, pace) = (settings.lease_timings, settings.pace);
    let mut check = |holds: bool, key: &str, wrong: &str, right: &str| {
        if !holds {
            reader.find(key, wrong, right);
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
        pace.heartbeat * 3 <= lease_timings.promise,
        "pace.heartbeat",
        "is more than a third of lease.promise",
        "make it smaller, or the promise longer",
    );
    check(
        pace.sync * 3 <= pace.task,
        "pace.sync",
        "is more than a third of pace.task",
        "make it smaller, or the task lease longer",
    );
    check(
        settings.patience < lease_timings.length,
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
    distinct(&all, reader);
    reachable(&[all[1], all[3]], reader);
    if settings.bounds.max_unconfirmed < settings.bounds.lease_length {
        let wrong = "is below workers.lease";
        let right = "make it longer, or the lease shorter";
        reader.find("workers.unconfirmed", wrong, right);
    }
}

fn addresses(settings: &Settings, reader: &mut Reader) {
    let all = [
        ("box.web", settings.web),
        ("box.rpc", settings.rpc),
        ("box.admin", settings.admin),
        ("platform.rpc", settings.platform),
    ];
    distinct(&all, reader);
    reachable(&[all[1], all[3]], reader);
}

/// Records a finding for each address that stands twice or has no port.
fn distinct(all: &[(&str, SocketAddr)], reader: &mut Reader) {
    for (i, (key, address)) in all.iter().enumerate() {
        if address.port() == 0 && !address.ip().is_unspecified() {
            reader.find(key, "has port 0", "give a port from 1 to 65535");
        }
        let twin = all[..i].iter().find(|(_, a)| a == address && a.port() != 0);
        if let Some((other, _)) = twin {
            let wrong = format!("clashes with {other} ({address})");
            reader.find(key, wrong, "give each its own address");
        }
    }
}

/// Records a finding for each address that no other box can reach.
fn reachable(all: &[(&str, SocketAddr)], reader: &mut Reader) {
    for (key, address) in all {
        if address.ip().is_unspecified() && address.port() != 0 {
            let right = "give the number that other boxes can reach";
            reader.find(
                key,
                format!("`{address}` can't be reached by others"),
                right,
            );
        }
    }
}
