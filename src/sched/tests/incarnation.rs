//! Workers that start again, under their id or another one.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::world::{FakeWorker, GIVEN_UP, World, job, lasting, listing, step};
use crate::sched::job::JobState;
use crate::sched::message::{DirectoryEntry, Event, Reply, Report, RunOutcome};
use crate::sched::spec::{Resources, StepSpec};
use crate::sched::worker::Listing;

/// Tasks that had ended well ran again, and a task was started once more after all the
/// failed runs that it had. A third of the workers had started again under their ids,
/// without a word to the store in between. Each of them counted its ends from 1 again, and
/// the owner took them for ends that it knew, up to the number that it had taken in of the
/// life before, and had them forgotten: the run was found missing from the next report and
/// its task was started once more. The lines of one task, as they were:
///
/// ```text
/// event=end-passed-over how=Done worker=w0 number=1 taken_in=4
/// event=missing worker=w0 age_ms=1001
/// event=stop worker=w0
/// event=start run=2 worker=w0
/// ```
#[test]
fn an_end_of_a_worker_that_started_again_under_its_id_is_taken_in() {
    let mut world = World::new(1);
    world.submit("before", job(vec![step(4, 1_000)]));
    world.run(3_000);
    assert_eq!(world.shown("before"), Some(JobState::Completed));
    world.restart("w0");
    world.list();
    world.run(500);
    world.submit("after", job(vec![step(4, 1_000)]));
    world.run(6_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
    assert_eq!(world.shown("after"), Some(JobState::Completed));
    let starts = world.starts.iter().filter(|s| s.0.starts_with("after"));
    assert_eq!(starts.count(), 4);
}

/// Tasks were started elsewhere while they ran. Their worker had come back under another
/// id, and ran them, when an entry was told that the life before it had written: it was
/// taken for a third life at the address, and the one there was said to be over.
///
/// ```text
/// event=new worker=w0
/// event=over worker=w1 reason=another-life
/// event=orphaned run=1 worker=w1 age_ms=0
/// event=start run=2 worker=w2
/// ```
#[test]
fn an_entry_of_a_life_that_is_over_ends_no_other() {
    for boot in [None, Some(5_000)] {
        let mut world = World::new(0);
        world.add_worker("w0", 100);
        let before = world.workers["w0"].listing.clone();
        world.list();
        world.run(500);
        world.workers.remove("w0");
        let next = Listing {
            boot,
            ..listing("w1", 100)
        };
        world.workers.insert("w1".into(), FakeWorker::new(next));
        world.add_worker("w2", 102);
        world.list();
        world.run(500);
        world.submit("j", job(vec![step(8, 1_000)]));
        world.run(100);
        assert_eq!(world.running().len(), 8);
        let entry = DirectoryEntry::Listed(before);
        world.step(Event::DirectoryChanged(vec![("w0".into(), entry)]));
        world.run(5_000);
        assert!(world.doubles.is_empty(), "{:?}", world.doubles);
        assert_eq!(world.starts.len(), 8);
        assert_eq!(world.shown("j"), Some(JobState::Completed));
    }
}

/// Hands in a job of so many tasks of 300 ms, and asserts that each runs just once.
fn assert_runs_once(world: &mut World, id: &str, count: u32) {
    world.script = |task, _| match task.starts_with("lasting") {
        true => (600_000, RunOutcome::Done),
        false => (300, RunOutcome::Done),
    };
    world.submit(id, job(vec![step(count, 1_000)]));
    world.run(8_000);
    assert_eq!(world.shown(id), Some(JobState::Completed), "{id}");
    let starts = world.starts.iter().filter(|s| s.0.starts_with(id));
    assert_eq!(starts.count(), count as usize, "{id}");
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_worker_that_starts_again_twice_in_a_row_is_used() {
    let mut world = World::new(1);
    assert_runs_once(&mut world, "before", 4);
    world.restart("w0");
    world.run(1);
    world.restart("w0");
    world.list();
    assert_runs_once(&mut world, "after", 4);
}

#[test]
fn a_worker_that_starts_again_at_another_address_is_used() {
    let mut world = World::new(1);
    assert_runs_once(&mut world, "before", 4);
    world.restart_as("w0", |l| l.address.set_port(7_000));
    world.list();
    assert_runs_once(&mut world, "after", 4);
}

/// Its room is that of the life that tells it; the entry of before told more.
#[test]
fn a_worker_that_starts_again_with_less_room_gets_what_fits() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.submit("before", job(vec![step(8, 1_000)]));
    world.run(100);
    world.restart_as("w0", |l| l.capacity.cpu = 1_000);
    world.run(2_000);
    assert!(world.running().is_empty(), "its room is not known yet");
    world.list();
    world.run(8_000);
    assert!(world.excesses.is_empty(), "{:?}", world.excesses);
    assert_eq!(world.shown("before"), Some(JobState::Completed));
}

#[test]
fn a_worker_that_was_to_leave_and_starts_again_is_used() {
    let mut world = World::new(1);
    let worker = world.workers.get_mut("w0").expect("worker");
    (worker.listing.leaving, worker.listing.min_stay) = (true, 4_000);
    world.list();
    world.run(500);
    world.restart_as("w0", |l| l.leaving = false);
    world.list();
    assert_runs_once(&mut world, "after", 4);
}

/// Has another worker come, and the first one keep too little room for a task of a core.
fn leave_room_elsewhere(world: &mut World) {
    world.add_worker("w1", 7_100);
    world.list();
    let small = Resources {
        cpu: 100,
        ..world.workers["w0"].listing.capacity
    };
    world.resize("w0", small);
}

/// A start lies with the network for six seconds. Its worker is asked to stop that run and says
/// that it will not take it any more, so the task runs elsewhere; then the worker starts again
/// under its id, knows of no stop, and carries the old start out. Seen in a soak of processes:
/// `run=1 event=start worker=i-0`, `event=stop` answered 2.5 s later, `run=2 event=start
/// worker=i-1` and its end as done, then `run=1 event=unknown-end how=Done worker=i-0`.
#[test]
fn a_life_that_begins_after_a_stop_refuses_the_late_start_as_well() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.run(500);
    world.workers.get_mut("w0").expect("worker").cut = true;
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(200);
    let (_, late) = world.ordered["w0"].clone();
    assert_eq!((&*late.task, late.run), ("j1.0.0.0", 1));
    leave_room_elsewhere(&mut world);
    world.workers.get_mut("w0").expect("worker").cut = false;
    world.run(3_000);
    assert_eq!(
        world.shown("j1"),
        Some(JobState::Completed),
        "on the other worker"
    );
    world.restart("w0");
    world.list();
    world.run(1_000);
    world.carry_out(&late);
    world.run(2_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

/// A start and the stop after it lie with the network; the lease of the silent worker ends and
/// the task runs elsewhere. The worker answers again, gets a new lease, and then the start
/// arrives.
#[test]
fn a_worker_that_was_silent_past_its_lease_refuses_the_late_start() {
    let mut world = World::new(1);
    world.script = |task, _| match task.starts_with("j1") {
        true => (300, RunOutcome::Done),
        false => (1_000_000, RunOutcome::Done),
    };
    world.run(500);
    world.workers.get_mut("w0").expect("worker").cut = true;
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(200);
    let (_, late) = world.ordered["w0"].clone();
    leave_room_elsewhere(&mut world);
    world.run(6_000);
    assert_eq!(world.shown("j1"), Some(JobState::Completed), "elsewhere");
    world.workers.get_mut("w0").expect("worker").cut = false;
    // Too many for the other worker, so that this one has a lease again.
    world.submit("j2", job(vec![lasting(41, 100)]));
    world.run(1_500);
    world.carry_out(&late);
    world.run(2_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

/// A clock that was set back has the later life tell an earlier start. Nothing of the life
/// before may be left before it is believed.
#[test]
fn a_worker_that_tells_an_earlier_start_is_used_in_the_end() {
    let mut world = World::new(2);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.restart("w0");
    world.list();
    world.run(500);
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    world.run(500);
    world.restart_as("w0", |l| l.boot = Some(1));
    world.list();
    for _ in 0..150 {
        world.run(100);
        assert!(world.doubles.is_empty(), "{:?}", world.doubles);
    }
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w1").expect("worker").cut = true;
    world.run(8_000);
    assert!(world.running().iter().any(|(_, w)| &**w == "w0"));
}

#[test]
fn lasting_tasks_are_back_at_once_after_a_restart() {
    let mut world = World::new(3);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(9, 1_000)]));
    world.run(1_000);
    for id in ["w0", "w1"] {
        world.restart(id);
    }
    world.list();
    world.run(500);
    assert_eq!(world.running().len(), 9);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_gang_whose_workers_all_start_again_runs_again_as_a_whole() {
    let mut world = World::new(4);
    world.script = |_, _| (3_000, RunOutcome::Done);
    let gang = StepSpec {
        gang: true,
        ..step(4, 4_000)
    };
    world.submit("g", job(vec![gang]));
    world.run(1_000);
    assert_eq!(world.running().len(), 4);
    for id in ["w0", "w1", "w2", "w3"] {
        world.restart(id);
        world.run(2);
    }
    world.list();
    world.run(6_000);
    assert_eq!(world.shown("g"), Some(JobState::Completed));
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

/// The entry of before stays for as long as the store is away. The worker is asked at the
/// usual pace meanwhile, and what it runs is held.
#[test]
fn a_worker_whose_entry_is_of_before_is_not_asked_without_a_pause() {
    let mut world = World::new(1);
    world.restart("w0");
    world.run(100);
    assert!(world.holds["w0"].wait > 0);
}

/// Two members of a gang on one worker: one had begun, the start of the other has no answer.
#[test]
fn a_gang_of_which_a_member_is_in_doubt_is_not_left_half_there() {
    for lost in [0.0, 0.5, 1.0] {
        let mut world = World::new(2);
        world.script = |_, _| (900, RunOutcome::Done);
        let gang = StepSpec {
            gang: true,
            ..step(6, 1_000)
        };
        world.faults.lost = lost;
        world.submit("g", job(vec![gang]));
        world.run(100);
        world.restart("w0");
        world.list();
        world.faults.lost = 0.0;
        world.run(12_000);
        assert_eq!(world.shown("g"), Some(JobState::Completed), "{lost}");
        assert!(world.doubles.is_empty(), "{:?}", world.doubles);
        assert!(world.running().is_empty());
    }
}

/// Courses of news that are drawn, and their seed.
const COURSES: u64 = 60;
const SEED: u64 = 36;

/// News of a worker that has started again, each of which may come at any time.
#[derive(Clone, Copy, Debug)]
enum News {
    /// The entry that its earlier life wrote last.
    OldEntry,
    /// The entry of its later life.
    Entry,
    /// What the earlier life answered to the exchange that is open.
    OldAnswer,
    /// Exchanges reach the later life from now on.
    Reached,
    /// The last start that was sent to it is carried out after all, unless the box has
    /// given it up and closed its connection.
    LateStart,
    /// Nothing for half a second.
    Pause,
    /// Nothing until all leases have ended.
    Lapse,
    /// Another owner takes over.
    Takeover,
}

const NEWS: [News; 8] = [
    News::OldEntry,
    News::Entry,
    News::OldAnswer,
    News::Reached,
    News::LateStart,
    News::Pause,
    News::Lapse,
    News::Takeover,
];

impl Arbitrary for News {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&NEWS).expect("some")
    }
}

/// A worker that has started again, and what is left of its earlier life.
struct Restart {
    world: World,
    entry: Listing,
    answer: Report,
}

impl Restart {
    /// Returns a world in which one of two workers has just started again, in the middle of
    /// its work: some that ends, some that fails, some that lasts.
    fn new() -> Self {
        let mut world = World::new(2);
        world.script = |task, run| match task.as_bytes()[0] {
            b'f' if run < 3 => (300, RunOutcome::Failed),
            b'l' => (600_000, RunOutcome::Done),
            _ => (700, RunOutcome::Done),
        };
        world.submit("before", job(vec![step(4, 1_000)]));
        world.run(1_500);
        world.submit("lasting", job(vec![lasting(2, 1_000)]));
        world.submit("failing", job(vec![step(2, 1_000)]));
        world.submit("done", job(vec![step(2, 1_000)]));
        world.run(200);
        let before = &world.workers["w0"];
        let (entry, answer) = (before.listing.clone(), before.report(world.now));
        world.restart("w0");
        world.workers.get_mut("w0").expect("worker").cut = true;
        let mut restart = Self {
            world,
            entry,
            answer,
        };
        restart.world.run(2);
        restart
    }

    fn tell(&mut self, news: News) {
        let world = &mut self.world;
        match news {
            News::OldEntry => {
                let entry = DirectoryEntry::Listed(self.entry.clone());
                world.step(Event::DirectoryChanged(vec![("w0".into(), entry)]));
            }
            News::Entry => world.list(),
            News::OldAnswer => {
                let hold = world.holds["w0"].clone();
                world.step(Event::Polled(hold, Reply::Ok(self.answer.clone())));
            }
            News::Reached => world.workers.get_mut("w0").expect("worker").cut = false,
            News::LateStart => {
                let ordered = world.ordered.get("w0").cloned();
                let on_its_way = |(sent, _): &(u64, _)| world.now < sent + GIVEN_UP;
                if let Some((_, start)) = ordered.filter(on_its_way) {
                    world.carry_out(&start);
                }
            }
            News::Pause => world.run(500),
            News::Lapse => world.run(6_000),
            News::Takeover => world.take_over(5_000),
        }
        world.run(3);
    }

    /// Returns what is wrong once all news was told and time has passed.
    fn wrong(mut self) -> Vec<String> {
        let world = &mut self.world;
        world.workers.get_mut("w0").expect("worker").cut = false;
        world.list();
        world.run(500);
        world.submit("after", job(vec![step(4, 500)]));
        world.run(12_000);
        let mut wrong = std::mem::take(&mut world.doubles);
        wrong.append(&mut world.excesses);
        for id in ["before", "done", "failing", "after"] {
            let shown = world.shown(id);
            if shown != Some(JobState::Completed) {
                wrong.push(format!("{id} is {shown:?}"));
            }
        }
        let running = world.running().len();
        if running != 2 {
            wrong.push(format!("{running} lasting tasks run"));
        }
        wrong
    }
}

/// Returns all orders of some news.
fn orders(news: &[News]) -> Vec<Vec<News>> {
    if news.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for place in 0..news.len() {
        let mut rest = news.to_vec();
        let first = rest.remove(place);
        all.extend(orders(&rest).into_iter().map(|mut order| {
            order.insert(0, first);
            order
        }));
    }
    all
}

fn told(news: &[News]) -> Vec<String> {
    let mut restart = Restart::new();
    for news in news {
        restart.tell(*news);
    }
    restart.wrong()
}

#[test]
fn no_order_of_news_of_a_restart_has_a_task_run_twice() {
    for news in orders(&NEWS[..5]) {
        let wrong = told(&news);
        assert!(wrong.is_empty(), "{news:?}: {wrong:?}");
    }
}

#[test]
fn nor_has_any_other_course_of_such_news() {
    fn property(news: Vec<News>) -> TestResult {
        let wrong = told(&news);
        match wrong.is_empty() {
            true => TestResult::passed(),
            false => TestResult::error(format!("{news:?}: {wrong:?}")),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(9, SEED))
        .tests(COURSES)
        .quickcheck(property as fn(Vec<News>) -> TestResult);
}
