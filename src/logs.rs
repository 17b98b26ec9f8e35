//! Logs: one line an event, as JSON or plain text.

mod sink;

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

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
pub struct LogSettings {
    /// Form of a line.
    pub format: Format,
    /// Level of all modules without a level of their own.
    pub level: LevelFilter,
    /// Levels by module.
    pub modules: Vec<(String, LevelFilter)>,
}

impl Default for LogSettings {
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
struct JsonLine<'a> {
    time: u64,
    level: &'a str,
    module: &'a str,
    #[serde(rename = "box")]
    node: &'a str,
    message: &'a str,
}

/// Starts logging to standard output; `node` is the name written into each line.
pub fn init(logs: &LogSettings, node: &str) -> eyre::Result<()> {
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
    let sink = Arc::new(Mutex::new(Sink::new(io::stdout().as_raw_fd())));
    let writer: Box<dyn Write + Send> = Box::new(Writer(sink.clone()));
    dispatch.chain(writer).apply()?;
    // Only the first start of a process gets here, as `apply` fails later.
    let _ = SINK.set(sink);
    Ok(())
}

/// The sink of this process, once logging has started.
static SINK: OnceLock<Arc<Mutex<Sink>>> = OnceLock::new();

/// Writes into the sink of this process.
struct Writer(Arc<Mutex<Sink>>);

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        lock(&self.0).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        lock(&self.0).flush()
    }
}

/// Locks the sink, also after a panic of a thread that held it: its state is whole
/// between two lines, and no line is lost for that.
fn lock(sink: &Mutex<Sink>) -> MutexGuard<'_, Sink> {
    sink.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets lines wait for others to be written with them; the program has to call
/// [`flush`] often. Lines of before a panic are written at once.
pub fn enable_batching() {
    if let Some(sink) = SINK.get() {
        lock(sink).enable_batching();
    }
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        flush();
        before(info);
    }));
}

/// Writes the lines that wait.
pub fn flush() {
    if let Some(Ok(mut sink)) = SINK.get().map(|s| s.try_lock()) {
        sink.write_pending();
    }
}

fn render(format: Format, node: &str, level: &str, module: &str, message: &str) -> String {
    let time = clock::wall();
    match format {
        Format::Text => format!("{time} {level:5} {node} {module}: {message}"),
        Format::Json => {
            let line = JsonLine {
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
