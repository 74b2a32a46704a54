//! Counters of a proxy.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// What a proxy did so far, in datagrams (UDP) or pieces of byte streams (TCP).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Taken from either side.
    pub received: u64,
    /// Passed on, copies included, whether or not the operating system took them.
    pub delivered: u64,
    /// Lost by chance.
    pub lost: u64,
    /// Lost to a cut; for TCP, held by a cut.
    pub cut: u64,
    /// Delivered twice.
    pub duplicated: u64,
    /// Held back so that later ones overtake.
    pub reordered: u64,
    /// Held by a freeze.
    pub frozen: u64,
    /// Dropped because a limit of the proxy or of the operating system was reached.
    pub overflow: u64,
    /// Clients (UDP) or connections (TCP) seen.
    pub clients: u64,
}

macro_rules! counters {
    ($($name:ident),*) => {
        /// Counters shared by the tasks of a proxy.
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: AtomicU64,)*
        }

        impl Counters {
            /// Current values.
            pub(crate) fn read(&self) -> Stats {
                Stats { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }
    };
}

counters!(
    received, delivered, lost, cut, duplicated, reordered, frozen, overflow, clients
);

/// Adds one.
pub(crate) fn bump(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
