//! A task that was given to a worker, and how far it is there.

use super::breaches::Breach;
use super::incarnation::BootTime;
use super::interference::ImageNumber;
use super::spec::Resources;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// How far a placed task is on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The owner before placed it, and may have started it or not: any report
    /// of the worker tells.
    Inherited,
    /// Its placement is not known to be in the store; nothing was sent.
    Recording,
    /// The start was sent and has no answer yet.
    Starting,
    /// The worker confirmed it at this time.
    Running(Millis),
    /// It may be running or be started late: a stop is needed to know.
    Doubt,
    /// A stop was answered at this time; a later report tells how it ended.
    Stopped(Millis),
    /// A stop of a running task was sent at this time.
    Stopping(Millis),
}

/// A task that was given to a worker.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    /// Number of the run.
    pub run: u32,
    /// How far it is.
    pub stage: Stage,
    /// Start of the worker that it was given to, by the store.
    pub boot: BootTime,
    /// Room that it holds.
    pub resources: Resources,
    /// Processor share that it would like beyond what it holds.
    pub unreserved_cpu: u64,
    /// True when it serves users under a latency target.
    pub serving: bool,
    /// True when it takes what others leave.
    pub best_effort: bool,
    /// True when it runs until its job is cancelled.
    pub lasting: bool,
    /// Image that it runs; tasks of one image behave alike.
    pub image: Name,
    /// Number of that image.
    pub image_number: ImageNumber,
    /// Latency that a serving task must stay under, in milliseconds.
    pub latency_target: Millis,
    /// Processor share at full speed.
    pub cpu: u64,
    /// Speed last ordered, in percent.
    pub speed: u32,
    /// True while every order on the speed was answered and no report contradicts the speed.
    pub speed_confirmed: bool,
    /// When a speed was last ordered; when the run was placed if none was.
    pub throttled_at: Millis,
    /// True while a change of the speed has no answer.
    pub throttle_pending: bool,
    /// When it was placed.
    pub placed_at: Millis,
    /// When its worker first told that it runs.
    pub confirmed_at: Option<Millis>,
    /// True once a lasting task is at work.
    pub at_work: bool,
    /// Last gauge of a serving task.
    pub gauge: Option<Gauge>,
    /// Processor share in use as reported last; of a filler.
    pub cpu_used: Option<u64>,
    /// True while a crash of the worker would be laid to it alone.
    pub suspect: bool,
}

impl Placement {
    /// Takes in that its worker tells that it runs.
    pub fn confirm(&mut self, now: Millis) {
        self.confirmed_at.get_or_insert(now);
        if matches!(self.stage, Stage::Inherited | Stage::Starting) {
            self.stage = Stage::Running(now);
        }
    }

    /// Returns true once its worker has confirmed it.
    pub fn has_started(&self) -> bool {
        use Stage::{Running, Stopped, Stopping};
        matches!(self.stage, Running(_) | Stopping(_) | Stopped(_))
    }

    /// Returns true while its worker has confirmed it and no stop was sent.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }
}

/// How busy a serving task was.
#[derive(Clone, Debug)]
pub(super) struct Gauge {
    /// Busy share of its server, from 0 to 1.
    pub busy: f64,
    /// Its tail, in milliseconds.
    pub tail_latency: Millis,
    /// The ongoing breach of the latency target.
    pub breach: Option<Breach>,
    /// The part of it that is its own load, as estimated.
    pub own_load: f64,
}
