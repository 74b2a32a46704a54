//! Backend servers that end requests instead of answering them.
//!
//! Such a backend server reports that it is well and always has free slots, so
//! that it would get more flows than its siblings. While it fails it gets one
//! flow now and then, which shows whether it answers again, and others only
//! where no sibling can take them.

use std::time::Duration;

use tokio::time::Instant;

/// Share by which one request moves the mean.
const SMOOTHING: f32 = 0.1;

/// Share of failed requests from which the backend server counts as failing.
const FAILING: f32 = 0.3;

/// Share below which it doesn't any more.
const WELL: f32 = 0.1;

/// Bound of the mean, so that the way back stays short.
const MOST: f32 = 0.5;

/// Requests that the backend server answered or ended without an answer.
#[derive(Debug, Default)]
pub(crate) struct Failures {
    /// Mean share of failed requests.
    share: f32,
    failing: bool,
    /// Last flow given to it to see whether it answers.
    probed: Option<Instant>,
}

impl Failures {
    /// Notes a request that the backend server began to answer.
    pub(crate) fn answered(&mut self) {
        self.share -= SMOOTHING * self.share;
        self.failing &= self.share > WELL;
    }

    /// Notes a request that it ended without an answer.
    pub(crate) fn failed(&mut self) {
        self.share = (self.share + SMOOTHING * (1.0 - self.share)).min(MOST);
        self.failing |= self.share > FAILING;
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether a failing backend server gets a flow now; if so, counts it.
    pub(crate) fn probe(&mut self, now: Instant, gap: Duration) -> bool {
        let due = self.probed.is_none_or(|at| now >= at + gap);
        if due {
            self.probed = Some(now);
        }
        due
    }
}
