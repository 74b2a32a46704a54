//! Metrics and logging of a packet loop.

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::time::{Duration, SystemTime};

use cadence::prelude::*;
use slog::{Logger, debug, warn};
use startup::{ClockMonitor, LineBudget, LinePriority, Metrics, Telemetry};
use tokio::time::Instant;

/// Interval at which metrics are sent.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Counts outcomes between two transmissions of metrics, and limits the rate of log lines about
/// flows.
#[derive(Debug)]
pub(crate) struct LoopTelemetry<O> {
    counts: HashMap<O, u64>,
    next_send: Instant,
    metrics: Metrics,
    budget: LineBudget,
    pauses: ClockMonitor,
    /// For lines that aren't about single flows; they need no rate limit.
    pub(crate) log: Logger,
}

impl<O: Eq + Hash + Display> LoopTelemetry<O> {
    pub(crate) fn new(telemetry: &Telemetry, now: Instant) -> Self {
        Self {
            counts: HashMap::new(),
            next_send: now + METRICS_INTERVAL,
            metrics: telemetry.metrics.clone(),
            budget: LineBudget::new(telemetry.flow_lines, now),
            pauses: ClockMonitor::new(now, SystemTime::now()),
            log: telemetry.log.clone(),
        }
    }

    pub(crate) fn count(&mut self, outcome: O) {
        *self.counts.entry(outcome).or_default() += 1;
    }

    /// Returns the log for a line about one flow, unless the rate limit is reached.
    pub(crate) fn flow_log(&mut self, rank: LinePriority, now: Instant) -> Option<&Logger> {
        self.budget.try_take(rank, now).then_some(&self.log)
    }

    pub(crate) fn record_time(&self, name: &str, time: Duration) {
        let sent = self.metrics.time(name, time);
        self.log_failure(sent);
    }

    /// Logs a warning if the process was not scheduled in time: the loop started to wait at `since`
    /// and should have woken up by `due`.
    pub(crate) fn check_wakeup(&self, since: Instant, due: Instant) {
        if let Some(late) = ClockMonitor::timer_delay(since, due, Instant::now()) {
            let ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            warn!(self.log, "process was not scheduled in time"; "ms" => ms);
        }
    }

    /// Sends the metrics once per [`METRICS_INTERVAL`]; `gauges` are read only then.
    pub(crate) fn send_metrics<const N: usize>(
        &mut self,
        now: Instant,
        gauges: impl FnOnce() -> [(&'static str, u64); N],
    ) {
        if now < self.next_send {
            return;
        }
        self.next_send = now + METRICS_INTERVAL;
        if let Some(ms) = self.pauses.clock_step_ms(now, SystemTime::now()) {
            warn!(self.log, "system clock jumped: it was set, or the VM was suspended"; "ms" => ms);
        }
        let omitted = self.budget.take_omitted();
        if omitted > 0 {
            warn!(self.log, "log lines about flows suppressed"; "count" => omitted);
        }
        for (outcome, count) in std::mem::take(&mut self.counts) {
            let sent = self.metrics.count(&outcome.to_string(), count);
            self.log_failure(sent);
        }
        for (name, value) in gauges() {
            let sent = self.metrics.gauge(name, value);
            self.log_failure(sent);
        }
    }

    /// Logs a failure to send a metric; metrics are best effort.
    fn log_failure<T>(&self, sent: cadence::MetricResult<T>) {
        if let Err(error) = sent {
            debug!(self.log, "failed to send metric"; "error" => %error);
        }
    }
}
