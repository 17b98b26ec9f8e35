//! Checks that the table of events in `docs/OPERATIONS.md` lists exactly the events that the
//! sources log.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Sources of the daemon, whose log lines have a target and an event.
const SOURCES: [&str; 6] = [
    "src/daemon.rs",
    "src/daemon",
    "src/sched",
    "src/platform",
    "src/queues.rs",
    "src/web",
];
/// Events, with their targets, whose names are composed at run time.
const COMPOSED: [(&str, &str); 2] = [("desk", "submit"), ("desk", "cancel")];

type Events = BTreeSet<(String, String)>;

fn source_files(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_path_buf()];
    }
    let entries = std::fs::read_dir(path).expect("a source folder can be read");
    let paths = entries.map(|e| e.expect("a folder entry can be read").path());
    paths.flat_map(|p| source_files(&p)).collect()
}

/// Returns the lowercase word that follows `marker` in a line.
fn word_after<'a>(line: &'a str, marker: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(marker)?;
    let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '-');
    let word = &rest[..end.unwrap_or(rest.len())];
    (!word.is_empty()).then_some(word)
}

fn logged_events() -> Events {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let all = SOURCES.iter().flat_map(|s| source_files(&root.join(s)));
    let mut events: Events = COMPOSED.map(|(t, e)| (t.into(), e.into())).into();
    for file in all.filter(|f| !f.to_string_lossy().contains("tests")) {
        let text = std::fs::read_to_string(&file).expect("a source file can be read");
        let mut target = None;
        for line in text.lines() {
            target = word_after(line, "target: \"").or(target);
            let Some(event) = word_after(line, "event=") else {
                continue;
            };
            let target =
                target.unwrap_or_else(|| panic!("event {event} in {file:?} has no target"));
            events.insert((target.into(), event.into()));
        }
    }
    events
}

fn documented_events() -> Events {
    let page = include_str!("../docs/OPERATIONS.md");
    let (_, table) = page
        .split_once("### Events")
        .expect("the table of events exists");
    let mut events = Events::new();
    for line in table.lines().filter(|l| l.starts_with("| `")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        for event in cells[2].split(", ") {
            let name = |text: &str| text.trim_matches('`').to_string();
            events.insert((name(cells[1]), name(event)));
        }
    }
    events
}

#[test]
fn documented_events_match_logged_events() {
    let (logged, documented) = (logged_events(), documented_events());
    let missing: Vec<_> = logged.difference(&documented).collect();
    let stale: Vec<_> = documented.difference(&logged).collect();
    assert!(
        missing.is_empty(),
        "events missing in the table: {missing:?}"
    );
    assert!(
        stale.is_empty(),
        "events in the table that no source logs: {stale:?}"
    );
    assert!(
        logged.len() > 50,
        "only {} events found in the sources",
        logged.len()
    );
}
