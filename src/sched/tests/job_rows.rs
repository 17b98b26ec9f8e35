//! Tests of the size of a job's rows.

use quickcheck::quickcheck;

use super::world::queue;
use crate::sched::job::{Job, LostIncarnation, Outcome, Phase};
use crate::sched::job_rows::{Detail, WorkerNames, job_writes, storage_error};
use crate::sched::spec::{JobSpec, StepSpec};
use crate::utils::Name;

/// Size of a row in the store.
const LIMIT: usize = 65_536;

fn spec(steps: usize, count: u32) -> JobSpec {
    let step = StepSpec {
        count,
        estimate: 300,
        ..StepSpec::default()
    };
    JobSpec {
        steps: vec![step; steps],
        ..JobSpec::default()
    }
}

/// Returns a job whose tasks are all placed and have collected crashes and checkpoints.
fn worn_job(spec: JobSpec, worker: &str) -> Job {
    let mut job = Job::new("00000000000000aa".into(), spec, queue(), 1_700_000_000_000);
    for task in job.row.rounds.iter_mut().flatten().flatten() {
        task.phase = Phase::Placed(worker.into());
        (task.long_lease, task.run, task.failures) = (true, 900, 100);
        (task.crashes, task.losses, task.outages) = (3, 2, 4);
        task.checkpoint = Name::from("00000bb87a21d94b");
        task.unresolved = vec![LostIncarnation {
            worker: worker.into(),
            boot: None,
        }];
    }
    job
}

/// Returns the size of the largest row that a job is written with.
fn written(job: &mut Job) -> usize {
    let writes = job_writes(job, LIMIT);
    let sizes = writes.iter().filter_map(|w| Some(w.value.as_ref()?.len()));
    sizes.max().unwrap_or(0)
}

quickcheck! {
    fn rows_of_accepted_jobs_fit_whatever_their_tasks_collect(steps: u8, count: u8, id: u8) -> bool {
        let worker = "w".repeat(usize::from(id % 40) + 1);
        let names = WorkerNames { longest: worker.len(), boots: false };
        let spec = spec(usize::from(steps) + 1, u32::from(count) + 1);
        if storage_error(&spec, &queue(), names, LIMIT).is_some() {
            return true;
        }
        written(&mut worn_job(spec, &worker)) <= LIMIT
    }
}

#[test]
fn a_row_leaves_out_crashes_first_and_then_checkpoints() {
    let mut details = Vec::new();
    for count in [10, 300, 600, 1_000] {
        let mut job = worn_job(spec(1, count), "i-04624493");
        assert!(written(&mut job) <= LIMIT, "{count} tasks");
        details.push(job.stored_detail);
        let crashes = job.row.rounds[0][0][0].crashes;
        assert_eq!(crashes, 3, "the owner keeps them");
    }
    let expected = [
        Detail::Full,
        Detail::Full,
        Detail::WithoutCrashes,
        Detail::WithoutCheckpoints,
    ];
    assert_eq!(details, expected);
}

#[test]
fn jobs_that_can_never_be_kept_are_told_by_their_size() {
    let error = |spec: &JobSpec| storage_error(spec, &queue(), WorkerNames::default(), LIMIT);
    assert_eq!(error(&spec(500, 1)), None);
    let text = error(&spec(1_500, 1)).expect("too large");
    assert!(text.contains("description"), "{text}");
    let text = error(&spec(2, 1_000)).expect("too large");
    assert!(text.contains("state"), "{text}");
    let mut archived = worn_job(spec(1, 10), "i-1");
    (archived.archived, archived.row.outcome) = (true, Outcome::Cancelled);
    assert!(written(&mut archived) < 100);
}
