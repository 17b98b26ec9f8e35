//! Reads typed values from a TOML document and collects findings with their line numbers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use toml_edit::{Document, Item, Table};

use crate::utils::clock::Millis;

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the settings file.
    pub file: String,
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Key with its section, such as `lease.length`.
    pub key: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct it.
    pub hint: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            file,
            line,
            key,
            problem,
            hint,
        } = self;
        write!(f, "{file}:{line}: {key}: {problem}; {hint}")
    }
}

const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SIZE_UNITS: [(&str, u64); 4] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

/// Reads values from one document. Values that are missing or invalid are replaced by defaults and
/// reported as findings, so that one pass finds all problems.
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    document: Document<&'a str>,
    /// Keys that were read, which are all that the settings have.
    known_keys: BTreeSet<String>,
    /// Problems found so far.
    pub findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    /// Parses a document. Returns a finding at the line of the first syntax error.
    pub fn new(file: &'a str, text: &'a str) -> Result<Self, Finding> {
        let document = Document::parse(text).map_err(|e| Finding {
            file: file.into(),
            line: line_number(text, e.span().map_or(0, |s| s.start)),
            key: "(file)".into(),
            problem: e.message().to_string(),
            hint: "write valid TOML".into(),
        })?;
        Ok(Self {
            file,
            text,
            document,
            known_keys: BTreeSet::new(),
            findings: Vec::new(),
        })
    }

    /// Adds a finding at a key, or at the nearest section above it if the key is missing.
    pub fn report(&mut self, key: &str, problem: impl Into<String>, hint: impl Into<String>) {
        let start = self.offset_of(key);
        self.findings.push(Finding {
            file: self.file.into(),
            line: line_number(self.text, start),
            key: key.into(),
            problem: problem.into(),
            hint: hint.into(),
        });
    }

    /// Returns a string. A missing key is a finding if there is no default.
    pub fn string(&mut self, key: &str, default: Option<&str>) -> String {
        let Some(item) = self.item(key) else {
            return self.default_or_missing(key, default, "a string");
        };
        let Some(text) = item.as_str().map(str::to_string) else {
            let got = item.type_name();
            self.report(key, format!("is a {got}"), "write a string in quotes");
            return default.unwrap_or_default().into();
        };
        text
    }

    /// Returns a required name, as accepted by [`is_name`].
    pub fn name(&mut self, key: &str) -> String {
        let text = self.string(key, None);
        if !text.is_empty() && !is_name(&text) {
            let hint = "use letters, digits, '-', '_' and '.', at most 128";
            self.report(key, format!("`{text}` is not a valid name"), hint);
        }
        text
    }

    /// Returns a required socket address, written as IP address and port.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let none = SocketAddr::from(([0, 0, 0, 0], 0));
        let text = self.string(key, None);
        if text.is_empty() {
            return none;
        }
        text.parse().unwrap_or_else(|_| {
            let hint = "write IP:port, for example \"10.0.0.1:8080\"";
            self.report(key, format!("`{text}` is not a socket address"), hint);
            none
        })
    }

    /// Returns true if the document has a key.
    pub fn contains(&mut self, key: &str) -> bool {
        self.item(key).is_some()
    }

    /// Returns a socket address if the document has the key.
    pub fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.item(key)?;
        Some(self.address(key))
    }

    /// Returns a duration in milliseconds; the document gives it as a string with a unit.
    pub fn duration(
        &mut self,
        key: &str,
        default: Millis,
        range: RangeInclusive<Millis>,
    ) -> Millis {
        let hint = "write a number with ms, s, m or h, for example \"500ms\"";
        self.quantity(key, default, range, &DURATION_UNITS, hint)
    }

    /// Returns a size in bytes; the document gives it as a string with a unit.
    pub fn size(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let hint = "write a number with B, KiB, MiB or GiB, for example \"16KiB\"";
        self.quantity(key, default, range, &SIZE_UNITS, hint)
    }

    /// Returns a non-negative integer.
    pub fn count(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(item) = self.item(key) else {
            return default;
        };
        let value = item.as_integer().and_then(|n| u64::try_from(n).ok());
        let got = item.type_name();
        match value {
            Some(value) if range.contains(&value) => value,
            Some(value) => {
                self.report_out_of_range(key, &value.to_string(), &range);
                default
            }
            None => {
                self.report(
                    key,
                    format!("is not a non-negative integer (found {got})"),
                    "write an integer from 0",
                );
                default
            }
        }
    }

    /// Returns a boolean.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(item) = self.item(key) else {
            return default;
        };
        item.as_bool().unwrap_or_else(|| {
            self.report(key, "is neither true nor false", "write true or false");
            default
        })
    }

    /// Returns a fraction from 0 to 1.
    pub fn fraction(&mut self, key: &str, default: f64) -> f64 {
        self.number(key, default, 0.0..=1.0)
    }

    /// Returns a number in a range.
    pub fn number(&mut self, key: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let Some(item) = self.item(key) else {
            return default;
        };
        let whole = item.as_integer().map(|n| n as f64);
        match item.as_float().or(whole) {
            Some(value) if range.contains(&value) => value,
            _ => {
                let hint = format!("write a number from {} to {}", range.start(), range.end());
                self.report(key, "is not a number in the accepted range", hint);
                default
            }
        }
    }

    /// Returns the names and values of a table whose values are strings.
    pub fn strings(&mut self, key: &str) -> Vec<(String, String)> {
        let Some(item) = self.item(key) else {
            return Vec::new();
        };
        let Some(table) = item.as_table_like() else {
            self.report(
                key,
                "is not a table",
                "write `module = \"level\"` lines under it",
            );
            return Vec::new();
        };
        let entries: Vec<_> = table
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_str().unwrap_or("").to_string()))
            .collect();
        for (name, _) in &entries {
            self.known_keys.insert(format!("{key}.{name}"));
        }
        entries
    }

    /// Adds a finding for each key that was never read, and returns all findings by line.
    pub fn finish(mut self) -> Vec<Finding> {
        let mut keys = Vec::new();
        collect_keys(self.document.as_table(), "", &mut keys);
        for key in keys {
            let known = self.known_keys.contains(&key);
            let section = self
                .known_keys
                .iter()
                .any(|a| a.starts_with(&format!("{key}.")));
            if known || section {
                continue;
            }
            let hint = match nearest_key(&key, &self.known_keys) {
                Some(near) => format!("did you mean `{near}`?"),
                None => "remove it".into(),
            };
            self.report(&key, "unknown key", hint);
        }
        self.findings.sort_by_key(|f| f.line);
        self.findings
    }

    fn quantity(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
        units: &[(&str, u64)],
        hint: &str,
    ) -> u64 {
        let Some(item) = self.item(key) else {
            return default;
        };
        let text = match item.as_str() {
            Some(text) => text.to_string(),
            None => {
                self.report(key, "has no unit", hint);
                return default;
            }
        };
        match parse_quantity(&text, units) {
            Some(value) if range.contains(&value) => value,
            Some(_) => {
                self.report_out_of_range(key, &text, &range);
                default
            }
            None => {
                self.report(
                    key,
                    format!("`{text}` is not a number with a known unit"),
                    hint,
                );
                default
            }
        }
    }

    fn report_out_of_range(&mut self, key: &str, got: &str, range: &RangeInclusive<u64>) {
        let hint = format!("write a value from {} to {}", range.start(), range.end());
        self.report(key, format!("`{got}` is out of range"), hint);
    }

    fn default_or_missing(&mut self, key: &str, default: Option<&str>, kind: &str) -> String {
        match default {
            Some(default) => default.into(),
            None => {
                self.report(key, "is missing", format!("add {kind}"));
                String::new()
            }
        }
    }

    /// Returns the value at a key, and records the key as known.
    fn item(&mut self, key: &str) -> Option<Item> {
        self.known_keys.insert(key.to_string());
        lookup(self.document.as_item(), key).cloned()
    }

    /// Returns the offset of a key, or of the nearest section above it that the document has.
    fn offset_of(&self, key: &str) -> usize {
        let mut path = key;
        loop {
            let item = lookup(self.document.as_item(), path);
            if let Some(span) = item.and_then(Item::span) {
                return span.start;
            }
            let Some((parent, _)) = path.rsplit_once('.') else {
                return 0;
            };
            path = parent;
        }
    }
}

/// Returns true for a name of 1 to 128 letters, digits, `-`, `_` and `.`.
pub fn is_name(text: &str) -> bool {
    let fits = (1..=crate::constants::NAME_LIMIT).contains(&text.len());
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    fits && text.bytes().all(plain)
}

/// Parses a number followed by a unit into the smallest unit; none on overflow.
fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let scale = units.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.parse::<u64>().ok()?.checked_mul(scale)
}

/// Returns the value at a dotted key.
fn lookup<'i>(root: &'i Item, key: &str) -> Option<&'i Item> {
    key.split('.').try_fold(root, |item, part| item.get(part))
}

/// Collects the full keys of all values in a table and its sections.
fn collect_keys(table: &Table, prefix: &str, keys: &mut Vec<String>) {
    for (name, item) in table.iter() {
        let key = match prefix {
            "" => name.to_string(),
            _ => format!("{prefix}.{name}"),
        };
        match item.as_table() {
            Some(inner) => collect_keys(inner, &key, keys),
            None => keys.push(key),
        }
    }
}

/// Returns the line of an offset, counted from 1.
fn line_number(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}

/// Largest edit distance at which a known key is suggested for an unknown one.
const MAX_TYPO_DISTANCE: usize = 3;

/// Returns the known key that is most like `key`, unless all are too different.
fn nearest_key(key: &str, known: &BTreeSet<String>) -> Option<String> {
    let scored = known.iter().map(|k| (edit_distance(key, k), k));
    let (distance, near) = scored.min()?;
    (distance <= MAX_TYPO_DISTANCE).then(|| near.clone())
}

/// Returns the Levenshtein distance of two strings.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut last = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let change = last + usize::from(ca != *cb);
            last = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(last + 1);
        }
    }
    row[b.len()]
}
