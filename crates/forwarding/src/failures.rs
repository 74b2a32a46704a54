//! Detects backend servers that reset requests instead of answering them.
//!
//! Such a backend server reports that it is healthy and always has free slots,
//! so it would attract more flows than its siblings. While it fails, it gets one
//! flow per probe interval to detect its recovery, and other flows only if no
//! sibling can accept them.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one request in the moving average.
const EWMA_WEIGHT: f32 = 0.1;

/// Failure rate above which the backend server counts as failing.
const FAILING_ABOVE: f32 = 0.3;

/// Failure rate below which it counts as healthy again.
const HEALTHY_BELOW: f32 = 0.1;

/// Upper bound of the average, so that recovery takes few answered requests.
const MAX_MEAN: f32 = 0.5;

/// Exponentially weighted moving average of the share of failed requests.
#[derive(Debug, Default)]
pub(crate) struct FailureRate {
    mean: f32,
    failing: bool,
    /// When the last probe flow was delivered.
    last_probe: Option<Instant>,
}

impl FailureRate {
    /// Records a request that the backend server began to answer.
    pub(crate) fn record_answer(&mut self) {
        self.mean -= EWMA_WEIGHT * self.mean;
        self.failing &= self.mean > HEALTHY_BELOW;
    }

    /// Records a request that the backend server reset.
    pub(crate) fn record_failure(&mut self) {
        self.mean = (self.mean + EWMA_WEIGHT * (1.0 - self.mean)).min(MAX_MEAN);
        self.failing |= self.mean > FAILING_ABOVE;
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether a probe flow is due; if so, records it as sent.
    pub(crate) fn try_probe(&mut self, now: Instant, interval: Duration) -> bool {
        let due = self.last_probe.is_none_or(|at| now >= at + interval);
        if due {
            self.last_probe = Some(now);
        }
        due
    }
}
