//! Jobs that are over: kept apart, known to the next owner, and forgotten in time.

use super::world::{BOUNDS, World, job, lasting, queue, step};
use crate::sched::history::{HistoryPage, HistoryRow};
use crate::sched::job::{Job, JobState, Outcome};
use crate::sched::journal::{HISTORY_TABLE, JOB_TABLE, SPEC_TABLE};
use crate::sched::message::{Answer, Event, JobRequest, RunOutcome};
use crate::table::encode;

/// Milliseconds within which the owner before has certainly ended.
const INHERITED: u64 = 14_000;
/// Jobs that are over before a takeover.
const MANY: usize = 300;

/// Hands so many jobs of one task in, and lets all come to their end.
fn run_many(world: &mut World, count: usize) {
    world.script = |_, _| (20, RunOutcome::Done);
    for number in 0..count {
        world.submit(&format!("over-{number:03}"), job(vec![step(1, 1_000)]));
        world.run(10);
    }
    world.run(1_000);
}

#[test]
fn a_takeover_hands_over_open_jobs_only() {
    let mut world = World::new(4);
    run_many(&mut world, MANY);
    world.script = |_, _| (5_000, RunOutcome::Done);
    world.submit("open", job(vec![step(1, 1_000)]));
    world.run(200);
    let started = world.starts.len();
    world.take_over(INHERITED);
    assert_eq!(world.owner.sizes().0, 1, "of {MANY} that are over, none");
    world.run(500);
    assert_eq!(world.shown("over-007"), Some(JobState::Completed));
    let again = world.submit("over-007", job(vec![step(1, 1_000)]));
    let cancel = world.ask(JobRequest::Cancel("over-008".into()));
    world.run(500);
    assert_eq!(world.answers[&again], Answer::Accepted);
    assert_eq!(world.answers[&cancel], Answer::Cancelled);
    assert_eq!(world.shown("over-008"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), started, "nothing runs again");
}

#[test]
fn until_all_that_is_over_is_known_no_id_is_unknown_and_new_jobs_wait() {
    let mut world = World::new(4);
    run_many(&mut world, 5);
    let started = world.starts.len();
    world.history_held = true;
    world.take_over(INHERITED);
    world.run(100);
    let over = world.ask(JobRequest::Show("over-001".into()));
    let nobody = world.ask(JobRequest::Show("nobody".into()));
    let cancel = world.ask(JobRequest::Cancel("nobody".into()));
    let count = world.ask(JobRequest::Count("q".into()));
    let again = world.submit("over-001", job(vec![step(1, 1_000)]));
    let new = world.submit("new", job(vec![step(1, 1_000)]));
    let twice = world.submit("new", job(vec![step(1, 1_000)]));
    world.run(500);
    assert_eq!(world.answers[&count], Answer::Waiting(0));
    for ticket in [over, nobody, cancel, again, new, twice] {
        assert!(!world.answers.contains_key(&ticket), "it waits");
    }
    assert_eq!(world.starts.len(), started);
    world.history_held = false;
    world.run(1_000);
    for ticket in [again, new, twice] {
        assert_eq!(world.answers[&ticket], Answer::Accepted);
    }
    assert_eq!(world.answers[&over], Answer::State(JobState::Completed));
    for ticket in [nobody, cancel] {
        assert_eq!(world.answers[&ticket], Answer::Unknown);
    }
    assert_eq!(world.shown("new"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), started + 1, "only the new one runs");
    let nobody = world.ask(JobRequest::Show("nobody".into()));
    assert_eq!(world.answers[&nobody], Answer::Unknown);
}

#[test]
fn jobs_that_wait_are_refused_when_the_store_goes_away() {
    let mut world = World::new(2);
    world.history_held = true;
    world.take_over(INHERITED);
    world.run(100);
    let ticket = world.submit("j1", job(vec![step(1, 1_000)]));
    world.store_down = true;
    world.run(3_000);
    assert!(matches!(world.answers[&ticket], Answer::Refused(_)));
    world.store_down = false;
    world.history_held = false;
    world.run(3_000);
    assert!(world.starts.is_empty(), "a refused job never runs");
}

/// The store carries commits out and says nothing. Another box takes the cell and a job, and
/// the owner before, which has not heard of its end, was asked for that job: it said that there
/// is none, 1.5 s long. Its lines then: `owner-begins epoch=4` of another box, and for the job
/// `event=submit answer=Accepted` there, while `owner-ends epoch=3` came only after.
#[test]
fn an_owner_that_may_have_been_replaced_calls_no_job_unknown() {
    let mut world = World::new(2);
    world.run(1_000);
    let at_once = world.ask(JobRequest::Show("nobody".into()));
    assert_eq!(world.answers[&at_once], Answer::Unknown);
    world.store_down = true;
    world.run(600);
    let asks = [
        world.ask(JobRequest::Show("taken-elsewhere".into())),
        world.ask(JobRequest::Cancel("taken-elsewhere".into())),
    ];
    let told = |world: &World| asks.map(|ticket| world.answers.get(&ticket).cloned());
    assert_eq!(told(&world), [None, None]);
    world.run(2_000);
    for answer in told(&world) {
        assert!(matches!(answer, Some(Answer::Refused(_))), "{answer:?}");
    }
    world.store_down = false;
    world.run(3_000);
    let again = world.ask(JobRequest::Show("nobody".into()));
    assert_eq!(world.answers[&again], Answer::Unknown, "confirmed again");
}

#[test]
fn what_waits_for_an_owner_to_be_confirmed_is_answered_then() {
    let mut world = World::new(2);
    world.run(1_000);
    let mut waited = 0;
    for span in (0..400).step_by(10) {
        world.store_down = true;
        world.run(span);
        let ticket = world.ask(JobRequest::Show("nobody".into()));
        let at_once = world.answers.contains_key(&ticket);
        world.store_down = false;
        world.run(1_500);
        assert_eq!(world.answers.get(&ticket), Some(&Answer::Unknown), "{span}");
        waited += u32::from(!at_once);
    }
    assert!(waited > 0, "some had to wait");
}

#[test]
fn an_owner_that_gives_up_calls_no_job_unknown() {
    let mut world = World::new(2);
    world.run(1_000);
    world.store_down = true;
    let now = world.clock();
    world.owner.resign(now);
    let ticket = world.ask(JobRequest::Show("taken-elsewhere".into()));
    world.run(300);
    assert_eq!(
        world.answers.get(&ticket),
        None,
        "the next one may serve already"
    );
}

#[test]
fn only_so_many_jobs_wait() {
    let mut world = World::new(2);
    world.history_held = true;
    world.take_over(INHERITED);
    world.run(100);
    let submit = |n: u32| world.submit(&format!("j{n}"), job(vec![step(1, 1_000)]));
    let tickets: Vec<u64> = (0..300).map(submit).collect();
    let refused = |t: &&u64| matches!(world.answers.get(*t), Some(Answer::Refused(_)));
    assert_eq!(tickets.iter().filter(refused).count(), 100);
    world.history_held = false;
    world.run(60_000);
    assert_eq!(world.starts.len(), 200, "all that waited run");
}

#[test]
fn a_cancelled_job_keeps_its_rows_until_its_runs_are_gone_also_over_a_takeover() {
    let mut world = World::new(2);
    world.submit("j1", job(vec![lasting(4, 1_000)]));
    world.run(500);
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w0").expect("worker").cut = true;
    world.workers.get_mut("w1").expect("worker").cut = true;
    let ticket = world.ask(JobRequest::Cancel("j1".into()));
    world.run(300);
    assert_eq!(world.answers[&ticket], Answer::Cancelled);
    assert_eq!(world.ids(JOB_TABLE), ["j1".into()]);
    assert!(world.ids(HISTORY_TABLE).is_empty(), "its runs go on");
    world.take_over(INHERITED);
    world.workers.values_mut().for_each(|w| w.cut = false);
    world.run(1_500);
    assert!(world.running().is_empty(), "stopped by the next owner");
    assert_eq!(world.ids(HISTORY_TABLE), ["j1".into()]);
    assert!(world.ids(JOB_TABLE).is_empty() && world.ids(SPEC_TABLE).is_empty());
    assert_eq!(world.shown("j1"), Some(JobState::Cancelled));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn rows_of_jobs_that_are_over_are_removed_in_time() {
    let mut world = World::new(4);
    run_many(&mut world, MANY);
    assert_eq!(world.ids(HISTORY_TABLE).len(), MANY);
    world.take_over(INHERITED);
    world.run(1_000);
    world.bounds.retention = 1_000;
    world.owner.change_settings(world.bounds);
    world.run(3_000);
    assert!(world.ids(HISTORY_TABLE).is_empty(), "{}", world.rows.len());
    let shown = world.ask(JobRequest::Show("over-001".into()));
    assert_eq!(world.answers[&shown], Answer::Unknown);
}

#[test]
fn an_older_page_does_not_bring_back_what_was_removed() {
    let mut world = World::new(1);
    world.history_held = true;
    world.take_over(INHERITED);
    let old = HistoryRow {
        outcome: Outcome::Completed,
        ended: world.now,
    };
    let page = |last| {
        let (rows, unreadable) = (vec![("old".into(), old)], Vec::new());
        Event::History(HistoryPage {
            rows,
            unreadable,
            last,
        })
    };
    world.step(page(false));
    assert_eq!(world.shown("old"), Some(JobState::Completed));
    world.run(BOUNDS.retention + 2_000);
    world.step(page(true));
    let shown = world.ask(JobRequest::Show("old".into()));
    assert_eq!(world.answers[&shown], Answer::Unknown);
}

#[test]
fn a_row_that_cannot_be_read_is_in_doubt() {
    let mut world = World::new(1);
    world.history_held = true;
    world.take_over(INHERITED);
    let ticket = world.submit("torn", job(vec![step(1, 1_000)]));
    world.step(Event::History(HistoryPage {
        unreadable: vec!["torn".into()],
        last: true,
        ..HistoryPage::default()
    }));
    world.run(1_000);
    assert_eq!(world.answers[&ticket], Answer::InDoubt);
    assert!(world.starts.is_empty());
}

#[test]
fn a_run_that_is_listed_for_a_job_that_is_over_is_stopped() {
    let mut world = World::new(1);
    run_many(&mut world, 1);
    world.sneak("w0", "over-000.0.0.0", 60_000);
    world.run(1_500);
    assert!(world.running().is_empty());
}

#[test]
fn jobs_that_a_release_before_left_among_the_open_ones_are_archived() {
    let mut world = World::new(2);
    let spec = job(vec![step(1, 1_000)]);
    for number in 0..50 {
        let id = format!("old-{number}");
        let mut old = Job::new(id.as_str().into(), spec.clone(), queue(), world.now);
        old.row.outcome = Outcome::Failed;
        old.row.ended = world.now;
        let rows = [(JOB_TABLE, encode(&old.row)), (SPEC_TABLE, encode(&spec))];
        for (table, value) in rows {
            world.rows.insert((table, id.as_str().into()), value);
        }
    }
    world.take_over(INHERITED);
    assert_eq!(world.shown("old-7"), Some(JobState::Failed));
    world.run(2_000);
    assert!(world.ids(JOB_TABLE).is_empty() && world.ids(SPEC_TABLE).is_empty());
    assert_eq!(world.ids(HISTORY_TABLE).len(), 50);
    assert_eq!(world.shown("old-7"), Some(JobState::Failed));
}
