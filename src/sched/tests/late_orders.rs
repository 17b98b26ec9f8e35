//! Tests of orders that workers carry out late, after newer ones or in a later incarnation.

use super::world::{World, job, lasting, step};
use crate::sched::job::JobState;
use crate::sched::message::{DirectoryEntry, Event, OrderAck, Poll, Reply, RunOutcome};
use crate::sched::worker::max_lease_duration;
use crate::utils::clock::Millis;

/// Runs a job of four tasks on worker `w0`, and returns the poll that acknowledges all of them.
fn acknowledge_four(world: &mut World) -> Poll {
    world.script = |_, _| (300, RunOutcome::Done);
    world.submit("before", job(vec![step(4, 1_000)]));
    world.run(3_000);
    let poll = world.last_acknowledging["w0"].clone();
    assert_eq!(poll.acknowledged, 4);
    poll
}

/// Asserts that each of four tasks of a job runs exactly once.
fn assert_ran_once(world: &mut World, id: &str) {
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.job_state(id), Some(JobState::Completed));
    let starts = world.starts.iter().filter(|s| s.0.starts_with(id));
    assert_eq!(starts.count(), 4, "{:?}", world.starts);
}

/// A poll with an acknowledgement reached a later incarnation, which numbers its completions from
/// 1 again: it forgot completions that nobody had read, and their tasks ran again.
#[test]
fn a_late_acknowledgement_makes_no_later_incarnation_forget_completions() {
    let mut world = World::new(1);
    let late = acknowledge_four(&mut world);
    world.restart("w0");
    world.send_directory();
    world.run(500);
    world.submit("after", job(vec![step(4, 1_000)]));
    world.run(100);
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(600);
    assert!(world.running().is_empty());
    world.deliver_poll(&late);
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(8_000);
    assert_ran_once(&mut world, "after");
}

/// Longest lease of the platform in the tests, in milliseconds.
const LONGEST_LEASE: Millis = 12_000;

/// A late poll gives a later incarnation, whose clock begins anew, a lease of the longest length.
/// The owner expected a lease of its own length at most and started the tasks elsewhere while they
/// ran.
#[test]
fn a_late_poll_that_extends_the_lease_of_a_later_incarnation_starts_no_task_twice() {
    let mut world = World::new(1);
    world.settings.longest_lease = LONGEST_LEASE;
    world.owner.change_settings(world.settings);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    world.run(30_000);
    let late = world.last_polls["w0"].clone();
    assert!(late.lease.is_some());
    world.restart("w0");
    world.workers.get_mut("w0").expect("worker").longest_lease = LONGEST_LEASE;
    world.deliver_poll(&late);
    world.send_directory();
    world.run(500);
    assert_eq!(
        world.running().len(),
        4,
        "they run on the later incarnation"
    );
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.add_worker("w1", 7_100);
    world.send_directory();
    world.run(20_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.running().len(), 4, "they run elsewhere in the end");
}

/// A worker that reports no boot time restarted under its id between two polls. The owner took its
/// completions, which are numbered from 1 again, for those of the earlier incarnation.
#[test]
fn a_report_with_a_clock_behind_the_last_reading_comes_from_a_later_incarnation() {
    let mut world = World::new(0);
    world.add_worker("w0", 100);
    world.workers.get_mut("w0").expect("worker").listing.boot = None;
    world.send_directory();
    world.run(500);
    acknowledge_four(&mut world);
    world.restart_as("w0", |listing| listing.boot = None);
    world.run(1_000);
    world.submit("after", job(vec![step(4, 1_000)]));
    world.run(8_000);
    assert_ran_once(&mut world, "after");
}

/// A start was held up until its worker had restarted under its id, and no order had reached the
/// later incarnation, which then knows no fence.
#[test]
fn a_late_start_on_an_incarnation_that_no_order_has_reached_runs_no_task_again() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.submit("j", job(vec![step(1, 1_000)]));
    while world.last_starts.is_empty() {
        world.run(1);
    }
    let late = world.last_starts["w0"].1.clone();
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(1_500);
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(3_000);
    assert_eq!(world.job_state("j"), Some(JobState::Completed));
    world.restart("w0");
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.deliver_start(&late);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// The answer to a start that a later incarnation has carried out.
#[derive(Clone, Copy)]
enum StartAnswer {
    None,
    Lost,
    /// It shows the boot time of the later incarnation.
    Restarted,
}

/// Has a worker answer a poll and restart under its id, and the later incarnation carry out a start
/// of before to its end. The owner handles the answer to the start, and then that to the poll.
fn handle_stale_answer(answer: StartAnswer) {
    let mut world = World::new(1);
    world.script = |task, _| match task.starts_with("after") {
        true => (100, RunOutcome::Done),
        false => (300, RunOutcome::Done),
    };
    world.submit("before", job(vec![step(4, 500)]));
    world.run(200);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.submit("after", job(vec![step(1, 1_000)]));
    while world.workers["w0"].held_ends() < 4 {
        world.run(1);
    }
    // A poll is open. The earlier incarnation answers it; the answer is under way.
    let poll = world.last_polls["w0"].clone();
    let report = world.workers["w0"].report(world.now);
    let (_, start) = world.last_starts["w0"].clone();
    assert!(start.task.starts_with("after"), "{}", start.task);
    assert_eq!((poll.acknowledged, report.ended.len()), (0, 4));
    // It restarts under its id, carries the start out, and the run ends.
    world.restart("w0");
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    let boot = world.workers["w0"].listing.boot;
    world.run(2);
    world.deliver_start(&start);
    world.run(150);
    assert_eq!(world.workers["w0"].held_ends(), 1);
    let reply = match answer {
        StartAnswer::None => None,
        StartAnswer::Lost => Some(Reply::Lost),
        StartAnswer::Restarted => Some(Reply::Ok(OrderAck { clock: 2, boot })),
    };
    if let Some(reply) = reply {
        world.handle(Event::Started(
            start.key,
            start.run,
            start.incarnation.clone(),
            reply,
        ));
    }
    // Only now the answer to the poll is handled.
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.handle(Event::Polled(poll, Reply::Ok(report)));
    world.run(100);
    world.send_directory();
    world.run(10_000);
    assert!(
        world.duplicates.is_empty(),
        "{:?} {:?}",
        world.duplicates,
        world.starts
    );
}

#[test]
fn an_older_answer_does_not_clear_a_doubt_of_the_incarnation() {
    handle_stale_answer(StartAnswer::Restarted);
}

/// Its first poll with the raised fence acknowledged the end of the run that the start had begun.
#[test]
fn nothing_is_acknowledged_before_a_raised_fence_was_answered() {
    handle_stale_answer(StartAnswer::Lost);
}

#[test]
fn nothing_is_acknowledged_while_a_start_has_no_answer() {
    handle_stale_answer(StartAnswer::None);
}

/// Reports with a row that does not decode show no run as missing, so the task waited forever.
#[test]
fn a_lost_start_on_a_worker_with_malformed_reports_runs_elsewhere() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    let worker = world.workers.get_mut("w0").expect("worker");
    worker.edit_report = |r| r.unreadable = 1;
    world.run(2_000);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.submit("j", job(vec![step(1, 1_000)]));
    world.run(100);
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.add_worker("w1", 7_100);
    world.send_directory();
    world.run(60_000);
    assert_eq!(
        world.job_state("j"),
        Some(JobState::Completed),
        "starts {:?}",
        world.starts
    );
}

#[test]
fn the_longest_lease_of_a_restarted_worker_is_waited_for_by_the_next_owner() {
    let mut world = World::new(1);
    world.settings.longest_lease = LONGEST_LEASE;
    world.owner.change_settings(world.settings);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    world.run(30_000);
    let late = world.last_polls["w0"].clone();
    assert!(late.lease.is_some());
    world.restart("w0");
    world.workers.get_mut("w0").expect("worker").longest_lease = LONGEST_LEASE;
    world.deliver_poll(&late);
    world.send_directory();
    world.run(500);
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    let inherited = max_lease_duration(world.settings.lease_length);
    world.take_over(inherited);
    world.add_worker("w1", 7_100);
    world.send_directory();
    world.run(20_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn the_longest_lease_of_a_restarted_worker_that_is_listed_again_is_waited_for() {
    let mut world = World::new(1);
    world.settings.longest_lease = LONGEST_LEASE;
    world.owner.change_settings(world.settings);
    world.run(30_000);
    world.script = |task, _| match task.starts_with("first") {
        true => (3_000, RunOutcome::Done),
        false => (600_000, RunOutcome::Done),
    };
    world.submit("first", job(vec![step(1, 1_000)]));
    world.run(1_000);
    let late = world.last_polls["w0"].clone();
    assert!(late.lease.is_some());
    world.run(5_000);
    let entry = ("w0".into(), DirectoryEntry::Removed);
    world.handle(Event::DirectoryChanged(vec![entry]));
    world.run(500);
    assert!(!world.owner.workers.contains_key("w0"));
    world.restart("w0");
    world.workers.get_mut("w0").expect("worker").longest_lease = LONGEST_LEASE;
    world.deliver_poll(&late);
    world.send_directory();
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    world.run(500);
    assert_eq!(world.running().len(), 4);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.add_worker("w1", 7_100);
    world.send_directory();
    world.run(20_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// Returns a world whose worker `w0` runs four lasting tasks with leases of the owner's length,
/// while it accepts leases up to `LONGEST_LEASE`, and its last poll with a lease.
fn world_with_late_poll() -> (World, Poll) {
    let mut world = World::new(1);
    world.settings.longest_lease = LONGEST_LEASE;
    world.owner.change_settings(world.settings);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    world.run(30_000);
    let late = world.last_polls["w0"].clone();
    assert!(late.lease.is_some());
    (world, late)
}

/// The worker restarted and got the longest lease before the next owner first reached it.
#[test]
fn the_longest_lease_of_a_worker_that_restarted_at_a_change_of_owner_is_waited_for() {
    let (mut world, late) = world_with_late_poll();
    world.restart("w0");
    world.workers.get_mut("w0").expect("worker").longest_lease = LONGEST_LEASE;
    world.deliver_poll(&late);
    world.take_over(max_lease_duration(world.settings.lease_length));
    world.run(3_000);
    assert_eq!(
        world.running().len(),
        4,
        "they run on the later incarnation"
    );
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.add_worker("w1", 7_100);
    world.send_directory();
    world.run(20_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.running().len(), 4, "they run elsewhere in the end");
}

/// A worker that has been up for longer than orders are delayed has no lease but those of owners.
#[test]
fn the_longest_lease_is_not_waited_for_after_a_change_of_owner_without_a_restart() {
    let (mut world, _) = world_with_late_poll();
    world.take_over(max_lease_duration(world.settings.lease_length));
    world.add_worker("w1", 7_100);
    world.send_directory();
    world.run(500);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    let lost = world.now;
    world.run(8_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    let elsewhere = world.starts.iter().filter(|start| &*start.2 == "w1");
    let restarted: Vec<Millis> = elsewhere.map(|start| start.3 - lost).collect();
    assert_eq!(restarted.len(), 4);
    assert!(
        restarted.iter().all(|after| *after < 6_000),
        "{restarted:?}"
    );
}

/// What happens to a worker after a start that has no answer and is held up by the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateStartStep {
    /// The worker can be reached until the task has run again to its end.
    Rerun,
    /// The worker restarts under its id and can't be reached.
    Restart,
    /// An order of the owner reaches the worker.
    Reach,
    /// The start is carried out.
    Deliver,
}

/// Returns all orders of the steps of a late start.
fn late_start_orders() -> Vec<Vec<LateStartStep>> {
    use LateStartStep::{Deliver, Reach, Rerun, Restart};
    let steps = [Rerun, Restart, Reach, Deliver];
    let mut orders = vec![Vec::new()];
    for step in steps {
        let extend = |order: Vec<LateStartStep>| {
            (0..=order.len()).map(move |at| {
                let mut longer = order.clone();
                longer.insert(at, step);
                longer
            })
        };
        orders = orders.into_iter().flat_map(extend).collect();
    }
    orders
}

/// Performs the steps of a late start, and returns whether the task ran again after its end.
fn runs_again(order: &[LateStartStep]) -> bool {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.submit("j", job(vec![step(1, 1_000)]));
    while world.last_starts.is_empty() {
        world.run(1);
    }
    let late = world.last_starts["w0"].1.clone();
    let disconnect = |world: &mut World, disconnected: bool| {
        world.workers.get_mut("w0").expect("worker").disconnected = disconnected;
    };
    disconnect(&mut world, true);
    world.run(1_500);
    for step in order {
        match step {
            LateStartStep::Rerun => {
                disconnect(&mut world, false);
                world.run(8_000);
                disconnect(&mut world, true);
            }
            LateStartStep::Reach => {
                disconnect(&mut world, false);
                while !world.workers["w0"].has_fence() {
                    world.run(1);
                }
                disconnect(&mut world, true);
            }
            LateStartStep::Restart => world.restart("w0"),
            LateStartStep::Deliver => world.deliver_start(&late),
        }
        world.run(100);
    }
    !world.duplicates.is_empty()
}

/// A late start runs a task again in just those orders in which the task was run to its end before
/// the worker restarted, and no order reaches the later incarnation before the start does. Up to
/// the start, the owner sees the same as when the start was lost. It would have to leave the task
/// waiting after each unanswered start, for as long as an order may be late.
#[test]
fn a_late_start_runs_a_task_again_only_before_any_order_reaches_the_later_incarnation() {
    use LateStartStep::{Deliver, Reach, Rerun, Restart};
    let orders = late_start_orders();
    assert_eq!(orders.len(), 24);
    for order in orders {
        let at = |step| order.iter().position(|s| *s == step);
        let unreached =
            at(Restart) < at(Deliver) && !(at(Restart) < at(Reach) && at(Reach) < at(Deliver));
        let expected = at(Rerun) < at(Restart) && unreached;
        assert_eq!(runs_again(&order), expected, "{order:?}");
    }
}
