//! Structured logs on standard output.
//!
//! A dedicated thread writes them, so that no caller blocks on a slow or closed
//! reader; records are dropped and counted while the queue is full.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, o};
use slog_async::{AsyncCore, AsyncGuard};

/// Format of log records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format of the records.
    pub format: LogFormat,
    /// Lowest level: `debug`, `info`, `warning` or `error`.
    pub level: Box<str>,
    /// Maximum number of lines per second about single flows.
    pub flow_lines: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Json,
            level: "info".into(),
            flow_lines: 20,
        }
    }
}

/// Maximum number of records queued for the writer thread.
const QUEUE_CAPACITY: usize = 1_024;

/// Maximum time to flush the queued records at exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the count of dropped records is queued again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Queue of the writer thread, with the number of records dropped since the last report.
#[derive(derive_more::Debug)]
struct Queue {
    #[debug(skip)]
    writer: AsyncCore,
    dropped: AtomicU64,
}

impl Queue {
    /// Queues a record with the count of dropped records, if any; returns `false` if the queue is
    /// full.
    fn report_dropped(&self, values: &OwnedKVList) -> bool {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        if count == 0 {
            return true;
        }
        let message = format_args!("log records dropped; the reader is too slow");
        let tags = slog::b!("count" => count);
        let record = slog::record!(Level::Warning, "", &message, tags);
        let queued = self.writer.log(&record, values).is_ok();
        if !queued {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
        queued
    }
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !self.report_dropped(values) || self.writer.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Flushes the queued records on drop, within a time limit.
#[derive(derive_more::Debug)]
pub struct LogFlush {
    queue: Arc<Queue>,
    values: OwnedKVList,
    #[debug(skip)]
    writer: Option<AsyncGuard>,
}

impl Drop for LogFlush {
    fn drop(&mut self) {
        let (queue, values) = (Arc::clone(&self.queue), self.values.clone());
        let writer = self.writer.take();
        let (done, written) = mpsc::channel();
        std::thread::spawn(move || {
            while !queue.report_dropped(&values) {
                std::thread::sleep(RETRY_DELAY);
            }
            // Blocks until the writer is done, which may take longer than the timeout below.
            drop(writer);
            let _ = done.send(());
        });
        // Records that are not read before the timeout are lost when the process exits.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Creates a logger that tags every record with the program and the node, and the guard that flushes
/// the last records.
pub fn logger(settings: &LogSettings, program: &'static str, node: &str) -> (Logger, LogFlush) {
    let level = settings.level.parse().unwrap_or(Level::Info);
    // Write errors are ignored: a closed reader must not end the process.
    let (writer, guard) = match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(std::io::stdout())
                .add_default_keys()
                .build()
                .ignore_res();
            AsyncCore::custom(drain)
                .chan_size(QUEUE_CAPACITY)
                .build_with_guard()
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            AsyncCore::custom(drain)
                .chan_size(QUEUE_CAPACITY)
                .build_with_guard()
        }
    };
    let dropped = AtomicU64::new(0);
    let queue = Arc::new(Queue { writer, dropped });
    // Filtered before the queue, so that records below the level are cheap.
    let log = Logger::root(
        LevelFilter::new(Arc::clone(&queue), level).ignore_res(),
        o!("program" => program, "node" => node.to_owned()),
    );
    let flush = LogFlush {
        queue,
        values: log.list().clone(),
        writer: Some(guard),
    };
    (log, flush)
}
