//! Queue of SYNs that wait until the backend server has capacity.
//!
//! Ordered by priority, then newest first: under overload the oldest can't be
//! served in time any more, and serving them first would make every later one
//! late as well.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use tokio::time::Instant;
use units::Flow;
use wire::Header;

use crate::UnplacedSyn;

/// SYN in the admission queue, with what is needed to deliver or forward it later.
#[derive(Debug, Clone)]
pub(crate) struct QueuedSyn {
    pub(crate) flow: Flow,
    pub(crate) header: Header,
    pub(crate) inner: Box<[u8]>,
    /// Number of copies that the caller sent before it.
    pub(crate) copy_number: u32,
    pub(crate) queued_at: Instant,
    /// When it is given up.
    pub(crate) deadline: Instant,
}

impl QueuedSyn {
    /// The SYN without its place in the queue.
    pub(crate) fn give_up(self, now: Instant) -> UnplacedSyn {
        UnplacedSyn {
            flow: self.flow,
            header: self.header,
            inner: self.inner,
            copy_number: self.copy_number,
            waited: now.saturating_duration_since(self.queued_at),
        }
    }
}

/// Priority (lowest value first), then arrival number (newest first).
type QueuePosition = (u8, Reverse<u64>);

/// Queued SYNs, indexed by admission order, flow and deadline.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    order: BTreeMap<QueuePosition, QueuedSyn>,
    positions: HashMap<Flow, QueuePosition>,
    /// Flows by deadline and arrival number.
    deadlines: BTreeMap<(Instant, u64), Flow>,
    arrivals: u64,
}

impl AdmissionQueue {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn get(&self, flow: &Flow) -> Option<&QueuedSyn> {
        self.order.get(self.positions.get(flow)?)
    }

    pub(crate) fn push(&mut self, syn: QueuedSyn) {
        self.remove(&syn.flow);
        self.arrivals += 1;
        let position = (syn.header.hints.priority, Reverse(self.arrivals));
        self.deadlines
            .insert((syn.deadline, self.arrivals), syn.flow);
        self.positions.insert(syn.flow, position);
        self.order.insert(position, syn);
    }

    /// Removes the SYN that is admitted next.
    pub(crate) fn pop(&mut self) -> Option<QueuedSyn> {
        let (position, syn) = self.order.pop_first()?;
        self.unlink(&syn, position);
        Some(syn)
    }

    /// Removes the SYN with the earliest deadline.
    pub(crate) fn pop_expiring(&mut self) -> Option<QueuedSyn> {
        let flow = *self.deadlines.first_key_value()?.1;
        self.remove(&flow)
    }

    pub(crate) fn remove(&mut self, flow: &Flow) -> Option<QueuedSyn> {
        let position = *self.positions.get(flow)?;
        let syn = self.order.remove(&position)?;
        self.unlink(&syn, position);
        Some(syn)
    }

    fn unlink(&mut self, syn: &QueuedSyn, (_, Reverse(number)): QueuePosition) {
        self.positions.remove(&syn.flow);
        self.deadlines.remove(&(syn.deadline, number));
    }

    /// Earliest deadline of a queued SYN.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadlines.first_key_value().map(|((due, _), _)| *due)
    }
}
