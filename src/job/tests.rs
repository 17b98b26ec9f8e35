//! Tests of the validation of jobs and their spread over cells.

use super::*;
use crate::cell::Shape;

fn spec(tasks: u32, cores: u32) -> Spec {
    Spec {
        id: "j1".into(),
        team: "t".into(),
        kind: "k".into(),
        tasks,
        size: Size {
            cores,
            memory: 100,
            accelerators: 0,
        },
        work: 1_000,
        urgent: false,
    }
}

fn candidate(cell: &str, free_cores: u64) -> CandidateCell {
    let shape = Shape {
        slots: 8,
        connections: 64,
        cores: 16_000,
        memory: 60_000,
        accelerators: 0,
    };
    CandidateCell {
        cell: cell.into(),
        shapes: vec![shape],
        free_cores,
    }
}

#[test]
fn every_task_is_in_exactly_one_job_shard() {
    let candidates = [
        candidate("h/a", 9_000),
        candidate("h/b", 1_000),
        candidate("h/c", 0),
    ];
    for tasks in [1, 7, 8, 9, 100, 1_000] {
        let (row, shards) = spread(&spec(tasks, 1_000), &candidates, 5).expect("accepted");
        let mut seen: Vec<u32> = shards
            .iter()
            .flat_map(|s| s.tasks.iter().map(|t| t.index))
            .collect();
        seen.sort();
        assert_eq!(seen, (0..tasks).collect::<Vec<_>>());
        assert_eq!(row.shards.len(), shards.len());
        assert!(
            shards
                .iter()
                .all(|s| s.tasks.len() as u32 <= SHARD_TASK_LIMIT)
        );
    }
}

#[test]
fn a_job_that_fits_no_worker_is_refused_with_the_reason() {
    let refusal = spread(&spec(1, 17_000), &[candidate("h/a", 0)], 0).expect_err("refused");
    let Refusal::Unsatisfiable(reason) = refusal else {
        panic!("the job was refused for another reason than its size");
    };
    assert!(reason.contains("17"), "{reason}");
}

#[test]
fn all_findings_of_a_specification_are_returned() {
    let mut bad = spec(0, 0);
    bad.team = "no name".into();
    assert_eq!(validate(&bad).len(), 3);
}

#[test]
fn the_key_of_a_job_shard_contains_its_cell() {
    let key = shard_key("leon-1/r1", "job.7", 3);
    assert_eq!(shard_job(&key), Some("job.7"));
    assert_eq!(shard_job("lot/leon-1/job"), None);
    assert_eq!(shard_cell(&key), Some("leon-1/r1"));
}
