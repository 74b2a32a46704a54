//! SYNs of flows whose owner isn't known yet.

use std::collections::{HashMap, VecDeque};

use tokio::time::Instant;
use units::Flow;
use wire::Header;

/// SYN that was sent to a candidate.
#[derive(Debug, Clone)]
pub(crate) struct PendingSyn {
    pub(crate) header: Header,
    pub(crate) inner: Box<[u8]>,
    /// Number of candidates that it was sent to.
    pub(crate) attempts: u8,
}

/// Pending SYNs and the queue of their timeouts.
#[derive(Debug, Default)]
pub(crate) struct PendingSyns {
    timeouts: VecDeque<(Instant, Flow)>,
    pending: HashMap<Flow, PendingSyn>,
}

impl PendingSyns {
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn put(&mut self, flow: Flow, syn: PendingSyn, due: Instant) {
        self.pending.insert(flow, syn);
        self.timeouts.push_back((due, flow));
    }

    pub(crate) fn get(&self, flow: &Flow) -> Option<&PendingSyn> {
        self.pending.get(flow)
    }

    pub(crate) fn remove(&mut self, flow: &Flow) -> Option<PendingSyn> {
        self.pending.remove(flow)
    }

    /// Returns when the next timeout is due. It may belong to a SYN that was removed meanwhile, and
    /// then has no effect.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.timeouts.front().map(|(at, _)| *at)
    }

    /// Removes and returns a SYN whose timeout expired.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<(Flow, PendingSyn)> {
        while let Some((_, flow)) = self.timeouts.pop_front_if(|(at, _)| *at <= now) {
            if let Some(syn) = self.pending.remove(&flow) {
                return Some((flow, syn));
            }
        }
        None
    }
}
