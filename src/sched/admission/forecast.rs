//! Forecast of the end of a new job, for queues that submit more than the workers complete for
//! many seconds.
//!
//! Only work that waits already counts. Work that may still arrive ahead of the job does not: bursts
//! end, and jobs would be refused that are served after them.
//!
//! Work is declared work, in thousandths of cores times milliseconds, and a rate is work per
//! millisecond. Tasks with reserved processors and best-effort tasks drain at their own rates.

use std::collections::BTreeMap;

use crate::sched::job::Queue;
use crate::sched::shares::order::{
    RUN_TIME_TENTHS, WORTHLESS_FACTOR, allowed, relative_cost, task_work,
};
use crate::sched::spec::JobSpec;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Bands of the cost rank in a doubling of the cost. A band is narrower than the error of declared
/// run times, and 30 doublings of costs give few enough cells to send with each ping.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// Milliseconds for which any job may wait for its starts: the start rate varies by as much within a
/// second.
const MIN_START_WAIT: Millis = 500;

/// Work of tasks with reserved processors, and of best-effort tasks.
pub(in crate::sched) type Lanes = [f64; 2];

/// Returns the index in `Lanes` of a step's work.
pub(in crate::sched) fn lane(best_effort: bool) -> usize {
    usize::from(best_effort)
}

/// Returns the band of a relative cost.
pub(in crate::sched) fn band(cost: u64) -> u8 {
    ((cost.max(1) as f64).log2() * BANDS_PER_DOUBLING) as u8
}

/// Waiting work of one place in the order of placement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::sched) struct Cell {
    /// Priority of the queues.
    pub priority: u32,
    /// Band of the cost rank.
    pub band: u8,
    /// Waiting work of jobs that can still be on time.
    pub on_time: Lanes,
    /// Waiting work of jobs that will be late.
    pub late: Lanes,
    /// Waiting tasks of both.
    pub tasks: f64,
}

/// Inputs of the forecast.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::sched) struct Load {
    /// Rate at which work ends; 0 while unknown.
    pub rates: Lanes,
    /// Tasks that the owner starts per millisecond; 0 while its box keeps up with all.
    pub start_rate: f64,
    /// Work by place in the order.
    pub cells: Vec<Cell>,
    /// Declared work of a typical job, by queue.
    pub typical: BTreeMap<Name, f64>,
}

/// What decides whether a job can be served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::sched) struct Demand {
    /// Priority of the queue.
    pub priority: u32,
    /// Band of the cost rank.
    pub band: u8,
    /// Declared work.
    pub work: Lanes,
    /// Number of tasks.
    pub tasks: f64,
    /// Declared duration of the critical path.
    pub ideal: Millis,
    /// Milliseconds in which the job must end to be on time.
    pub allowed: Millis,
    /// Milliseconds since the first attempt to submit the job.
    pub waited: Millis,
}

/// When a job's turn comes and when it ends at the earliest, in milliseconds from now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::sched) struct Forecast {
    /// When the work ahead of the job has started.
    pub turn: Millis,
    /// The earliest end.
    pub end: Millis,
}

impl Cell {
    /// Returns true when the waiting work precedes a job of the same prospect. That of the same band
    /// is due earlier.
    fn precedes(&self, job: &Demand) -> bool {
        (self.priority, self.band) <= (job.priority, job.band)
    }
}

impl Load {
    /// Adds the work of a job that was accepted since the last computation, so that a crowd within
    /// one sweep is not accepted as a whole.
    pub fn add(&mut self, job: &Demand) {
        let place = (job.priority, job.band);
        let found = self
            .cells
            .binary_search_by_key(&place, |c| (c.priority, c.band));
        let index = found.unwrap_or_else(|index| {
            let cell = Cell {
                priority: job.priority,
                band: job.band,
                ..Cell::default()
            };
            self.cells.insert(index, cell);
            index
        });
        for (sum, work) in self.cells[index].on_time.iter_mut().zip(job.work) {
            *sum += work;
        }
        self.cells[index].tasks += job.tasks;
    }
}

impl Demand {
    /// Returns the demand of a job; `None` for one without a due time: a lasting or a scheduled
    /// one.
    pub fn of(
        spec: &JobSpec,
        queue: &Queue,
        ideal: Millis,
        waited: Millis,
        load: &Load,
    ) -> Option<Self> {
        if spec.schedule.is_some() || spec.steps.iter().any(|s| s.lasting) {
            return None;
        }
        let mut work = Lanes::default();
        let mut tasks = 0.0;
        for step in &spec.steps {
            let count = f64::from(step.count);
            work[lane(step.best_effort)] += count * task_work(step);
            tasks += count;
        }
        let total = work[0] + work[1];
        let typical = load.typical.get(&queue.name).copied().unwrap_or(total);
        Some(Self {
            priority: queue.priority,
            band: band(relative_cost(total, total, typical)),
            work,
            tasks,
            ideal,
            allowed: allowed(queue, ideal),
            waited,
        })
    }

    /// Returns the milliseconds from now after which the job is worthless.
    pub fn left(&self) -> Millis {
        let worthless = self.allowed.saturating_mul(WORTHLESS_FACTOR);
        worthless.saturating_sub(self.waited)
    }

    /// Returns the milliseconds from now after which the job can't be on time any more unless it
    /// has started.
    fn on_time_left(&self) -> Millis {
        let run_time = self.ideal.saturating_mul(RUN_TIME_TENTHS) / 10;
        self.allowed
            .saturating_sub(self.waited.saturating_add(run_time))
    }
}

/// Returns the forecast of a job; `None` while no rate is known for any part of it.
pub(in crate::sched) fn forecast(load: &Load, job: &Demand) -> Option<Forecast> {
    let used = (0..2).filter(|lane| job.work[*lane] > 0.0);
    let turns = used.filter_map(|lane| lane_forecast(load, job, lane));
    turns.max_by_key(|f| f.end)
}

/// A job that can't be served.
pub(in crate::sched) struct Overload {
    /// The job.
    pub job: Demand,
    /// When it would end.
    pub wait: Forecast,
    /// Rate at which work of its kind is done, per millisecond.
    pub rate: f64,
}

/// Returns the demand and forecast of a job if it would end worthless by the capacity of the workers,
/// or could not start in time by what the owner's box can process.
pub(in crate::sched) fn overload(
    load: &Load,
    spec: &JobSpec,
    queue: &Queue,
    waited: Millis,
) -> Option<Overload> {
    let job = Demand::of(spec, queue, spec.ideal_duration(), waited, load)?;
    if let Some(wait) = start_forecast(load, &job)
        && wait.turn > job.on_time_left().max(MIN_START_WAIT)
    {
        let work = job.work[0] + job.work[1];
        let rate = work / job.tasks * load.start_rate;
        return Some(Overload { job, wait, rate });
    }
    let wait = forecast(load, &job)?;
    let rate = load.rates.iter().sum();
    (wait.end > job.left()).then_some(Overload { job, wait, rate })
}

/// Returns the forecast of a job by the rate at which the owner starts tasks; `None` while its box
/// keeps up. All waiting tasks of the same and higher priority count: they are started in the order of
/// their prospects, so that one that waits for longer than others is overtaken until it is late.
pub(in crate::sched) fn start_forecast(load: &Load, job: &Demand) -> Option<Forecast> {
    if load.start_rate <= 0.0 {
        return None;
    }
    let cells = load.cells.iter();
    let ahead = cells.filter(|cell| cell.priority <= job.priority);
    let turn = ahead.map(|cell| cell.tasks).sum::<f64>() / load.start_rate;
    let own = (job.tasks / load.start_rate).max(job.ideal as f64);
    Some(Forecast {
        turn: turn as Millis,
        end: (turn + own) as Millis,
    })
}

/// Returns the forecast of the work of one lane.
fn lane_forecast(load: &Load, job: &Demand, lane: usize) -> Option<Forecast> {
    let rate = load.rates[lane];
    if !rate.is_finite() || rate <= 0.0 {
        return None;
    }
    let turn_for = |ahead: &dyn Fn(&Cell) -> f64| {
        let waiting: f64 = load.cells.iter().map(ahead).sum();
        waiting / rate
    };
    let turn_on_time = turn_for(&|cell| match cell.priority < job.priority {
        true => cell.on_time[lane] + cell.late[lane],
        false if cell.precedes(job) => cell.on_time[lane],
        false => 0.0,
    });
    let turn = match turn_on_time <= job.on_time_left() as f64 {
        true => turn_on_time,
        // Once the job is late, all jobs of its priority that can be on time precede it.
        false => turn_for(&|cell| match cell.precedes(job) {
            true => cell.on_time[lane] + cell.late[lane],
            false if cell.priority == job.priority => cell.on_time[lane],
            false => 0.0,
        }),
    };
    // A job can use all capacity at once at best.
    let own = (job.work[lane] / rate).max(job.ideal as f64);
    Some(Forecast {
        turn: turn as Millis,
        end: (turn + own) as Millis,
    })
}
