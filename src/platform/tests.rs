//! Tests of decoding the platform's messages and of the replies to callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use http::{HeaderMap, HeaderValue, Method, StatusCode};

use super::store::{DeletedRow, Page, Store};
use super::worker::Workers;
use super::{config, directory, ingress, worker};
use crate::queues::Queues;
use crate::sched::incarnation::Incarnation;
use crate::sched::job::TaskKey;
use crate::sched::message::{
    Answer, CommitOutcome, DirectoryEntry, JobRequest, OrderAck, Refusal, Reply as OrderResult,
    Report, RunOutcome, Stop,
};
use crate::sched::spec::TASK_LIMIT;
use crate::table::Row;
use crate::utils::Name;
use crate::web::{Reply, Request};

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"r-long","host":"a.example","pathPrefix":"/q/x/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"s1","maxAttempts":3,"stretch":1.5},
    {"name":"r-short","host":"a.example","pathPrefix":"/q/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"s2","maxAttempts":4,"stretch":2.0}],
    "services":[{"name":"s1"}],"limits":{"maxBodyBytes":1000}}"#;

fn row(key: &str, value: &str) -> Row {
    Row {
        key: key.into(),
        version: 3,
        value: value.to_string().into(),
    }
}

fn queues() -> Queues {
    config::decode_queues(&row(config::KEY, CONFIG)).expect("decodes")
}

fn request(method: Method, path: &str, body: &str) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert(http::header::HOST, HeaderValue::from_static("A.example:80"));
    Request {
        method,
        uri: path.parse().expect("path"),
        headers,
        body: body.to_string().into(),
        charge: None,
    }
}

/// Returns the reply to a request that is refused.
fn refused(method: Method, path: &str, body: &str) -> Reply {
    let request = request(method, path, body);
    *ingress::parse_request(&request, &queues()).expect_err("refused")
}

#[test]
fn the_host_and_the_longest_matching_prefix_select_the_queue() {
    let queues = queues();
    assert_eq!(queues.version(), 7);
    let (route, rest) = queues.find("a.example", "/q/x/1").expect("a route");
    assert_eq!((&*route.queue.name, rest), ("r-long", "1"));
    assert_eq!((route.queue.max_attempts, route.queue.stretch), (3, 1_500));
    assert_eq!(route.queue.slack, 250);
    let (route, _) = queues.find("a.example", "/q/1").expect("a route");
    assert_eq!(&*route.queue.service, "s2");
    assert!(queues.find("b.example", "/q/1").is_none());
}

#[test]
fn a_queue_with_timings_of_an_advisor_is_advised() {
    let text = CONFIG.replacen(
        "\"stretch\":1.5",
        "\"stretch\":1.5,\"advice\":{\"decide_ms\":40,\"each_ms\":2,\"valid_ms\":3000}",
        1,
    );
    let queues = config::decode_queues(&row(config::KEY, &text)).expect("decodes");
    let advised = |path| queues.find("a.example", path).map(|(r, _)| r.queue.advised);
    assert_eq!(advised("/q/x/1"), Some(true));
    assert_eq!(advised("/q/1"), Some(false));
}

#[test]
fn a_configuration_that_does_not_decode_is_rejected() {
    assert!(config::decode_queues(&row(config::KEY, "{\"version\":")).is_none());
}

#[test]
fn a_job_is_decoded_with_every_field() {
    let body = r#"{"spec":"t","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3","antiAffinity":2,"requires":"a"},
        {"count":2,"cpu":100,"memMb":10,"gpu":1,"after":[0],"savesProgress":true,"gang":true,"sameRack":true,"persistent":true,"image":"i","target_ms":50,"fills":true,"may_miss":0,"speculative":true}],
        "maxRuns":3,"initialDelayMs":1000,"intervalMs":500}"#;
    let request = request(Method::POST, "/q/x/5c0e7a21d94b36f8", body);
    let Ok(JobRequest::Submit { id, spec, queue }) = ingress::parse_request(&request, &queues())
    else {
        panic!("a submission");
    };
    assert_eq!((&*id, &*queue.name), ("5c0e7a21d94b36f8", "r-long"));
    let (first, second) = (&spec.steps[0], &spec.steps[1]);
    assert_eq!(
        (first.count, first.resources.cpu, first.resources.memory),
        (4, 500, 256)
    );
    assert_eq!(
        (&*first.rack, first.max_per_worker, &*first.label),
        ("r1-3", 2, "a")
    );
    assert!(second.checkpoints && second.gang && second.one_rack && second.lasting);
    assert!(second.best_effort && second.speculative);
    assert_eq!(
        (second.latency_target, second.max_disruptions),
        (50, Some(0))
    );
    assert_eq!(
        second.reserved().cpu,
        0,
        "a best-effort step reserves no processors"
    );
    let schedule = spec.schedule.expect("a schedule");
    assert_eq!(
        (schedule.rounds, schedule.first, schedule.interval),
        (3, 1_000, 500)
    );
}

#[test]
fn invalid_requests_get_a_status_that_says_what_is_wrong() {
    let post = |path, body| refused(Method::POST, path, body).status;
    assert_eq!(post("/none/1", ""), StatusCode::NOT_FOUND);
    assert_eq!(post("/q/short", "{}"), StatusCode::BAD_REQUEST);
    assert_eq!(post("/q/5c0e7a21d94b36fz", "{}"), StatusCode::BAD_REQUEST);
    assert_eq!(post("/q/5c0e7a21d94b36f8", "{"), StatusCode::BAD_REQUEST);
    let long = format!("{{\"spec\":\"{}\",\"steps\":[]}}", "x".repeat(4_001));
    assert_eq!(post("/q/5c0e7a21d94b36f8", &long), StatusCode::BAD_REQUEST);
    let put_reply = refused(Method::PUT, "/q/5c0e7a21d94b36f8", "");
    assert_eq!(put_reply.status, StatusCode::METHOD_NOT_ALLOWED);
}

#[test]
fn answers_become_replies_with_their_status_and_retry_time() {
    let refused = ingress::to_reply(&Answer::Refused(500));
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers[http::header::RETRY_AFTER], "1");
    let in_doubt = ingress::to_reply(&Answer::InDoubt);
    assert_eq!(in_doubt.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(ingress::to_reply(&Answer::Unknown).status, StatusCode::GONE);
    assert_eq!(
        ingress::to_reply(&Answer::Waiting(12)).body,
        "{\"pending\":12}"
    );
}

const ENTRY: &str = r#"{"service":"s1","address":"10.1.0.9:80","zone":"z","version":"v1","slots":8,"state":"draining","remainingMs":900,"capacity":{"cpu":16000,"memMb":100},"labels":["a","r1-3"],"seq":4}"#;

/// Decodes a page of the directory with these rows, after a deleted entry.
fn entries(rows: Vec<Row>) -> Vec<(Name, DirectoryEntry)> {
    let page = Page {
        rows,
        deleted: vec![DeletedRow {
            key: "i-gone".into(),
            version: 8,
        }],
        version: 9,
        next: None,
    };
    directory::decode_entries(page, &queues())
}

#[test]
fn entries_of_the_directory_are_decoded() {
    let entries = entries(vec![row("i-1", ENTRY)]);
    assert_eq!(entries[0], ("i-gone".into(), DirectoryEntry::Removed));
    let DirectoryEntry::Listed(worker) = &entries[1].1 else {
        panic!("a worker");
    };
    assert!(worker.leaving);
    assert_eq!(
        (&*worker.rack, worker.min_stay, worker.capacity.cpu),
        ("r1-3", 900, 16_000)
    );
}

#[test]
fn malformed_entries_are_unusable_and_hide_no_other_entry() {
    let changed = |from: &str, to: &str| {
        let text = ENTRY.replacen(from, to, 1);
        assert_ne!(text, ENTRY, "{from}");
        text
    };
    let malformed = [
        "".into(),
        "{}".into(),
        "null".into(),
        "[[[[".into(),
        ENTRY[..ENTRY.len() / 2].into(),
        changed("\"service\":\"s1\",", ""),
        changed("\"state\":\"draining\",", ""),
        changed("\"address\":\"10.1.0.9:80\",", ""),
        changed("\"capacity\":{\"cpu\":16000,\"memMb\":100},", ""),
        changed("\"cpu\":16000,", ""),
        changed("\"s1\"", "7"),
        changed("\"draining\"", "[\"ready\"]"),
        changed("\"draining\"", "\"resting\""),
        changed("\"s1\"", "\"s9\""),
        changed("\"10.1.0.9:80\"", "\"somewhere\""),
        changed("16000", "\"16000\""),
        changed("16000", "99999999999999999999999999"),
        changed("16000", "-1"),
        changed("900", "{}"),
        changed("{\"", "{\"born\":\"noon\",\""),
        changed("{\"", "{\"born\":-5,\""),
        changed("{\"", "{\"born\":1.5,\""),
    ];
    for text in malformed {
        let entries = entries(vec![
            row("i-0", ENTRY),
            row("i-1", &text),
            row("i-2", ENTRY),
        ]);
        let listed = |entry: &DirectoryEntry| matches!(entry, DirectoryEntry::Listed(_));
        assert_eq!(entries.len(), 4, "{text}");
        assert!(listed(&entries[1].1) && listed(&entries[3].1), "{text}");
        assert_eq!(
            entries[2],
            ("i-1".into(), DirectoryEntry::Unusable),
            "{text}"
        );
    }
    let bytes = Row {
        value: vec![0xff, 0xfe, 0x00, b'{'].into(),
        ..row("i-1", "")
    };
    let entries = entries(vec![bytes, row("i-2", ENTRY)]);
    assert_eq!(entries[1].1, DirectoryEntry::Unusable);
    assert!(matches!(entries[2].1, DirectoryEntry::Listed(_)));
}

#[test]
fn the_boot_time_in_an_entry_is_optional() {
    for (prefix, born) in [
        ("", None),
        ("\"born\":7,", Some(7)),
        ("\"born\":null,", None),
    ] {
        let text = ENTRY.replacen('{', &format!("{{{prefix}"), 1);
        let entries = entries(vec![row("i-0", &text)]);
        let DirectoryEntry::Listed(listing) = &entries[1].1 else {
            panic!("{text}: {entries:?}");
        };
        assert_eq!(listing.boot, born, "{text}");
    }
}

#[test]
fn a_configured_service_without_a_queue_is_known() {
    let config = CONFIG.replacen("{\"name\":\"s1\"}", "{\"name\":\"s3\"}", 1);
    let queues = config::decode_queues(&row(config::KEY, &config)).expect("decodes");
    assert!(["s1", "s2", "s3"].iter().all(|s| queues.has_service(s)));
    assert!(!queues.has_service("s4"));
}

quickcheck::quickcheck! {
    /// Arbitrary bytes or a truncated entry decode as unusable and hide no other entry.
    fn arbitrary_bytes_are_unusable_and_hide_no_other_entry(bytes: Vec<u8>, length: usize) -> bool {
        let cut = ENTRY.as_bytes()[..length % ENTRY.len()].to_vec();
        let value = |bytes: Vec<u8>| Row { value: bytes.into(), ..row("i-1", "") };
        let entries = entries(vec![value(bytes), value(cut), row("i-2", ENTRY)]);
        let malformed = entries[1..3].iter().all(|e| e.1 == DirectoryEntry::Unusable);
        malformed && matches!(entries[3].1, DirectoryEntry::Listed(_))
    }
}

/// Milliseconds within which an expected reply arrives even on a busy machine.
const REPLY_TIMEOUT: u64 = 60_000;

/// Starts a server that replies to each request with a status and an empty JSON object.
fn server_with_status(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer);
            let reply = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{{}}"
            );
            let _ = stream.write_all(reply.as_bytes());
        }
    });
    address
}

/// Returns the result of an order that a worker answers with this status.
fn order_result(status: u16) -> OrderResult<OrderAck> {
    let stop = Stop {
        key: TaskKey {
            job: 1,
            round: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        incarnation: Incarnation {
            id: "i-1".into(),
            boot: None,
            clock: 0,
        },
        address: server_with_status(status),
        task: "t".into(),
        fence: 1,
    };
    let call = async { Workers::new(1).stop(&stop).await };
    crate::program::block_on(call).expect("runtime")
}

/// A proxy may answer with such a status although the worker has carried the order out.
#[test]
fn an_order_answered_with_an_unexpected_status_may_have_been_carried_out() {
    for status in [201, 302, 404, 408, 500, 502, 504] {
        assert_eq!(order_result(status), OrderResult::Lost, "{status}");
    }
    let refused = |status| match order_result(status) {
        OrderResult::Refused(refusal) => refusal,
        other => panic!("{status}: {other:?}"),
    };
    assert_eq!(refused(400), Refusal::Unfit);
    assert_eq!(refused(409), Refusal::Unfit);
    assert_eq!(refused(421), Refusal::Replaced);
    assert_eq!(refused(429), Refusal::Unwell);
    assert_eq!(refused(503), Refusal::Unwell);
}

/// Returns the outcome of a commit that the store answers with this status.
fn outcome_of_commit(status: u16) -> CommitOutcome {
    let store = Store::new(server_with_status(status));
    let condition = ("owner", "owner".into(), 1);
    let call = async { store.commit("main", condition, &[], REPLY_TIMEOUT).await };
    crate::program::block_on(call).expect("runtime")
}

#[test]
fn a_commit_answered_with_an_unexpected_status_may_have_taken_effect() {
    for status in [302, 404, 408, 500, 502, 504] {
        assert_eq!(
            outcome_of_commit(status),
            CommitOutcome::Unknown,
            "{status}"
        );
    }
    // The journal takes these for in doubt, too.
    for status in [400, 413] {
        assert_eq!(
            outcome_of_commit(status),
            CommitOutcome::Refused,
            "{status}"
        );
    }
    for status in [429, 503] {
        assert_eq!(
            outcome_of_commit(status),
            CommitOutcome::NotDone,
            "{status}"
        );
    }
}

/// Decodes the answer to a poll with these rows.
fn report(running: &str, finished: &str) -> Report {
    let body = format!("{{\"clockMs\":5,\"running\":[{running}],\"finished\":[{finished}]}}");
    let reply = Reply::text(StatusCode::OK, body);
    match worker::decode_reply("/hold", &reply).map(worker::to_report) {
        OrderResult::Ok(report) => report,
        other => panic!("{other:?}"),
    }
}

/// The row was dropped, and its completion acknowledged with the next one.
#[test]
fn a_completion_with_an_unknown_outcome_is_reported() {
    let report = report(
        "",
        r#"[1,"a.0.0.0",1,"done",""],[2,"a.0.0.1",3,"merged",""]"#,
    );
    let ended = report.ended.iter();
    let ended: Vec<_> = ended.map(|e| (e.number, e.run, e.outcome)).collect();
    let expected = [(1, 1, RunOutcome::Done), (2, 3, RunOutcome::Unknown)];
    assert_eq!(ended, expected);
    assert_eq!(report.unreadable, 0);
}

/// One such row made the whole answer unreadable, so that the worker counted as silent.
#[test]
fn a_malformed_row_hides_no_other_row_of_a_report() {
    let good_run = r#"["a.0.0.0",1,"",40,0]"#;
    let good_end = r#"[1,"a.0.0.1",1,"done","x"]"#;
    for row in ["7", "[]", "{}", "[\"a\",-1,\"\",1,0]", "null"] {
        let report = report(&format!("{row},{good_run}"), &format!("{row},{good_end}"));
        assert_eq!((report.running.len(), report.ended.len()), (1, 1), "{row}");
        assert_eq!((report.clock, report.unreadable), (5, 2), "{row}");
    }
    let cases = [
        (r#"[2,"a.0.0.2",1,["done"],""]"#, RunOutcome::Unknown),
        (r#"[2,"a.0.0.2",1,"done"]"#, RunOutcome::Unknown),
        (r#"[2,"a.0.0.2",1,"done","",9]"#, RunOutcome::Done),
    ];
    for (row, outcome) in cases {
        let report = report("", &format!("{row},{good_end}"));
        assert_eq!(report.ended[0].outcome, outcome, "{row}");
        assert_eq!((report.ended.len(), report.unreadable), (2, 0), "{row}");
    }
    let unnumbered = report("", r#"[0,"a.0.0.0",1,"done",""]"#);
    assert_eq!((unnumbered.ended.len(), unnumbered.unreadable), (0, 1));
}

/// The parsed form of such a job takes up to 70 times the memory of its text.
#[test]
fn lists_of_a_job_are_read_up_to_the_task_limit_only() {
    let list = |entry: &str, count: u64| vec![entry; count as usize].join(",");
    let steps = |count| format!(r#"{{"steps":[{}]}}"#, list(r#"{"count":1}"#, count));
    let after = |count| {
        format!(
            r#"{{"steps":[{{"count":1,"after":[{}]}}]}}"#,
            list("0", count)
        )
    };
    let path = "/q/0123456789abcdef";
    let submit = |body: &str| ingress::parse_request(&request(Method::POST, path, body), &queues());
    for job in [steps(TASK_LIMIT), after(TASK_LIMIT)] {
        assert!(submit(&job).is_ok());
    }
    for job in [steps(TASK_LIMIT + 1), after(TASK_LIMIT + 1)] {
        let reply = submit(&job).expect_err("refused");
        assert_eq!(reply.status, StatusCode::BAD_REQUEST);
        let text = String::from_utf8_lossy(&reply.body);
        assert!(text.contains("at most 2000 entries"), "{text}");
    }
}
