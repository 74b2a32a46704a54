//! Counts what a client sends and receives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Traffic with one path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls that ended.
    pub calls: u64,
    /// Calls of these without a valid answer.
    pub failed: u64,
    /// Bytes of request bodies handed to the connection.
    pub sent: u64,
    /// Bytes of response bodies, also of those that did not arrive whole.
    pub received: u64,
}

/// Traffic by path, shared by the clones of a client.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrafficCounters(Arc<Mutex<BTreeMap<Box<str>, Traffic>>>);

impl TrafficCounters {
    pub(crate) fn record(&self, path: &str, update: impl FnOnce(&mut Traffic)) {
        let mut paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match paths.get_mut(path) {
            Some(traffic) => update(traffic),
            None => update(paths.entry(path.into()).or_default()),
        }
    }

    pub(crate) fn read(&self, path: &str) -> Traffic {
        let paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        paths.get(path).copied().unwrap_or_default()
    }
}
