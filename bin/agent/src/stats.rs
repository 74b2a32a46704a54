//! Counters of the agent.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use cadence::StatsdClient;
use cadence::prelude::*;
use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters shared by the tasks of the agent.
        #[derive(Debug, Default)]
        pub struct Stats {
            $($(#[$doc])* pub $name: AtomicU64,)*
            dropped: Mutex<BTreeMap<Box<str>, u64>>,
            ends: Mutex<BTreeMap<Box<str>, u64>>,
        }

        /// Counter values at one point in time.
        #[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
        pub struct Snapshot {
            $($(#[$doc])* pub $name: u64,)*
            /// Dropped datagrams by reason.
            pub dropped: BTreeMap<Box<str>, u64>,
            /// Ended flows by kind of end.
            pub ends: BTreeMap<Box<str>, u64>,
        }

        impl Stats {
            pub fn snapshot(&self) -> Snapshot {
                Snapshot {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                    dropped: load_reasons(&self.dropped),
                    ends: load_reasons(&self.ends),
                }
            }
        }

        /// Sends the increase of each counter between two snapshots to the metrics collector.
        pub fn send_metrics(metrics: &StatsdClient, previous: &Snapshot, current: &Snapshot) {
            $(send_counter(metrics, stringify!($name), current.$name - previous.$name);)*
            for (prefix, old, new) in [
                ("dropped", &previous.dropped, &current.dropped),
                ("ends", &previous.ends, &current.ends),
            ] {
                for (reason, count) in new {
                    let increase = count - old.get(reason).copied().unwrap_or(0);
                    send_counter(metrics, &format!("{prefix}.{reason}"), increase);
                }
            }
        }
    };
}

counters! {
    /// Datagrams received.
    received,
    /// Packets that belong to a flow of this agent.
    processed,
    /// Flows accepted, including those whose handshake fails later.
    accepted,
    /// Packets forwarded to another agent.
    forwarded,
    /// RST packets sent for segments without a connection.
    resets,
    /// Ownership notices received.
    notices,
    /// Ownership notices sent.
    notified,
    /// Packets sent to the fabric.
    sent,
    /// Datagrams that could not be encoded or sent.
    failed,
}

type ReasonCounts = Mutex<BTreeMap<Box<str>, u64>>;

fn increment_reason(reasons: &ReasonCounts, reason: &dyn Display) {
    let mut reasons = reasons.lock().unwrap_or_else(PoisonError::into_inner);
    *reasons.entry(reason.to_string().into()).or_default() += 1;
}

fn load_reasons(reasons: &ReasonCounts) -> BTreeMap<Box<str>, u64> {
    reasons
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

pub fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Stats {
    pub fn count_dropped(&self, reason: &dyn Display) {
        increment_reason(&self.dropped, reason);
    }

    pub fn count_ended(&self, kind: &dyn Display) {
        increment_reason(&self.ends, kind);
    }
}

fn send_counter(metrics: &StatsdClient, name: &str, increase: u64) {
    if increase > 0 {
        metrics.count_with_tags(name, increase).send();
    }
}
