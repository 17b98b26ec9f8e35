//! The course of one job or task, out of the logs of many boxes.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::utils::Name;
use crate::utils::clock::Millis;

/// One decision that touched the job, as a box logged it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoggedEvent {
    /// Milliseconds since the Unix epoch on the clock of the box.
    pub time: Millis,
    /// Box that decided.
    #[serde(rename = "box")]
    pub node: String,
    /// What happened.
    pub event: String,
    /// What decided it: `key=value` pairs, without the event.
    pub inputs: String,
}

/// Returns the events of a job, a task or a worker in their order, with what
/// befell the owners and the store between the first and the last of them.
pub fn find_events<'l>(lines: impl Iterator<Item = &'l str>, id: &str) -> Vec<LoggedEvent> {
    let all: Vec<(bool, LoggedEvent)> = lines
        .filter_map(|line| Some((mentions(line, id), parse_line(line)?)))
        .collect();
    let touched = || {
        all.iter()
            .filter(|(mentioned, _)| *mentioned)
            .map(|(_, m)| m.time)
    };
    let (Some(first), Some(last)) = (touched().min(), touched().max()) else {
        return Vec::new();
    };
    let within = |m: &LoggedEvent| (first..=last).contains(&m.time) && affects_all_jobs(&m.event);
    let mut events: Vec<LoggedEvent> = all
        .into_iter()
        .filter(|(mentioned, m)| *mentioned || within(m))
        .map(|(_, m)| m)
        .collect();
    events.sort_by_key(|m| m.time);
    events
}

/// Events that touch every job.
const COMMON_EVENTS: [&str; 10] = [
    "owner-begins",
    "owner-ends",
    "predecessor-ended",
    "owner-silent",
    "feed-lost",
    "feed-regained",
    "stop",
    "log-dropped",
    "cordon",
    "cordons",
];

fn affects_all_jobs(event: &str) -> bool {
    COMMON_EVENTS.contains(&event)
}

/// Returns true when a line has the id as a value or as the start of one.
fn mentions(line: &str, id: &str) -> bool {
    line.split_ascii_whitespace().any(|word| {
        let value = word.split_once('=').map_or(word, |(_, v)| v);
        let rest = value.strip_prefix(id);
        rest.is_some_and(|r| r.is_empty() || r.starts_with('.'))
    })
}

/// Reads a line as text: time, level, box, module and pairs; or as JSON.
fn parse_line(line: &str) -> Option<LoggedEvent> {
    let start = line.find(|c: char| c.is_ascii_digit() || c == '{')?;
    let line = &line[start..];
    if line.starts_with('{') {
        return parse_json(line);
    }
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    // A test bench may put its own time and the box before the line.
    let place = words
        .iter()
        .position(|w| w.len() >= 13 && w.parse::<Millis>().is_ok())?;
    let time = words[place].parse().ok()?;
    let node = words.get(place + 2)?.to_string();
    parse_message(time, node, &words.get(place + 4..)?.join(" "))
}

/// A log line as JSON, as far as it is needed.
#[derive(serde::Deserialize)]
struct Line {
    time: Millis,
    #[serde(rename = "box")]
    node: Name,
    message: String,
}

fn parse_json(line: &str) -> Option<LoggedEvent> {
    let line: Line = serde_json::from_str(line).ok()?;
    parse_message(line.time, line.node.to_string(), &line.message)
}

fn parse_message(time: Millis, node: String, message: &str) -> Option<LoggedEvent> {
    let mut event = None;
    let mut inputs = Vec::new();
    for word in message.split_ascii_whitespace() {
        match word.strip_prefix("event=") {
            Some(name) if event.is_none() => event = Some(name.to_string()),
            _ => inputs.push(word),
        }
    }
    Some(LoggedEvent {
        time,
        node,
        event: event?,
        inputs: inputs.join(" "),
    })
}
