//! Agents that left SYNs unanswered.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use wire::{Candidate, Candidates};

#[derive(Debug, Clone, Copy)]
struct Suspect {
    failures: u8,
    last: Instant,
}

/// Agents that left SYNs unanswered, until they are heard again.
#[derive(Debug)]
pub(crate) struct Suspects {
    known: HashMap<SocketAddrV4, Suspect>,
    limit: u8,
    avoid: Duration,
}

impl Suspects {
    pub(crate) fn new(limit: u8, avoid: Duration) -> Self {
        Self {
            known: HashMap::new(),
            limit,
            avoid,
        }
    }

    pub(crate) fn failed(&mut self, address: SocketAddrV4, now: Instant) {
        let fresh = Suspect {
            failures: 0,
            last: now,
        };
        let suspect = self.known.entry(address).or_insert(fresh);
        suspect.failures = suspect.failures.saturating_add(1);
        suspect.last = now;
    }

    pub(crate) fn heard(&mut self, address: SocketAddrV4) {
        self.known.remove(&address);
    }

    pub(crate) fn is_avoided(&self, address: SocketAddrV4, now: Instant) -> bool {
        let suspect = self.known.get(&address);
        suspect.is_some_and(|s| s.failures >= self.limit && now < s.last + self.avoid)
    }

    /// The same candidates with the avoided ones last.
    pub(crate) fn reorder(&self, list: Candidates, now: Instant) -> Candidates {
        if self.known.is_empty() {
            return list;
        }
        let avoided = |c: &&Candidate| self.is_avoided(c.address, now);
        let good = list.iter().filter(|c| !avoided(c));
        good.chain(list.iter().filter(avoided)).copied().collect()
    }

    /// Forgets what is long past.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let keep = self.avoid * 4;
        self.known.retain(|_, suspect| now < suspect.last + keep);
    }
}
