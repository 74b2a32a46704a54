//! Retry budget and backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retries that may follow each other before the share counts.
const BURST: f64 = 10.0;

/// Longest wait before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Retries as a share of requests.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Budget of a share between 0 and 1; starts with one retry.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: if share > 0.0 { 1.0 } else { 0.0 },
        }
    }

    /// Changes the share; the tokens of a budget that was zero start again.
    pub fn set_share(&mut self, share: f64) {
        if share <= 0.0 || self.share <= 0.0 {
            *self = Self::new(share);
        }
        self.share = share;
    }

    /// Counts a first attempt.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Takes one retry, if the budget allows it.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Wait before retry number `retry` (from 0): uniform between zero and twice
/// the mean, which doubles with each retry.
pub fn backoff(mean: Duration, retry: u32, rng: &mut impl Rng) -> Duration {
    let doubled = mean.saturating_mul(2_u32.saturating_pow(retry.min(16) + 1));
    doubled.min(MAX_BACKOFF).mul_f64(rng.random::<f64>())
}
