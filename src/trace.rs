//! Request tracing: trace contexts, and spans in the log, one for each hop of a request.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::utils::clock;
use crate::utils::hash::mix;

/// Log target under which spans are logged.
pub const TARGET: &str = "trace";

/// Trace context of a hop (W3C Trace Context, level 1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// Id of the trace, which all hops of a request share.
    pub trace: u128,
    /// Id of this hop.
    pub span: u64,
    /// Id of the hop before this one, or 0.
    pub parent: u64,
    /// True if the spans of this trace are logged.
    pub sampled: bool,
}

/// A finished hop, as it is logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Trace id in hexadecimal.
    pub trace: String,
    /// Id of the hop in hexadecimal.
    pub span: String,
    /// Id of the hop before this one in hexadecimal, or zeros.
    pub parent: String,
    /// Kind of the hop.
    pub name: String,
    /// End of the hop, in milliseconds since the Unix epoch.
    pub end: u64,
    /// Duration of the hop, in microseconds.
    pub micros: u64,
    /// Verdict that the hop ended with.
    pub verdict: String,
}

impl Context {
    /// Creates the context of the first hop of a new trace.
    pub fn new(sampled: bool) -> Self {
        let (high, low) = (unique_id(), unique_id());
        Self {
            trace: u128::from(high) << 64 | u128::from(low),
            span: unique_id(),
            parent: 0,
            sampled,
        }
    }

    /// Parses a `traceparent` header, and returns the context of the hop after it.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let (version, trace) = (parts.next()?, parts.next()?);
        let (span, flags) = (parts.next()?, parts.next()?);
        let sizes = (version.len(), trace.len(), span.len(), flags.len());
        if sizes != (2, 32, 16, 2) || version == "ff" {
            return None;
        }
        let parsed = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
            parent: 0,
            sampled: u8::from_str_radix(flags, 16).ok()? & 1 == 1,
        };
        let valid = parsed.trace != 0 && parsed.span != 0;
        valid.then(|| parsed.next())
    }

    /// Returns the context of the hop after this one.
    pub fn next(&self) -> Self {
        Self {
            parent: self.span,
            span: unique_id(),
            ..*self
        }
    }

    /// Returns the `traceparent` header for the next hop.
    pub fn header(&self) -> String {
        let flags = u8::from(self.sampled);
        format!("00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }

    /// Logs the span of this hop, which took `micros` microseconds, if the trace is sampled.
    pub fn end(&self, name: &str, micros: u64, verdict: &str) {
        if !self.sampled {
            return;
        }
        let span = Span {
            trace: format!("{:032x}", self.trace),
            span: format!("{:016x}", self.span),
            parent: format!("{:016x}", self.parent),
            name: name.into(),
            end: clock::wall(),
            micros,
            verdict: verdict.into(),
        };
        let line = serde_json::to_string(&span).unwrap_or_default();
        log::info!(target: TARGET, "{line}");
    }
}

/// Returns an id that is unique with overwhelming probability.
fn unique_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    let count = COUNTER.fetch_add(1, Ordering::Relaxed);
    let process = u64::from(std::process::id()) << 40;
    mix(mix(clock::wall() ^ process) ^ count).max(1)
}

/// Returns the spans of a trace in log lines of either format, ordered by their start.
pub fn find_spans<'l>(lines: impl Iterator<Item = &'l str>, trace: &str) -> Vec<Span> {
    let mut spans: Vec<Span> = lines
        .filter(|line| line.contains(trace))
        .filter_map(parse_line)
        .filter(|span| span.trace == trace)
        .collect();
    spans.sort_by_key(|s| (s.end * 1_000).saturating_sub(s.micros));
    spans
}

/// The needed field of a log line in JSON format.
#[derive(Deserialize)]
struct Line {
    message: String,
}

fn parse_line(line: &str) -> Option<Span> {
    if let Ok(line) = serde_json::from_str::<Line>(line) {
        return serde_json::from_str(&line.message).ok();
    }
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}
