//! Failure detection of agents by unanswered SYNs.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use wire::{Candidate, Candidates};

#[derive(Debug, Clone, Copy)]
struct Suspect {
    failures: u8,
    last_failure: Instant,
}

/// Agents that left SYNs unanswered and have sent no notice since.
#[derive(Debug)]
pub(crate) struct Suspects {
    by_address: HashMap<SocketAddrV4, Suspect>,
    failure_threshold: u8,
    avoid_duration: Duration,
}

impl Suspects {
    pub(crate) fn new(failure_threshold: u8, avoid_duration: Duration) -> Self {
        Self {
            by_address: HashMap::new(),
            failure_threshold,
            avoid_duration,
        }
    }

    pub(crate) fn record_failure(&mut self, address: SocketAddrV4, now: Instant) {
        let new = Suspect {
            failures: 0,
            last_failure: now,
        };
        let suspect = self.by_address.entry(address).or_insert(new);
        suspect.failures = suspect.failures.saturating_add(1);
        suspect.last_failure = now;
    }

    pub(crate) fn clear(&mut self, address: SocketAddrV4) {
        self.by_address.remove(&address);
    }

    pub(crate) fn is_avoided(&self, address: SocketAddrV4, now: Instant) -> bool {
        let suspect = self.by_address.get(&address);
        suspect.is_some_and(|s| {
            s.failures >= self.failure_threshold && now < s.last_failure + self.avoid_duration
        })
    }

    /// Moves candidates that are avoided to the end of the list.
    pub(crate) fn move_avoided_last(&self, list: Candidates, now: Instant) -> Candidates {
        if self.by_address.is_empty() {
            return list;
        }
        let avoided = |c: &&Candidate| self.is_avoided(c.address, now);
        let healthy = list.iter().filter(|c| !avoided(c));
        healthy
            .chain(list.iter().filter(avoided))
            .copied()
            .collect()
    }

    /// Removes agents whose last failure is older than four times the avoidance period.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let keep = self.avoid_duration * 4;
        self.by_address
            .retain(|_, suspect| now < suspect.last_failure + keep);
    }
}
