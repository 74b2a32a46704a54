//! Structured logs on standard error.

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};

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
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Json,
            level: "info".into(),
        }
    }
}

/// Records that wait for a slow standard error; more are dropped and counted in the log.
const QUEUE: usize = 4096;

/// Logger that tags every record with the program and the node.
pub fn logger(settings: &LogSettings, program: &'static str, node: &str) -> Logger {
    let level = settings.level.parse().unwrap_or(Level::Info);
    let drain = match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(std::io::stderr())
                .add_default_keys()
                .build()
                .fuse();
            slog_async::Async::new(drain).chan_size(QUEUE).build()
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).chan_size(QUEUE).build()
        }
    };
    // Filtered before the queue, so that records below the level cost next to nothing.
    Logger::root(
        LevelFilter::new(drain, level).fuse(),
        o!("program" => program, "node" => node.to_owned()),
    )
}
