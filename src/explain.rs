//! Finds the history of a job, task or worker in the logs of many boxes.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::utils::Name;
use crate::utils::clock::Millis;

/// An event that a box logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoggedEvent {
    /// Time on the clock of the box, in milliseconds since the Unix epoch.
    pub time: Millis,
    /// Box that logged the event.
    #[serde(rename = "box")]
    pub node: String,
    /// Name of the event.
    pub event: String,
    /// The `key=value` pairs of the line, without that of the event.
    pub inputs: String,
}

/// Returns the events that mention a job, a task or a worker, ordered by time. Events between the
/// first and the last of them that concern every job, such as a change of owner, are included.
pub fn find_events<'l>(lines: impl Iterator<Item = &'l str>, id: &str) -> Vec<LoggedEvent> {
    let all: Vec<(bool, LoggedEvent)> = lines
        .filter_map(|line| Some((mentions(line, id), parse_line(line)?)))
        .collect();
    let times = || {
        all.iter()
            .filter(|(mentioned, _)| *mentioned)
            .map(|(_, event)| event.time)
    };
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let within = |event: &LoggedEvent| {
        (first..=last).contains(&event.time) && concerns_every_job(&event.event)
    };
    let mut events: Vec<LoggedEvent> = all
        .into_iter()
        .filter(|(mentioned, event)| *mentioned || within(event))
        .map(|(_, event)| event)
        .collect();
    events.sort_by_key(|event| event.time);
    events
}

/// Names of events that concern every job.
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

fn concerns_every_job(event: &str) -> bool {
    COMMON_EVENTS.contains(&event)
}

/// Returns true if a word or value of the line is the id, or starts with the id and a dot as the
/// names of a job's tasks do.
fn mentions(line: &str, id: &str) -> bool {
    line.split_ascii_whitespace().any(|word| {
        let value = word.split_once('=').map_or(word, |(_, v)| v);
        let rest = value.strip_prefix(id);
        rest.is_some_and(|r| r.is_empty() || r.starts_with('.'))
    })
}

/// Parses a log line in either format. A text line has the time, level, box, module and pairs.
fn parse_line(line: &str) -> Option<LoggedEvent> {
    let start = line.find(|c: char| c.is_ascii_digit() || c == '{')?;
    let line = &line[start..];
    if line.starts_with('{') {
        return parse_json(line);
    }
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    // A log collector may prepend its own time and the name of the box.
    let time_index = words
        .iter()
        .position(|w| w.len() >= 13 && w.parse::<Millis>().is_ok())?;
    let time = words[time_index].parse().ok()?;
    let node = words.get(time_index + 2)?.to_string();
    parse_message(time, node, &words.get(time_index + 4..)?.join(" "))
}

/// The needed fields of a log line in JSON format.
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

/// Splits a message into its event and the other words; none without an event.
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
