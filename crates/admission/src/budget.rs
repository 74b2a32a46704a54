//! Limits retries by a budget and computes their backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Capacity of the token bucket: most retries in a burst.
const MAX_BURST: f64 = 10.0;

/// Longest wait before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Token bucket that limits retries to a share of first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Budget with a share between 0 and 1; starts with one token.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: if share > 0.0 { 1.0 } else { 0.0 },
        }
    }

    /// Changes the share. A change from or to zero resets the tokens.
    pub fn set_share(&mut self, share: f64) {
        if share <= 0.0 || self.share <= 0.0 {
            *self = Self::new(share);
        }
        self.share = share;
    }

    /// Adds the share of a token that a first attempt earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_BURST);
    }

    /// Spends a token on a retry; false if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Random wait before retry number `retry` (from 0), uniform between zero and
/// twice the mean. The mean doubles with each retry.
pub fn backoff(mean: Duration, retry: u32, rng: &mut impl Rng) -> Duration {
    let upper = mean.saturating_mul(2_u32.saturating_pow(retry.min(16) + 1));
    upper.min(MAX_BACKOFF).mul_f64(rng.random::<f64>())
}
