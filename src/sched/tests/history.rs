//! Tests of the history of finished jobs: archiving, takeovers, parked requests and expiry.

use super::world::{SETTINGS, World, job, lasting, queue, step};
use crate::sched::history::{HistoryPage, HistoryRow};
use crate::sched::job::{Job, JobState, Outcome};
use crate::sched::journal::{HISTORY_TABLE, JOB_TABLE, SPEC_TABLE};
use crate::sched::message::{Answer, Event, JobRequest, RunOutcome};
use crate::table::encode;

/// Milliseconds until leases of the previous owner have certainly expired.
const INHERITED: u64 = 14_000;
/// Number of finished jobs before a takeover.
const FINISHED_JOBS: usize = 300;

/// Submits `count` jobs of one task each and runs until all are finished.
fn run_jobs(world: &mut World, count: usize) {
    world.script = |_, _| (20, RunOutcome::Done);
    for number in 0..count {
        world.submit(&format!("over-{number:03}"), job(vec![step(1, 1_000)]));
        world.run(10);
    }
    world.run(1_000);
}

#[test]
fn a_takeover_loads_open_jobs_only() {
    let mut world = World::new(4);
    run_jobs(&mut world, FINISHED_JOBS);
    world.script = |_, _| (5_000, RunOutcome::Done);
    world.submit("open", job(vec![step(1, 1_000)]));
    world.run(200);
    let started = world.starts.len();
    world.take_over(INHERITED);
    assert_eq!(
        world.owner.sizes().0,
        1,
        "none of the {FINISHED_JOBS} finished jobs is loaded as open"
    );
    world.run(500);
    assert_eq!(world.job_state("over-007"), Some(JobState::Completed));
    let again = world.submit("over-007", job(vec![step(1, 1_000)]));
    let cancel = world.request(JobRequest::Cancel("over-008".into()));
    world.run(500);
    assert_eq!(world.answers[&again], Answer::Accepted);
    assert_eq!(world.answers[&cancel], Answer::Cancelled);
    assert_eq!(world.job_state("over-008"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), started, "no finished job runs again");
}

#[test]
fn requests_about_unknown_jobs_wait_until_the_history_is_complete() {
    let mut world = World::new(4);
    run_jobs(&mut world, 5);
    let started = world.starts.len();
    world.history_withheld = true;
    world.take_over(INHERITED);
    world.run(100);
    let finished = world.request(JobRequest::Show("over-001".into()));
    let nobody = world.request(JobRequest::Show("nobody".into()));
    let cancel = world.request(JobRequest::Cancel("nobody".into()));
    let count = world.request(JobRequest::Count("q".into()));
    let again = world.submit("over-001", job(vec![step(1, 1_000)]));
    let new = world.submit("new", job(vec![step(1, 1_000)]));
    let twice = world.submit("new", job(vec![step(1, 1_000)]));
    world.run(500);
    assert_eq!(world.answers[&count], Answer::Waiting(0));
    for ticket in [finished, nobody, cancel, again, new, twice] {
        assert!(
            !world.answers.contains_key(&ticket),
            "request {ticket} was answered early"
        );
    }
    assert_eq!(world.starts.len(), started);
    world.history_withheld = false;
    world.run(1_000);
    for ticket in [again, new, twice] {
        assert_eq!(world.answers[&ticket], Answer::Accepted);
    }
    assert_eq!(world.answers[&finished], Answer::State(JobState::Completed));
    for ticket in [nobody, cancel] {
        assert_eq!(world.answers[&ticket], Answer::Unknown);
    }
    assert_eq!(world.job_state("new"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), started + 1, "only the new job runs");
    let nobody = world.request(JobRequest::Show("nobody".into()));
    assert_eq!(world.answers[&nobody], Answer::Unknown);
}

#[test]
fn parked_jobs_are_refused_when_the_store_becomes_unreachable() {
    let mut world = World::new(2);
    world.history_withheld = true;
    world.take_over(INHERITED);
    world.run(100);
    let ticket = world.submit("j1", job(vec![step(1, 1_000)]));
    world.store_down = true;
    world.run(3_000);
    assert!(matches!(world.answers[&ticket], Answer::Refused(_)));
    world.store_down = false;
    world.history_withheld = false;
    world.run(3_000);
    assert!(world.starts.is_empty(), "a refused job never runs");
}

/// The store commits but sends no answers, so another box takes over the cell and accepts a job.
/// The replaced owner has not learned of its end. For 1.5 s it answered that the job does not
/// exist; its `owner-ends epoch=3` came after `owner-begins epoch=4` and the job's
/// `event=submit answer=Accepted` on the other box.
#[test]
fn an_owner_that_may_have_been_replaced_answers_unknown_for_no_job() {
    let mut world = World::new(2);
    world.run(1_000);
    let at_once = world.request(JobRequest::Show("nobody".into()));
    assert_eq!(world.answers[&at_once], Answer::Unknown);
    world.store_down = true;
    world.run(600);
    let tickets = [
        world.request(JobRequest::Show("taken-elsewhere".into())),
        world.request(JobRequest::Cancel("taken-elsewhere".into())),
    ];
    let answers = |world: &World| tickets.map(|ticket| world.answers.get(&ticket).cloned());
    assert_eq!(answers(&world), [None, None]);
    world.run(2_000);
    for answer in answers(&world) {
        assert!(matches!(answer, Some(Answer::Refused(_))), "{answer:?}");
    }
    world.store_down = false;
    world.run(3_000);
    let again = world.request(JobRequest::Show("nobody".into()));
    assert_eq!(
        world.answers[&again],
        Answer::Unknown,
        "the owner is confirmed again"
    );
}

#[test]
fn parked_requests_are_answered_once_the_owner_is_confirmed() {
    let mut world = World::new(2);
    world.run(1_000);
    let mut parked = 0;
    for span in (0..400).step_by(10) {
        world.store_down = true;
        world.run(span);
        let ticket = world.request(JobRequest::Show("nobody".into()));
        let at_once = world.answers.contains_key(&ticket);
        world.store_down = false;
        world.run(1_500);
        assert_eq!(world.answers.get(&ticket), Some(&Answer::Unknown), "{span}");
        parked += u32::from(!at_once);
    }
    assert!(parked > 0, "at least one request had to wait");
}

#[test]
fn an_owner_that_releases_the_cell_answers_unknown_for_no_job() {
    let mut world = World::new(2);
    world.run(1_000);
    world.store_down = true;
    let now = world.clock();
    world.owner.release(now);
    let ticket = world.request(JobRequest::Show("taken-elsewhere".into()));
    world.run(300);
    assert_eq!(
        world.answers.get(&ticket),
        None,
        "the next owner may serve already"
    );
}

#[test]
fn the_number_of_parked_jobs_is_limited() {
    let mut world = World::new(2);
    world.history_withheld = true;
    world.take_over(INHERITED);
    world.run(100);
    let submit = |n: u32| world.submit(&format!("j{n}"), job(vec![step(1, 1_000)]));
    let tickets: Vec<u64> = (0..300).map(submit).collect();
    let refused = |t: &&u64| matches!(world.answers.get(*t), Some(Answer::Refused(_)));
    assert_eq!(tickets.iter().filter(refused).count(), 100);
    world.history_withheld = false;
    world.run(60_000);
    assert_eq!(world.starts.len(), 200, "all parked jobs run");
}

#[test]
fn a_cancelled_job_is_archived_once_its_runs_have_ended_even_across_a_takeover() {
    let mut world = World::new(2);
    world.submit("j1", job(vec![lasting(4, 1_000)]));
    world.run(500);
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.workers.get_mut("w1").expect("worker").disconnected = true;
    let ticket = world.request(JobRequest::Cancel("j1".into()));
    world.run(300);
    assert_eq!(world.answers[&ticket], Answer::Cancelled);
    assert_eq!(world.ids(JOB_TABLE), ["j1".into()]);
    assert!(
        world.ids(HISTORY_TABLE).is_empty(),
        "its runs have not ended"
    );
    world.take_over(INHERITED);
    world
        .workers
        .values_mut()
        .for_each(|w| w.disconnected = false);
    world.run(1_500);
    assert!(world.running().is_empty(), "the next owner stops the runs");
    assert_eq!(world.ids(HISTORY_TABLE), ["j1".into()]);
    assert!(world.ids(JOB_TABLE).is_empty() && world.ids(SPEC_TABLE).is_empty());
    assert_eq!(world.job_state("j1"), Some(JobState::Cancelled));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn rows_of_finished_jobs_are_removed_after_the_retention_time() {
    let mut world = World::new(4);
    run_jobs(&mut world, FINISHED_JOBS);
    assert_eq!(world.ids(HISTORY_TABLE).len(), FINISHED_JOBS);
    world.take_over(INHERITED);
    world.run(1_000);
    world.settings.retention = 1_000;
    world.owner.change_settings(world.settings);
    world.run(3_000);
    assert!(world.ids(HISTORY_TABLE).is_empty(), "{}", world.rows.len());
    let shown = world.request(JobRequest::Show("over-001".into()));
    assert_eq!(world.answers[&shown], Answer::Unknown);
}

#[test]
fn an_older_page_does_not_restore_a_removed_job() {
    let mut world = World::new(1);
    world.history_withheld = true;
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
    world.handle(page(false));
    assert_eq!(world.job_state("old"), Some(JobState::Completed));
    world.run(SETTINGS.retention + 2_000);
    world.handle(page(true));
    let shown = world.request(JobRequest::Show("old".into()));
    assert_eq!(world.answers[&shown], Answer::Unknown);
}

#[test]
fn a_job_with_an_unreadable_row_is_in_doubt() {
    let mut world = World::new(1);
    world.history_withheld = true;
    world.take_over(INHERITED);
    let ticket = world.submit("torn", job(vec![step(1, 1_000)]));
    world.handle(Event::History(HistoryPage {
        unreadable: vec!["torn".into()],
        last: true,
        ..HistoryPage::default()
    }));
    world.run(1_000);
    assert_eq!(world.answers[&ticket], Answer::InDoubt);
    assert!(world.starts.is_empty());
}

#[test]
fn a_reported_run_of_a_finished_job_is_stopped() {
    let mut world = World::new(1);
    run_jobs(&mut world, 1);
    world.start_unordered("w0", "over-000.0.0.0", 60_000);
    world.run(1_500);
    assert!(world.running().is_empty());
}

#[test]
fn finished_jobs_that_an_earlier_version_left_in_the_job_table_are_archived() {
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
    assert_eq!(world.job_state("old-7"), Some(JobState::Failed));
    world.run(2_000);
    assert!(world.ids(JOB_TABLE).is_empty() && world.ids(SPEC_TABLE).is_empty());
    assert_eq!(world.ids(HISTORY_TABLE).len(), 50);
    assert_eq!(world.job_state("old-7"), Some(JobState::Failed));
}
