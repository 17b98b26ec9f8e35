//! Randomised runs with faults; one run of a task at a time is asserted.

use super::world::{Faults, World, job, step};
use crate::sched::job::JobState;
use crate::sched::journal::{HISTORY_TABLE, JOB_TABLE, SPEC_TABLE};
use crate::sched::message::{Answer, JobRequest, RunOutcome};
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::utils::Name;
use crate::utils::random::Random;

/// Milliseconds between two random changes.
const BEAT: u64 = 400;
/// Random changes in one course.
const CHANGES: u64 = 40;
/// Milliseconds after the faults in which everything comes to its end.
const CALM: u64 = 40_000;
/// A task that crashes its workers, and the most that may crash under it: a start that is
/// the third after the third crash is one too many.
const FATAL: &str = "job-1.0.0.0";
const CRASHES: usize = 5;
/// A course in which news of a worker's room came while the box was suspended: told out of
/// their order, they gave a worker 4,000 where it had 2,500.
const NEWS_IN_ORDER: u64 = 24;
/// Jobs in one course.
const JOBS: u64 = 6;
/// Milliseconds for which the state of an ended job is told, and those after it was
/// handed in for which it is certainly told.
const REMEMBER: u64 = 10_000;
const TOLD: u64 = 9_000;

/// A job that was handed in.
struct Handed {
    id: String,
    spec: JobSpec,
    at: u64,
    ticket: u64,
    /// What it was shown to be once it was over.
    over: Option<JobState>,
}

fn hand_in(world: &mut World, id: String, spec: JobSpec) -> Handed {
    let ticket = world.submit(&id, spec.clone());
    Handed {
        id,
        spec,
        at: world.now,
        ticket,
        over: None,
    }
}

/// A look at a job, whose answer may come later.
struct Look {
    ticket: u64,
    id: String,
    at: u64,
    /// True when the job had been accepted by then.
    accepted: bool,
    /// What it had been shown to be by then, if it was over.
    over: Option<JobState>,
}

impl Look {
    /// Returns what is wrong with its answer; an owner that is replaced gives none.
    fn wrong(&self, world: &World) -> Option<String> {
        let answer = world.answers.get(&self.ticket)?;
        let wrong = match answer {
            Answer::Unknown => self.accepted,
            Answer::State(shown) => self.over.is_some_and(|over| over != *shown),
            _ => false,
        };
        let Self { id, at, over, .. } = self;
        wrong.then(|| format!("{id} at {at} is {answer:?}, was {over:?}"))
    }
}

/// Asks for a job, hands it in again or cancels it.
fn visit(world: &mut World, random: &mut Random, job: &mut Handed) -> Option<Look> {
    if world.now > job.at + TOLD {
        return None;
    }
    match random.below(6) {
        0 => drop(world.ask(JobRequest::Cancel(job.id.as_str().into()))),
        1 | 2 => drop(world.submit(&job.id, job.spec.clone())),
        _ => {}
    }
    let look = Look {
        accepted: world.answers.get(&job.ticket) == Some(&Answer::Accepted),
        ticket: world.ask(JobRequest::Show(job.id.as_str().into())),
        id: job.id.clone(),
        at: world.now,
        over: job.over,
    };
    let shown = world.answers.get(&look.ticket);
    if let Some(Answer::State(
        over @ (JobState::Completed | JobState::Failed | JobState::Cancelled),
    )) = shown
    {
        job.over = Some(*over);
    }
    Some(look)
}

fn spec(random: &mut Random) -> JobSpec {
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1 + random.below(3) as u32, 1_000)
    };
    job(vec![step(1 + random.below(4) as u32, 1_000), second])
}

/// Returns a worker by its place among those that are there.
fn worker(world: &World, random: &mut Random) -> Option<Name> {
    let place = random.below(4) as usize;
    world.workers.keys().nth(place).cloned()
}

fn change(world: &mut World, random: &mut Random) {
    let worker = worker(world, random);
    match random.below(8) {
        0 | 1 => {
            if let Some(worker) = worker.and_then(|id| world.workers.get_mut(&id)) {
                worker.cut = !worker.cut;
            }
        }
        2 => world.store_down = !world.store_down,
        3 => world.take_over(14_500),
        4 => world.list(),
        _ => {
            world.faults = Faults {
                lost: 0.2 * random.unit(),
                late: 0.2 * random.unit(),
                commit: 0.3 * random.unit(),
                ..Faults::default()
            }
        }
    }
}

/// Has a worker start again under its id; the directory tells so, or not yet.
fn change_lives(world: &mut World, random: &mut Random) {
    let worker = worker(world, random);
    match (random.below(3), worker) {
        (0, Some(id)) => world.restart(&id),
        (1, Some(id)) => {
            world.restart(&id);
            world.list();
        }
        _ => {}
    }
}

/// Crashes a worker, gives it another room or suspends the box.
fn change_machines(world: &mut World, random: &mut Random) {
    let worker = worker(world, random);
    match (random.below(4), worker) {
        (0, Some(id)) => world.crash(&id),
        (1, Some(id)) => {
            let capacity = world.workers[&id].listing.capacity;
            let cpu = [1_000, 2_500, 4_000][random.below(3) as usize];
            world.resize(&id, Resources { cpu, ..capacity });
        }
        (2, _) => world.suspend(100 + random.below(5_000)),
        _ => {}
    }
}

/// Gives all workers their whole room.
fn restore_rooms(world: &mut World) {
    let ids: Vec<Name> = world.workers.keys().cloned().collect();
    for id in ids {
        let capacity = world.workers[&id].listing.capacity;
        world.resize(
            &id,
            Resources {
                cpu: 4_000,
                ..capacity
            },
        );
    }
}

/// Returns what is wrong with how workers were treated.
fn machines_wrong(world: &World) -> Vec<String> {
    let mut wrong = world.excesses.clone();
    let crashes = world.crashes.under(FATAL);
    if crashes > CRASHES {
        wrong.push(format!("{crashes} workers crashed under {FATAL}"));
    }
    wrong
}

/// What a course has beside its other changes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Beside {
    /// Nothing.
    Nothing,
    /// Crashes, rooms that change, a box that is suspended, and a task that crashes its
    /// workers.
    Machines,
    /// Workers that start again under their ids.
    Restarts,
}

/// Runs jobs through changes that a seed draws.
fn course(seed: u64, beside: Beside) -> bool {
    let machines = beside == Beside::Machines;
    let mut random = Random::new(seed);
    let mut world = World::new(4);
    world.seed(seed ^ 1);
    world.bounds.retention = REMEMBER;
    world.owner.change_settings(world.bounds);
    if machines {
        world.crashes.by_task.insert(FATAL.into(), 10);
    }
    let (mut jobs, mut looks) = (Vec::new(), Vec::new());
    world.script = |task, run| {
        let failed = (task.len() as u32 + run).is_multiple_of(5);
        (
            600,
            if failed {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            },
        )
    };
    for number in 0..JOBS {
        let spec = spec(&mut random);
        jobs.push(hand_in(&mut world, format!("job-{number}"), spec));
        world.run(200);
    }
    for number in 0..CHANGES {
        change(&mut world, &mut random);
        match beside {
            Beside::Nothing => {}
            Beside::Machines => change_machines(&mut world, &mut random),
            Beside::Restarts => change_lives(&mut world, &mut random),
        }
        if number % 3 == 0 {
            let spec = spec(&mut random);
            jobs.push(hand_in(&mut world, format!("late-{number}"), spec));
        }
        let place = random.below(jobs.len() as u64) as usize;
        looks.extend(visit(&mut world, &mut random, &mut jobs[place]));
        world.run(BEAT);
    }
    world.faults = Faults::default();
    world.store_down = false;
    world.workers.values_mut().for_each(|w| w.cut = false);
    if machines {
        world.run(CALM / 4);
        restore_rooms(&mut world);
    }
    world.list();
    world.run(CALM);
    let mut wrong: Vec<String> = looks.iter().filter_map(|l| l.wrong(&world)).collect();
    wrong.append(&mut world.doubles);
    wrong.extend(machines_wrong(&world));
    wrong.extend(world.running().into_iter().map(|r| format!("{r:?} runs")));
    for table in [JOB_TABLE, SPEC_TABLE, HISTORY_TABLE] {
        let left = world.ids(table).into_iter();
        wrong.extend(left.map(|id| format!("{id} is left in {table}")));
    }
    if !wrong.is_empty() {
        eprintln!("seed {seed}: {wrong:?}");
    }
    wrong.is_empty()
}

/// Returns the seeds to run: `FIRST..LAST` of `WILLOWPOINT_SEEDS`, or a few
/// fixed ones, so that CI has the same verdict each time.
pub(super) fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("WILLOWPOINT_SEEDS").unwrap_or_default();
    let ends = text.split_once("..");
    let ends = ends.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    ends.unwrap_or(0..12)
}

#[test]
fn no_task_runs_twice_at_a_time_and_all_end_and_are_forgotten() {
    let failed: Vec<u64> = seeds()
        .filter(|seed| !course(*seed, Beside::Nothing))
        .collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}

#[test]
fn the_same_holds_where_workers_crash_and_shrink_and_boxes_are_suspended() {
    let seeds = seeds().chain([NEWS_IN_ORDER]);
    let failed: Vec<u64> = seeds
        .filter(|seed| !course(*seed, Beside::Machines))
        .collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}

#[test]
fn the_same_holds_where_workers_start_again_under_their_ids() {
    let failed: Vec<u64> = seeds().filter(|s| !course(*s, Beside::Restarts)).collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}
