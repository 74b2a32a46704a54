//! Logs and metrics together.

use slog::{Logger, info};

use crate::{LogFlush, LogSettings, Metrics, MetricsError, MetricsSettings};

/// Logs and metrics of a program; the end of its scope writes what is queued.
#[derive(Debug)]
pub struct Telemetry {
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Most lines a second about single flows.
    pub flow_lines: u32,
    _flush: LogFlush,
}

impl Telemetry {
    /// Logs and metrics of a program; needs a runtime.
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
