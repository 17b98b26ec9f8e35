//! State and clients that the daemon's tasks share.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::mpsc::UnboundedSender;

use super::confirmations::Confirmations;
use super::downtime::Downtime;
use super::message::{Message, Sent};
use super::peer_addresses::PeerAddresses;
use crate::cordons::{CordonChange, Cordons, Halls};
use crate::options::daemon::Settings;
use crate::platform::advice::Advisor;
use crate::platform::store::Store;
use crate::platform::{config, worker::Workers};
use crate::queues::Queues;
use crate::rpc::client::Channel;
use crate::sched::failover::OwnerProgress;
use crate::sched::journal::OwnerRow;
use crate::sched::message::Event;
use crate::sched::owner::{Now, OwnerSettings};
use crate::table::Row;
use crate::utils::clock::{self, Millis};
use crate::web::callers::Callers;

/// Part of the store in which the owner keeps everything.
pub const STORE_PART: &str = "main";

/// Milliseconds after the store's last answer to a feed until the store counts as not serving
/// this box: one and a half times the wait of a feed.
const STORE_TIMEOUT: Millis = 1_200;

/// Returns the current time by both clocks.
pub fn now() -> Now {
    Now {
        steady: clock::now(),
        wall: clock::wall(),
    }
}

/// The owner as last known.
#[derive(Clone, Debug)]
pub struct KnownOwner {
    /// The owner's row.
    pub row: OwnerRow,
    /// Version of the row.
    pub version: u64,
    /// The owner's last known progress.
    pub progress: OwnerProgress,
}

/// The load of the stored state by a box that has just become the owner.
#[derive(Clone, Copy, Debug)]
pub struct Loading {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Pages read so far.
    pub pages: u64,
}

/// State and clients of one box.
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// Start of this process in milliseconds since the Unix epoch; distinguishes incarnations of
    /// the box.
    pub incarnation: u64,
    /// Account of all that callers make this box hold.
    pub callers: Rc<Callers>,
    /// Client of the platform's store.
    pub store: Store,
    /// Client of the workers.
    pub workers: Workers,
    /// Client of the advisor.
    pub advisor: Advisor,
    owner_sender: UnboundedSender<Sent>,
    check_sender: UnboundedSender<()>,
    queues: RefCell<Rc<Queues>>,
    config: RefCell<Option<Row>>,
    cordons: RefCell<Cordons>,
    owner: RefCell<Option<KnownOwner>>,
    last_followed: RefCell<Option<OwnerRow>>,
    confirmations: RefCell<Confirmations>,
    local_epoch: Cell<Option<u64>>,
    loading: Cell<Option<Loading>>,
    downtime: Downtime,
    confirmed: Cell<u64>,
    store_answered: Cell<Millis>,
    owner_settings: Cell<OwnerSettings>,
    stopping: Cell<bool>,
    channels: RefCell<HashMap<SocketAddr, Channel>>,
    peer_addresses: RefCell<PeerAddresses>,
}

impl Shared {
    /// Returns the shared state of a box that has just started.
    pub fn new(
        settings: Settings,
        incarnation: u64,
        owner_sender: UnboundedSender<Sent>,
        check_sender: UnboundedSender<()>,
    ) -> Self {
        Self {
            callers: Callers::new(settings.limits),
            store: Store::new(settings.store),
            workers: Workers::new(settings.idle_connections),
            advisor: Advisor::new(settings.advisor),
            owner_settings: Cell::new(settings.owner),
            settings,
            incarnation,
            owner_sender,
            check_sender,
            queues: RefCell::default(),
            config: RefCell::default(),
            cordons: RefCell::default(),
            owner: RefCell::default(),
            last_followed: RefCell::default(),
            confirmations: RefCell::default(),
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

    /// Sends a message to the owner's task.
    pub fn send_to_owner(&self, message: Message) {
        let at = clock::now();
        // The task ends only with the process.
        let _ = self.owner_sender.unbounded_send(Sent { at, message });
    }

    /// Has the follower check the owner at once.
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

    /// Puts a configuration in force unless it does not decode or is no newer than the current
    /// one.
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
        crate::metrics::get().config_version.set(new as i64);
        *self.queues.borrow_mut() = Rc::new(queues);
        *self.config.borrow_mut() = Some(row);
    }

    /// Returns the cordoned halls, or `None` before they were read.
    pub fn cordoned(&self) -> Option<Halls> {
        self.cordons.borrow().cordoned_halls()
    }

    /// Applies changes of cordons; with `as_of`, the changes are all cordons as of that version
    /// of the store. Notifies the owner in this process if the cordoned halls changed.
    pub fn apply_cordons(&self, changes: Vec<CordonChange>, as_of: Option<u64>) {
        let before = self.cordoned();
        match as_of {
            Some(version) => self.cordons.borrow_mut().apply_snapshot(version, changes),
            None => {
                let mut cordons = self.cordons.borrow_mut();
                changes.into_iter().for_each(|c| cordons.apply_change(c));
            }
        }
        let Some(halls) = self.cordoned().filter(|h| before.as_ref() != Some(h)) else {
            return;
        };
        let old = before.unwrap_or_default();
        for hall in halls.symmetric_difference(&old) {
            let cordoned = halls.contains(hall);
            log::info!(target: "config", "event=cordon hall={hall} cordoned={cordoned} read={as_of:?}");
        }
        crate::metrics::get().cordoned_halls.set(halls.len() as i64);
        if let Some(epoch) = self.local_epoch() {
            self.send_to_owner(Message::Event(epoch, Event::Cordoned(halls)));
        }
    }

    /// Returns the owner as last known.
    pub fn owner(&self) -> Option<KnownOwner> {
        self.owner.borrow().clone()
    }

    /// Sets the owner as last known.
    pub fn set_owner(&self, known: Option<KnownOwner>) {
        let epoch = known.as_ref().map_or(0, |s| s.row.epoch);
        crate::metrics::get().followed_epoch.set(epoch as i64);
        *self.owner.borrow_mut() = known;
    }

    /// Forgets the known owner unless it is later than `epoch`, so that it is read from the store.
    /// A later owner stays known, since a box that the store refuses could not find it again.
    pub fn forget_owner(&self, epoch: u64) {
        if self.owner().is_none_or(|known| known.row.epoch <= epoch) {
            self.set_owner(None);
        }
    }

    /// Returns the row of the last owner in another box that served this one.
    pub fn last_followed(&self) -> Option<OwnerRow> {
        self.last_followed.borrow().clone()
    }

    /// Sets the row of the last owner in another box that served this one.
    pub fn set_last_followed(&self, row: &OwnerRow) {
        *self.last_followed.borrow_mut() = Some(row.clone());
    }

    /// Returns what this box confirms to the owner. The borrow must not be held across an await.
    pub fn confirmations(&self) -> RefMut<'_, Confirmations> {
        self.confirmations.borrow_mut()
    }

    /// Sets the progress of the known owner if it is of this epoch.
    pub fn set_progress(&self, epoch: u64, progress: OwnerProgress) {
        let mut owner = self.owner.borrow_mut();
        if let Some(known) = owner.as_mut().filter(|s| s.row.epoch == epoch) {
            known.progress = progress;
        }
    }

    /// Returns true when this incarnation of this box wrote the owner's row.
    pub fn is_own_row(&self, row: &OwnerRow) -> bool {
        row.is_from_box(&self.settings.name, self.settings.rpc)
            && row.incarnation == self.incarnation
    }

    /// Returns the epoch of the owner in this process, or `None` when this box is not the owner.
    pub fn local_epoch(&self) -> Option<u64> {
        self.local_epoch.get()
    }

    /// Sets the epoch of the owner in this process.
    pub fn set_local_epoch(&self, epoch: Option<u64>) {
        if self.local_epoch() != epoch {
            // An owner that ends in this process has served this box until now.
            self.record_owner_serving(true);
            self.record_owner_serving(epoch.is_some());
        }
        self.local_epoch.set(epoch);
    }

    /// Returns the load in progress, if any.
    pub fn loading(&self) -> Option<Loading> {
        self.loading.get()
    }

    /// Sets the load in progress.
    pub fn set_loading(&self, loading: Option<Loading>) {
        self.loading.set(loading);
    }

    /// Returns true while this box loads as the owner of this epoch and has not learned of a later
    /// owner from another box.
    pub fn is_loading(&self, epoch: u64) -> bool {
        self.loading().is_some_and(|l| l.epoch == epoch)
    }

    /// Records whether an owner serves this box now.
    pub fn record_owner_serving(&self, served: bool) {
        self.downtime.record(served, clock::now());
    }

    /// Returns the milliseconds since an owner last served this box; 0 while one does.
    pub fn unserved_ms(&self) -> Millis {
        self.downtime.duration(clock::now())
    }

    /// Returns when the store last confirmed the owner in this process.
    pub fn confirmed(&self) -> u64 {
        self.confirmed.get()
    }

    /// Sets when the store last confirmed the owner in this process.
    pub fn set_confirmed(&self, at: u64) {
        self.confirmed.set(at);
    }

    /// Records that the store has just answered a feed.
    pub fn record_store_answer(&self) {
        self.store_answered.set(clock::now());
    }

    /// Returns true while the store serves this box.
    pub fn store_serves(&self) -> bool {
        clock::now() < self.store_answered.get() + STORE_TIMEOUT
    }

    /// Returns true while callers may be sent to this box: it has a configuration, is not
    /// stopping, and knows an owner or has the store to find one.
    pub fn is_ready(&self) -> bool {
        let found = self.owner().is_some() || self.store_serves();
        self.queues().version() > 0 && found && !self.is_stopping()
    }

    /// Returns the owner's settings in force.
    pub fn owner_settings(&self) -> OwnerSettings {
        self.owner_settings.get()
    }

    /// Puts other settings of the owner in force, also for an owner in this process.
    pub fn set_owner_settings(&self, settings: OwnerSettings) {
        self.owner_settings.set(settings);
        self.send_to_owner(Message::Settings(settings));
    }

    /// Returns true once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        self.send_to_owner(Message::Release);
    }

    /// Returns the known addresses of other boxes. The borrow must not be held across an await.
    pub fn peer_addresses(&self) -> RefMut<'_, PeerAddresses> {
        self.peer_addresses.borrow_mut()
    }

    /// Returns the channel to another box, creating it at first use.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address);
        channel.or_insert_with(|| Channel::new(address)).clone()
    }
}
