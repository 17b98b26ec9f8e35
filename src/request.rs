//! What a caller's request says of itself in its headers.

#[cfg(test)]
mod tests;

use http::HeaderMap;

use crate::cell::{Class, Policy};
use crate::constants;
use crate::options::is_name;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Longest accepted deadline in milliseconds.
const DEADLINE_LIMIT: Millis = 3_600_000;

/// Header values of one request, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Meta {
    /// Id, the same in each resend; empty when the caller gave none.
    pub id: Name,
    /// Service that is to run it.
    pub service: Name,
    /// Team it is counted for.
    pub team: Name,
    /// How urgent it is.
    pub class: Class,
    /// True when it may run more than once.
    pub repeatable: bool,
    /// Milliseconds left until its answer is worthless.
    pub left: Millis,
    /// Milliseconds since the Unix epoch of its first issue; 0 when not given.
    pub issued: Millis,
    /// Milliseconds since the Unix epoch until which the caller sends it only
    /// once, as it promised; 0 without that promise.
    pub alone: Millis,
    /// Further sends that it may make, over all hops.
    pub retries: u32,
}

/// A header that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it.
    pub wrong: String,
}

struct Reader<'h> {
    headers: &'h HeaderMap,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn find(&mut self, header: &'static str, wrong: impl Into<String>) {
        let wrong = wrong.into();
        self.findings.push(Finding { header, wrong });
    }

    fn text(&mut self, header: &'static str) -> Option<String> {
        let headers = self.headers;
        let value = headers.get(header)?;
        match value.to_str() {
            Ok(text) => Some(text.trim().to_string()),
            Err(_) => {
                self.find(header, "is no text");
                None
            }
        }
    }

    fn name(&mut self, header: &'static str) -> Option<Name> {
        let text = self.text(header)?;
        if !is_name(&text) {
            self.find(header, "is no name: use letters, digits, '-', '_' and '.'");
            return None;
        }
        Some(text.into())
    }

    fn number(&mut self, header: &'static str) -> Option<u64> {
        let text = self.text(header)?;
        let number = text.parse().ok();
        if number.is_none() {
            self.find(header, "is no whole number");
        }
        number
    }

    fn word<T: Copy>(&mut self, header: &'static str, words: &[(&str, T)]) -> Option<T> {
        let text = self.text(header)?;
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.find(header, format!("is none of {}", known.join(", ")));
        }
        found.map(|(_, value)| *value)
    }
}

/// Reads the headers of a request; all findings are returned together.
pub fn parse(headers: &HeaderMap, policy: &Policy) -> Result<Meta, Vec<Finding>> {
    let mut reader = Reader {
        headers,
        findings: Vec::new(),
    };
    let classes = [
        ("latency-critical", Class::Critical),
        ("batch", Class::Batch),
    ];
    let answers = [("yes", true), ("no", false)];
    let service = reader.name(constants::SERVICE);
    if service.is_none() && !headers.contains_key(constants::SERVICE) {
        reader.find(constants::SERVICE, "is missing");
    }
    let repeatable = reader.word(constants::REPEATABLE, &answers).unwrap_or(true);
    let id = reader.name(constants::ID);
    let issued = reader.number(constants::ISSUED);
    if !repeatable && id.is_none() {
        reader.find(
            constants::ID,
            "is needed for a request that is not repeatable",
        );
    }
    if !repeatable && issued.is_none() {
        reader.find(
            constants::ISSUED,
            "is needed for a request that is not repeatable",
        );
    }
    let left = reader
        .number(constants::DEADLINE)
        .unwrap_or(policy.default_deadline);
    if left > DEADLINE_LIMIT {
        reader.find(
            constants::DEADLINE,
            format!("is more than {DEADLINE_LIMIT}"),
        );
    }
    let once = reader.word(constants::RESEND, &answers) == Some(false);
    let alone = issued
        .filter(|_| once)
        .map_or(0, |at| at.saturating_add(left.min(DEADLINE_LIMIT)));
    let meta = Meta {
        id: id.unwrap_or_else(|| "".into()),
        service: service.unwrap_or_else(|| "".into()),
        team: reader
            .name(constants::TEAM)
            .unwrap_or_else(|| "none".into()),
        class: reader
            .word(constants::CLASS, &classes)
            .unwrap_or(Class::Critical),
        repeatable,
        left,
        issued: issued.unwrap_or(0),
        alone,
        retries: policy.retries,
    };
    match reader.findings.is_empty() {
        true => Ok(meta),
        false => Err(reader.findings),
    }
}
