//! What a packet loop counts and logs.

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::time::{Duration, SystemTime};

use cadence::prelude::*;
use slog::{Logger, debug, warn};
use startup::{Budget, Metrics, Pauses, Rank, Telemetry};
use tokio::time::Instant;

/// Time between two rounds of metrics.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts by outcome since the last round of metrics, and the budget for log lines.
#[derive(Debug)]
pub(crate) struct Tally<O> {
    counts: HashMap<O, u64>,
    due: Instant,
    metrics: Metrics,
    budget: Budget,
    pauses: Pauses,
    /// For lines about what the process believes; they need no budget.
    pub(crate) log: Logger,
}

impl<O: Eq + Hash + Display> Tally<O> {
    pub(crate) fn new(telemetry: &Telemetry, now: Instant) -> Self {
        Self {
            counts: HashMap::new(),
            due: now + INTERVAL,
            metrics: telemetry.metrics.clone(),
            budget: Budget::new(telemetry.flow_lines, now),
            pauses: Pauses::new(now, SystemTime::now()),
            log: telemetry.log.clone(),
        }
    }

    pub(crate) fn count(&mut self, outcome: O) {
        *self.counts.entry(outcome).or_default() += 1;
    }

    /// Log for a line about one flow, unless there were too many lately.
    pub(crate) fn line(&mut self, rank: Rank, now: Instant) -> Option<&Logger> {
        self.budget.take(rank, now).then_some(&self.log)
    }

    pub(crate) fn time(&self, name: &str, time: Duration) {
        let sent = self.metrics.time(name, time);
        self.check(sent);
    }

    /// Notes that the loop waited from `since`, until `due` at the latest.
    pub(crate) fn woke(&self, since: Instant, due: Instant) {
        if let Some(late) = Pauses::late(since, due, Instant::now()) {
            let ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            warn!(self.log, "this process was not run"; "ms" => ms);
        }
    }

    /// Sends what was counted, once a second; `gauges` are read only then.
    pub(crate) fn send<const N: usize>(
        &mut self,
        now: Instant,
        gauges: impl FnOnce() -> [(&'static str, u64); N],
    ) {
        if now < self.due {
            return;
        }
        self.due = now + INTERVAL;
        if let Some(ms) = self.pauses.moved(now, SystemTime::now()) {
            warn!(self.log, "the time of day moved: it was set, or the VM was suspended"; "ms" => ms);
        }
        let omitted = self.budget.omitted();
        if omitted > 0 {
            warn!(self.log, "lines about flows left out"; "count" => omitted);
        }
        for (outcome, count) in std::mem::take(&mut self.counts) {
            let sent = self.metrics.count(&outcome.to_string(), count);
            self.check(sent);
        }
        for (name, value) in gauges() {
            let sent = self.metrics.gauge(name, value);
            self.check(sent);
        }
    }

    /// Metrics are best effort: one that is lost fails nothing else.
    fn check<T>(&self, sent: cadence::MetricResult<T>) {
        if let Err(error) = sent {
            debug!(self.log, "metric lost"; "error" => %error);
        }
    }
}
