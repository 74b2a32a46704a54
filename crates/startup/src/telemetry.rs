//! Set-up of logs and metrics.

use slog::{Logger, info};

use crate::{LogFlush, LogSettings, Metrics, MetricsError, MetricsSettings};

/// Logs and metrics of a program; dropping it flushes the queued log records.
#[derive(Debug)]
pub struct Telemetry {
    /// Logger of the program.
    pub log: Logger,
    /// Metrics client of the program.
    pub metrics: Metrics,
    /// Maximum number of log lines per second about single flows.
    pub flow_lines: u32,
    _flush: LogFlush,
}

impl Telemetry {
    /// Starts the logs and metrics of a program; must be called within a Tokio runtime.
    ///
    /// # Errors
    /// When metrics can't be sent or served.
    pub fn start(
        log: &LogSettings,
        metrics: &MetricsSettings,
        program: &'static str,
        node: &str,
    ) -> Result<Self, MetricsError> {
        let (logger, flush) = crate::logs::logger(log, program, node);
        info!(logger, "starting"; "version" => env!("CARGO_PKG_VERSION"));
        Ok(Self {
            metrics: crate::metrics::metrics(metrics, program, &logger)?,
            log: logger,
            flow_lines: log.flow_lines,
            _flush: flush,
        })
    }
}
