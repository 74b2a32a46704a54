//! Flows whose owners are known from notices.

use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;

/// OwnerCache of flows, least recently used first out; `T` says who the owner is.
#[derive(Debug)]
pub struct OwnerCache<T: Copy> {
    /// Owner and time of last use; trimmed here, as a bounded cache reserves all memory at once.
    owners: LruCache<Flow, (T, Instant)>,
    limit: usize,
    ttl: Duration,
}

impl<T: Copy> OwnerCache<T> {
    /// At most `limit` flows, each for `ttl` after its last use.
    #[must_use]
    pub fn new(limit: usize, ttl: Duration) -> Self {
        Self {
            owners: LruCache::unbounded(),
            limit,
            ttl,
        }
    }

    /// Flows known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no flow is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Takes note of an owner.
    pub fn put(&mut self, flow: Flow, owner: T, now: Instant) {
        self.owners.put(flow, (owner, now));
        while self.owners.len() > self.limit {
            self.owners.pop_lru();
        }
    }

    /// Owner of a flow; counts as use.
    pub fn get(&mut self, flow: &Flow, now: Instant) -> Option<T> {
        let (owner, used) = self.owners.get_mut(flow)?;
        if now >= *used + self.ttl {
            self.owners.pop(flow);
            return None;
        }
        *used = now;
        Some(*owner)
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) {
        self.owners.pop(flow);
    }

    /// Forgets the flows of owners that are not kept.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        let gone: Vec<Flow> = self
            .owners
            .iter()
            .filter(|(_, (owner, _))| !keep(owner))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in gone {
            self.owners.pop(&flow);
        }
    }
}
