//! SYNs that wait for a place at the backend server.
//!
//! The most urgent goes first, and of these the newest: under overload the
//! oldest can't be served in time any more, and serving them first would make
//! every later one late as well.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use tokio::time::Instant;
use units::Flow;
use wire::Header;

/// SYN that waits.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) flow: Flow,
    pub(crate) header: Header,
    pub(crate) inner: Box<[u8]>,
    /// Arrival.
    pub(crate) since: Instant,
    /// When its caller is told that there is no place.
    pub(crate) due: Instant,
}

/// Priority, then the number of the arrival, newest first.
type Place = (u8, Reverse<u64>);

/// SYNs that wait, in the order in which they are let in.
#[derive(Debug, Default)]
pub(crate) struct Waitlist {
    order: BTreeMap<Place, Waiting>,
    places: HashMap<Flow, Place>,
    /// By the time when they are given up, and by the number of the arrival.
    due: BTreeMap<(Instant, u64), Flow>,
    arrived: u64,
}

impl Waitlist {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn contains(&self, flow: &Flow) -> bool {
        self.places.contains_key(flow)
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.remove(&waiting.flow);
        self.arrived += 1;
        let place = (waiting.header.hints.priority, Reverse(self.arrived));
        self.due.insert((waiting.due, self.arrived), waiting.flow);
        self.places.insert(waiting.flow, place);
        self.order.insert(place, waiting);
    }

    /// Takes the one that is let in next.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let (place, waiting) = self.order.pop_first()?;
        self.forget(&waiting, place);
        Some(waiting)
    }

    /// Takes the one that is given up next.
    pub(crate) fn pop_due(&mut self) -> Option<Waiting> {
        let flow = *self.due.first_key_value()?.1;
        self.remove(&flow)
    }

    pub(crate) fn remove(&mut self, flow: &Flow) -> Option<Waiting> {
        let place = *self.places.get(flow)?;
        let waiting = self.order.remove(&place)?;
        self.forget(&waiting, place);
        Some(waiting)
    }

    fn forget(&mut self, waiting: &Waiting, (_, Reverse(number)): Place) {
        self.places.remove(&waiting.flow);
        self.due.remove(&(waiting.due, number));
    }

    /// When the next one is given up.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.due.first_key_value().map(|((due, _), _)| *due)
    }
}
