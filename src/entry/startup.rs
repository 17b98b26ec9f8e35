//! Reports what a box waits for while it is not ready after its start.
//!
//! The report is written by a thread of its own, as the thread of the runtime may be what hangs.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::driver::Context;
use crate::engine::{Query, StatusView, View};
use crate::utils::clock::Millis;

/// Time from the start to the first report. Each further one comes after twice the time.
const FIRST_REPORT: Duration = Duration::from_secs(5);
/// Most reports of one start.
const MAX_REPORTS: u32 = 6;
/// Time between two looks at whether the box is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Progress of a start, shared by the thread that reports it.
#[derive(Debug, Default)]
pub struct Progress {
    /// Number of times that the runtime has sent a tick.
    pub ticks: AtomicU64,
    /// Number of messages that the engine has processed.
    pub steps: AtomicU64,
    /// Version of the active configuration; 0 for none.
    config: AtomicU64,
    /// Number of known boxes, including this one.
    boxes: AtomicU64,
    /// Milliseconds since the table last answered.
    table_silence: AtomicU64,
    /// True once the box is ready, or ends.
    is_over: AtomicBool,
}

impl Progress {
    /// Records a view of the state of the box.
    fn record(&self, status: &StatusView) {
        self.config.store(status.config, Ordering::Relaxed);
        self.boxes.store(status.boxes as u64, Ordering::Relaxed);
        self.table_silence
            .store(status.table_silence, Ordering::Relaxed);
    }
}

/// Returns the report of a start that began `age` milliseconds ago. Without ticks, the thread of the
/// runtime hangs; without steps, the engine does; otherwise the box waits for the table.
fn report(progress: &Progress, age: Millis) -> String {
    let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
    let (ticks, steps) = (read(&progress.ticks), read(&progress.steps));
    let (config, boxes) = (read(&progress.config), read(&progress.boxes));
    // A table that has never answered is silent since the start.
    let silence = read(&progress.table_silence).min(age);
    format!(
        "event=not-ready age_ms={age} ticks={ticks} steps={steps} config={config} boxes={boxes} \
         table_silence_ms={silence}"
    )
}

/// Returns the milliseconds after the start at which a report, counted from 0, is due; `None` for
/// one that is not written.
pub fn report_due(number: u32) -> Option<Millis> {
    let first = FIRST_REPORT.as_millis() as Millis;
    (number < MAX_REPORTS).then(|| first << number)
}

/// Starts the thread that reports the progress of a start until it is over.
pub fn watch(progress: Arc<Progress>) {
    let began = Instant::now();
    thread::spawn(move || {
        let mut number = 0;
        while let Some(due) = report_due(number)
            && !progress.is_over.load(Ordering::Relaxed)
        {
            let age = began.elapsed().as_millis() as Millis;
            if age >= due {
                log::warn!(target: "entry", "{}", report(&progress, age));
                number += 1;
            }
            thread::sleep(CHECK_INTERVAL);
        }
    });
}

/// Records the state of the box until it is ready or ends, and then ends the reports.
pub async fn follow(context: Rc<Context>) {
    let progress = &context.progress;
    while let Some(View::Status(status)) = context.query(Query::Status).await {
        progress.record(&status);
        if status.ready {
            break;
        }
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
    progress.is_over.store(true, Ordering::Relaxed);
}
