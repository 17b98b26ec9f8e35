//! Tests of the settings file.

use super::file::parse;

const GOOD: &str = r#"
[box]
name = "e1"
hall = "leon-1"
web = "127.0.0.1:8001"
rpc = "127.0.0.1:8002"
admin = "127.0.0.1:8003"

[platform]
rpc = "127.0.0.1:8000"
"#;

#[test]
fn defaults_fit_together() {
    let settings = parse("a.toml", GOOD).expect("no findings");
    assert_eq!(&*settings.name, "e1");
}

#[test]
fn findings_are_reported_together_with_their_lines() {
    let text = "[box]\nname = \"e 1\"\nhall = \"h\"\nweb = \"localhost:1\"\n\
                rpc = \"127.0.0.1:9\"\nadmin = \"127.0.0.1:9\"\n\
                [lease]\nlenght = \"10s\"\nmargin = 5\n";
    let findings = parse("b.toml", text).expect_err("findings");
    let got: Vec<_> = findings.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert!(got.contains(&(2, "box.name")), "{got:?}");
    assert!(got.contains(&(4, "box.web")), "{got:?}");
    assert!(got.contains(&(6, "box.admin")), "{got:?}");
    assert!(got.contains(&(8, "lease.lenght")), "{got:?}");
    assert!(got.contains(&(9, "lease.margin")), "{got:?}");
    assert!(got.iter().any(|(_, key)| *key == "platform.rpc"), "{got:?}");
    let typo = findings.iter().find(|f| f.key == "lease.lenght").unwrap();
    assert_eq!(typo.right, "did you mean `lease.length`?");
}

#[test]
fn impossible_sizes_and_units_are_found() {
    let text = format!(
        "{GOOD}\n[lease]\nlength = \"2s\"\nmargin = \"1500ms\"\n[limits]\nbody = \"3 lightyears\"\nhead = \"1B\"\n"
    );
    let findings = parse("c.toml", &text).expect_err("findings");
    let keys: Vec<_> = findings.iter().map(|f| f.key.as_str()).collect();
    for key in ["lease.margin", "limits.body", "limits.head"] {
        assert!(keys.contains(&key), "{key} missing in {keys:?}");
    }
}

#[test]
fn no_toml_is_a_finding() {
    let findings = parse("d.toml", "[box\n").expect_err("findings");
    assert_eq!(findings[0].line, 1);
}
