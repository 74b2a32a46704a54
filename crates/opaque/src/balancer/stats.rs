//! Defines the counters of a balancer.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of a balancer.
#[derive(Debug, Default)]
pub struct BalancerStats {
    received: AtomicU64,
}

impl BalancerStats {
    /// Number of packets received from callers.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(super) fn count_received(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }
}
