//! Tests of trace contexts and of finding spans in logs.

use super::*;

#[test]
fn a_context_is_passed_to_the_next_hop() {
    let first = Context::new(true);
    let second = Context::parse(&first.header()).expect("valid");
    assert_eq!(second.trace, first.trace);
    assert_eq!(second.parent, first.span);
    assert_ne!(second.span, first.span);
    assert!(second.sampled);
}

#[test]
fn malformed_contexts_are_rejected() {
    let zero = format!("00-{}-{}-01", "0".repeat(32), "1".repeat(16));
    for header in ["", "00-1-2-3", "00-zz", &zero] {
        assert_eq!(Context::parse(header), None, "{header}");
    }
}

#[test]
fn spans_are_found_in_both_log_formats() {
    let span = r#"{"trace":"t1","span":"a","parent":"0","name":"entry","end":5,"micros":7,"verdict":"answer"}"#;
    let json = serde_json::json!({"time": 1, "message": span}).to_string();
    let text = format!("5 INFO  e1 trace: {span}");
    let lines = [json.as_str(), text.as_str(), "noise t1"];
    assert_eq!(find_spans(lines.into_iter(), "t1").len(), 2);
}
