//! A task that was placed on a worker: its stage, resources and speed.

use crate::sched::breaches::Breach;
use crate::sched::incarnation::BootTime;
use crate::sched::learned::interference::ImageNumber;
use crate::sched::placing::expected_load::Outlook;
use crate::sched::sequence::Sequence;
use crate::sched::spec::Resources;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Stage of a placed task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sched) enum Stage {
    /// An earlier owner placed the task and may have started it. The next report of the worker
    /// shows whether it did.
    Inherited,
    /// The store has not confirmed the placement; no start was sent.
    Recording,
    /// The start was sent, and neither an answer nor a report has confirmed the run yet.
    Starting,
    /// The worker confirmed the run in this event.
    Running(Sequence),
    /// A stop was answered in this event; the report of a later poll says how the run ended.
    Stopped(Sequence),
    /// A stop of a running task was sent at this time.
    Stopping(Millis),
}

/// A task that was placed on a worker.
#[derive(Clone, Debug)]
pub(in crate::sched) struct Placement {
    /// Number of the run.
    pub run: u32,
    /// Stage of the run.
    pub stage: Stage,
    /// Fence of the start; 0 before it was sent, and for a start of an earlier owner.
    pub fence: u64,
    /// Boot time of the worker that the task was given to, as stored.
    pub boot: BootTime,
    /// Resources reserved for the task.
    pub resources: Resources,
    /// Thousandths of cores that the task can use without a reservation.
    pub unreserved_cpu: u64,
    /// True when the task has a latency target.
    pub serving: bool,
    /// True when no processors are reserved for the task.
    pub best_effort: bool,
    /// True when copies of the task may run at the same time.
    pub speculative: bool,
    /// True when the task runs until its job is cancelled.
    pub lasting: bool,
    /// Image of the task; tasks of one image behave alike.
    pub image: Name,
    /// Number of the image in the interference model.
    pub image_number: ImageNumber,
    /// Tail latency that a serving task must stay under, in milliseconds; 0 for other tasks.
    pub latency_target: Millis,
    /// Thousandths of cores at full speed.
    pub cpu: u64,
    /// Speed last ordered, in percent.
    pub speed: u32,
    /// True while every order on the speed was answered and no report contradicts the speed.
    pub speed_confirmed: bool,
    /// When a speed was last ordered; when the run was placed if none was.
    pub throttled_at: Millis,
    /// True while a change of the speed has no answer.
    pub throttle_pending: bool,
    /// When the task was placed.
    pub placed_at: Millis,
    /// When the worker first reported the run.
    pub confirmed_at: Option<Millis>,
    /// True once a lasting task has reported that it is ready.
    pub reported_ready: bool,
    /// Last measured load of a serving task.
    pub gauge: Option<Gauge>,
    /// Thousandths of cores that a best-effort task used by its last report.
    pub cpu_used: Option<u64>,
    /// True while a crash of the worker would be attributed to this task alone.
    pub suspect: bool,
    /// True when the time from its confirmation to its end is that of the whole task.
    pub measurable: bool,
    /// True once its progress has shown that its worker is slow.
    pub judged: bool,
}

impl Placement {
    /// Records that the worker reported the run in the event `at`.
    pub fn confirm(&mut self, at: Sequence, now: Millis) {
        self.confirmed_at.get_or_insert(now);
        if matches!(self.stage, Stage::Inherited | Stage::Starting) {
            self.stage = Stage::Running(at);
        }
    }

    /// Returns true once the worker has confirmed the run.
    pub fn has_started(&self) -> bool {
        use Stage::{Running, Stopped, Stopping};
        matches!(self.stage, Running(_) | Stopping(_) | Stopped(_))
    }

    /// Returns true if the start was sent and has not been confirmed.
    pub fn is_unconfirmed(&self) -> bool {
        use Stage::{Starting, Stopped, Stopping};
        let sent = matches!(self.stage, Starting | Stopping(_) | Stopped(_));
        sent && self.confirmed_at.is_none()
    }

    /// Returns true if the start was sent with a lower fence and has not been confirmed. Unless the
    /// answer to a poll with this fence lists the run, its worker refuses the start.
    pub fn is_fenced_by(&self, fence: u64) -> bool {
        self.is_unconfirmed() && self.fence < fence
    }

    /// Returns true while the run is confirmed and no stop was sent.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }
}

/// Load of a serving task by its last report.
#[derive(Clone, Debug)]
pub(in crate::sched) struct Gauge {
    /// Busy share of the task's server, from 0 to 1.
    pub busy: f64,
    /// Tail latency, in milliseconds.
    pub tail_latency: Millis,
    /// The ongoing breach of the latency target.
    pub breach: Option<Breach>,
    /// Estimated part of `busy` that is the task's own load, without interference.
    pub own_load: f64,
    /// Level and trend of that part; `None` unless placement follows the expected load.
    pub outlook: Option<Outlook>,
}

impl Gauge {
    /// Returns the load that best-effort tasks placed now have to leave free, if placement
    /// follows the expected load.
    pub fn expected_load(&self) -> Option<f64> {
        self.outlook.map(Outlook::while_placed)
    }

    /// Returns the own load by which best-effort tasks beside the task are slowed.
    pub fn throttling_load(&self) -> f64 {
        self.outlook.map_or(self.own_load, Outlook::while_throttled)
    }
}
