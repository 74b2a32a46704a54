//! Flows that other agents own.

use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;
use wire::Candidate;

#[derive(Debug)]
pub(crate) struct Redirects {
    /// Owner and time of last use; trimmed here, as a bounded cache reserves all memory at once.
    owners: LruCache<Flow, (Candidate, Instant)>,
    limit: usize,
    ttl: Duration,
}

impl Redirects {
    pub(crate) fn new(limit: usize, ttl: Duration) -> Self {
        Self {
            owners: LruCache::unbounded(),
            limit,
            ttl,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }

    pub(crate) fn put(&mut self, flow: Flow, owner: Candidate, now: Instant) {
        self.owners.put(flow, (owner, now));
        while self.owners.len() > self.limit {
            self.owners.pop_lru();
        }
    }

    /// Owner of a flow; counts as use.
    pub(crate) fn get(&mut self, flow: &Flow, now: Instant) -> Option<Candidate> {
        let (owner, used) = self.owners.get_mut(flow)?;
        if now >= *used + self.ttl {
            self.owners.pop(flow);
            return None;
        }
        *used = now;
        Some(*owner)
    }

    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.owners.pop(flow);
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&Candidate) -> bool) {
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
