//! Tests of the command line that need no deployment.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_willowpoint");
    let mut command = Command::new(binary);
    command
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    command.output().expect("the program starts")
}

#[test]
fn check_accepts_the_sample_settings() {
    let output = run(&[
        "check",
        "settings/recoge-ya.toml",
        "settings/sonnenfeld-abrechnung.toml",
    ]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(output.status.success(), "{text}");
}

#[test]
fn a_daemon_refuses_to_start_with_the_errors_that_check_reports() {
    let path = std::env::temp_dir().join(format!("willowpoint-{}.toml", std::process::id()));
    std::fs::write(&path, "[box]\nname = \"e1\"\nhall = \"h\"\nweb = \"x\"\n")
        .expect("the settings can be written");
    let name = path.to_string_lossy().to_string();
    let checked = run(&["check", &name]);
    let refused = run(&["entry", "--config", &name]);
    std::fs::remove_file(&path).expect("the settings can be removed");
    let codes = (checked.status.code(), refused.status.code());
    assert_eq!(codes, (Some(2), Some(2)));
    let reported = String::from_utf8_lossy(&checked.stdout).to_string();
    let printed = String::from_utf8_lossy(&refused.stderr).to_string();
    assert_eq!(reported, printed);
    assert!(reported.contains(":4: box.web:"), "{reported}");
}

#[test]
fn check_validates_the_settings_of_a_box_on_the_platform() {
    let path = std::env::temp_dir().join(format!("willowpoint-{}-p.toml", std::process::id()));
    let text = "[box]\nname = \"e1\"\nhall = \"h\"\nweb = \"10.0.0.1:1\"\nadmin = \"10.0.0.1:2\"\n\
                rpc = \"10.0.0.1:3\"\n[platform]\nstore = \"10.0.0.9:1\"\n[workers]\nlease = 4\n";
    std::fs::write(&path, text).expect("the settings can be written");
    let name = path.to_string_lossy().to_string();
    let checked = run(&["check", &name]);
    let refused = run(&["serve", "--config", &name]);
    std::fs::remove_file(&path).expect("the settings can be removed");
    let codes = (checked.status.code(), refused.status.code());
    assert_eq!(codes, (Some(2), Some(2)));
    let reported = String::from_utf8_lossy(&checked.stdout).to_string();
    assert_eq!(reported.lines().count(), 1, "{reported}");
    assert!(reported.contains(":10: workers.lease:"), "{reported}");
}

#[test]
fn help_has_examples() {
    let output = run(&["job", "submit", "--help"]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(text.contains("Example: willowpoint job"), "{text}");
}
