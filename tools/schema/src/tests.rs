//! The committed code is what the schema gives.

#[test]
fn committed_code_is_current() {
    let fresh = super::generate().expect("the schema gives code");
    let kept = std::fs::read_to_string(super::committed()).expect("committed code");
    assert!(
        kept == fresh,
        "the committed code differs: cargo run -p willowpoint-schema"
    );
}
