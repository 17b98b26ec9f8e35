//! Tests `willowpoint serve` as separate processes with stand-ins for the platform's store and
//! workers: takeovers, planned stops and faults of the store.

#[allow(dead_code)] // the soak tool uses more of this module than these tests
mod calls;
mod cordon;
#[allow(dead_code)] // the soak tool uses more of this module than these tests
mod deployment;
mod duplicates;
mod faults;
mod large_jobs;
#[allow(dead_code)] // the soak tool uses more of this module than these tests
mod link;
#[path = "../support/proxy.rs"]
mod proxy;
#[allow(dead_code)] // the soak tool uses more of this module than these tests
mod record;
mod silence;
mod store;
#[path = "../support/mod.rs"]
mod support;
#[allow(dead_code)] // the soak tool uses more of this module than these tests
mod worker;

use std::time::Duration;

use deployment::{Deployment, show_job_on};
use store::Behavior;
use support::wait_for;
use willowpoint::sched::fences::FENCES_PER_OWNER;

/// Default duration of a run of a task.
const TASK_DURATION: Duration = Duration::from_millis(300);
/// Time after which an owner counts as settled: longer than any box lets another box load.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Delay of each answer of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// Duration of tasks that outlast a fault.
const LONG_DURATION: Duration = Duration::from_millis(3_000);
/// Duration of tasks that only have to finish.
const SHORT_DURATION: Duration = Duration::from_millis(20);
/// Number of finished jobs before a takeover: more than one page of the store's rows.
const FINISHED_JOBS: usize = 110;

/// Starts three boxes that all follow an owner, which has accepted a job; returns the owner and
/// one of its followers.
fn start_followed(id: &str) -> (Deployment, usize, usize) {
    let deployment = Deployment::start(3, 2, TASK_DURATION);
    deployment.submit_until_accepted(id, 1);
    let owner = deployment.owner();
    deployment.wait_served();
    (deployment, owner, (owner + 1) % 3)
}

/// Asserts that each task of a job with two steps ran, and that no task ran twice.
fn assert_ran(deployment: &Deployment, id: &str, tasks: u32) {
    let record = deployment.record();
    let ran = record.starts.keys().filter(|t| t.starts_with(id)).count();
    assert_eq!(ran as u32, tasks * 2, "{:?}", record.starts);
    assert!(record.duplicates.is_empty(), "{:?}", record.duplicates);
}

/// Waits until new jobs are refused with a time to retry.
fn wait_refused(deployment: &Deployment) {
    let mut number = 0;
    wait_for("a refusal", || {
        number += 1;
        let (status, text) = deployment.submit(0, &format!("ffff{number:012x}"), 1);
        let has_retry_time = text.to_ascii_lowercase().contains("retry-after");
        status == 503 && has_retry_time
    });
}

#[test]
fn a_job_runs_once_whichever_box_accepts_it() {
    let deployment = Deployment::start(3, 3, TASK_DURATION);
    for number in 0..3 {
        let id = format!("000000000000000{number}");
        assert_eq!(deployment.submit(number, &id, 4).0, 200);
        assert_eq!(
            deployment.submit((number + 1) % 3, &id, 4).0,
            200,
            "submitted again"
        );
    }
    for number in 0..3 {
        let id = format!("000000000000000{number}");
        deployment.wait_completed(&id);
        assert_ran(&deployment, &id, 4);
    }
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "without faults no task is started twice");
}

#[test]
fn invalid_requests_are_refused() {
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
fn a_job_survives_the_kill_of_two_owners() {
    let mut deployment = Deployment::start(3, 3, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000aa", 4);
    wait_for("running tasks", || !deployment.record().running.is_empty());
    for _ in 0..2 {
        let owner = deployment.owner();
        deployment.kill(owner);
        wait_for("another owner", || deployment.owner() != owner);
    }
    deployment.wait_completed("00000000000000aa");
    assert_ran(&deployment, "00000000000000aa", 4);
}

#[test]
fn a_takeover_loads_only_open_jobs_and_knows_finished_ones() {
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
        "{loaded} jobs were loaded, although none is open"
    );
    for id in &ids {
        wait_for("the finished job to be known", || {
            deployment.state(next, id) == "completed"
        });
    }
    let path = "/holds/00000000000c0000";
    wait_for("an answer that the job is unknown", || {
        deployment.send(next, "GET", path, "").0 == 410
    });
    assert_eq!(
        deployment.submit(next, &ids[0], 1).0,
        200,
        "submitted again"
    );
    deployment.submit_until_accepted("00000000000c0000", 1);
    deployment.wait_completed("00000000000c0000");
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "finished tasks do not run again");
}

#[test]
fn a_planned_stop_of_the_owner_hands_over_and_answers_open_connections() {
    let mut deployment = Deployment::start(2, 2, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000bb", 2);
    let owner = deployment.owner();
    let connection = deployment.connect(owner);
    deployment.signal(owner, libc::SIGTERM);
    wait_for("another owner", || deployment.owner() != owner);
    let answer = show_job_on(connection, "00000000000000bb");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(deployment.wait_end(owner), Some(0));
    deployment.wait_completed("00000000000000bb");
    assert_ran(&deployment, "00000000000000bb", 2);
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "a handover starts no task again");
}

/// Guards against gaps in service during a rolling restart. Followers took an owner that had just
/// released the cell for one that never began to serve, since they measured its load time from
/// when they had first seen it (`event=owner-loads cores=500 waited_ms=38413`). Strong boxes then
/// waited 0.4 s too long, and a weak box, which needs seconds to load the jobs, took over. Each
/// stop of an owner interrupted service for one to two seconds, until no box served and lasting
/// tasks were lost.
#[test]
fn a_planned_stop_is_not_mistaken_for_an_owner_that_never_served() {
    let deployment = Deployment::start(3, 1, TASK_DURATION);
    std::thread::sleep(SETTLE_TIME);
    let owner = deployment.owner();
    deployment.signal(owner, libc::SIGTERM);
    wait_for("another owner", || deployment.owner() != owner);
    for number in 0..3 {
        let text = deployment.output(number);
        let shows_failed_load = |l: &&str| {
            ["event=owner-loads", "cause=Stuck"]
                .iter()
                .any(|e| l.contains(e))
        };
        let found = text.lines().find(shows_failed_load);
        assert_eq!(found, None, "box {number}");
    }
}

/// Guards against owners that are replaced while they load. The time allowed for a load was
/// constant, but loads grow with the jobs: weak boxes needed 3.4 to 5 s each and were replaced
/// during or right after the load (`event=owner-begins epoch=10 jobs=1493 load_ms=3475`, 1.6 s
/// later `event=owner-ends reason=deposed`). Ten owners followed one another, none served, and no
/// lease was extended. Here the store is slow, so that a load takes 8 s.
#[test]
fn an_owner_with_a_long_load_is_not_replaced_while_it_makes_progress() {
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
    for text in ["event=replaced-loading", "cause=Unconfirmed", "cause=Stuck"] {
        assert!(!outputs.contains(text), "unexpected {text} in:\n{outputs}");
    }
}

/// When the store refuses a page, only this page is read again, not the complete load.
#[test]
fn a_load_resumes_at_the_page_that_the_store_refused() {
    let mut deployment = Deployment::start(2, 1, TASK_DURATION);
    // The first owner has no jobs to load.
    let owner = deployment.owner();
    deployment.store.fill_rows("spec", "main", 1_000);
    deployment.store.set_delay(STORE_DELAY);
    deployment.kill(owner);
    wait_for("a load of the jobs", || {
        deployment.store.pages_read("spec") > 2
    });
    deployment.store.set_behavior(Behavior::Rejecting);
    wait_for("a failed read of a page", || {
        deployment.output(1 - owner).contains("event=load-failed")
    });
    deployment.store.set_behavior(Behavior::Serving);
    wait_for("another owner", || deployment.owner() != owner);
    let text = deployment.output(1 - owner);
    assert!(!text.contains("event=replaced-loading"), "{text}");
    // The takeover reads ten pages and possibly one more with rows of jobs. The other reads are
    // those of the first load, by the owner that was killed.
    let reads = deployment.store.pages_read("spec");
    assert!(reads <= 13, "{reads} pages were read");
}

#[test]
fn metrics_and_log_show_the_owner_and_how_its_term_ended() {
    let mut deployment = Deployment::start(2, 1, TASK_DURATION);
    deployment.submit_until_accepted("00000000000000ab", 1);
    let owner = deployment.owner();
    let other = 1 - owner;
    let epoch = deployment
        .metric(owner, "owner_epoch")
        .expect("the owner answers");
    assert!(epoch > 0);
    assert_eq!(deployment.metric(other, "owner_epoch"), Some(0));
    wait_for("the other box to follow the owner", || {
        let served = deployment.metric(other, "owner_unserved_ms") == Some(0);
        served && deployment.metric(other, "followed_epoch") == Some(epoch)
    });
    deployment.signal(owner, libc::SIGTERM);
    wait_for("the next owner", || {
        deployment.metric(other, "owner_epoch") > Some(epoch)
    });
    for name in ["owner_epoch", "jobs", "workers", "unconfirmed_ms"] {
        // The term ends when the last commit is answered; the process may have exited by then.
        wait_for(name, || deployment.metric(owner, name).unwrap_or(0) == 0);
    }
    assert_eq!(deployment.wait_end(owner), Some(0));
    let text = deployment.output(owner);
    let end = text.lines().find(|l| l.contains("event=owner-ends"));
    let end = end.expect("the log has the end of the owner's term");
    assert!(
        end.contains(&format!("epoch={epoch} reason=released")),
        "{end}"
    );
    for name in ["served_ms=", "load_ms=", "leaving_ms=", "late_ms="] {
        assert!(end.contains(name), "{name} is missing in: {end}");
    }
}

#[test]
fn a_hangup_signal_reloads_the_settings_without_interruption() {
    let deployment = Deployment::start(1, 1, TASK_DURATION);
    deployment.signal(0, libc::SIGHUP);
    wait_for("the reload", || {
        deployment.output(0).contains("event=reload ")
    });
    deployment.submit_until_accepted("00000000000000cc", 1);
    deployment.wait_completed("00000000000000cc");
}

#[test]
fn tasks_survive_a_silent_store_and_new_jobs_are_refused_at_once() {
    let deployment = Deployment::start(2, 2, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000dd", 2);
    wait_for("running tasks", || deployment.record().running.len() == 2);
    deployment.store.set_behavior(Behavior::Silent);
    wait_refused(&deployment);
    let submitted = std::time::Instant::now();
    assert_eq!(deployment.submit(1, "00000000000000ee", 1).0, 503);
    assert!(
        submitted.elapsed() < LONG_DURATION,
        "a refusal is sent at once"
    );
    deployment.store.set_behavior(Behavior::Serving);
    deployment.wait_completed("00000000000000dd");
    assert_ran(&deployment, "00000000000000dd", 2);
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "no task was started again");
    deployment.submit_until_accepted("00000000000000ee", 1);
    deployment.wait_completed("00000000000000ee");
}

#[test]
fn commits_with_lost_answers_are_found() {
    let deployment = Deployment::start(2, 2, TASK_DURATION);
    deployment.submit_until_accepted("00000000000000f0", 1);
    deployment.store.set_behavior(Behavior::DroppingReplies);
    deployment.submit_until_accepted("00000000000000f1", 2);
    deployment.wait_completed("00000000000000f1");
    deployment.store.set_behavior(Behavior::Serving);
    assert_ran(&deployment, "00000000000000f1", 2);
    let found = (0..2).any(|n| deployment.output(n).contains("event=commit-found"));
    assert!(found, "no commit with a lost answer was found by its row");
}

#[test]
fn jobs_complete_while_the_store_is_slow() {
    let deployment = Deployment::start(2, 2, TASK_DURATION);
    deployment.store.set_delay(Duration::from_millis(300));
    deployment.submit_until_accepted("00000000000000f2", 2);
    deployment.wait_completed("00000000000000f2");
    assert_ran(&deployment, "00000000000000f2", 2);
}

#[test]
fn a_configuration_arrives_after_the_store_forgot_its_history() {
    let deployment = Deployment::start(2, 1, TASK_DURATION);
    assert_eq!(deployment.send(0, "GET", "/more/", "").0, 404);
    deployment.store.forget_history();
    deployment.configure(2, &["/holds/", "/more/"]);
    for number in 0..2 {
        wait_for("the queue of the new configuration", || {
            deployment.send(number, "GET", "/more/", "").0 == 200
        });
    }
    deployment.configure(1, &["/holds/"]);
    deployment.submit_until_accepted("00000000000000f3", 1);
    deployment.wait_completed("00000000000000f3");
    assert_eq!(
        deployment.send(0, "GET", "/more/", "").0,
        200,
        "an older configuration is not applied"
    );
}

#[test]
fn a_worker_removed_from_the_directory_gets_no_new_tasks() {
    let deployment = Deployment::start(1, 2, TASK_DURATION);
    deployment.submit_until_accepted("00000000000000f4", 8);
    deployment.wait_completed("00000000000000f4");
    deployment.store.delete_row("servers", "i-0");
    wait_for("the removal of the worker", || {
        deployment.output(0).contains("worker=i-0 event=unlisted")
    });
    deployment.submit_until_accepted("00000000000000f5", 8);
    deployment.wait_completed("00000000000000f5");
    let text = deployment.output(0);
    let starts = text
        .lines()
        .filter(|l| l.contains("task=00000000000000f5") && l.contains("event=start"));
    assert!(starts.clone().count() > 0, "no start is logged");
    assert!(
        starts.clone().all(|l| l.contains("worker=i-1")),
        "tasks were started on the removed worker"
    );
}

#[test]
fn boxes_recover_after_the_store_refused_calls() {
    let deployment = Deployment::start(2, 1, TASK_DURATION);
    deployment.store.set_behavior(Behavior::Rejecting);
    wait_refused(&deployment);
    deployment.store.set_behavior(Behavior::Serving);
    deployment.submit_until_accepted("00000000000000f6", 1);
    deployment.wait_completed("00000000000000f6");
    assert_ran(&deployment, "00000000000000f6", 1);
}

/// Connections from the owner and a follower to the store are blocked, so that only the former
/// owner can tell the follower about its successor.
#[test]
fn a_box_without_the_store_follows_the_next_owner() {
    let (deployment, owner, follower) = start_followed("00000000000000e0");
    deployment.disconnect_store(&[owner, follower]);
    wait_for("another owner", || deployment.owner() != owner);
    for (number, id) in [(follower, "00000000000000e1"), (owner, "00000000000000e2")] {
        wait_for("a job accepted through a disconnected box", || {
            deployment.submit(number, id, 1).0 == 200
        });
    }
    deployment.disconnect_store(&[]);
    for id in ["00000000000000e0", "00000000000000e1", "00000000000000e2"] {
        deployment.wait_completed(id);
        assert_ran(&deployment, id, 1);
    }
}

/// Guards against a box without connection to the store that never finds the next owner after its
/// owner died. Only the former owner announces its successor, so the box refused every job and
/// logged only `owner-silent` and `owner-unread`. It has to ask other boxes.
#[test]
fn a_box_without_the_store_finds_the_successor_of_a_dead_owner() {
    let (mut deployment, owner, follower) = start_followed("00000000000000e8");
    wait_for("the boxes to know each other", || {
        let known = |n| deployment.metric(n, "other_boxes") > Some(0);
        (0..3).filter(|n| *n != owner).all(known)
    });
    deployment.disconnect_store(&[follower]);
    deployment.kill(owner);
    wait_for("a job accepted through a disconnected box", || {
        deployment.submit(follower, "00000000000000e9", 1).0 == 200
    });
    deployment.wait_completed("00000000000000e9");
    assert_ran(&deployment, "00000000000000e9", 1);
}

/// Guards against a box that reports ready but can serve nobody. A box is ready once it has its
/// configuration, some milliseconds before it knows the owner. When the connection to the store
/// was lost in between, the box knew neither an owner nor other boxes, logged only `owner-unread`,
/// and refused all callers that the load balancer sent to it, while two other boxes served.
#[test]
fn a_box_that_knows_neither_an_owner_nor_the_store_is_not_ready() {
    let (mut deployment, owner, late) = start_followed("00000000000000e3");
    deployment.kill(late);
    deployment.store.refuse_reads(Some("owner"));
    deployment.restart(late);
    wait_for("the configuration of the box", || {
        deployment.metric(late, "config_version") == Some(1)
    });
    deployment.disconnect_store(&[late]);
    deployment.store.refuse_reads(None);
    wait_for("the box to report that it is not ready", || {
        !deployment.is_ready(late)
    });
    assert!(deployment.is_ready(owner), "a box that is served is ready");
    assert_eq!(deployment.submit(late, "00000000000000e4", 1).0, 503);
    deployment.disconnect_store(&[]);
    wait_for("the box to be ready", || deployment.is_ready(late));
    wait_for("a job accepted through the box", || {
        deployment.submit(late, "00000000000000e4", 1).0 == 200
    });
    deployment.wait_completed("00000000000000e4");
}

/// Guards against a takeover that notifies the wrong predecessor: the box fails to load at first,
/// and at its second attempt finds its own owner row, but must notify the owner before that.
#[test]
fn a_takeover_at_the_second_attempt_notifies_the_former_owner() {
    let (deployment, owner, follower) = start_followed("00000000000000e5");
    deployment.store.refuse_reads(Some("spec"));
    deployment.disconnect_store(&[owner, follower]);
    let third = (owner + 2) % 3;
    wait_for("two failed loads", || {
        let text = deployment.output(third);
        let failed = |owners: u64| {
            let epoch = owners * FENCES_PER_OWNER;
            text.contains(&format!("event=load-failed epoch={epoch} "))
        };
        failed(2) && failed(3)
    });
    deployment.store.refuse_reads(None);
    for (number, id) in [(follower, "00000000000000e6"), (owner, "00000000000000e7")] {
        wait_for("a job accepted through a disconnected box", || {
            deployment.submit(number, id, 1).0 == 200
        });
    }
}

#[test]
fn silent_connections_to_the_store_are_replaced() {
    let deployment = Deployment::start(2, 2, TASK_DURATION);
    deployment.submit_until_accepted("0000000000000001", 2);
    deployment.wait_completed("0000000000000001");
    deployment.silence_connections();
    deployment.submit_until_accepted("0000000000000002", 2);
    deployment.wait_completed("0000000000000002");
    assert_ran(&deployment, "0000000000000002", 2);
    let output = deployment.output(deployment.owner());
    let is_in_doubt = |line: &&str| line.contains("event=commit-in-doubt number=");
    assert!(
        output.lines().any(|l| is_in_doubt(&l)),
        "no commit was looked up over a new connection:\n{output}"
    );
}
