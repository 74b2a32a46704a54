//! Flows held by this agent.

use std::time::Duration;

use tokio::time::Instant;
use wire::{Candidate, Segment};

/// Relays of a flow that the notice limit remembers; notices to more wait.
const RELAYS: usize = 2;

/// A flow held here.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    initial_seq: Option<u32>,
    pub(crate) established: bool,
    /// First choice that was told, if that is another agent.
    pub(crate) registered: Option<Candidate>,
    /// Next repeat of the registration; `None` once a packet showed that the agent knows.
    pub(crate) due: Option<Instant>,
    pub(crate) repeats: u8,
    notified: [Option<(Candidate, Instant)>; RELAYS],
}

impl Held {
    pub(crate) fn new() -> Self {
        Self {
            initial_seq: None,
            established: false,
            registered: None,
            due: None,
            repeats: 0,
            notified: [None; RELAYS],
        }
    }

    pub(crate) fn opened(&mut self, initial_seq: u32) {
        self.initial_seq = Some(initial_seq);
    }

    /// Whether the segment belongs to this connection and not to one that another agent opened
    /// with the same SYN.
    pub(crate) fn fits(&mut self, segment: &Segment) -> bool {
        if self.established || segment.syn || !segment.ack {
            return true;
        }
        let expected = self.initial_seq.map(|seq| seq.wrapping_add(1));
        if expected != Some(segment.ack_number) {
            return false;
        }
        self.established = !segment.rst;
        true
    }

    /// Whether a notice to this relay is due; counts it as sent.
    pub(crate) fn may_notify(&mut self, now: Instant, to: Candidate, interval: Duration) -> bool {
        let recent = |at: &Instant| now < *at + interval;
        let known = self
            .notified
            .iter()
            .position(|slot| matches!(slot, Some((relay, _)) if *relay == to));
        let slot = known.or_else(|| {
            self.notified
                .iter()
                .position(|slot| !matches!(slot, Some((_, at)) if recent(at)))
        });
        match slot.map(|at| &mut self.notified[at]) {
            Some(Some((relay, at))) if *relay == to && recent(at) => false,
            Some(entry) => {
                *entry = Some((to, now));
                true
            }
            None => false,
        }
    }
}
