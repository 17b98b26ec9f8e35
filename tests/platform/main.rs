//! `willowpoint serve` as separate processes against stand-ins of the platform's
//! store and workers: takeovers, planned stops, and a store in trouble.

mod cordon;
#[allow(dead_code)] // the soak uses what these tests do not
mod deployment;
mod faults;
#[path = "../support/proxy.rs"]
mod proxy;
mod store;
#[path = "../support/mod.rs"]
mod support;
#[allow(dead_code)] // as above
mod worker;

use std::time::Duration;

use deployment::{Deployment, show_job_on};
use store::Behavior;
use support::wait_for;

/// How long tasks run.
const TASK_DURATION: Duration = Duration::from_millis(300);
/// How long an owner has served that counts as settled: longer than any box would
/// let another load.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time that each answer of a slow store takes.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// How long tasks run that should outlast a trouble.
const LONG_DURATION: Duration = Duration::from_millis(3_000);
/// How long tasks run of jobs that are only to be over.
const SHORT_DURATION: Duration = Duration::from_millis(20);
/// Jobs that are over before a takeover; more than one page of the store's rows.
const FINISHED_JOBS: usize = 110;

/// Starts three boxes that all follow the owner, which has taken a job; returns the owner and
/// one that follows it.
fn start_followed(id: &str) -> (Deployment, usize, usize) {
    let deployment = Deployment::start(3, 2, TASK_DURATION);
    deployment.submit_until_accepted(id, 1);
    let owner = deployment.owner();
    deployment.wait_served();
    (deployment, owner, (owner + 1) % 3)
}

/// Asserts that each task of a job with two steps ran, and none twice at a time.
fn assert_ran(deployment: &Deployment, id: &str, tasks: u32) {
    let record = deployment.record();
    let ran = record.starts.keys().filter(|t| t.starts_with(id)).count();
    assert_eq!(ran as u32, tasks * 2, "{:?}", record.starts);
    assert!(record.duplicates.is_empty(), "{:?}", record.duplicates);
}

/// Waits until new jobs are refused with the time to come back.
fn wait_refused(deployment: &Deployment) {
    let mut number = 0;
    wait_for("a refusal", || {
        number += 1;
        let (status, text) = deployment.submit(0, &format!("ffff{number:012x}"), 1);
        let back = text.to_ascii_lowercase().contains("retry-after");
        status == 503 && back
    });
}

#[test]
fn a_job_runs_once_through_whichever_box_it_comes() {
    let deployment = Deployment::start(3, 3, TASK_DURATION);
    for number in 0..3 {
        let id = format!("000000000000000{number}");
        assert_eq!(deployment.submit(number, &id, 4).0, 200);
        assert_eq!(
            deployment.submit((number + 1) % 3, &id, 4).0,
            200,
            "handed in again"
        );
    }
    for number in 0..3 {
        let id = format!("000000000000000{number}");
        deployment.wait_completed(&id);
        assert_ran(&deployment, &id, 4);
    }
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "a calm day starts nothing twice");
}

#[test]
fn bad_requests_are_told_what_is_wrong() {
    let deployment = Deployment::start(1, 1, TASK_DURATION);
    assert_eq!(deployment.send(0, "GET", "/elsewhere/1", "").0, 404);
    assert_eq!(deployment.send(0, "POST", "/holds/short", "{}").0, 400);
    assert_eq!(
        deployment.send(0, "PUT", "/holds/0123456789abcdef", "").0,
        405
    );
    let (status, text) = deployment.send(0, "POST", "/holds/0123456789abcdef", "{");
    assert_eq!(status, 400, "{text}");
    assert_eq!(
        deployment.send(0, "GET", "/holds/0123456789abcdef", "").0,
        410
    );
    assert_eq!(
        deployment
            .send(0, "DELETE", "/holds/0123456789abcdef", "")
            .0,
        410
    );
}

#[test]
fn a_job_outlives_the_kill_of_two_owners() {
    let mut deployment = Deployment::start(3, 3, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000aa", 4);
    wait_for("tasks to run", || !deployment.record().running.is_empty());
    for _ in 0..2 {
        let owner = deployment.owner();
        deployment.kill(owner);
        wait_for("another owner", || deployment.owner() != owner);
    }
    deployment.wait_completed("00000000000000aa");
    assert_ran(&deployment, "00000000000000aa", 4);
}

#[test]
fn a_takeover_loads_open_jobs_only_and_knows_those_that_are_over() {
    let mut deployment = Deployment::start(2, 4, SHORT_DURATION);
    let ids: Vec<String> = (0..FINISHED_JOBS)
        .map(|n| format!("00000000000b{n:04x}"))
        .collect();
    for id in &ids {
        deployment.submit_until_accepted(id, 1);
    }
    for id in &ids {
        deployment.wait_completed(id);
    }
    let owner = deployment.owner();
    deployment.kill(owner);
    wait_for("another owner", || deployment.owner() != owner);
    let next = deployment.owner();
    let loaded = deployment.loaded_jobs(next);
    assert!(
        loaded < FINISHED_JOBS / 10,
        "{loaded} jobs loaded, and none is open"
    );
    for id in &ids {
        wait_for("the end to be shown", || {
            deployment.state(next, id) == "completed"
        });
    }
    let path = "/holds/00000000000c0000";
    wait_for("word of an unknown job", || {
        deployment.send(next, "GET", path, "").0 == 410
    });
    assert_eq!(
        deployment.submit(next, &ids[0], 1).0,
        200,
        "handed in again"
    );
    deployment.submit_until_accepted("00000000000c0000", 1);
    deployment.wait_completed("00000000000c0000");
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "what is over does not run again");
}

#[test]
fn a_planned_stop_of_the_owner_hands_over_and_answers_open_connections() {
    let mut deployment = Deployment::start(2, 2, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000bb", 2);
    let owner = deployment.owner();
    let open = deployment.connect(owner);
    deployment.signal(owner, libc::SIGTERM);
    wait_for("another owner", || deployment.owner() != owner);
    let told = show_job_on(open, "00000000000000bb");
    assert!(told.starts_with("HTTP/1.1 200"), "{told}");
    assert_eq!(deployment.wait_end(owner), Some(0));
    deployment.wait_completed("00000000000000bb");
    assert_ran(&deployment, "00000000000000bb", 2);
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "a hand-over starts nothing again");
}

/// Boxes of a large deployment were stopped in turn, and little was served for a
/// second or two after each owner's stop, until none served and lasting tasks were
/// lost. Followers took an owner that had just given the cell up for one that never
/// began to serve, since they counted from when they had first seen it
/// (`event=owner-loads cores=500 waited_ms=38413`): strong boxes waited for 0.4 s more
/// in vain, and a weak one came first, which needs seconds to load the jobs.
#[test]
fn a_planned_stop_is_not_taken_for_an_owner_that_never_served() {
    let deployment = Deployment::start(3, 1, TASK_DURATION);
    std::thread::sleep(SETTLE_TIME);
    let owner = deployment.owner();
    deployment.signal(owner, libc::SIGTERM);
    wait_for("another owner", || deployment.owner() != owner);
    for number in 0..3 {
        let text = deployment.output(number);
        let taken = |l: &&str| {
            ["event=owner-loads", "cause=Stuck"]
                .iter()
                .any(|e| l.contains(e))
        };
        let late = text.lines().find(taken);
        assert_eq!(late, None, "box {number}");
    }
}

/// When only weak boxes were left, each needed 3.4 to 5 s to load what the store held and
/// was replaced meanwhile or right after (`event=owner-begins epoch=10 jobs=1493
/// load_ms=3475`, 1.6 s later `event=owner-ends reason=deposed`): ten owners followed each
/// other so, nobody served and no lease was extended. How long a load may take was a
/// constant, and loads grow with the jobs. Here the store is slow and a load takes 8 s.
#[test]
fn an_owner_that_loads_for_long_is_left_to_it_while_it_goes_on() {
    let mut deployment = Deployment::start(3, 1, TASK_DURATION);
    deployment.store.fill_rows("spec", "main", 2_400);
    deployment.store.set_delay(STORE_DELAY);
    let owner = deployment.owner();
    deployment.kill(owner);
    wait_for("another owner", || deployment.owner() != owner);
    deployment.store.set_delay(Duration::ZERO);
    deployment.submit_until_accepted("00000000000000b1", 1);
    deployment.wait_completed("00000000000000b1");
    let outputs: String = (0..3).map(|n| deployment.output(n)).collect();
    for sign in ["event=replaced-loading", "cause=Unconfirmed", "cause=Stuck"] {
        assert!(!outputs.contains(sign), "{sign}: {outputs}");
    }
}

/// A page that the store does not give is read again by itself, and not the load.
#[test]
fn a_load_goes_on_where_the_store_turned_it_away() {
    let mut deployment = Deployment::start(2, 1, TASK_DURATION);
    deployment.store.fill_rows("spec", "main", 1_000);
    deployment.store.set_delay(STORE_DELAY);
    let owner = deployment.owner();
    deployment.kill(owner);
    wait_for("a load", || deployment.store.pages_read("spec") > 2);
    deployment.store.set_behavior(Behavior::Rejecting);
    wait_for("a page that fails", || {
        deployment.output(1 - owner).contains("event=load-failed")
    });
    deployment.store.set_behavior(Behavior::Serving);
    wait_for("another owner", || deployment.owner() != owner);
    let text = deployment.output(1 - owner);
    assert!(!text.contains("event=replaced-loading"), "{text}");
    // Ten pages and perhaps one that has rows of jobs; the first load is that of the
    // owner that was killed.
    let reads = deployment.store.pages_read("spec");
    assert!(reads <= 13, "{reads} pages were read");
}

#[test]
fn metrics_and_log_tell_who_is_the_owner_and_how_one_ended() {
    let mut deployment = Deployment::start(2, 1, TASK_DURATION);
    deployment.submit_until_accepted("00000000000000ab", 1);
    let owner = deployment.owner();
    let other = 1 - owner;
    let epoch = deployment.metric(owner, "owner_epoch").expect("an answer");
    assert!(epoch > 0);
    assert_eq!(deployment.metric(other, "owner_epoch"), Some(0));
    wait_for("the other box to follow", || {
        let served = deployment.metric(other, "owner_unserved_ms") == Some(0);
        served && deployment.metric(other, "followed_epoch") == Some(epoch)
    });
    deployment.signal(owner, libc::SIGTERM);
    wait_for("the next owner", || {
        deployment.metric(other, "owner_epoch") > Some(epoch)
    });
    for name in ["owner_epoch", "jobs", "workers", "unconfirmed_ms"] {
        // It ends once the answer to its last commit is in, or is gone by then.
        wait_for(name, || deployment.metric(owner, name).unwrap_or(0) == 0);
    }
    assert_eq!(deployment.wait_end(owner), Some(0));
    let text = deployment.output(owner);
    let end = text.lines().find(|l| l.contains("event=owner-ends"));
    let end = end.expect("the line of the owner's end");
    assert!(
        end.contains(&format!("epoch={epoch} reason=released")),
        "{end}"
    );
    for name in ["served_ms=", "load_ms=", "leaving_ms=", "late_ms="] {
        assert!(end.contains(name), "{name} in {end}");
    }
}

#[test]
fn a_hangup_reads_the_settings_and_ends_nothing() {
    let deployment = Deployment::start(1, 1, TASK_DURATION);
    deployment.signal(0, libc::SIGHUP);
    wait_for("the reload", || {
        deployment.output(0).contains("event=reload ")
    });
    deployment.submit_until_accepted("00000000000000cc", 1);
    deployment.wait_completed("00000000000000cc");
}

#[test]
fn what_runs_outlasts_a_silent_store_and_new_jobs_are_refused_at_once() {
    let deployment = Deployment::start(2, 2, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000dd", 2);
    wait_for("tasks to run", || deployment.record().running.len() == 2);
    deployment.store.set_behavior(Behavior::Silent);
    wait_refused(&deployment);
    let asked = std::time::Instant::now();
    assert_eq!(deployment.submit(1, "00000000000000ee", 1).0, 503);
    assert!(
        asked.elapsed() < LONG_DURATION,
        "a refusal is not held back"
    );
    deployment.store.set_behavior(Behavior::Serving);
    deployment.wait_completed("00000000000000dd");
    assert_ran(&deployment, "00000000000000dd", 2);
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "nothing was started again");
    deployment.submit_until_accepted("00000000000000ee", 1);
    deployment.wait_completed("00000000000000ee");
}

#[test]
fn commits_whose_answers_are_lost_are_found() {
    let deployment = Deployment::start(2, 2, TASK_DURATION);
    deployment.submit_until_accepted("00000000000000f0", 1);
    deployment.store.set_behavior(Behavior::DroppingReplies);
    deployment.submit_until_accepted("00000000000000f1", 2);
    deployment.wait_completed("00000000000000f1");
    deployment.store.set_behavior(Behavior::Serving);
    assert_ran(&deployment, "00000000000000f1", 2);
    let found = (0..2).any(|n| deployment.output(n).contains("event=commit-found"));
    assert!(found, "the row told of a commit");
}

#[test]
fn jobs_go_on_while_the_store_is_slow() {
    let deployment = Deployment::start(2, 2, TASK_DURATION);
    deployment.store.set_delay(Duration::from_millis(300));
    deployment.submit_until_accepted("00000000000000f2", 2);
    deployment.wait_completed("00000000000000f2");
    assert_ran(&deployment, "00000000000000f2", 2);
}

#[test]
fn a_configuration_arrives_after_the_history_was_forgotten() {
    let deployment = Deployment::start(2, 1, TASK_DURATION);
    assert_eq!(deployment.send(0, "GET", "/more/", "").0, 404);
    deployment.store.forget_history();
    deployment.configure(2, &["/holds/", "/more/"]);
    for number in 0..2 {
        wait_for("the queue", || {
            deployment.send(number, "GET", "/more/", "").0 == 200
        });
    }
    deployment.configure(1, &["/holds/"]);
    deployment.submit_until_accepted("00000000000000f3", 1);
    deployment.wait_completed("00000000000000f3");
    assert_eq!(
        deployment.send(0, "GET", "/more/", "").0,
        200,
        "never an older one"
    );
}

#[test]
fn a_worker_that_is_dropped_from_the_directory_gets_nothing_new() {
    let deployment = Deployment::start(1, 2, TASK_DURATION);
    deployment.submit_until_accepted("00000000000000f4", 8);
    deployment.wait_completed("00000000000000f4");
    deployment.store.delete_row("servers", "i-0");
    wait_for("the news", || {
        deployment.output(0).contains("worker=i-0 event=unlisted")
    });
    deployment.submit_until_accepted("00000000000000f5", 8);
    deployment.wait_completed("00000000000000f5");
    let text = deployment.output(0);
    let late = text
        .lines()
        .filter(|l| l.contains("task=00000000000000f5") && l.contains("event=start"));
    assert!(late.clone().count() > 0, "starts are logged");
    assert!(
        late.clone().all(|l| l.contains("worker=i-1")),
        "all on the other one"
    );
}

#[test]
fn a_store_that_turns_calls_away_is_waited_for() {
    let deployment = Deployment::start(2, 1, TASK_DURATION);
    deployment.store.set_behavior(Behavior::Rejecting);
    wait_refused(&deployment);
    deployment.store.set_behavior(Behavior::Serving);
    deployment.submit_until_accepted("00000000000000f6", 1);
    deployment.wait_completed("00000000000000f6");
    assert_ran(&deployment, "00000000000000f6", 1);
}

/// The store turns the owner and one that follows it away: only the owner before can tell
/// that one who comes next.
#[test]
fn a_box_that_the_store_turns_away_follows_the_next_owner() {
    let (deployment, owner, follower) = start_followed("00000000000000e0");
    deployment.disconnect_store(&[owner, follower]);
    wait_for("another owner", || deployment.owner() != owner);
    for (number, id) in [(follower, "00000000000000e1"), (owner, "00000000000000e2")] {
        wait_for("a job to be taken through a box that is cut off", || {
            deployment.submit(number, id, 1).0 == 200
        });
    }
    deployment.disconnect_store(&[]);
    for id in ["00000000000000e0", "00000000000000e1", "00000000000000e2"] {
        deployment.wait_completed(id);
        assert_ran(&deployment, id, 1);
    }
}

/// The store turns a box away and the owner that it follows dies. Nobody told the box of the
/// next one, as only the owner before does, and it refused every job for as long as that
/// lasted: `owner-silent` and `owner-unread` was all that it wrote. Others know.
#[test]
fn a_box_that_the_store_turns_away_finds_the_owner_after_a_dead_one() {
    let (mut deployment, owner, follower) = start_followed("00000000000000e8");
    wait_for("the boxes to know one another", || {
        let known = |n| deployment.metric(n, "other_boxes") > Some(0);
        (0..3).filter(|n| *n != owner).all(known)
    });
    deployment.disconnect_store(&[follower]);
    deployment.kill(owner);
    wait_for("a job to be taken through a box that is cut off", || {
        deployment.submit(follower, "00000000000000e9", 1).0 == 200
    });
    deployment.wait_completed("00000000000000e9");
    assert_ran(&deployment, "00000000000000e9", 1);
}

/// A box is ready with its configuration, some milliseconds before it knows the owner. One that
/// the store turned away in between knew of no other box: `owner-unread` was all that it wrote,
/// and callers whom the balancer sent there were refused for as long as that lasted, beside two
/// boxes that served. Nobody can tell it of an owner, so it has to say that it is not ready.
#[test]
fn a_box_that_knows_neither_an_owner_nor_the_store_is_not_ready() {
    let (mut deployment, owner, late) = start_followed("00000000000000e3");
    deployment.kill(late);
    deployment.store.refuse_reads(Some("owner"));
    deployment.restart(late);
    wait_for("its configuration", || {
        deployment.metric(late, "config_version") == Some(1)
    });
    deployment.disconnect_store(&[late]);
    deployment.store.refuse_reads(None);
    wait_for("the box to say that it is not ready", || {
        !deployment.is_ready(late)
    });
    assert!(deployment.is_ready(owner), "one that serves is");
    assert_eq!(deployment.submit(late, "00000000000000e4", 1).0, 503);
    deployment.disconnect_store(&[]);
    wait_for("the box to be ready", || deployment.is_ready(late));
    wait_for("a job to be taken through it", || {
        deployment.submit(late, "00000000000000e4", 1).0 == 200
    });
    deployment.wait_completed("00000000000000e4");
}

/// The box that takes over cannot load at first, and then finds its own row before it.
#[test]
fn a_box_that_takes_over_at_its_second_try_tells_the_owner_before() {
    let (deployment, owner, follower) = start_followed("00000000000000e5");
    deployment.store.refuse_reads(Some("spec"));
    deployment.disconnect_store(&[owner, follower]);
    let third = (owner + 2) % 3;
    wait_for("a load that fails", || {
        let text = deployment.output(third);
        text.contains("event=load-failed epoch=2") && text.contains("event=load-failed epoch=3")
    });
    deployment.store.refuse_reads(None);
    for (number, id) in [(follower, "00000000000000e6"), (owner, "00000000000000e7")] {
        wait_for("a job to be taken through a box that is cut off", || {
            deployment.submit(number, id, 1).0 == 200
        });
    }
}

#[test]
fn connections_to_the_store_that_fell_silent_are_replaced() {
    let deployment = Deployment::start(2, 2, TASK_DURATION);
    deployment.submit_until_accepted("0000000000000001", 2);
    deployment.wait_completed("0000000000000001");
    deployment.silence_connections();
    deployment.submit_until_accepted("0000000000000002", 2);
    deployment.wait_completed("0000000000000002");
    assert_ran(&deployment, "0000000000000002", 2);
    let owner = deployment.output(deployment.owner());
    let found = |line: &&str| line.contains("event=commit-in-doubt number=");
    assert!(
        owner.lines().any(|l| found(&l)),
        "the store is asked over a new connection what became of a commit:\n{owner}"
    );
}
