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
    pub time_left: Millis,
    /// Milliseconds since the Unix epoch of its first issue; 0 when not given.
    pub issued: Millis,
    /// Milliseconds since the Unix epoch until which the caller sends it only
    /// once, as it promised; 0 without that promise.
    pub sole_until: Millis,
    /// Further sends that it may make, over all hops.
    pub retries: u32,
}

/// A header that is problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
    /// What is problem with it.
    pub problem: String,
}

struct Reader<'h> {
    headers: &'h HeaderMap,
    errors: Vec<HeaderError>,
}

impl Reader<'_> {
    fn report(&mut self, header: &'static str, problem: impl Into<String>) {
        let problem = problem.into();
        self.errors.push(HeaderError { header, problem });
    }

    fn text(&mut self, header: &'static str) -> Option<String> {
        let headers = self.headers;
        let value = headers.get(header)?;
        match value.to_str() {
            Ok(text) => Some(text.trim().to_string()),
            Err(_) => {
                self.report(header, "is no text");
                None
            }
        }
    }

    fn name(&mut self, header: &'static str) -> Option<Name> {
        let text = self.text(header)?;
        if !is_name(&text) {
            self.report(header, "is no name: use letters, digits, '-', '_' and '.'");
            return None;
        }
        Some(text.into())
    }

    fn number(&mut self, header: &'static str) -> Option<u64> {
        let text = self.text(header)?;
        let number = text.parse().ok();
        if number.is_none() {
            self.report(header, "is no whole number");
        }
        number
    }

    fn choice<T: Copy>(&mut self, header: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(header)?;
        let found = choices.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let known: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            self.report(header, format!("is none of {}", known.join(", ")));
        }
        found.map(|(_, value)| *value)
    }
}

/// Reads the headers of a request; all errors are returned together.
pub fn parse(headers: &HeaderMap, policy: &Policy) -> Result<Meta, Vec<HeaderError>> {
    let mut reader = Reader {
        headers,
        errors: Vec::new(),
    };
    let classes = [
        ("latency-critical", Class::Critical),
        ("batch", Class::Batch),
    ];
    let answers = [("yes", true), ("no", false)];
    let service = reader.name(constants::SERVICE);
    if service.is_none() && !headers.contains_key(constants::SERVICE) {
        reader.report(constants::SERVICE, "is missing");
    }
    let repeatable = reader
        .choice(constants::REPEATABLE, &answers)
        .unwrap_or(true);
    let id = reader.name(constants::ID);
    let issued = reader.number(constants::ISSUED);
    if !repeatable && id.is_none() {
        reader.report(
            constants::ID,
            "is needed for a request that is not repeatable",
        );
    }
    if !repeatable && issued.is_none() {
        reader.report(
            constants::ISSUED,
            "is needed for a request that is not repeatable",
        );
    }
    let time_left = reader
        .number(constants::DEADLINE)
        .unwrap_or(policy.default_deadline);
    if time_left > DEADLINE_LIMIT {
        reader.report(
            constants::DEADLINE,
            format!("is more than {DEADLINE_LIMIT}"),
        );
    }
    let once = reader.choice(constants::RESEND, &answers) == Some(false);
    let sole_until = issued
        .filter(|_| once)
        .map_or(0, |at| at.saturating_add(time_left.min(DEADLINE_LIMIT)));
    let meta = Meta {
        id: id.unwrap_or_else(|| "".into()),
        service: service.unwrap_or_else(|| "".into()),
        team: reader
            .name(constants::TEAM)
            .unwrap_or_else(|| "none".into()),
        class: reader
            .choice(constants::CLASS, &classes)
            .unwrap_or(Class::Critical),
        repeatable,
        time_left,
        issued: issued.unwrap_or(0),
        sole_until,
        retries: policy.retries,
    };
    match reader.errors.is_empty() {
        true => Ok(meta),
        false => Err(reader.errors),
    }
}
