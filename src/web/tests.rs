//! Tests of message lengths.

use http::HeaderMap;

use super::length;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(*name, value.parse().unwrap());
    }
    map
}

#[test]
fn ambiguous_lengths_are_refused() {
    let twice = headers(&[("content-length", "3"), ("content-length", "4")]);
    assert!(length(&twice).is_err());
    let both = headers(&[("content-length", "3"), ("transfer-encoding", "chunked")]);
    assert!(length(&both).is_err());
    assert!(length(&headers(&[("content-length", "+3")])).is_err());
    assert_eq!(
        length(&headers(&[("content-length", "3")])).unwrap(),
        Some(3)
    );
    assert_eq!(length(&headers(&[])).unwrap(), None);
}
