//! Parses and checks the headers of a caller's request.

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

/// Checked header values of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Meta {
    /// Id, the same for each resend; empty if the caller gave none.
    pub id: Name,
    /// Service that runs the request.
    pub service: Name,
    /// Team to which the request belongs.
    pub team: Name,
    /// Priority class.
    pub class: Class,
    /// True if the request may run more than once.
    pub repeatable: bool,
    /// Milliseconds until the deadline.
    pub time_left: Millis,
    /// Time of the first issue in milliseconds since the Unix epoch; 0 if not given.
    pub issued: Millis,
    /// Time until which the caller has promised not to resend the request, in milliseconds since
    /// the Unix epoch; 0 without a promise.
    pub sole_until: Millis,
    /// Number of retries left, over all hops.
    pub retries: u32,
}

/// Problem with one header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with its value.
    pub problem: String,
}

/// Reads header values and collects the problems found.
struct Reader<'h> {
    headers: &'h HeaderMap,
    errors: Vec<HeaderError>,
}

impl Reader<'_> {
    /// Adds a problem with a header.
    fn report(&mut self, header: &'static str, problem: impl Into<String>) {
        let problem = problem.into();
        self.errors.push(HeaderError { header, problem });
    }

    /// Returns the trimmed text of a header.
    fn text(&mut self, header: &'static str) -> Option<String> {
        let headers = self.headers;
        let value = headers.get(header)?;
        match value.to_str() {
            Ok(text) => Some(text.trim().to_string()),
            Err(_) => {
                self.report(header, "contains characters other than visible ASCII");
                None
            }
        }
    }

    /// Returns the value of a header that must be a name.
    fn name(&mut self, header: &'static str) -> Option<Name> {
        let text = self.text(header)?;
        if !is_name(&text) {
            self.report(
                header,
                "is not a valid name: use letters, digits, '-', '_' and '.'",
            );
            return None;
        }
        Some(text.into())
    }

    /// Returns the value of a header that must be a whole number.
    fn number(&mut self, header: &'static str) -> Option<u64> {
        let text = self.text(header)?;
        let number = text.parse().ok();
        if number.is_none() {
            self.report(header, "is not a whole number");
        }
        number
    }

    /// Returns the value for a header that must hold one of the choices.
    fn choice<T: Copy>(&mut self, header: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(header)?;
        let chosen = choices.iter().find(|(choice, _)| *choice == text);
        if chosen.is_none() {
            let known: Vec<&str> = choices.iter().map(|(choice, _)| *choice).collect();
            self.report(header, format!("is not one of {}", known.join(", ")));
        }
        chosen.map(|(_, value)| *value)
    }
}

/// Parses the headers of a request; on failure returns the problems with all headers.
pub fn parse(headers: &HeaderMap, policy: &Policy) -> Result<Meta, Vec<HeaderError>> {
    let mut reader = Reader {
        headers,
        errors: Vec::new(),
    };
    let classes = [
        ("latency-critical", Class::Critical),
        ("batch", Class::Batch),
    ];
    let yes_no = [("yes", true), ("no", false)];
    let service = reader.name(constants::SERVICE);
    if service.is_none() && !headers.contains_key(constants::SERVICE) {
        reader.report(constants::SERVICE, "is missing");
    }
    let repeatable = reader
        .choice(constants::REPEATABLE, &yes_no)
        .unwrap_or(true);
    let id = reader.name(constants::ID);
    let issued = reader.number(constants::ISSUED);
    if !repeatable && id.is_none() {
        reader.report(
            constants::ID,
            "is required for a request that is not repeatable",
        );
    }
    if !repeatable && issued.is_none() {
        reader.report(
            constants::ISSUED,
            "is required for a request that is not repeatable",
        );
    }
    let time_left = reader
        .number(constants::DEADLINE)
        .unwrap_or(policy.default_deadline);
    if time_left > DEADLINE_LIMIT {
        reader.report(
            constants::DEADLINE,
            format!("exceeds the limit of {DEADLINE_LIMIT} ms"),
        );
    }
    let sent_once = reader.choice(constants::RESEND, &yes_no) == Some(false);
    let sole_until = issued
        .filter(|_| sent_once)
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
