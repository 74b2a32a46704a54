//! Counters of an agent.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use cadence::StatsdClient;
use cadence::prelude::*;
use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters shared by the tasks.
        #[derive(Debug, Default)]
        pub struct Stats {
            $($(#[$doc])* pub $name: AtomicU64,)*
            dropped: Mutex<BTreeMap<Box<str>, u64>>,
            ends: Mutex<BTreeMap<Box<str>, u64>>,
        }

        /// Values at one moment.
        #[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
        pub struct Snapshot {
            $($(#[$doc])* pub $name: u64,)*
            /// Dropped datagrams by reason.
            pub dropped: BTreeMap<Box<str>, u64>,
            /// Ended flows by kind.
            pub ends: BTreeMap<Box<str>, u64>,
        }

        impl Stats {
            /// Current values.
            pub fn snapshot(&self) -> Snapshot {
                Snapshot {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                    dropped: copy(&self.dropped),
                    ends: copy(&self.ends),
                }
            }
        }

        /// Sends the growth since the last snapshot as metrics.
        pub fn emit(metrics: &StatsdClient, before: &Snapshot, after: &Snapshot) {
            $(send(metrics, stringify!($name), after.$name - before.$name);)*
            for (prefix, old, new) in [
                ("dropped", &before.dropped, &after.dropped),
                ("ends", &before.ends, &after.ends),
            ] {
                for (reason, count) in new {
                    let growth = count - old.get(reason).copied().unwrap_or(0);
                    send(metrics, &format!("{prefix}.{reason}"), growth);
                }
            }
        }
    };
}

counters! {
    /// Datagrams received.
    received,
    /// Packets handed to a flow of this agent.
    processed,
    /// Flows accepted.
    accepted,
    /// Packets passed to another agent.
    forwarded,
    /// Answers with RST.
    resets,
    /// Notices received.
    notices,
    /// Notices sent.
    notified,
    /// Packets sent to the fabric.
    sent,
    /// Datagrams that the socket refused.
    failed,
}

type Reasons = Mutex<BTreeMap<Box<str>, u64>>;

fn add(reasons: &Reasons, reason: &dyn Display) {
    let mut reasons = reasons.lock().unwrap_or_else(PoisonError::into_inner);
    *reasons.entry(reason.to_string().into()).or_default() += 1;
}

fn copy(reasons: &Reasons) -> BTreeMap<Box<str>, u64> {
    reasons
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

/// Adds one.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Stats {
    /// Counts a dropped datagram.
    pub fn dropped(&self, reason: &dyn Display) {
        add(&self.dropped, reason);
    }

    /// Counts an ended flow.
    pub fn ended(&self, kind: &dyn Display) {
        add(&self.ends, kind);
    }
}

fn send(metrics: &StatsdClient, name: &str, growth: u64) {
    if growth > 0 {
        metrics.count_with_tags(name, growth).send();
    }
}
