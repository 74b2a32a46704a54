//! Structured logs on standard output.
//!
//! A thread of its own writes them, so that nobody waits for a reader that is
//! slow or gone; records that find the queue full are left out and counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, o};
use slog_async::{AsyncCore, AsyncGuard};

/// How log records are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format.
    pub format: LogFormat,
    /// Lowest level: `debug`, `info`, `warning` or `error`.
    pub level: Box<str>,
    /// Most lines a second about single flows.
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

/// Records that wait for a slow reader.
const QUEUE: usize = 1_024;

/// Longest wait at the end for records that are still queued.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Wait before the count of records left out is queued again.
const RETRY: Duration = Duration::from_millis(10);

/// Queue of the writer, with the number of records that found it full.
#[derive(derive_more::Debug)]
struct Queue {
    #[debug(skip)]
    writer: AsyncCore,
    omitted: AtomicU64,
}

impl Queue {
    /// Queues the count of records left out, if there are any.
    fn report(&self, values: &OwnedKVList) -> bool {
        let count = self.omitted.swap(0, Ordering::Relaxed);
        if count == 0 {
            return true;
        }
        let message = format_args!("log records left out; the reader is too slow");
        let tags = slog::b!("count" => count);
        let record = slog::record!(Level::Warning, "", &message, tags);
        let queued = self.writer.log(&record, values).is_ok();
        if !queued {
            self.omitted.fetch_add(count, Ordering::Relaxed);
        }
        queued
    }
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !self.report(values) || self.writer.log(record, values).is_err() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes what is queued when it is dropped, as far as a reader takes it in time.
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
            while !queue.report(&values) {
                std::thread::sleep(RETRY);
            }
            // Waits for the writer; the process may have ended the wait for this thread.
            drop(writer);
            let _ = done.send(());
        });
        // Records that nobody reads are lost with the process.
        let _ = written.recv_timeout(FLUSH_LIMIT);
    }
}

/// Logger that tags every record with the program and the node, and what writes the last records.
pub fn logger(settings: &LogSettings, program: &'static str, node: &str) -> (Logger, LogFlush) {
    let level = settings.level.parse().unwrap_or(Level::Info);
    // A reader that is gone must not end the process.
    let (writer, guard) = match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(std::io::stdout())
                .add_default_keys()
                .build()
                .ignore_res();
            AsyncCore::custom(drain).chan_size(QUEUE).build_with_guard()
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            AsyncCore::custom(drain).chan_size(QUEUE).build_with_guard()
        }
    };
    let omitted = AtomicU64::new(0);
    let queue = Arc::new(Queue { writer, omitted });
    // Filtered before the queue, so that records below the level cost next to nothing.
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
