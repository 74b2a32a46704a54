//! Where the answers of each flow go.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

use bytes::Bytes;
use tokio::sync::mpsc;
use units::Flow;

/// Flows known at a time; further ones get no answers.
const MAX_FLOWS: usize = 1_000_000;

/// Caller of a flow.
#[derive(Debug, Clone)]
pub(super) enum Receiver {
    /// In this process.
    Local(mpsc::Sender<Bytes>),
    /// In another process.
    Remote(SocketAddr),
}

#[derive(Debug, Default)]
pub(super) struct Table(RwLock<HashMap<Flow, Receiver>>);

impl Table {
    pub(super) fn put(&self, flow: Flow, receiver: Receiver) {
        let mut flows = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if flows.len() < MAX_FLOWS || flows.contains_key(&flow) {
            flows.insert(flow, receiver);
        }
    }

    pub(super) fn get(&self, flow: Flow) -> Option<Receiver> {
        let flows = self.0.read().unwrap_or_else(PoisonError::into_inner);
        flows.get(&flow).cloned()
    }

    pub(super) fn remove(&self, flow: Flow) {
        let mut flows = self.0.write().unwrap_or_else(PoisonError::into_inner);
        flows.remove(&flow);
    }
}
