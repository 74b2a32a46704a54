//! Counters of a balancer.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::StatsdClient;
use cadence::prelude::*;
use serde::Serialize;
use wire::PacketError;

/// Counters shared by the workers.
#[derive(Debug, Default)]
pub struct Stats {
    /// Datagrams from the fabric.
    pub received: AtomicU64,
    /// Datagrams sent to agents.
    pub sent: AtomicU64,
    /// Datagrams that the socket refused.
    pub failed: AtomicU64,
    /// Packets to an address that is no service.
    pub unknown: AtomicU64,
    /// Packets to a service without members.
    pub empty: AtomicU64,
    /// Candidate lists taken from the cache.
    pub hits: AtomicU64,
    /// Candidate lists ranked anew.
    pub misses: AtomicU64,
    invalid: Mutex<BTreeMap<Box<str>, u64>>,
}

/// Values at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Datagrams from the fabric.
    pub received: u64,
    /// Datagrams sent to agents.
    pub sent: u64,
    /// Datagrams that the socket refused.
    pub failed: u64,
    /// Packets to an address that is no service.
    pub unknown: u64,
    /// Packets to a service without members.
    pub empty: u64,
    /// Candidate lists taken from the cache.
    pub hits: u64,
    /// Candidate lists ranked anew.
    pub misses: u64,
    /// Invalid packets by reason.
    pub invalid: BTreeMap<Box<str>, u64>,
}

/// Adds one.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Stats {
    /// Counts an invalid packet.
    pub fn invalid(&self, reason: PacketError) {
        let mut invalid = self
            .invalid
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *invalid.entry(reason.to_string().into()).or_default() += 1;
    }

    /// Current values.
    pub fn snapshot(&self) -> Snapshot {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let invalid = self
            .invalid
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone();
        Snapshot {
            received: get(&self.received),
            sent: get(&self.sent),
            failed: get(&self.failed),
            unknown: get(&self.unknown),
            empty: get(&self.empty),
            hits: get(&self.hits),
            misses: get(&self.misses),
            invalid,
        }
    }
}

/// Sends the growth since the last snapshot as metrics.
pub fn emit(metrics: &StatsdClient, before: &Snapshot, after: &Snapshot) {
    let pairs = [
        ("received", before.received, after.received),
        ("sent", before.sent, after.sent),
        ("failed", before.failed, after.failed),
        ("unknown", before.unknown, after.unknown),
        ("empty", before.empty, after.empty),
        ("cache.hits", before.hits, after.hits),
        ("cache.misses", before.misses, after.misses),
    ];
    for (name, old, new) in pairs {
        send(metrics, name, new - old);
    }
    for (reason, new) in &after.invalid {
        let old = before.invalid.get(reason).copied().unwrap_or(0);
        send(metrics, &format!("invalid.{reason}"), new - old);
    }
}

fn send(metrics: &StatsdClient, name: &str, growth: u64) {
    if growth > 0 {
        metrics.count_with_tags(name, growth).send();
    }
}
