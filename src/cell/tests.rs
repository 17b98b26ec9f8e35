//! Tests of the decisions of one cell.

use super::*;
use crate::job::{JobShardRow, Phase, Spec, TaskRow, VersionedShard};
use crate::lease::WriteOutcome;

const SHAPE: Shape = Shape {
    slots: 2,
    connections: 64,
    cores: 4_000,
    memory: 8_000,
    accelerators: 0,
};
const TIMINGS: Timings = Timings {
    run_lease: 1_000,
    margin: 200,
    poll_interval: 100,
};

fn listed_worker(index: usize) -> ListedWorker {
    let port = index as u16 + 1;
    ListedWorker {
        name: format!("w{index}").into(),
        cell: "h/r".into(),
        http: SocketAddr::from(([127, 0, 0, 1], port)),
        rpc: SocketAddr::from(([127, 0, 0, 2], port)),
        leaving: false,
    }
}

/// Has a worker answer a poll that was sent at `now`.
fn answer(cell: &mut Cell, now: Millis, worker: usize, reply: PollReply) -> Vec<Action> {
    let poll = SentPoll {
        sent: now,
        round: 1,
        acks: Vec::new(),
    };
    let name: Name = format!("w{worker}").into();
    cell.finish_poll(now, now * 1_000, &name, poll, PollOutcome::Reply(reply))
        .1
}

/// Returns an answer of a worker without requests and runs.
fn idle_reply() -> PollReply {
    PollReply {
        shape: SHAPE,
        ..PollReply::default()
    }
}

/// Returns a cell whose workers answered a poll at time 0.
fn cell(workers: usize) -> Cell {
    let mut cell = Cell::new("h/r".into(), 1, 0, Policy::default(), TIMINGS);
    let listed: Vec<ListedWorker> = (0..workers).map(listed_worker).collect();
    cell.set_workers(&listed, &Default::default());
    cell.load_shards(0, Vec::new());
    for worker in 0..workers {
        answer(&mut cell, 0, worker, idle_reply());
    }
    cell
}

fn request(ticket: u64, class: Class, deadline: Millis) -> CellRequest {
    CellRequest {
        ticket,
        service: "s".into(),
        class,
        size: Size {
            cores: 500,
            memory: 0,
            accelerators: 0,
        },
        deadline,
    }
}

/// Returns the shard of a job, all of whose tasks are in this cell and wait.
fn shard(job: &str, tasks: u32, cores: u32) -> VersionedShard {
    let spec = Spec {
        id: job.into(),
        team: "t".into(),
        kind: "k".into(),
        tasks,
        size: Size {
            cores,
            memory: 0,
            accelerators: 0,
        },
        work: 1_000,
        urgent: false,
    };
    VersionedShard {
        key: format!("lot/h/r/{job}.0").into(),
        version: 1,
        row: JobShardRow {
            spec,
            submitted: 0,
            epoch: 0,
            seq: 0,
            tasks: (0..tasks).map(TaskRow::open).collect(),
        },
    }
}

/// Returns the starts among actions: worker and run.
fn starts(actions: &[Action]) -> Vec<(Name, Run)> {
    let start = |a: &Action| match a {
        Action::Start { worker, run, .. } => Some((worker.clone(), run.clone())),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

#[test]
fn a_worker_that_has_not_answered_is_full() {
    let mut cell = Cell::new("h/r".into(), 1, 0, Policy::default(), TIMINGS);
    cell.set_workers(&[listed_worker(0)], &Default::default());
    let actions = cell.admit(10, 10_000, request(1, Class::Critical, 1_000));
    let [Action::Refuse { reason, .. }] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(reason, Reason::NoRoom);
}

#[test]
fn slots_are_never_exceeded_and_the_queued_request_is_sent_next() {
    let mut cell = cell(1);
    for ticket in 0..2 {
        let actions = cell.admit(10, 10_000, request(ticket, Class::Critical, 1_000));
        assert!(matches!(actions[..], [Action::Send { .. }]));
    }
    assert!(
        cell.admit(10, 10_000, request(2, Class::Critical, 1_000))
            .is_empty()
    );
    let actions = cell.finish_send(20, 20_000, 0, SendOutcome::Answered);
    assert!(
        matches!(actions[..], [Action::Send { ticket: 2, .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_lost_answer_keeps_its_slot_until_the_worker_reports_its_end() {
    let mut cell = cell(1);
    for ticket in 0..2 {
        cell.admit(10, 10_000, request(ticket, Class::Critical, 1_000));
    }
    cell.finish_send(20, 20_000, 0, SendOutcome::Unknown { until: 30 });
    assert_eq!(cell.free_slots(25), 0);
    let mut reply = idle_reply();
    reply.tickets = vec![0, 1];
    answer(&mut cell, 300, 0, reply);
    assert_eq!(cell.free_slots(300), 0, "the request still runs");
    let mut reply = idle_reply();
    reply.tickets = vec![1];
    answer(&mut cell, 600, 0, reply);
    // The first answer after a silence does not cover calls that the worker has not read yet.
    let mut reply = idle_reply();
    reply.tickets = vec![1];
    answer(&mut cell, 801, 0, reply);
    assert_eq!(cell.free_slots(801), 1);
}

#[test]
fn overload_sheds_batch_before_critical() {
    let mut cell = cell(1);
    cell.policy.queue_limit = 1;
    for ticket in 0..2 {
        cell.admit(10, 10_000, request(ticket, Class::Critical, 9_000));
    }
    assert!(
        cell.admit(10, 10_000, request(2, Class::Batch, 9_000))
            .is_empty()
    );
    let actions = cell.admit(10, 10_000, request(3, Class::Critical, 9_000));
    let is_shed = |a: &Action| {
        matches!(
            a,
            Action::Refuse {
                ticket: 2,
                reason: Reason::Shed,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_shed), "{actions:?}");
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut cell = cell(1);
    for ticket in 0..2 {
        cell.admit(10, 10_000, request(ticket, Class::Critical, 9_000));
    }
    cell.finish_send(510, 510_000, 0, SendOutcome::Answered);
    let actions = cell.admit(510, 510_000, request(5, Class::Critical, 600));
    let is_late = |a: &Action| {
        matches!(
            a,
            Action::Refuse {
                reason: Reason::Deadline,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_late), "{actions:?}");
}

#[test]
fn an_evicted_task_starts_again_only_after_its_end_is_recorded() {
    let mut cell = cell(1);
    cell.add_new_shard(0, shard("j", 1, 1_000));
    let (worker, run) = starts(&cell.tick(10, 10_000)).remove(0);
    cell.finish_start(15, &worker, run.id, CallOutcome::Done(0));
    cell.finish_stop(20, 20_000, &worker, run.id, CallOutcome::Done(700));
    assert!(
        starts(&cell.tick(30, 30_000)).is_empty(),
        "not recorded yet"
    );
    let writes = cell.write_shards();
    let [Action::Write { key, row, .. }] = &writes[..] else {
        panic!("{writes:?}");
    };
    assert_eq!(row.tasks[0].saved, 700);
    assert!(
        starts(&cell.tick(40, 40_000)).is_empty(),
        "not committed yet"
    );
    cell.finish_write(key, WriteOutcome::Committed);
    let again = starts(&cell.tick(50, 50_000));
    assert_eq!(again[0].1.saved, 700, "the run resumes from the checkpoint");
    assert_ne!(again[0].1.id, run.id);
}

/// Simulates 60 s of a cell with one task and workers that never report its runs. Each start
/// order ends with `outcome`. Returns the number of starts.
fn count_starts_of_lost_task(outcome: CallOutcome) -> usize {
    let mut cell = cell(2);
    cell.add_new_shard(0, shard("j", 1, 1_000));
    let mut count = 0;
    for now in (100..60_000).step_by(100) {
        for (worker, run) in starts(&cell.tick(now, now * 1_000)) {
            count += 1;
            cell.finish_start(now, &worker, run.id, outcome);
        }
        for action in cell.write_shards() {
            if let Action::Write { key, .. } = action {
                cell.finish_write(&key, WriteOutcome::Committed);
            }
        }
        for worker in 0..2 {
            answer(&mut cell, now + 50, worker, idle_reply());
        }
    }
    count
}

/// A worker that a task crashes reports no failure of the task. Without a limit on lost runs,
/// such a task was started 300 times in 60 s.
#[test]
fn a_task_whose_runs_are_lost_with_their_workers_fails() {
    assert_eq!(count_starts_of_lost_task(CallOutcome::Done(0)), 8);
    assert_eq!(count_starts_of_lost_task(CallOutcome::Lost), 8);
}

#[test]
fn a_write_in_doubt_is_resolved_by_reading_the_row() {
    let mut cell = cell(1);
    cell.add_new_shard(0, shard("j", 1, 1_000));
    let (worker, run) = starts(&cell.tick(10, 10_000)).remove(0);
    cell.finish_start(15, &worker, run.id, CallOutcome::Done(0));
    cell.finish_stop(20, 20_000, &worker, run.id, CallOutcome::Done(700));
    let writes = cell.write_shards();
    let [Action::Write { key, row, .. }] = &writes[..] else {
        panic!("{writes:?}");
    };
    cell.finish_write(key, WriteOutcome::Unknown);
    assert!(starts(&cell.tick(40, 40_000)).is_empty());
    let found = VersionedShard {
        key: key.clone(),
        version: 2,
        row: row.clone(),
    };
    cell.resolve_write(key, Some(&found));
    assert_eq!(starts(&cell.tick(50, 50_000)).len(), 1);
}

#[test]
fn a_new_owner_holds_tasks_that_may_still_run() {
    let mut cell = Cell::new("h/r".into(), 2, 0, Policy::default(), TIMINGS);
    cell.set_workers(&[listed_worker(0)], &Default::default());
    let mut stored = shard("j", 1, 1_000);
    stored.row.epoch = 1;
    cell.load_shards(0, vec![stored]);
    answer(&mut cell, 10, 0, idle_reply());
    assert!(starts(&cell.tick(20, 20_000)).is_empty());
    let lease_end = TIMINGS.run_lease + TIMINGS.margin;
    answer(&mut cell, lease_end, 0, idle_reply());
    answer(&mut cell, lease_end + 250, 0, idle_reply());
    assert_eq!(starts(&cell.tick(lease_end + 250, 1)).len(), 1);
}

#[test]
fn a_start_in_doubt_on_a_silent_worker_is_not_repeated() {
    let mut cell = cell(2);
    cell.add_new_shard(0, shard("j", 1, 1_000));
    let (worker, run) = starts(&cell.tick(10, 10_000)).remove(0);
    cell.finish_start(15, &worker, run.id, CallOutcome::Lost);
    let other = if &*worker == "w0" { 1 } else { 0 };
    for now in (100..5_000).step_by(100) {
        answer(&mut cell, now, other, idle_reply());
        assert!(starts(&cell.tick(now, now * 1_000)).is_empty(), "at {now}");
    }
}

#[test]
fn a_throttle_without_an_answer_does_not_free_cores() {
    let mut cell = cell(1);
    cell.add_new_shard(0, shard("j", 1, 2_000));
    let (worker, run) = starts(&cell.tick(10, 10_000)).remove(0);
    cell.finish_start(15, &worker, run.id, CallOutcome::Done(0));
    let before = cell.free_cores(20);
    cell.finish_throttle(20, 20_000, &worker, run.id, 500, CallOutcome::Lost);
    assert_eq!(cell.free_cores(20), before);
    cell.finish_throttle(30, 30_000, &worker, run.id, 500, CallOutcome::Done(0));
    assert!(cell.free_cores(30) >= before);
}

#[test]
fn a_leaving_worker_gets_no_requests_and_tasks() {
    let mut cell = cell(1);
    let mut reply = idle_reply();
    reply.leaving = true;
    answer(&mut cell, 10, 0, reply);
    let actions = cell.admit(20, 20_000, request(1, Class::Critical, 1_000));
    assert!(matches!(actions[..], [Action::Refuse { .. }]));
    cell.add_new_shard(20, shard("j", 1, 500));
    assert!(starts(&cell.tick(30, 30_000)).is_empty());
}

#[test]
fn interference_is_learned_from_noisy_samples() {
    let mut estimates = InterferenceEstimates::default();
    let mut random = crate::utils::random::Random::new(7);
    let added_slowdown = |kind: &str| if kind == "loud" { 1.0 } else { 0.05 };
    for _ in 0..400 {
        let mut others: Vec<Name> = Vec::new();
        for kind in ["loud", "calm"] {
            if random.chance(0.5) {
                others.push(kind.into());
            }
        }
        let sum: f64 = others.iter().map(|k| added_slowdown(k)).sum();
        let noise = (random.unit() - 0.5) * 0.4;
        estimates.learn(&Sample {
            kind: "s".into(),
            others,
            slowdown: 1.0 + sum + noise,
            busy: false,
        });
    }
    let (loud, _) = estimates.mean_and_variance("s", "loud", false);
    let (calm, _) = estimates.mean_and_variance("s", "calm", false);
    assert!((loud - 1.0).abs() < 0.15, "{loud}");
    assert!((calm - 0.05).abs() < 0.15, "{calm}");
}

#[test]
fn an_adopted_run_of_a_silent_worker_does_not_end_before_its_lease() {
    const BEGIN: Millis = 10_000;
    for delay in [10, TIMINGS.run_lease + TIMINGS.margin + 10] {
        check_adopted_run(BEGIN, BEGIN + delay);
    }
}

/// Has a worker report a run at `adopted` and then become silent, and checks that the run is kept
/// for the length of its lease. The cell is owned since `begin`.
fn check_adopted_run(begin: Millis, adopted: Millis) {
    let mut cell = Cell::new("h/r".into(), 2, begin, Policy::default(), TIMINGS);
    cell.set_workers(&[listed_worker(0)], &Default::default());
    let mut stored = shard("j", 1, 1_000);
    stored.row.epoch = 1;
    let key = stored.key.clone();
    cell.load_shards(begin, vec![stored]);
    let mut reply = idle_reply();
    reply.runs = vec![RunReport {
        id: 1 << 32,
        job: "j".into(),
        task: 0,
        kind: "k".into(),
        size: shard("j", 1, 1_000).row.spec.size,
        state: RunState::Running,
        progress: 10,
        share: 1_000,
        usage: 0,
    }];
    answer(&mut cell, adopted, 0, reply);
    let poll = |now| SentPoll {
        sent: now,
        round: 1,
        acks: Vec::new(),
    };
    // The earlier owner may have renewed the lease right before `begin`, or the worker may
    // have received the start right before the report.
    for now in (adopted..adopted + TIMINGS.run_lease + TIMINGS.margin).step_by(100) {
        cell.tick(now, now * 1_000);
        cell.finish_poll(
            now,
            now * 1_000,
            &"w0".into(),
            poll(now),
            PollOutcome::NotSent,
        );
        assert_eq!(
            cell.shards[&key].states,
            [TaskState::Running(1 << 32)],
            "at {now}"
        );
    }
}

#[test]
fn held_tasks_wait_for_an_answer_after_the_job_shards_were_read() {
    let mut cell = Cell::new("h/r".into(), 2, 0, Policy::default(), TIMINGS);
    cell.set_workers(&[listed_worker(0)], &Default::default());
    let late = TIMINGS.run_lease + TIMINGS.margin + 500;
    for now in (0..late).step_by(100) {
        answer(&mut cell, now, 0, idle_reply());
    }
    let mut stored = shard("j", 1, 1_000);
    stored.row.epoch = 1;
    cell.load_shards(late, vec![stored]);
    assert!(starts(&cell.tick(late, late * 1_000)).is_empty());
    answer(&mut cell, late + 10, 0, idle_reply());
    assert_eq!(starts(&cell.tick(late + 20, late * 1_000)).len(), 1);
}

/// Returns a report of a run of the first task of a job of `shard`.
fn run_report(id: RunId, job: &str, cores: u32, state: RunState) -> RunReport {
    RunReport {
        id,
        job: job.into(),
        task: 0,
        kind: "k".into(),
        size: shard(job, 1, cores).row.spec.size,
        state,
        progress: 0,
        share: 1_000,
        usage: 0,
    }
}

/// Has a worker report an ended run of an earlier owner beside the counted run of another job of
/// the same team, whose quota allows one of them at a time, and returns the starts that follow.
fn starts_after_foreign_end(state: RunState) -> Vec<(Name, Run)> {
    let mut cell = Cell::new("h/r".into(), 2, 0, Policy::default(), TIMINGS);
    cell.set_workers(&[listed_worker(0)], &Default::default());
    let quota = Quota {
        cores: 1_500,
        weight: 1,
    };
    cell.quotas.insert("t".into(), quota);
    let mut held = shard("held", 1, 1_000);
    held.row.epoch = 1;
    cell.load_shards(0, vec![held]);
    answer(&mut cell, 10, 0, idle_reply());
    cell.add_new_shard(20, shard("new", 2, 1_000));
    let first = starts(&cell.tick(30, 30_000));
    assert_eq!(first.len(), 1, "the quota allows one task");
    cell.finish_start(40, &first[0].0, first[0].1.id, CallOutcome::Done(0));
    let mut reply = idle_reply();
    reply.runs = vec![
        run_report(first[0].1.id, "new", 1_000, RunState::Running),
        run_report(1 << 32, "held", 1_000, state),
    ];
    answer(&mut cell, 100, 0, reply);
    starts(&cell.tick(110, 110_000))
}

/// The cores of the ended run were taken off those of the counted one, so that the team got more
/// than its quota.
#[test]
fn the_end_of_a_run_that_was_never_counted_frees_no_quota() {
    for state in [RunState::Finished, RunState::Failed, RunState::Stopped] {
        let again = starts_after_foreign_end(state);
        assert!(again.is_empty(), "{state:?}: {again:?}");
    }
}

/// A run that the cell stops because its task has another one, or none, was never counted.
#[test]
fn a_run_that_the_cell_did_not_want_frees_no_quota() {
    let mut cell = cell(1);
    let quota = Quota {
        cores: 1_500,
        weight: 1,
    };
    cell.quotas.insert("t".into(), quota);
    cell.add_new_shard(0, shard("new", 2, 1_000));
    let mut cancelled = shard("over", 2, 1_000);
    cancelled.row.tasks[0].phase = Phase::Done;
    cell.add_new_shard(0, cancelled);
    let first = starts(&cell.tick(10, 10_000)).remove(0);
    cell.finish_start(15, &first.0, first.1.id, CallOutcome::Done(0));
    let mut reply = idle_reply();
    reply.runs = vec![
        run_report(first.1.id, &first.1.job, 1_000, RunState::Running),
        run_report(7, "over", 1_000, RunState::Running),
    ];
    answer(&mut cell, 100, 0, reply);
    cell.finish_stop(110, 110_000, &"w0".into(), 7, CallOutcome::Done(0));
    let again = starts(&cell.tick(120, 120_000));
    assert!(again.is_empty(), "{again:?}");
}

/// The end of a run was acknowledged and a running one was stopped if their job's row did not decode,
/// though a later build may be able to read it.
#[test]
fn the_runs_of_an_unreadable_job_are_neither_stopped_nor_acknowledged() {
    let mut cell = cell(1);
    cell.set_unreadable(["torn".into()].into());
    let mut reply = idle_reply();
    reply.runs = vec![
        run_report(7, "torn", 1_000, RunState::Running),
        run_report(8, "torn", 1_000, RunState::Finished),
        run_report(9, "removed", 1_000, RunState::Finished),
    ];
    let actions = answer(&mut cell, 100, 0, reply);
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(cell.workers["w0"].acks, [9]);
}

/// Returns a reply of a worker with these runs; with false, it accepts no new work.
fn reply_with(runs: Vec<RunReport>, accepts: bool) -> PollReply {
    PollReply {
        runs,
        leaving: !accepts,
        ..idle_reply()
    }
}

/// Returns a report of a run of a task of a job.
fn task_report(id: RunId, job: &str, task: u32, state: RunState) -> RunReport {
    RunReport {
        task,
        ..run_report(id, job, 100, state)
    }
}

/// A worker in quarantine fails further tasks. A failure on it that was taken back already was taken
/// back once more, and with it the one on a sound worker.
#[test]
fn a_failure_is_taken_back_once() {
    use RunState::{Failed, Running};
    let mut cell = Cell::new("h/r".into(), 2, 0, Policy::default(), TIMINGS);
    cell.policy.failure_limit = 10;
    let listed: Vec<ListedWorker> = (0..4).map(listed_worker).collect();
    cell.set_workers(&listed, &Default::default());
    let stored = ["j", "k"].map(|job| {
        let mut stored = shard(job, 2, 100);
        stored.row.epoch = 1;
        stored
    });
    let key = stored[0].key.clone();
    cell.load_shards(0, stored.into());
    let others = |state| {
        let runs = [(11, "j", 1), (12, "k", 0), (13, "k", 1)];
        runs.map(|(id, job, task)| task_report(id, job, task, state))
    };
    answer(&mut cell, 10, 0, reply_with(others(Running).into(), true));
    answer(
        &mut cell,
        10,
        1,
        reply_with(vec![task_report(10, "j", 0, Running)], false),
    );
    answer(
        &mut cell,
        20,
        1,
        reply_with(vec![task_report(10, "j", 0, Failed)], false),
    );
    cell.write_shards();
    cell.finish_write(&key, WriteOutcome::Committed);
    let (worker, run) = starts(&cell.tick(30, 30_000)).remove(0);
    assert_eq!((&*worker, &*run.job, run.task), ("w0", "j", 0));
    let mut runs = vec![task_report(run.id, "j", 0, Failed)];
    runs.extend(others(Failed).into_iter().skip(1));
    runs.push(task_report(11, "j", 1, Running));
    answer(&mut cell, 40, 0, reply_with(runs, true));
    assert!(cell.workers["w0"].quarantined_until > 40);
    assert_eq!(cell.shards[&key].row.tasks[0].failures, 1, "one on w1");
    answer(&mut cell, 50, 0, reply_with(others(Failed).into(), true));
    assert_eq!(cell.shards[&key].row.tasks[0].failures, 1, "one on w1");
}
