//! Checks that concern several settings at once.

use std::net::SocketAddr;

use super::reader::Reader;
use super::{Settings, daemon};

/// Records a finding for each pair of settings that do not fit together.
pub fn settings(settings: &Settings, reader: &mut Reader) {
    addresses(settings, reader);
    let terms = settings.terms;
    let pace = settings.pace;
    if terms.margin * 2 > terms.length {
        let wrong = "is more than half of lease.length";
        reader.find(
            "lease.margin",
            wrong,
            "make it smaller, or the lease longer",
        );
    }
    if terms.promise >= terms.length {
        let wrong = "is not below lease.length";
        reader.find(
            "lease.promise",
            wrong,
            "make it smaller, or the lease longer",
        );
    }
    if pace.heartbeat * 3 > terms.promise {
        let wrong = "is more than a third of lease.promise";
        reader.find(
            "pace.heartbeat",
            wrong,
            "make it smaller, or the promise longer",
        );
    }
    if pace.sync * 3 > pace.task {
        let wrong = "is more than a third of pace.task";
        reader.find(
            "pace.sync",
            wrong,
            "make it smaller, or the task lease longer",
        );
    }
    if settings.patience >= terms.length {
        let wrong = "is not below lease.length";
        reader.find(
            "platform.patience",
            wrong,
            "make it smaller, or the lease longer",
        );
    }
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
    if settings.bounds.unconfirmed < settings.bounds.lease {
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
