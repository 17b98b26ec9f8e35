//! Logging: one line per event, as JSON or plain text, to standard output.

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

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Text,
}

/// Format and levels of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Format of a line.
    pub format: Format,
    /// Level of the modules that have no level of their own.
    pub level: LevelFilter,
    /// Modules, or log targets, with their own levels.
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

/// A log line in JSON format.
#[derive(Serialize)]
struct JsonLine<'a> {
    time: u64,
    level: &'a str,
    module: &'a str,
    #[serde(rename = "box")]
    node: &'a str,
    message: &'a str,
}

/// Starts logging to standard output. `node` is written into each line as the name of the box.
/// Fails if logging was started before.
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
    // Only the first call in a process gets here: `apply` fails for any other.
    let _ = SINK.set(sink);
    Ok(())
}

/// The sink of this process, once logging has started.
static SINK: OnceLock<Arc<Mutex<Sink>>> = OnceLock::new();

/// Adapter that writes to the shared sink.
struct Writer(Arc<Mutex<Sink>>);

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        lock(&self.0).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        lock(&self.0).flush()
    }
}

/// Locks the sink, even if a thread panicked while it held the lock. Its state is consistent
/// between two lines, so no line needs to be lost.
fn lock(sink: &Mutex<Sink>) -> MutexGuard<'_, Sink> {
    sink.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets the sink write several lines with one system call. The program has to call [`flush`] often,
/// as lines may otherwise wait for ever. A panic writes the waiting lines at once.
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

/// Writes the waiting lines, unless another thread is writing.
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
