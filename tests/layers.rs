//! Files of a module know only files below them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Folders of modules whose files form no circle.
const FOLDERS: [&str; 2] = ["src/daemon", "src/platform"];

/// Which files a file of a folder uses, by their names.
type Uses = BTreeMap<String, BTreeSet<String>>;

/// Returns the names of the siblings that a source uses.
fn siblings(text: &str) -> BTreeSet<String> {
    let joined = text
        .replace("use super::{", "use super::")
        .replace('\n', " ");
    let uses = joined.split("use super::").skip(1);
    let lists = uses.filter_map(|u| u.split(';').next());
    let parts = lists.flat_map(|list| list.split(','));
    let word = |part: &str| {
        let part = part.trim();
        let end = part.find(|c: char| !c.is_ascii_lowercase() && c != '_');
        part[..end.unwrap_or(part.len())].to_string()
    };
    parts.map(word).collect()
}

fn uses(folder: &Path) -> Uses {
    let mut uses = Uses::new();
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().expect("a name").to_string_lossy();
        if path.is_file() && name != "tests" {
            let text = std::fs::read_to_string(&path).expect("a source");
            uses.insert(name.to_string(), siblings(&text));
        }
    }
    uses
}

/// Takes away files that use none of the rest, until none is left or all of them use others.
fn circle(mut uses: Uses) -> Uses {
    loop {
        let names: BTreeSet<String> = uses.keys().cloned().collect();
        let before = uses.len();
        uses.retain(|_, used| !used.is_disjoint(&names));
        if uses.len() == before {
            return uses;
        }
    }
}

#[test]
fn files_of_the_daemon_form_no_circle() {
    for folder in FOLDERS {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
        let all = uses(&path);
        assert!(
            all.values().any(|u| !u.is_empty()),
            "uses of {folder} are found"
        );
        let left = circle(all);
        assert!(left.is_empty(), "a circle in {folder}: {left:#?}");
    }
}

#[test]
fn a_circle_is_found() {
    let text = |uses: &str| siblings(uses);
    let two = Uses::from([
        ("a".into(), text("use super::b::{C, D};\nuse super::x;")),
        ("b".into(), text("use super::{c::{G, H}, a::E};")),
        ("c".into(), text("use crate::a::F;")),
    ]);
    let left: Vec<String> = circle(two).into_keys().collect();
    assert_eq!(left, ["a", "b"]);
}
