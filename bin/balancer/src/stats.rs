//! Counters of the balancer.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::StatsdClient;
use cadence::prelude::*;
use serde::Serialize;
use wire::PacketError;

/// Counters shared by the packet workers.
#[derive(Debug, Default)]
pub struct Stats {
    /// Datagrams received from the fabric.
    pub received: AtomicU64,
    /// Datagrams sent to agents.
    pub sent: AtomicU64,
    /// Datagrams that could not be encoded or sent.
    pub failed: AtomicU64,
    /// Packets to an address without a service.
    pub unknown: AtomicU64,
    /// Packets to a service without a table or without candidates.
    pub empty: AtomicU64,
    /// Candidate lists found in the flow cache.
    pub hits: AtomicU64,
    /// Candidate lists computed because the flow cache had no valid entry.
    pub misses: AtomicU64,
    invalid: Mutex<BTreeMap<Box<str>, u64>>,
}

/// Counter values at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Datagrams received from the fabric.
    pub received: u64,
    /// Datagrams sent to agents.
    pub sent: u64,
    /// Datagrams that could not be encoded or sent.
    pub failed: u64,
    /// Packets to an address without a service.
    pub unknown: u64,
    /// Packets to a service without a table or without candidates.
    pub empty: u64,
    /// Candidate lists found in the flow cache.
    pub hits: u64,
    /// Candidate lists computed because the flow cache had no valid entry.
    pub misses: u64,
    /// Invalid packets by reason.
    pub invalid: BTreeMap<Box<str>, u64>,
}

pub fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Stats {
    pub fn count_invalid(&self, reason: PacketError) {
        let mut invalid = self
            .invalid
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *invalid.entry(reason.to_string().into()).or_default() += 1;
    }

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

/// Sends the increase of each counter between two snapshots to the metrics collector.
pub fn send_metrics(metrics: &StatsdClient, previous: &Snapshot, current: &Snapshot) {
    let pairs = [
        ("received", previous.received, current.received),
        ("sent", previous.sent, current.sent),
        ("failed", previous.failed, current.failed),
        ("unknown", previous.unknown, current.unknown),
        ("empty", previous.empty, current.empty),
        ("cache.hits", previous.hits, current.hits),
        ("cache.misses", previous.misses, current.misses),
    ];
    for (name, old, new) in pairs {
        send_counter(metrics, name, new - old);
    }
    for (reason, new) in &current.invalid {
        let old = previous.invalid.get(reason).copied().unwrap_or(0);
        send_counter(metrics, &format!("invalid.{reason}"), new - old);
    }
}

fn send_counter(metrics: &StatsdClient, name: &str, increase: u64) {
    if increase > 0 {
        metrics.count_with_tags(name, increase).send();
    }
}
