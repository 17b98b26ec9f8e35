//! Tests of parsing request headers.

use super::*;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = lines
        .iter()
        .map(|(n, v)| (n.parse().unwrap(), v.parse().unwrap()));
    pairs.collect()
}

#[test]
fn missing_headers_take_defaults() {
    let headers = headers(&[(constants::SERVICE, "stock")]);
    let meta = parse(&headers, &Policy::default()).expect("valid headers");
    assert_eq!(meta.class, Class::Critical);
    assert!(meta.repeatable);
    assert_eq!(meta.time_left, Policy::default().default_deadline);
}

#[test]
fn all_invalid_headers_are_reported_at_once() {
    let headers = headers(&[
        (constants::SERVICE, "no name"),
        (constants::CLASS, "quick"),
        (constants::REPEATABLE, "no"),
        (constants::DEADLINE, "-1"),
    ]);
    let errors = parse(&headers, &Policy::default()).expect_err("invalid headers");
    let names: Vec<_> = errors.iter().map(|error| error.header).collect();
    let expected = [
        constants::SERVICE,
        constants::ID,
        constants::ISSUED,
        constants::DEADLINE,
        constants::CLASS,
    ];
    assert_eq!(names, expected);
}
