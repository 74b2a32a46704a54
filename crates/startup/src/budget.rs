//! Limit for log lines about single flows.

use tokio::time::Instant;

/// Lines that may be written at once, in seconds of the rate.
const BURST_S: f64 = 4.0;

/// Part of the burst that usual lines leave to unusual ones.
const KEPT: f64 = 0.5;

/// How much a line matters when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// Something was refused, dropped, reset or went another way.
    Unusual,
    /// All went as usual.
    Usual,
}

/// Lines a second; more are left out and counted, the usual ones first.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    left: f64,
    at: Instant,
    omitted: u64,
}

impl Budget {
    /// Full budget of so many lines a second.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            left: rate * BURST_S,
            at: now,
            omitted: 0,
        }
    }

    /// Whether a line may be written; otherwise it counts as left out.
    pub fn take(&mut self, rank: Rank, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let most = self.rate * BURST_S;
        self.left = (self.left + passed * self.rate).min(most);
        self.at = now;
        let kept = match rank {
            Rank::Unusual => 0.0,
            Rank::Usual => most * KEPT,
        };
        if self.left >= kept + 1.0 {
            self.left -= 1.0;
            return true;
        }
        self.omitted += 1;
        false
    }

    /// Lines left out since the last call.
    pub fn omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}
