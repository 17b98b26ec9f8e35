//! Daemon of an entry box: the servers and tasks that perform the I/O for the engine.

mod admin;
mod callers;
mod convert;
mod dispatch;
mod driver;
mod jobs;
mod listings;
mod operators;
mod peers;
mod platform_client;
mod startup;
#[cfg(test)]
mod tests;
mod workers;

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::channel::mpsc;

use crate::dedup::DedupTimings;
use crate::engine::{Engine, EngineSettings, Event};
use crate::options::EntrySettings;
use crate::utils::drain::Drain;
use crate::utils::{clock, listen, signals};
use driver::{Context, EngineDriver, Message};

/// Milliseconds between two ticks of the engine.
const TICK_INTERVAL: u64 = 25;

/// Flag that starts a planned stop from within the process when set.
pub type StopFlag = Arc<AtomicBool>;

/// Runs an entry box until a planned stop is complete.
pub async fn run(settings: EntrySettings, stop_flag: StopFlag) -> eyre::Result<()> {
    let web = listen::bind(settings.web)?;
    let rpc = listen::bind(settings.rpc)?;
    let admin = listen::bind(settings.admin)?;
    let engine = Engine::new(EngineSettings {
        name: settings.name.clone(),
        boot: clock::wall(),
        rpc: settings.rpc,
        hall: settings.hall.clone(),
        lease_timings: settings.lease_timings,
        intervals: settings.intervals,
        policy: settings.policy.clone(),
        dedup_timings: DedupTimings::default(),
    });
    log::info!(target: "entry", "box {} listens for callers on {}", engine.id(), settings.web);
    let (sender, receiver) = mpsc::unbounded();
    let context = Rc::new(Context::new(settings, sender));
    startup::watch(context.progress.clone());
    let limits = context.settings.limits;
    let callers = context.clone();
    let (trigger, drain) = Drain::new();
    let handle = move |request| callers::handle(callers.clone(), request);
    let serve = crate::web::server::serve(web, limits, drain.clone(), handle);
    monoio::spawn(serve);
    let bridge = crate::rpc::bridge::Bridge::start(context.clone());
    monoio::spawn(peers::serve(rpc, drain, bridge, limits.body));
    monoio::spawn(admin::serve(admin, context.clone()));
    monoio::spawn(send_ticks(context.clone(), stop_flag));
    monoio::spawn(startup::follow(context.clone()));
    EngineDriver::new(engine, context, trigger)
        .run(receiver)
        .await;
    Ok(())
}

/// Sends ticks to the engine until it has stopped, and a stop event with each while a planned stop
/// is requested.
async fn send_ticks(context: Rc<Context>, stop_flag: StopFlag) {
    let mut interval = monoio::time::interval(Duration::from_millis(TICK_INTERVAL));
    loop {
        interval.tick().await;
        context.progress.ticks.fetch_add(1, Ordering::Relaxed);
        let stopping = signals::stop_requested() || stop_flag.load(Ordering::Relaxed);
        if stopping {
            context.send(Message::Event(Event::Stop));
        }
        if !context.send(Message::Event(Event::Tick)) {
            return;
        }
    }
}
