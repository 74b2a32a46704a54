//! SYNs whose owner is not known yet.

use std::collections::{HashMap, VecDeque};

use tokio::time::Instant;
use units::Flow;
use wire::Header;

/// SYN that was sent.
#[derive(Debug, Clone)]
pub(crate) struct Opening {
    pub(crate) header: Header,
    pub(crate) inner: Box<[u8]>,
    /// Candidates that it was sent to.
    pub(crate) tries: u8,
}

/// SYNs in the order in which they are due.
#[derive(Debug, Default)]
pub(crate) struct Openings {
    due: VecDeque<(Instant, Flow)>,
    known: HashMap<Flow, Opening>,
}

impl Openings {
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    pub(crate) fn put(&mut self, flow: Flow, opening: Opening, due: Instant) {
        self.known.insert(flow, opening);
        self.due.push_back((due, flow));
    }

    pub(crate) fn get(&self, flow: &Flow) -> Option<&Opening> {
        self.known.get(flow)
    }

    pub(crate) fn remove(&mut self, flow: &Flow) -> Option<Opening> {
        self.known.remove(flow)
    }

    /// Next time at which one is due; answered ones count until then.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.due.front().map(|(at, _)| *at)
    }

    /// Takes the SYNs that are due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<(Flow, Opening)> {
        while let Some((_, flow)) = self.due.pop_front_if(|(at, _)| *at <= now) {
            if let Some(opening) = self.known.remove(&flow) {
                return Some((flow, opening));
            }
        }
        None
    }
}
