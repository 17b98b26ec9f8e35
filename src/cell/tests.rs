//! Tests of the decisions in one cell.

use super::*;
use crate::job::{JobShardRow, Spec, TaskRow, VersionedShard};
use crate::lease::WriteOutcome;

const SHAPE: Shape = Shape {
    slots: 2,
    connections: 64,
    cores: 4_000,
    memory: 8_000,
    accelerators: 0,
};
const TIMES: Timings = Timings {
    run_lease: 1_000,
    margin: 200,
    poll_interval: 100,
};

fn place(index: usize) -> ListedWorker {
    let port = index as u16 + 1;
    ListedWorker {
        name: format!("w{index}").into(),
        cell: "h/r".into(),
        http: SocketAddr::from(([127, 0, 0, 1], port)),
        rpc: SocketAddr::from(([127, 0, 0, 2], port)),
        leaving: false,
    }
}

fn answer(cell: &mut Cell, now: Millis, worker: usize, reply: PollReply) -> Vec<Action> {
    let asked = SentPoll {
        sent: now,
        round: 1,
        acks: Vec::new(),
    };
    let name: Name = format!("w{worker}").into();
    cell.finish_poll(now, now * 1_000, &name, asked, PollOutcome::Reply(reply))
        .1
}

fn shaped() -> PollReply {
    PollReply {
        shape: SHAPE,
        ..PollReply::default()
    }
}

/// Returns a cell whose workers have answered at time 0.
fn cell(workers: usize) -> Cell {
    let mut cell = Cell::new("h/r".into(), 1, 0, Policy::default(), TIMES);
    let places: Vec<ListedWorker> = (0..workers).map(place).collect();
    cell.set_workers(&places, &Default::default());
    cell.load_shards(0, Vec::new());
    for worker in 0..workers {
        answer(&mut cell, 0, worker, shaped());
    }
    cell
}

fn ask(ticket: u64, class: Class, deadline: Millis) -> PendingRequest {
    PendingRequest {
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

fn starts(actions: &[Action]) -> Vec<(Name, Run)> {
    let start = |a: &Action| match a {
        Action::Start { worker, run, .. } => Some((worker.clone(), run.clone())),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

#[test]
fn a_worker_that_has_not_answered_is_full() {
    let mut cell = Cell::new("h/r".into(), 1, 0, Policy::default(), TIMES);
    cell.set_workers(&[place(0)], &Default::default());
    let actions = cell.admit(10, 10_000, ask(1, Class::Critical, 1_000));
    let [Action::Refuse { reason, .. }] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(reason, Reason::NoRoom);
}

#[test]
fn slots_are_never_exceeded_and_who_waits_is_sent_next() {
    let mut cell = cell(1);
    for ticket in 0..2 {
        let actions = cell.admit(10, 10_000, ask(ticket, Class::Critical, 1_000));
        assert!(matches!(actions[..], [Action::Send { .. }]));
    }
    assert!(
        cell.admit(10, 10_000, ask(2, Class::Critical, 1_000))
            .is_empty()
    );
    let actions = cell.finish_send(20, 20_000, 0, SendOutcome::Answered);
    assert!(
        matches!(actions[..], [Action::Send { ticket: 2, .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_lost_answer_keeps_its_slot_until_the_worker_tells() {
    let mut cell = cell(1);
    for ticket in 0..2 {
        cell.admit(10, 10_000, ask(ticket, Class::Critical, 1_000));
    }
    cell.finish_send(20, 20_000, 0, SendOutcome::Unknown { until: 30 });
    assert_eq!(cell.free_slots(25), 0);
    let mut reply = shaped();
    reply.tickets = vec![0, 1];
    answer(&mut cell, 300, 0, reply);
    assert_eq!(cell.free_slots(300), 0, "it still runs there");
    let mut reply = shaped();
    reply.tickets = vec![1];
    answer(&mut cell, 600, 0, reply);
    // The first answer after a silence does not tell of what lay unread.
    let mut reply = shaped();
    reply.tickets = vec![1];
    answer(&mut cell, 801, 0, reply);
    assert_eq!(cell.free_slots(801), 1);
}

#[test]
fn overload_sheds_batch_before_critical() {
    let mut cell = cell(1);
    cell.policy.queue_limit = 1;
    for ticket in 0..2 {
        cell.admit(10, 10_000, ask(ticket, Class::Critical, 9_000));
    }
    assert!(
        cell.admit(10, 10_000, ask(2, Class::Batch, 9_000))
            .is_empty()
    );
    let actions = cell.admit(10, 10_000, ask(3, Class::Critical, 9_000));
    let shed = |a: &Action| {
        matches!(
            a,
            Action::Refuse {
                ticket: 2,
                reason: Reason::Shed,
                ..
            }
        )
    };
    assert!(actions.iter().any(shed), "{actions:?}");
}

#[test]
fn what_can_not_be_answered_in_time_is_refused_at_once() {
    let mut cell = cell(1);
    for ticket in 0..2 {
        cell.admit(10, 10_000, ask(ticket, Class::Critical, 9_000));
    }
    cell.finish_send(510, 510_000, 0, SendOutcome::Answered);
    let actions = cell.admit(510, 510_000, ask(5, Class::Critical, 600));
    let late = |a: &Action| {
        matches!(
            a,
            Action::Refuse {
                reason: Reason::Deadline,
                ..
            }
        )
    };
    assert!(actions.iter().any(late), "{actions:?}");
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
    assert_eq!(again[0].1.saved, 700, "it resumes from its checkpoint");
    assert_ne!(again[0].1.id, run.id);
}

/// Runs the one task of a cell until it is not started again: each time its worker comes
/// back without it. Returns how often it was started.
fn lose_runs(answered: CallOutcome) -> usize {
    let mut cell = cell(2);
    cell.add_new_shard(0, shard("j", 1, 1_000));
    let mut count = 0;
    for now in (100..60_000).step_by(100) {
        for (worker, run) in starts(&cell.tick(now, now * 1_000)) {
            count += 1;
            cell.finish_start(now, &worker, run.id, answered);
        }
        for action in cell.write_shards() {
            if let Action::Write { key, .. } = action {
                cell.finish_write(&key, WriteOutcome::Committed);
            }
        }
        for worker in 0..2 {
            answer(&mut cell, now + 50, worker, shaped());
        }
    }
    count
}

/// A worker that a task brings down reports no failure of it, so nothing bounded how many
/// workers one task could take: it was started 300 times in 60 s.
#[test]
fn a_task_whose_runs_go_with_their_workers_is_given_up() {
    assert_eq!(lose_runs(CallOutcome::Done(0)), 8);
    assert_eq!(lose_runs(CallOutcome::Lost), 8);
}

#[test]
fn a_write_in_doubt_is_settled_by_reading_the_row() {
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
fn a_new_owner_holds_what_it_can_not_account_for() {
    let mut cell = Cell::new("h/r".into(), 2, 0, Policy::default(), TIMES);
    cell.set_workers(&[place(0)], &Default::default());
    let mut known = shard("j", 1, 1_000);
    known.row.epoch = 1;
    cell.load_shards(0, vec![known]);
    answer(&mut cell, 10, 0, shaped());
    assert!(starts(&cell.tick(20, 20_000)).is_empty());
    let after = TIMES.run_lease + TIMES.margin;
    answer(&mut cell, after, 0, shaped());
    answer(&mut cell, after + 250, 0, shaped());
    assert_eq!(starts(&cell.tick(after + 250, 1)).len(), 1);
}

#[test]
fn a_start_in_doubt_on_a_silent_worker_is_not_repeated() {
    let mut cell = cell(2);
    cell.add_new_shard(0, shard("j", 1, 1_000));
    let (worker, run) = starts(&cell.tick(10, 10_000)).remove(0);
    cell.finish_start(15, &worker, run.id, CallOutcome::Lost);
    let other = if &*worker == "w0" { 1 } else { 0 };
    for now in (100..5_000).step_by(100) {
        answer(&mut cell, now, other, shaped());
        assert!(starts(&cell.tick(now, now * 1_000)).is_empty(), "at {now}");
    }
}

#[test]
fn a_throttle_without_an_answer_never_lowers_what_is_counted() {
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
fn a_leaving_worker_gets_nothing_new() {
    let mut cell = cell(1);
    let mut reply = shaped();
    reply.leaving = true;
    answer(&mut cell, 10, 0, reply);
    let actions = cell.admit(20, 20_000, ask(1, Class::Critical, 1_000));
    assert!(matches!(actions[..], [Action::Refuse { .. }]));
    cell.add_new_shard(20, shard("j", 1, 500));
    assert!(starts(&cell.tick(30, 30_000)).is_empty());
}

#[test]
fn interference_is_learned_from_noisy_samples() {
    let mut estimates = InterferenceEstimates::default();
    let mut random = crate::utils::random::Random::new(7);
    let truth = |kind: &str| if kind == "loud" { 1.0 } else { 0.05 };
    for _ in 0..400 {
        let mut others: Vec<Name> = Vec::new();
        for kind in ["loud", "calm"] {
            if random.chance(0.5) {
                others.push(kind.into());
            }
        }
        let sum: f64 = others.iter().map(|k| truth(k)).sum();
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
fn an_adopted_run_of_a_silent_worker_is_not_over_before_the_old_leases() {
    const BEGIN: Millis = 10_000;
    for late in [10, TIMES.run_lease + TIMES.margin + 10] {
        adopts_and_waits(BEGIN, BEGIN + late);
    }
}

fn adopts_and_waits(begin: Millis, adopted: Millis) {
    let mut cell = Cell::new("h/r".into(), 2, begin, Policy::default(), TIMES);
    cell.set_workers(&[place(0)], &Default::default());
    let mut known = shard("j", 1, 1_000);
    known.row.epoch = 1;
    let key = known.key.clone();
    cell.load_shards(begin, vec![known]);
    let mut reply = shaped();
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
    let asked = |now| SentPoll {
        sent: now,
        round: 1,
        acks: Vec::new(),
    };
    // The earlier owner may have renewed it right before this one won, or its
    // start may have lain unread until right before the report.
    for now in (adopted..adopted + TIMES.run_lease + TIMES.margin).step_by(100) {
        cell.tick(now, now * 1_000);
        cell.finish_poll(
            now,
            now * 1_000,
            &"w0".into(),
            asked(now),
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
fn what_was_reported_before_the_job_shards_were_read_is_not_started_again() {
    let mut cell = Cell::new("h/r".into(), 2, 0, Policy::default(), TIMES);
    cell.set_workers(&[place(0)], &Default::default());
    let late = TIMES.run_lease + TIMES.margin + 500;
    for now in (0..late).step_by(100) {
        answer(&mut cell, now, 0, shaped());
    }
    let mut known = shard("j", 1, 1_000);
    known.row.epoch = 1;
    cell.load_shards(late, vec![known]);
    assert!(starts(&cell.tick(late, late * 1_000)).is_empty());
    answer(&mut cell, late + 10, 0, shaped());
    assert_eq!(starts(&cell.tick(late + 20, late * 1_000)).len(), 1);
}
