//! Keeps the table of events in `docs/OPERATIONS.md` and the sources alike.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Sources of the daemon on the platform, whose lines have a target and an event.
const SOURCES: [&str; 5] = [
    "src/daemon.rs",
    "src/daemon",
    "src/sched",
    "src/platform",
    "src/queues.rs",
];
/// Events whose name is put together where they are logged.
const COMPOSED: [(&str, &str); 2] = [("desk", "submit"), ("desk", "cancel")];

type Events = BTreeSet<(String, String)>;

fn files(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_path_buf()];
    }
    let entries = std::fs::read_dir(path).expect("a folder of sources");
    let paths = entries.map(|e| e.expect("an entry").path());
    paths.flat_map(|p| files(&p)).collect()
}

/// Returns the word that follows `mark` in a line.
fn word<'a>(line: &'a str, mark: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(mark)?;
    let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '-');
    let word = &rest[..end.unwrap_or(rest.len())];
    (!word.is_empty()).then_some(word)
}

fn logged() -> Events {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let all = SOURCES.iter().flat_map(|s| files(&root.join(s)));
    let mut events: Events = COMPOSED.map(|(t, e)| (t.into(), e.into())).into();
    for file in all.filter(|f| !f.to_string_lossy().contains("tests")) {
        let text = std::fs::read_to_string(&file).expect("a source");
        let mut target = None;
        for line in text.lines() {
            target = word(line, "target: \"").or(target);
            let Some(event) = word(line, "event=") else {
                continue;
            };
            let target = target.unwrap_or_else(|| panic!("{event} in {file:?} has no target"));
            events.insert((target.into(), event.into()));
        }
    }
    events
}

fn listed() -> Events {
    let page = include_str!("../docs/OPERATIONS.md");
    let (_, table) = page.split_once("### Events").expect("the table");
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
fn the_table_of_events_and_the_sources_are_alike() {
    let (logged, listed) = (logged(), listed());
    let missing: Vec<_> = logged.difference(&listed).collect();
    let stale: Vec<_> = listed.difference(&logged).collect();
    assert!(missing.is_empty(), "not in the table: {missing:?}");
    assert!(stale.is_empty(), "not in the sources: {stale:?}");
    assert!(logged.len() > 50, "only {} events found", logged.len());
}
