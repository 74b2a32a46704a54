//! Rate limit for log lines about single flows.

use tokio::time::Instant;

/// Burst size in seconds of the rate.
const BURST_S: f64 = 4.0;

/// Share of the burst that is reserved for high-priority lines.
const HIGH_PRIORITY_SHARE: f64 = 0.5;

/// Priority of a line when the rate limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinePriority {
    /// A request or packet was refused, dropped, reset or rerouted.
    High,
    /// Normal operation.
    Low,
}

/// Token bucket for log lines; lines over the rate are omitted and counted, low-priority lines first.
#[derive(Debug)]
pub struct LineBudget {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
    omitted: u64,
}

impl LineBudget {
    /// Creates a full budget for `rate` lines per second.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            tokens: rate * BURST_S,
            refilled_at: now,
            omitted: 0,
        }
    }

    /// Takes a token for a line; returns `false` and counts the line as omitted if there is none.
    pub fn try_take(&mut self, priority: LinePriority, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let max_tokens = self.rate * BURST_S;
        self.tokens = (self.tokens + elapsed * self.rate).min(max_tokens);
        self.refilled_at = now;
        let reserved = match priority {
            LinePriority::High => 0.0,
            LinePriority::Low => max_tokens * HIGH_PRIORITY_SHARE,
        };
        if self.tokens >= reserved + 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        self.omitted += 1;
        false
    }

    /// Returns the number of lines omitted since the last call, and resets it.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}
