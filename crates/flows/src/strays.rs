//! Unknown flows with recent packets.

use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;

#[derive(Debug)]
pub(crate) struct Strays {
    /// Time of the first packet of each flow.
    first_seen: LruCache<Flow, Instant>,
    limit: usize,
    /// Minimum time from the first packet to a reset.
    reset_delay: Duration,
}

impl Strays {
    pub(crate) fn new(limit: usize, reset_delay: Duration) -> Self {
        Self {
            first_seen: LruCache::unbounded(),
            limit,
            reset_delay,
        }
    }

    /// Records a packet of an unknown flow; returns whether it should be reset.
    pub(crate) fn record_packet(&mut self, flow: Flow, now: Instant) -> bool {
        if let Some(first) = self.first_seen.get(&flow) {
            return now >= *first + self.reset_delay;
        }
        self.first_seen.put(flow, now);
        while self.first_seen.len() > self.limit {
            self.first_seen.pop_lru();
        }
        false
    }

    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.first_seen.pop(flow);
    }
}
