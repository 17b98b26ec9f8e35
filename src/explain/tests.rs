//! Tests of finding the events of a job in log lines.

use super::find_events;

const LOG: &str = "\
1783687890011 INFO  b1 daemon: event=start box=b1 life=1
1783687891000 INFO  b1 job: job=aa11 event=accept queue=q steps=1
1783687891020 INFO  b1 task: task=aa11.0.0.0 run=1 event=start worker=w1
1783687891030 INFO  b1 task: task=aa112.0.0.0 run=1 event=start worker=w1
1783687892000 INFO  b2 owner: event=owner-begins epoch=2 jobs=1 load_ms=30
{\"time\":1783687892500,\"level\":\"INFO\",\"module\":\"job\",\"box\":\"b2\",\"message\":\"job=aa11 event=end outcome=Completed\"}
1783687893000 INFO  b2 owner: event=owner-ends epoch=2 reason=deposed
";

#[test]
fn the_events_of_a_job_on_all_boxes_are_found_with_those_of_the_owner() {
    let found = find_events(LOG.lines(), "aa11");
    let events: Vec<&str> = found.iter().map(|m| &*m.event).collect();
    assert_eq!(events, ["accept", "start", "owner-begins", "end"]);
    assert_eq!(found[3].node, "b2");
    assert_eq!(found[1].inputs, "task=aa11.0.0.0 run=1 worker=w1");
}

#[test]
fn an_unknown_id_has_no_events() {
    assert!(find_events(LOG.lines(), "ff").is_empty());
}
