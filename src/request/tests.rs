//! Tests of request headers.

use super::*;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = lines
        .iter()
        .map(|(n, v)| (n.parse().unwrap(), v.parse().unwrap()));
    pairs.collect()
}

#[test]
fn defaults_are_filled_in() {
    let map = headers(&[(constants::SERVICE, "stock")]);
    let meta = parse(&map, &Policy::default()).expect("no errors");
    assert_eq!(meta.class, Class::Critical);
    assert!(meta.repeatable);
    assert_eq!(meta.time_left, Policy::default().default_deadline);
}

#[test]
fn reports_all_invalid_headers_at_once() {
    let map = headers(&[
        (constants::SERVICE, "no name"),
        (constants::CLASS, "quick"),
        (constants::REPEATABLE, "no"),
        (constants::DEADLINE, "-1"),
    ]);
    let errors = parse(&map, &Policy::default()).expect_err("errors");
    let names: Vec<_> = errors.iter().map(|f| f.header).collect();
    let wanted = [
        constants::SERVICE,
        constants::ID,
        constants::ISSUED,
        constants::DEADLINE,
        constants::CLASS,
    ];
    assert_eq!(names, wanted);
}
