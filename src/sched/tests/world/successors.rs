//! Simulates the boxes that ping the owner and replace it when it seems to have failed.

use std::net::SocketAddr;

use super::World;
use crate::sched::failover::{
    Assessment, OwnerProgress, Pong, assess_owner, should_replace, takeover_delay,
    unlisted_box_delay,
};
use crate::sched::fences::next_epoch;
use crate::sched::journal::{JOB_TABLE, OwnerRow};
use crate::sched::predecessors::{PredecessorState, inherited_followers, inherited_span};
use crate::utils::clock::Millis;

/// Milliseconds between two pings of a box.
const PING_INTERVAL: Millis = 200;
/// Milliseconds after which a ping without an answer has failed.
const PING_TIMEOUT: Millis = 350;
/// Milliseconds that a read of the owner's row takes.
const READ_TIME: Millis = 5;
/// Upper bound of the milliseconds by which the takeovers of boxes differ.
const STAGGER: Millis = 120;
/// Milliseconds in which a loading owner reads one more page.
const PAGE_TIME: Millis = 50;
/// Milliseconds after which a killed box has restarted.
const RESTART_TIME: Millis = 1_500;
/// Thousandths of cores of each box.
const CORES: u32 = 500;
/// Port of the first box.
const FIRST_PORT: u16 = 2_000;

/// A box that follows the owner.
struct FollowingBox {
    address: SocketAddr,
    stagger: Millis,
    /// When it pings the owner next.
    next_ping: Millis,
    /// When it sent the ping that is not answered.
    pinged: Option<Millis>,
    /// The answer to that ping.
    pong: Option<Pong>,
    /// Reading of the owner's clock in the last answer.
    reading: Millis,
    progress: OwnerProgress,
    /// When it replaces the owner unless the version of the row has changed by then.
    claim: Option<(Millis, u64)>,
}

/// A box that has replaced the owner and loads the jobs.
struct Load {
    row: OwnerRow,
    began: Millis,
    ready_at: Millis,
    /// When the leases of earlier owners have ended.
    inherited_end: Millis,
}

/// The boxes that follow the owner.
#[derive(Default)]
pub struct Successors {
    boxes: Vec<FollowingBox>,
    load: Option<Load>,
    /// Epoch of the owner that learns at this time that no earlier one acts.
    notice: Option<(u64, Millis)>,
    /// True from the end of the owner's process until another box replaces it.
    killed: bool,
    /// When owners were replaced.
    pub takeovers: Vec<Millis>,
}

impl Successors {
    /// Returns true while no owner serves.
    pub(super) fn is_vacant(&self) -> bool {
        self.killed || self.load.is_some()
    }

    /// Returns the answer of the box that loads, or `None` if no box does.
    fn loading_pong(&self, now: Millis) -> Option<Pong> {
        self.load.as_ref().map(|load| Pong::Loads {
            epoch: load.row.epoch,
            pages: (now - load.began) / PAGE_TIME,
            cores: CORES,
        })
    }
}

impl World {
    /// Adds boxes that follow the owner.
    pub fn add_successors(&mut self, count: u16) {
        for number in 0..count {
            let follower = FollowingBox {
                address: ([127, 0, 0, 1], FIRST_PORT + number).into(),
                stagger: self.random.below(STAGGER),
                next_ping: self.now + self.random.below(PING_INTERVAL),
                pinged: None,
                pong: None,
                reading: 0,
                progress: OwnerProgress {
                    at: self.now,
                    pages: None,
                },
                claim: None,
            };
            self.successors.boxes.push(follower);
        }
    }

    /// Has the owner release the cell and end.
    pub fn stop_owner(&mut self) {
        let now = self.clock();
        if !self.successors.is_vacant() {
            self.owner.release(now);
        }
    }

    /// Ends the process of the owner, or of the box that loads.
    pub fn kill_owner(&mut self) {
        self.successors.killed = true;
        self.successors.load = None;
        if let Some(processor) = &mut self.processor {
            processor.clear();
        }
    }

    /// Passes the owner's answer to a ping on, and the clock reading in the ping to the owner.
    pub(super) fn answer_ping(&mut self, pinging: usize, confirmed: Millis) {
        let now = self.clock();
        let follower = &mut self.successors.boxes[pinging];
        self.owner
            .record_confirmation(follower.address, follower.reading, now);
        follower.reading = self.now;
        follower.pong = Some(Pong::Serves {
            epoch: self.epoch,
            confirmed: self.now.saturating_sub(confirmed),
        });
    }

    /// Has each following box do what is due.
    pub(super) fn run_successors(&mut self) {
        self.notify_of_predecessor();
        if self
            .successors
            .load
            .as_ref()
            .is_some_and(|l| l.ready_at <= self.now)
        {
            self.begin_loaded_owner();
        }
        for number in 0..self.successors.boxes.len() {
            self.run_successor(number);
        }
    }

    /// Tells the owner that no earlier one acts, once that is known.
    fn notify_of_predecessor(&mut self) {
        let (epoch, now) = (self.epoch, self.clock());
        let is_due = |(of, at): &mut (u64, Millis)| *of == epoch && *at <= now.steady;
        if self.successors.notice.take_if(is_due).is_some() {
            self.owner.record_predecessor_end(now);
        }
    }

    fn run_successor(&mut self, number: usize) {
        let now = self.now;
        let vacant = self.successors.is_vacant();
        let loading = self.successors.loading_pong(now);
        let follower = &mut self.successors.boxes[number];
        if let Some((at, version)) = follower.claim {
            if now < at {
                return;
            }
            follower.claim = None;
            follower.next_ping = now + PING_INTERVAL;
            if version == self.owner_version {
                self.replace_by(number);
            }
            return;
        }
        if let Some(sent) = follower.pinged {
            let pong = follower.pong.take();
            if pong.is_some() || now >= sent + PING_TIMEOUT {
                follower.pinged = None;
                follower.next_ping = now + PING_INTERVAL;
                self.assess(number, pong);
            }
            return;
        }
        if now < follower.next_ping {
            return;
        }
        follower.pinged = Some(now);
        match (vacant, &mut self.processor) {
            (true, _) => {
                follower.pong = loading;
                // A killed process refuses the connection.
                if loading.is_none() {
                    follower.pinged = Some(now.saturating_sub(PING_TIMEOUT));
                }
            }
            (false, Some(processor)) => processor.pings.push(number),
            (false, None) => {}
        }
    }

    /// Decides by the answer to a ping whether the box replaces the owner.
    fn assess(&mut self, number: usize, pong: Option<Pong>) {
        let now = self.now;
        let row = self.stored_owner_row();
        let version = self.owner_version;
        let follower = &mut self.successors.boxes[number];
        match assess_owner(CORES, row.epoch, follower.progress, pong, now) {
            Assessment::Follow(progress) | Assessment::CheckRow(progress) => {
                follower.progress = progress;
            }
            Assessment::Replace(cause) if should_replace(cause, READ_TIME) => {
                let stagger = follower.stagger + unlisted_box_delay(follower.address, &row);
                let delay = takeover_delay(CORES, &row, row.released, stagger);
                follower.claim = Some((now + READ_TIME + delay, version));
            }
            Assessment::Replace(_) => {}
        }
    }

    /// Makes a box the owner, which then loads the jobs. Its predecessor becomes a follower.
    fn replace_by(&mut self, number: usize) {
        let before = self.stored_owner_row();
        let address = self.successors.boxes[number].address;
        let mut row = OwnerRow {
            name: format!("box-{}", address.port()).into(),
            address,
            settled: false,
            cores: CORES,
            ..super::owner_row(next_epoch(before.epoch))
        };
        let state = PredecessorState::from_row(Some(&before), &row);
        row.settled = state.all_ended();
        row.followers = inherited_followers(Some(&before), address);
        let span = inherited_span(Some(&before), &row, &self.settings);
        row.inherited = Some(span);
        self.version += 1;
        self.owner_version = self.version;
        self.put_owner(&row);
        let (now, jobs) = (self.now, self.ids(JOB_TABLE).len());
        let processor = self.processor.as_mut().expect("a processor");
        let ready_at = READ_TIME + processor.begin_load(jobs, now);
        for follower in &mut self.successors.boxes {
            follower.pinged = None;
            follower.reading = 0;
            follower.progress = OwnerProgress {
                at: now,
                pages: None,
            };
        }
        self.successors.boxes[number].address = before.address;
        let restart = if self.successors.killed {
            RESTART_TIME
        } else {
            0
        };
        let last = state == PredecessorState::MayServe;
        self.successors.notice = last.then_some((row.epoch, now + restart));
        self.successors.killed = false;
        self.successors.takeovers.push(now);
        self.successors.load = Some(Load {
            row,
            began: now,
            ready_at,
            inherited_end: now + span,
        });
    }

    fn begin_loaded_owner(&mut self) {
        if let Some(load) = self.successors.load.take() {
            let inherited = load.inherited_end.saturating_sub(self.now);
            self.begin_owner(load.row, inherited);
        }
    }
}
