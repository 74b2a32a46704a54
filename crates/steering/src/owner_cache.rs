//! Cache of flow owners that were learned from notices.

use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;

/// LRU cache of the owners of flows; `T` identifies an owner.
#[derive(Debug)]
pub struct OwnerCache<T: Copy> {
    /// Owner and time of last use. The limit is enforced here, because a bounded `LruCache`
    /// allocates its whole capacity up front.
    owners: LruCache<Flow, (T, Instant)>,
    limit: usize,
    ttl: Duration,
}

impl<T: Copy> OwnerCache<T> {
    /// Creates a cache of at most `limit` flows, each kept for `ttl` after its last use.
    #[must_use]
    pub fn new(limit: usize, ttl: Duration) -> Self {
        Self {
            owners: LruCache::unbounded(),
            limit,
            ttl,
        }
    }

    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Stores the owner of a flow.
    pub fn put(&mut self, flow: Flow, owner: T, now: Instant) {
        self.owners.put(flow, (owner, now));
        while self.owners.len() > self.limit {
            self.owners.pop_lru();
        }
    }

    /// Returns the owner of a flow and marks it as used.
    pub fn get(&mut self, flow: &Flow, now: Instant) -> Option<T> {
        let (owner, used) = self.owners.get_mut(flow)?;
        if now >= *used + self.ttl {
            self.owners.pop(flow);
            return None;
        }
        *used = now;
        Some(*owner)
    }

    /// Removes the entry of a flow, so that the next lookup finds no owner.
    pub fn remove(&mut self, flow: &Flow) {
        self.owners.pop(flow);
    }

    /// Removes the flows of owners for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        let removed: Vec<Flow> = self
            .owners
            .iter()
            .filter(|(_, (owner, _))| !keep(owner))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in removed {
            self.owners.pop(&flow);
        }
    }
}
