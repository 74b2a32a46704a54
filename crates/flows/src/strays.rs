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
    /// Time after which a packet counts as the first one again.
    ttl: Duration,
}

impl Strays {
    pub(crate) fn new(limit: usize, reset_delay: Duration, ttl: Duration) -> Self {
        Self {
            first_seen: LruCache::unbounded(),
            limit,
            reset_delay,
            ttl,
        }
    }

    /// Records a packet of an unknown flow; returns the time of the flow's first one.
    pub(crate) fn record_packet(&mut self, flow: Flow, now: Instant) -> Instant {
        let first = self.first_seen.get(&flow);
        if let Some(first) = first.filter(|first| now < **first + self.ttl) {
            return *first;
        }
        self.first_seen.put(flow, now);
        while self.first_seen.len() > self.limit {
            self.first_seen.pop_lru();
        }
        now
    }

    /// Whether a flow whose first packet came at `first` may be reset.
    pub(crate) fn is_due(&self, first: Instant, now: Instant) -> bool {
        now >= first + self.reset_delay
    }

    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.first_seen.pop(flow);
    }
}
