//! Tests a box, as a process, against crowds of callers that misbehave: it lives, stays within the
//! memory and the file descriptors of the smallest machine, and still serves ordinary callers.
//!
//! One test runs at a time, as each loads the machine.

#[allow(dead_code)] // the tests of the platform use more of these modules than these tests
#[path = "../platform/calls.rs"]
mod calls;
#[path = "../support/crowd.rs"]
mod crowd;
#[allow(dead_code)]
#[path = "../platform/deployment.rs"]
mod deployment;
#[allow(dead_code)]
#[path = "../platform/link.rs"]
mod link;
#[path = "../support/proxy.rs"]
mod proxy;
#[allow(dead_code)]
#[path = "../platform/record.rs"]
mod record;
#[allow(dead_code)]
#[path = "../platform/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;
mod usage;
#[allow(dead_code)]
#[path = "../platform/worker.rs"]
mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crowd::{Crowd, Kind, LARGEST_BODY, Target};
use deployment::{Deployment, HOST, PATH, Profile, QueueSettings};
use usage::Monitor;

/// Memory of the smallest machine in bytes.
const MACHINE_MEMORY: usize = 160 << 20;
/// File descriptors of the machine in these tests; the smallest machine has 4,100.
const MACHINE_DESCRIPTORS: usize = 512;
/// Descriptors of a machine that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Connections of a crowd that sends bodies: with 1 MB each, more than the machine's memory.
const BODY_CROWD: usize = 240;
/// Connections of a crowd whose bodies take many times their size in memory.
const SMALL_CROWD: usize = 48;
/// Connections of a crowd that sends no body: more than the machine has descriptors.
const IDLE_CROWD: usize = 600;
/// Duration of a run of a task.
const TASK_DURATION: Duration = Duration::from_millis(20);

/// A box with few descriptors that waits long for requests, so that no crowd ends by itself.
const PROFILE: Profile = Profile {
    queues: &[QueueSettings {
        path: PATH,
        priority: 0,
    }],
    racks: 1,
    machine: "descriptors = 512\n",
    settings: "[limits]\nidle = \"1h\"\n",
};

const TARGET: Target = Target {
    host: HOST,
    path: PATH,
};

/// Waits until no other test of this program runs.
fn wait_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets a crowd loose on a box, and asserts that the box stays within its bounds and that a job of
/// an ordinary caller is accepted while the crowd stays. Returns the crowd's answers.
fn withstand(kind: Kind, count: usize) -> Vec<u16> {
    let _turn = wait_turn();
    let mut deployment = Deployment::start_with(1, 1, TASK_DURATION, PROFILE);
    deployment.wait_served();
    deployment.limit_descriptors(0, MACHINE_DESCRIPTORS);
    let address = deployment.addresses()[0];
    let monitor = Monitor::start(deployment.process_id(0), address);
    let mut crowd = Crowd::gather(address, kind, count, &TARGET);
    deployment.submit_until_accepted("00000000000000aa", 1);
    deployment.wait_completed("00000000000000aa");
    assert!(deployment.is_running(0), "the process has ended");
    let peak = monitor.peak();
    println!("{kind:?}: {peak:?}");
    assert!(peak.memory <= MACHINE_MEMORY, "{peak:?}");
    let sockets = MACHINE_DESCRIPTORS - FILE_DESCRIPTORS;
    assert!(peak.descriptors <= sockets, "{peak:?}");
    crowd.statuses()
}

#[test]
fn whole_bodies_that_stop_short_of_their_end_stay_within_memory() {
    withstand(Kind::WholeBody, BODY_CROWD);
}

#[test]
fn bodies_in_pieces_that_stop_short_of_their_end_stay_within_memory() {
    withstand(Kind::BodyInPieces, BODY_CROWD);
}

#[test]
fn large_chunks_that_stop_short_of_their_end_stay_within_memory() {
    withstand(Kind::LargeChunks, BODY_CROWD);
}

#[test]
fn small_chunks_that_stop_short_of_their_end_stay_within_memory() {
    withstand(Kind::SmallChunks, SMALL_CROWD);
}

/// A refusal still says so: each caller that announces too much gets its 413, unless the box has
/// closed the connection.
#[test]
fn announced_bodies_over_the_limit_are_refused() {
    let statuses = withstand(Kind::AnnouncedExcess, BODY_CROWD);
    assert!(statuses.contains(&413), "{statuses:?}");
    assert!(statuses.iter().all(|status| *status == 413), "{statuses:?}");
}

#[test]
fn unannounced_bodies_over_the_limit_are_refused() {
    let statuses = withstand(Kind::UnannouncedExcess, SMALL_CROWD);
    assert!(statuses.iter().all(|status| *status == 413), "{statuses:?}");
}

#[test]
fn bodies_that_parse_into_many_steps_stay_within_memory() {
    withstand(Kind::ManySteps, SMALL_CROWD);
}

#[test]
fn connections_without_a_request_leave_descriptors_to_others() {
    withstand(Kind::Silent, IDLE_CROWD);
}

#[test]
fn heads_without_an_end_leave_descriptors_to_others() {
    withstand(Kind::PartialHead, IDLE_CROWD);
}

#[test]
fn callers_that_read_no_answers_stay_within_memory() {
    withstand(Kind::UnreadAnswers, BODY_CROWD);
}

/// The platform sends callers to boxes that answer here, and collects metrics.
#[test]
fn connections_to_the_readiness_address_leave_it_to_others() {
    let _turn = wait_turn();
    let mut deployment = Deployment::start_with(1, 1, TASK_DURATION, PROFILE);
    deployment.wait_served();
    deployment.limit_descriptors(0, MACHINE_DESCRIPTORS);
    let address = deployment.admin_address(0);
    let monitor = Monitor::start(deployment.process_id(0), address);
    let _crowd = Crowd::gather(address, Kind::PartialHead, IDLE_CROWD, &TARGET);
    support::wait_for("readiness", || deployment.is_ready(0));
    deployment.submit_until_accepted("00000000000000aa", 1);
    assert!(deployment.is_running(0), "the process has ended");
    let peak = monitor.peak();
    let sockets = MACHINE_DESCRIPTORS - FILE_DESCRIPTORS;
    assert!(peak.descriptors <= sockets, "{peak:?}");
    assert!(peak.memory <= MACHINE_MEMORY, "{peak:?}");
}

#[test]
fn a_single_request_of_the_largest_size_is_served_in_calm() {
    let _turn = wait_turn();
    let deployment = Deployment::start_with(1, 1, TASK_DURATION, PROFILE);
    deployment.submit_until_accepted("00000000000000aa", 1);
    let job = r#"{"spec":"text","steps":[{"count":1,"cpu":1000,"memMb":100}]}"#;
    let padded = job.to_string() + &" ".repeat(LARGEST_BODY - job.len());
    let path = format!("{PATH}00000000000000ab");
    assert_eq!(deployment.send(0, "POST", &path, &padded).0, 200);
    deployment.wait_completed("00000000000000ab");
}
