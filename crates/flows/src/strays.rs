//! Unknown flows whose packets came lately.

use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;

#[derive(Debug)]
pub(crate) struct Strays {
    /// Time of the first packet.
    seen: LruCache<Flow, Instant>,
    limit: usize,
    wait: Duration,
}

impl Strays {
    pub(crate) fn new(limit: usize, wait: Duration) -> Self {
        Self {
            seen: LruCache::unbounded(),
            limit,
            wait,
        }
    }

    /// Whether the flow has been unknown for long enough; counts a packet of it.
    pub(crate) fn is_lost(&mut self, flow: Flow, now: Instant) -> bool {
        if let Some(first) = self.seen.get(&flow) {
            return now >= *first + self.wait;
        }
        self.seen.put(flow, now);
        while self.seen.len() > self.limit {
            self.seen.pop_lru();
        }
        false
    }

    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.seen.pop(flow);
    }
}
