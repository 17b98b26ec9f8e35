//! What the tasks of a box share.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::mpsc::UnboundedSender;

use super::downtime::Downtime;
use super::message::Message;
use super::peer_addresses::PeerAddresses;
use crate::cordons::{Change, Cordons, Halls};
use crate::options::daemon::Settings;
use crate::platform::advice::Advisor;
use crate::platform::store::Store;
use crate::platform::{config, worker::Workers};
use crate::queues::Queues;
use crate::rpc::client::Channel;
use crate::sched::failover::OwnerProgress;
use crate::sched::journal::OwnerRow;
use crate::sched::message::Event;
use crate::sched::owner::{Bounds, Now};
use crate::table::Row;
use crate::utils::clock::{self, Millis};

/// Part of the store in which the owner keeps everything.
pub const STORE_PART: &str = "main";

/// Milliseconds after an answer of the store to a feed in which it counts as
/// serving this box: the wait of a feed and half of one more.
const STORE_TIMEOUT: Millis = 1_200;

/// Returns the clocks now.
pub fn now() -> Now {
    Now {
        steady: clock::now(),
        wall: clock::wall(),
    }
}

/// The owner as last seen.
#[derive(Clone, Debug)]
pub struct KnownOwner {
    /// Its row.
    pub row: OwnerRow,
    /// Version of its row.
    pub version: u64,
    /// The last sign of life of it.
    pub progress: OwnerProgress,
}

/// How far a box that has become the owner is with loading what the store holds.
#[derive(Clone, Copy, Debug)]
pub struct Loading {
    /// Its epoch.
    pub epoch: u64,
    /// Pages read so far.
    pub pages: u64,
}

/// State and clients that the tasks of a box share.
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// Milliseconds since the Unix epoch of the start; tells lives of one box apart.
    pub incarnation: u64,
    /// The platform's store.
    pub store: Store,
    /// The workers.
    pub workers: Workers,
    /// The advisor of services.
    pub advisor: Advisor,
    owner_sender: UnboundedSender<Message>,
    check_sender: UnboundedSender<()>,
    queues: RefCell<Rc<Queues>>,
    config: RefCell<Option<Row>>,
    cordons: RefCell<Cordons>,
    owner: RefCell<Option<KnownOwner>>,
    last_followed: RefCell<Option<OwnerRow>>,
    local_epoch: Cell<Option<u64>>,
    loading: Cell<Option<Loading>>,
    downtime: Downtime,
    confirmed: Cell<u64>,
    store_answered: Cell<Millis>,
    bounds: Cell<Bounds>,
    stopping: Cell<bool>,
    channels: RefCell<HashMap<SocketAddr, Channel>>,
    peer_addresses: RefCell<PeerAddresses>,
}

impl Shared {
    /// Returns the shared state of a box that has just started.
    pub fn new(
        settings: Settings,
        incarnation: u64,
        owner_sender: UnboundedSender<Message>,
        check_sender: UnboundedSender<()>,
    ) -> Self {
        Self {
            store: Store::new(settings.store),
            workers: Workers::new(settings.idle),
            advisor: Advisor::new(settings.advisor),
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            owner_sender,
            check_sender,
            queues: RefCell::default(),
            config: RefCell::default(),
            cordons: RefCell::default(),
            owner: RefCell::default(),
            last_followed: RefCell::default(),
            local_epoch: Cell::new(None),
            loading: Cell::new(None),
            downtime: Downtime::new(clock::now()),
            confirmed: Cell::new(0),
            store_answered: Cell::new(0),
            stopping: Cell::new(false),
            channels: RefCell::default(),
            peer_addresses: RefCell::default(),
        }
    }

    /// Sends a message to the task of the owner.
    pub fn send_to_owner(&self, message: Message) {
        // The task ends only with the process.
        let _ = self.owner_sender.unbounded_send(message);
    }

    /// Has the owner looked for at once.
    pub fn check_owner_now(&self) {
        // The task ends only with the process.
        let _ = self.check_sender.unbounded_send(());
    }

    /// Returns the queues in force.
    pub fn queues(&self) -> Rc<Queues> {
        self.queues.borrow().clone()
    }

    /// Returns the row of the configuration in force.
    pub fn config(&self) -> Option<Row> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn apply_config(&self, row: Row, from: &str) {
        let Some(queues) = config::decode_queues(&row) else {
            return;
        };
        let old = self.queues.borrow().version();
        let new = queues.version();
        if new <= old {
            return;
        }
        log::info!(target: "config", "event=config version={new} before={old} from={from}");
        crate::metrics::get().config.set(new as i64);
        *self.queues.borrow_mut() = Rc::new(queues);
        *self.config.borrow_mut() = Some(row);
    }

    /// Returns the cordoned halls; none before they were read.
    pub fn cordoned(&self) -> Option<Halls> {
        self.cordons.borrow().halls()
    }

    /// Takes in changes of halls, or all cordons as of a version of the store.
    pub fn apply_cordons(&self, changes: Vec<Change>, whole: Option<u64>) {
        let before = self.cordoned();
        match whole {
            Some(version) => self.cordons.borrow_mut().read(version, changes),
            None => {
                let mut cordons = self.cordons.borrow_mut();
                changes.into_iter().for_each(|c| cordons.change(c));
            }
        }
        let Some(halls) = self.cordoned().filter(|h| before.as_ref() != Some(h)) else {
            return;
        };
        let old = before.unwrap_or_default();
        for hall in halls.symmetric_difference(&old) {
            let cordoned = halls.contains(hall);
            log::info!(target: "config", "event=cordon hall={hall} cordoned={cordoned} read={whole:?}");
        }
        crate::metrics::get().cordoned.set(halls.len() as i64);
        if let Some(epoch) = self.local_epoch() {
            self.send_to_owner(Message::Event(epoch, Event::Cordoned(halls)));
        }
    }

    /// Returns the owner as last seen.
    pub fn owner(&self) -> Option<KnownOwner> {
        self.owner.borrow().clone()
    }

    /// Sets the owner as last seen.
    pub fn set_owner(&self, seen: Option<KnownOwner>) {
        let epoch = seen.as_ref().map_or(0, |s| s.row.epoch);
        crate::metrics::get().followed.set(epoch as i64);
        *self.owner.borrow_mut() = seen;
    }

    /// Forgets the owner as last seen, so that the store is asked; one later than `epoch`
    /// stays, since a box that the store turns away could not find it again.
    pub fn forget_owner(&self, epoch: u64) {
        if self.owner().is_none_or(|seen| seen.row.epoch <= epoch) {
            self.set_owner(None);
        }
    }

    /// Returns the row of the last owner in another box that served this one.
    pub fn last_followed(&self) -> Option<OwnerRow> {
        self.last_followed.borrow().clone()
    }

    /// Takes in that an owner in another box serves this one.
    pub fn set_last_followed(&self, row: &OwnerRow) {
        *self.last_followed.borrow_mut() = Some(row.clone());
    }

    /// Takes in a sign of life of the owner of an epoch.
    pub fn set_progress(&self, epoch: u64, progress: OwnerProgress) {
        let mut owner = self.owner.borrow_mut();
        if let Some(seen) = owner.as_mut().filter(|s| s.row.epoch == epoch) {
            seen.progress = progress;
        }
    }

    /// Returns true when this life of this box wrote an owner's row.
    pub fn is_own_row(&self, row: &OwnerRow) -> bool {
        row.name == self.settings.name && row.life == self.incarnation
    }

    /// Returns the epoch of the owner in this process.
    pub fn local_epoch(&self) -> Option<u64> {
        self.local_epoch.get()
    }

    /// Sets the epoch of the owner in this process.
    pub fn set_local_epoch(&self, epoch: Option<u64>) {
        if self.local_epoch() != epoch {
            // An owner that ends here has served until now.
            self.record_owner_serving(true);
            self.record_owner_serving(epoch.is_some());
        }
        self.local_epoch.set(epoch);
    }

    /// Returns how far this box is with loading what the store holds, if it does.
    pub fn loading(&self) -> Option<Loading> {
        self.loading.get()
    }

    /// Sets that.
    pub fn set_loading(&self, loading: Option<Loading>) {
        self.loading.set(loading);
    }

    /// Returns true while this box loads as the owner of an epoch, and no later one is
    /// known.
    pub fn is_loading(&self, epoch: u64) -> bool {
        self.loading().is_some_and(|l| l.epoch == epoch)
    }

    /// Takes in whether an owner serves this box now.
    pub fn record_owner_serving(&self, served: bool) {
        self.downtime.record(served, clock::now());
    }

    /// Returns the milliseconds since an owner last served this box; 0 while one does.
    pub fn unserved_ms(&self) -> Millis {
        self.downtime.duration(clock::now())
    }

    /// Returns when the store confirmed the owner in this process.
    pub fn confirmed(&self) -> u64 {
        self.confirmed.get()
    }

    /// Sets when the store confirmed the owner in this process.
    pub fn set_confirmed(&self, at: u64) {
        self.confirmed.set(at);
    }

    /// Takes in that the store has just answered a feed.
    pub fn record_store_answer(&self) {
        self.store_answered.set(clock::now());
    }

    /// Returns true while the store serves this box.
    pub fn store_serves(&self) -> bool {
        clock::now() < self.store_answered.get() + STORE_TIMEOUT
    }

    /// Returns true while callers may be sent to this box: with a configuration, unless it
    /// stops, or neither knows an owner nor has the store to find one.
    pub fn is_ready(&self) -> bool {
        let found = self.owner().is_some() || self.store_serves();
        self.queues().version() > 0 && found && !self.is_stopping()
    }

    /// Returns the bounds of decisions in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Puts other bounds of decisions in force.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        self.send_to_owner(Message::Bounds(bounds));
    }

    /// Returns true once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        self.send_to_owner(Message::Resign);
    }

    /// Returns the other boxes that are known; not to be held over a wait.
    pub fn peer_addresses(&self) -> RefMut<'_, PeerAddresses> {
        self.peer_addresses.borrow_mut()
    }

    /// Returns the channel to another box.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address);
        channel.or_insert_with(|| Channel::new(address)).clone()
    }
}
