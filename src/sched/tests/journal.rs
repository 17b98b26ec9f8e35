//! Tests of group commits: commits in doubt, releases, and limits of the store.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::sched::journal::{
    AfterCommit, CommitResolution, HISTORY_TABLE, JOB_TABLE, Journal, OwnerRow, spare_entries,
};
use crate::sched::message::{Answer, CommitOutcome, Write};
use crate::table::encode;

/// Returns the owner row that a box writes.
fn row(name: &str, incarnation: u64) -> OwnerRow {
    OwnerRow {
        name: name.into(),
        incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        epoch: 1,
        seq: 0,
        settled: true,
        inherited: Some(0),
        followers: Vec::new(),
        released: false,
        cores: 0,
    }
}

#[test]
fn boxes_that_start_in_the_same_millisecond_are_told_apart() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    let (number, ..) = journal
        .build_commit(1_000, |_| Vec::new())
        .expect("a commit is due");
    let other = CommitOutcome::Conflict(Some((2, encode(&row("box-b", 77)))));
    assert_eq!(
        journal.resolve(number, other, 1_010),
        CommitResolution::Deposed
    );
}

#[test]
fn a_conflict_with_the_owners_own_earlier_commit_is_retried() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    journal.mark_changed(5);
    let (number, version, _) = journal
        .build_commit(10, |_| Vec::new())
        .expect("a commit is due");
    assert_eq!(version, 1);
    assert_eq!(
        journal.resolve(number, CommitOutcome::Unknown, 300),
        CommitResolution::Retry
    );
    assert!(journal.in_doubt());
    let (number, ..) = journal
        .build_commit(300, |_| Vec::new())
        .expect("the commit is retried");
    let own = CommitOutcome::Conflict(Some((9, encode(&row("box-a", 77)))));
    assert_eq!(journal.resolve(number, own, 310), CommitResolution::Retry);
    let (number, version, _) = journal
        .build_commit(310, |_| Vec::new())
        .expect("the commit is retried");
    assert_eq!(version, 9);
    let resolution = journal.resolve(number, CommitOutcome::Done(10), 320);
    assert_eq!(resolution, CommitResolution::Stored(vec![(5, Vec::new())]));
    assert!(!journal.in_doubt());
}

#[test]
fn a_release_counts_only_once_it_is_committed() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    journal.mark_changed(5);
    let (number, ..) = journal
        .build_commit(10, |_| Vec::new())
        .expect("a commit is due");
    journal.release(11);
    journal.resolve(number, CommitOutcome::Done(2), 12);
    assert!(!journal.is_released());
    let (number, ..) = journal
        .build_commit(20, |_| Vec::new())
        .expect("the release is due");
    journal.resolve(number, CommitOutcome::Done(3), 22);
    assert!(journal.is_released());
}

#[test]
fn a_release_does_not_wait_until_no_job_changes() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    journal.mark_changed(0);
    journal.release(1);
    let mut commits = 0;
    for now in 1..400 {
        if let Some((number, ..)) = journal.build_commit(now, |_| Vec::new()) {
            commits += 1;
            // Another job changes while the commit is in flight.
            journal.mark_changed(commits);
            journal.resolve(number, CommitOutcome::Done(u64::from(commits)), now);
        }
    }
    assert!(journal.is_released(), "after {commits} commits");
}

#[test]
fn nothing_is_written_after_a_release() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    journal.release(1);
    let (number, ..) = journal
        .build_commit(2, |_| Vec::new())
        .expect("the release is due");
    journal.resolve(number, CommitOutcome::Done(2), 3);
    journal.mark_changed(7);
    assert!(journal.build_commit(1_000, |_| Vec::new()).is_none());
}

#[test]
fn commits_in_doubt_are_retried_with_a_pause() {
    let mut journal = Journal::new(row("a", 1), 1, 0);
    journal.mark_changed(1);
    let mut sent = 0;
    for now in 10..1_010 {
        if let Some((number, _, _)) = journal.build_commit(now, |_| Vec::new()) {
            sent += 1;
            // The store resets the connection at once.
            journal.resolve(number, CommitOutcome::Unknown, now);
        }
    }
    assert!((10..=20).contains(&sent), "{sent} commits in a second");
}

#[test]
fn a_commit_has_at_most_as_many_entries_as_the_store_accepts() {
    let write = Write {
        table: HISTORY_TABLE,
        key: "j".into(),
        value: None,
    };
    for rows_per_job in 0..=3 {
        let mut journal = Journal::new(row("a", 1), 1, 0);
        (0..300).for_each(|job| journal.mark_changed(job));
        let job_rows = |_| vec![write.clone(); rows_per_job];
        let (_, _, writes) = journal.build_commit(10, job_rows).expect("a commit is due");
        assert!(
            spare_entries(&writes) >= 1,
            "no entry left for the estimates"
        );
        let entries = writes.len() + 1 + spare_entries(&writes);
        assert_eq!(entries, 100, "entries, including the condition");
    }
}

/// Returns the write of a job's row.
fn job_write(job: u32) -> Vec<Write> {
    vec![Write {
        table: JOB_TABLE,
        key: job.to_string().into(),
        value: Some("row".into()),
    }]
}

/// Returns the jobs in the next commit at a time.
fn next_jobs(journal: &mut Journal, now: u64) -> (u64, Vec<u32>) {
    let commit = journal.build_commit(now, job_write);
    let (number, _, writes) = commit.expect("a commit is due");
    let keys = writes.iter().filter(|w| w.table == JOB_TABLE);
    let jobs = keys.map(|w| w.key.parse().expect("a job's number"));
    (number, jobs.collect())
}

/// With a slow store, a job that was just submitted was written after all jobs that had changed
/// before: its caller gave up and could not tell whether it was accepted.
#[test]
fn a_job_whose_caller_waits_is_in_the_next_commit() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    (0..500).for_each(|job| journal.mark_changed(job));
    let answer = AfterCommit::Reply(1, Answer::Accepted);
    journal.run_after_commit(1_000, answer);
    let (number, jobs) = next_jobs(&mut journal, 10);
    assert!(jobs.contains(&1_000), "{jobs:?}");
    // It stays ahead when the commit fails.
    journal.resolve(number, CommitOutcome::NotDone, 310);
    let (_, jobs) = next_jobs(&mut journal, 400);
    assert!(jobs.contains(&1_000), "{jobs:?}");
}

/// Starts and acknowledgements wait for the rows of other jobs, which a flood of callers must not
/// hold up.
#[test]
fn half_of_a_commit_is_left_to_jobs_without_waiting_callers() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    (0..500).for_each(|job| journal.mark_changed(job));
    for job in 1_000..1_500 {
        journal.run_after_commit(job, AfterCommit::Reply(1, Answer::Accepted));
    }
    let (_, jobs) = next_jobs(&mut journal, 10);
    let others = jobs.iter().filter(|job| **job < 500).count();
    assert!(others * 10 >= jobs.len() * 4, "{others} of {}", jobs.len());
    assert!(others * 10 <= jobs.len() * 6, "{others} of {}", jobs.len());
}

/// Builds and ends commits within a time, of which the store refuses those with a row of job
/// `refused`. Returns when each job was stored first.
fn commit_within(journal: &mut Journal, refused: u32, time: Range<u64>) -> BTreeMap<u32, u64> {
    let mut stored = BTreeMap::new();
    let mut version = 1;
    let job_row = |job: u32| {
        vec![Write {
            table: JOB_TABLE,
            key: job.to_string().into(),
            value: None,
        }]
    };
    for now in time {
        let Some((number, _, writes)) = journal.build_commit(now, job_row) else {
            continue;
        };
        let key = refused.to_string();
        let outcome = match writes.iter().any(|w| *w.key == *key) {
            true => CommitOutcome::Refused,
            false => CommitOutcome::Done(version + 1),
        };
        if let CommitResolution::Stored(jobs) = journal.resolve(number, outcome, now + 1) {
            version += 1;
            for (job, _) in jobs {
                stored.entry(job).or_insert(now);
            }
        }
    }
    stored
}

/// The jobs of a refused commit were written together again and again, and with them all others.
#[test]
fn a_refused_job_is_found_and_holds_up_no_other() {
    for refused in [0, 17, 89] {
        let mut journal = Journal::new(row("box-a", 77), 1, 0);
        (0..90).for_each(|job| journal.mark_changed(job));
        let stored = commit_within(&mut journal, refused, 0..1_000);
        let expected: Vec<u32> = (0..90).filter(|job| *job != refused).collect();
        assert_eq!(stored.keys().copied().collect::<Vec<_>>(), expected);
        journal.mark_changed(refused);
        journal.mark_changed(200);
        let stored = commit_within(&mut journal, refused, 1_000..2_000);
        assert!(stored[&200] < 1_100, "its next change is not tried at once");
    }
}

/// Something between may answer so although the store applies the commit.
#[test]
fn a_refused_commit_is_in_doubt_as_one_without_an_answer() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    journal.mark_changed(5);
    journal.mark_changed(6);
    let (number, ..) = journal
        .build_commit(10, |_| Vec::new())
        .expect("a commit is due");
    journal.resolve(number, CommitOutcome::Refused, 20);
    assert!(journal.in_doubt());
    assert!(journal.withdraw(5).is_none() && journal.withdraw(6).is_none());
    let (number, version, _) = journal
        .build_commit(100, |_| Vec::new())
        .expect("the commit is retried");
    assert_eq!(version, 1);
    let own = CommitOutcome::Conflict(Some((9, encode(&row("box-a", 77)))));
    assert_eq!(journal.resolve(number, own, 110), CommitResolution::Retry);
}

#[test]
fn a_refused_job_is_stored_once_its_row_is_accepted() {
    let mut journal = Journal::new(row("box-a", 77), 1, 0);
    journal.run_after_commit(3, AfterCommit::Reply(8, Answer::Accepted));
    journal.mark_changed(4);
    assert!(!commit_within(&mut journal, 3, 0..900).contains_key(&3));
    assert!(
        journal.withdraw(3).is_none(),
        "an earlier commit may take effect"
    );
    let stored = commit_within(&mut journal, 99, 900..3_000);
    assert!(stored.contains_key(&3));
}
