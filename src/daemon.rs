//! Runs the daemon of an entry box on the platform: the sockets and tasks around the decisions
//! of `sched`.

mod admin;
mod commits;
mod confirmations;
mod downtime;
mod feeds;
mod follower;
mod frontend;
mod history;
mod inbox;
mod message;
mod owner_row;
mod owner_task;
mod peer_addresses;
mod peers;
mod pings;
mod shared;
mod takeover;
mod term;

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use futures::channel::mpsc;
use monoio::time::sleep;

use crate::options::daemon::{self, Settings};
use crate::rpc::bridge::Bridge;
use crate::utils::clock::{self, Millis};
use crate::utils::drain::Drain;
use crate::utils::suspension::SuspensionDetector;
use crate::utils::{listen, signals};
use crate::{logs, web};
use inbox::Inbox;
use shared::Shared;

/// Time between two checks for signals, and between two writes of log lines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the start of a planned stop until no connection is accepted any more: the platform's
/// balancer checks readiness every second and removes a box after two refusals.
const LEAVE_DELAY: Duration = Duration::from_millis(2_600);

/// Runs the daemon until its planned stop is complete; `file` holds the settings.
pub async fn run(settings: Settings, file: &str) -> eyre::Result<()> {
    let web = listen::bind(settings.web)?;
    let rpc = listen::bind(settings.rpc)?;
    let admin = listen::bind(settings.admin)?;
    let metrics = settings.metrics.map(listen::bind).transpose()?;
    let incarnation = clock::wall();
    logs::enable_batching();
    monoio::spawn(flush_logs());
    log::info!(target: "daemon", "event=start box={} life={incarnation} web={} rpc={}", settings.name, settings.web, settings.rpc);
    let drain_limit = settings
        .stop_timeout
        .saturating_sub(LEAVE_DELAY.as_millis() as Millis);
    let (owner_sender, messages) = mpsc::unbounded();
    let (check_sender, checks) = mpsc::unbounded();
    let shared = Rc::new(Shared::new(
        settings,
        incarnation,
        owner_sender,
        check_sender,
    ));
    let (trigger, drain) = Drain::new();
    let (served, callers) = (shared.clone(), shared.callers.clone());
    let handle = move |request| frontend::handle(served.clone(), request);
    let serving = web::server::serve_callers(web, callers, drain.clone(), handle);
    monoio::spawn(serving);
    monoio::spawn(peers::serve(rpc, Bridge::start(shared.clone())));
    for listener in [Some(admin), metrics].into_iter().flatten() {
        monoio::spawn(admin::serve(listener, shared.clone()));
    }
    monoio::spawn(feeds::follow_config(shared.clone()));
    monoio::spawn(owner_task::run(shared.clone(), Inbox::new(messages)));
    monoio::spawn(follower::run(shared.clone(), checks));
    monoio::spawn(follower::keep_confirming(shared.clone()));
    let mut suspension = SuspensionDetector::start();
    let mut ready = false;
    while !signals::stop_requested() {
        report_suspension(&mut suspension, &shared);
        report_readiness(&mut ready, &shared);
        if signals::take_reload_request() {
            reload(&shared, file);
        }
        sleep(POLL_INTERVAL).await;
    }
    log::info!(target: "daemon", "event=stop box={}", shared.settings.name);
    shared.begin_stop();
    sleep(LEAVE_DELAY).await;
    let whole = trigger.finish(drain_limit).await;
    log::info!(target: "daemon", "event=stopped box={} whole={whole}", shared.settings.name);
    logs::flush();
    Ok(())
}

/// Logs when this box becomes ready or stops being ready for callers.
fn report_readiness(before: &mut bool, shared: &Shared) {
    let ready = shared.is_ready();
    if ready == *before {
        return;
    }
    *before = ready;
    let (config, owner) = (shared.queues().version(), shared.owner());
    let epoch = owner.map_or(0, |known| known.row.epoch);
    let store_serves = shared.store_serves();
    log::info!(target: "daemon", "event=ready ready={ready} config={config} epoch={epoch} store_serves={store_serves}");
}

/// Logs and counts a suspension of the machine. Afterwards the box looks as if it had been
/// frozen, and its timers have not counted that time.
fn report_suspension(suspension: &mut SuspensionDetector, shared: &Shared) {
    let Some(span) = suspension.update(clock::now(), clock::monotonic()) else {
        return;
    };
    let (leading, unserved) = (shared.local_epoch().is_some(), shared.unserved_ms());
    log::warn!(target: "daemon", "event=suspended span_ms={span} leading={leading} unserved_ms={unserved}");
    crate::metrics::get().suspended_time.inc_by(span);
}

/// Writes out buffered log lines until the process ends.
async fn flush_logs() {
    loop {
        logs::flush();
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the settings again. The owner's settings take effect at once; addresses, cores and names
/// need a restart, and the log line says so when addresses or cores have changed.
fn reload(shared: &Shared, file: &str) {
    let settings = match daemon::load(file) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                log::error!(target: "daemon", "event=reload-refused finding=\"{finding}\"");
            }
            return;
        }
    };
    let old = &shared.settings;
    let addresses_changed = (settings.web, settings.rpc, settings.admin, settings.store)
        != (old.web, old.rpc, old.admin, old.store);
    let cores_changed = settings.cores != old.cores;
    let restart_needed = addresses_changed || cores_changed;
    log::info!(target: "daemon", "event=reload addresses_changed={addresses_changed} cores_changed={cores_changed} restart_needed={restart_needed}");
    shared.set_owner_settings(settings.owner);
}
