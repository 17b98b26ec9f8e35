//! Tests of the settings files and of the command line.

use super::args;
use super::daemon;
use super::entry::parse;
use crate::sched::mechanisms::Mechanisms;

/// Settings of the `entry` daemon.
const ENTRY: &str = r#"
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
fn the_defaults_have_no_findings() {
    let settings = parse("a.toml", ENTRY).expect("no findings");
    assert_eq!(&*settings.name, "e1");
}

#[test]
fn all_findings_are_reported_with_their_lines() {
    let text = "[box]\nname = \"e 1\"\nhall = \"h\"\nweb = \"localhost:1\"\n\
                rpc = \"127.0.0.1:9\"\nadmin = \"127.0.0.1:9\"\n\
                [lease]\nlenght = \"10s\"\nmargin = 5\n";
    let findings = parse("b.toml", text).expect_err("findings");
    let found: Vec<_> = findings.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert!(found.contains(&(2, "box.name")), "{found:?}");
    assert!(found.contains(&(4, "box.web")), "{found:?}");
    assert!(found.contains(&(6, "box.admin")), "{found:?}");
    assert!(found.contains(&(8, "lease.lenght")), "{found:?}");
    assert!(found.contains(&(9, "lease.margin")), "{found:?}");
    assert!(
        found.iter().any(|(_, key)| *key == "platform.rpc"),
        "{found:?}"
    );
    let typo = findings.iter().find(|f| f.key == "lease.lenght").unwrap();
    assert_eq!(typo.hint, "did you mean `lease.length`?");
}

#[test]
fn sizes_out_of_range_and_unknown_units_are_reported() {
    let text = format!(
        "{ENTRY}\n[lease]\nlength = \"2s\"\nmargin = \"1500ms\"\n[limits]\nbody = \"3 lightyears\"\nhead = \"1B\"\n"
    );
    let findings = parse("c.toml", &text).expect_err("findings");
    let keys: Vec<_> = findings.iter().map(|f| f.key.as_str()).collect();
    for key in ["lease.margin", "limits.body", "limits.head"] {
        assert!(keys.contains(&key), "{key} missing in {keys:?}");
    }
}

#[test]
fn invalid_toml_is_reported() {
    let findings = parse("d.toml", "[box\n").expect_err("findings");
    assert_eq!(findings[0].line, 1);
}

/// Settings of the `serve` daemon.
const SERVE: &str = r#"
[box]
name = "e1"
hall = "leon-1"
web = "10.0.0.1:8001"
admin = "10.0.0.1:8003"
rpc = "10.0.0.1:8002"

[platform]
store = "10.0.9.1:8000"
"#;

/// Fills in the placeholders of the template in `deploy/` as the platform does. Without an
/// advisor, the optional sections are left out.
fn fill_template(advisor: &str) -> String {
    let template = include_str!("../../deploy/settings.toml");
    let values = [
        ("node", "front-1"),
        ("zone", "leon"),
        ("limits.cpuShare", "0.25"),
        ("limits.maxFds", "8192"),
        ("limits.memoryMb", "260"),
        ("platform.row_bytes", "32768"),
        ("listen.front", "10.0.0.1:8161"),
        ("listen.ready", "10.0.0.1:8167"),
        ("ip", "10.0.0.1"),
        ("internalPorts.0", "7720"),
        ("platform.address", "10.200.1.7:8169"),
        ("bounds.drainMs", "2000"),
        ("bounds.graceS", "6"),
        ("bounds.maxHoldMs", "6000"),
        ("bounds.status_s", "120"),
        ("bounds.harm_ms", "4500"),
        ("bounds.far_x", "2.5"),
        ("heartbeatMs", "1500"),
        ("advice", advisor),
    ];
    let section = |text: &str, name: &str, is_given: bool| {
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let (before, rest) = text.split_once(&open).expect("a section");
        let (inner, after) = rest.split_once(&close).expect("its end");
        format!("{before}{}{after}", if is_given { inner } else { "" })
    };
    let text = section(template, "advice", !advisor.is_empty());
    let text = section(&text, "limits.cpuShare", !advisor.is_empty());
    let text = section(&text, "limits.maxFds", !advisor.is_empty());
    let text = section(&text, "limits.memoryMb", !advisor.is_empty());
    let text = section(&text, "platform.row_bytes", !advisor.is_empty());
    let text = section(&text, "bounds.harm_ms", !advisor.is_empty());
    let text = section(&text, "bounds.far_x", !advisor.is_empty());
    let text = section(&text, "heartbeatMs", !advisor.is_empty());
    values.iter().fold(text, |text, (placeholder, value)| {
        text.replace(&format!("{{{{{placeholder}}}}}"), value)
    })
}

#[test]
fn the_filled_template_has_no_findings() {
    for (advisor, port) in [("10.200.1.9:8169", Some(8169)), ("", None)] {
        let text = fill_template(advisor);
        assert!(!text.contains("{{"), "{text}");
        let settings = daemon::parse("settings.conf", &text).expect("no findings");
        assert_eq!(settings.advisor.map(|a| a.port()), port);
        assert_eq!(
            (&*settings.name, settings.owner.lease_length),
            ("front-1", 4_000)
        );
        assert_eq!(settings.owner.longest_lease, 6_000);
        let max_breach = if port.is_some() { 4_500 } else { 4_000 };
        assert_eq!(settings.owner.max_breach, max_breach);
        let far_factor = if port.is_some() { 2.5 } else { 2.0 };
        assert_eq!(settings.owner.far_factor, far_factor);
        let heartbeat = if port.is_some() { 1_500 } else { 1_100 };
        assert_eq!(settings.owner.heartbeat, heartbeat);
        let row = if port.is_some() { 32_768 } else { 65_536 };
        assert_eq!(settings.owner.row_bytes, row);
        let megabytes = if port.is_some() { 260.0 } else { 160.0 };
        let share = (megabytes * 1_048_576.0 * 0.3) as usize;
        assert_eq!(settings.limits.memory, share);
        let connections = if port.is_some() { 2_048 } else { 1_024 };
        assert_eq!(settings.limits.connections, connections);
        assert_eq!(settings.cores, if port.is_some() { 250 } else { 1_000 });
        assert_eq!(
            settings.idle_connections,
            if port.is_some() { 3_072 } else { 1_536 }
        );
    }
}

#[test]
fn all_findings_of_the_serve_daemon_are_reported() {
    let text = SERVE
        .replace("10.0.0.1:8003", "10.0.0.1:8002")
        .replace("10.0.9.1", "0.0.0.0")
        + "grace = \"1s\"\n[workers]\nunconfirmed = \"1s\"\nleese = \"2s\"\n";
    let findings = daemon::parse("c.toml", &text).expect_err("findings");
    let keys: Vec<&str> = findings.iter().map(|f| f.key.as_str()).collect();
    let expected = [
        "box.admin",
        "platform.store",
        "platform.grace",
        "workers.unconfirmed",
        "workers.leese",
    ];
    for key in expected {
        assert!(keys.contains(&key), "{key} missing in {keys:?}");
    }
    assert!(daemon::parse("c.toml", SERVE).is_ok());
}

#[test]
fn cores_and_mechanisms_are_read_and_checked() {
    let text = SERVE.replace("hall =", "cores = 0.12\nhall =");
    let settings = daemon::parse("c.toml", &text).expect("no findings");
    assert_eq!(settings.cores, 120);
    assert_eq!(settings.owner.mechanisms, Mechanisms::DEFAULT);
    let text = format!("{text}[mechanisms]\nswap = false\nadmission = true\n");
    let settings = daemon::parse("c.toml", &text).expect("no findings");
    let expected = Mechanisms {
        swap: false,
        admission: true,
        ..Mechanisms::DEFAULT
    };
    assert_eq!(settings.owner.mechanisms, expected);
    let text = text.replace("0.12", "-1\ndescriptors = 0") + "pace = \"off\"\nspeed = true\n";
    let findings = daemon::parse("c.toml", &text).expect_err("findings");
    let keys: Vec<&str> = findings.iter().map(|f| f.key.as_str()).collect();
    let expected = ["box.cores", "box.descriptors"];
    for key in expected
        .iter()
        .chain(&["mechanisms.pace", "mechanisms.speed"])
    {
        assert!(keys.contains(key), "{key} missing in {keys:?}");
    }
}

/// Asserts that a command and all its subcommands have a help text; returns their number.
fn count_help_texts(path: &mut Vec<String>) -> usize {
    let mut words = path.clone();
    words.push("--help".into());
    let failure = args::command().run_inner(bpaf::Args::from(&words[..]));
    let Err(bpaf::ParseFailure::Stdout(doc, _)) = failure else {
        panic!("{words:?} has no help: {failure:?}");
    };
    let text = doc.monochrome(true);
    let indented = text.lines().filter_map(|l| l.strip_prefix("    "));
    let named = indented.filter(|l| l.starts_with(|c: char| c.is_ascii_lowercase()));
    let names: Vec<&str> = named.filter_map(|l| l.split(' ').next()).collect();
    let mut count = 1;
    for name in names {
        path.push(name.into());
        count += count_help_texts(path);
        path.pop();
    }
    count
}

#[test]
fn every_command_has_a_help() {
    assert!(count_help_texts(&mut Vec::new()) > 25);
}

#[test]
fn an_unknown_command_is_an_error() {
    for words in [&["chek"][..], &["service", "change"]] {
        let failure = args::command().run_inner(words);
        let expected = matches!(failure, Err(bpaf::ParseFailure::Stderr(_)));
        assert!(expected, "{words:?}: {failure:?}");
    }
}

#[test]
fn help_of_an_unknown_command_is_that_of_its_parent() {
    for words in [&["chek", "--help"][..], &["service", "change", "--help"]] {
        let failure = args::command().run_inner(words);
        let expected = matches!(failure, Err(bpaf::ParseFailure::Stdout(..)));
        assert!(expected, "{words:?}: {failure:?}");
    }
}
