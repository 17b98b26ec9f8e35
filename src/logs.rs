//! Logs: one line an event, as JSON or plain text.

mod sink;

#[cfg(test)]
mod tests;

use std::os::fd::AsRawFd;

use log::LevelFilter;
use serde::Serialize;

pub use sink::Sink;

use crate::utils::clock;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Plain text.
    Text,
}

/// What is logged and how.
#[derive(Clone, Debug)]
pub struct Logs {
    /// Form of a line.
    pub format: Format,
    /// Level of all modules without a level of their own.
    pub level: LevelFilter,
    /// Levels by module.
    pub modules: Vec<(String, LevelFilter)>,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            format: Format::Text,
            level: LevelFilter::Info,
            modules: Vec::new(),
        }
    }
}

/// A line as JSON.
#[derive(Serialize)]
struct Line<'a> {
    time: u64,
    level: &'a str,
    module: &'a str,
    #[serde(rename = "box")]
    node: &'a str,
    message: &'a str,
}

/// Starts logging to standard output; `node` is the name written into each line.
pub fn start(logs: &Logs, node: &str) -> eyre::Result<()> {
    let format = logs.format;
    let node = node.to_string();
    let mut dispatch =
        fern::Dispatch::new()
            .level(logs.level)
            .format(move |out, message, record| {
                let text = message.to_string();
                let line = render(
                    format,
                    &node,
                    record.level().as_str(),
                    record.target(),
                    &text,
                );
                out.finish(format_args!("{line}"));
            });
    for (module, level) in &logs.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    let sink = Sink::new(std::io::stdout().as_raw_fd());
    let sink: Box<dyn std::io::Write + Send> = Box::new(sink);
    dispatch.chain(sink).apply()?;
    Ok(())
}

fn render(format: Format, node: &str, level: &str, module: &str, message: &str) -> String {
    let time = clock::wall();
    match format {
        Format::Text => format!("{time} {level:5} {node} {module}: {message}"),
        Format::Json => {
            let line = Line {
                time,
                level,
                module,
                node,
                message,
            };
            serde_json::to_string(&line).unwrap_or_default()
        }
    }
}
