//! Checks that the committed code matches the schema.

#[test]
fn committed_code_is_current() {
    let generated = super::generate().expect("the schema can be compiled");
    let committed =
        std::fs::read_to_string(super::committed_path()).expect("the committed code can be read");
    assert!(
        committed == generated,
        "the committed code is outdated; regenerate it: cargo run -p willowpoint-schema"
    );
}
