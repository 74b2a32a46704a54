//! Flows owned by this agent.

use std::time::Duration;

use tokio::time::Instant;
use wire::{Candidate, Segment};

/// Relays per flow for which the time of the last notice is kept; further relays get no notice
/// until the interval of one of these has passed.
const MAX_RELAYS: usize = 2;

/// A flow owned by this agent.
#[derive(Debug, Clone)]
pub(crate) struct OwnedFlow {
    initial_seq: Option<u32>,
    pub(crate) established: bool,
    /// First choice at which the flow is registered, if that is another agent.
    pub(crate) registered_with: Option<Candidate>,
    /// Next retry of the registration; `None` once a packet confirmed it.
    pub(crate) retry_at: Option<Instant>,
    pub(crate) retries: u8,
    /// Relays with the time of the last notice to each.
    notified: [Option<(Candidate, Instant)>; MAX_RELAYS],
}

impl OwnedFlow {
    pub(crate) fn new() -> Self {
        Self {
            initial_seq: None,
            established: false,
            registered_with: None,
            retry_at: None,
            retries: 0,
            notified: [None; MAX_RELAYS],
        }
    }

    pub(crate) fn set_initial_seq(&mut self, initial_seq: u32) {
        self.initial_seq = Some(initial_seq);
    }

    /// Whether the segment belongs to this connection, not to one that another agent opened with
    /// the same SYN. The first matching acknowledgement establishes the flow.
    pub(crate) fn matches(&mut self, segment: &Segment) -> bool {
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

    /// Whether a notice to the relay `to` is due; if so, records it as sent.
    pub(crate) fn start_notice(&mut self, now: Instant, to: Candidate, interval: Duration) -> bool {
        let is_recent = |sent_at: &Instant| now < *sent_at + interval;
        let known = self
            .notified
            .iter()
            .position(|slot| matches!(slot, Some((relay, _)) if *relay == to));
        let slot = known.or_else(|| {
            self.notified
                .iter()
                .position(|slot| !matches!(slot, Some((_, sent_at)) if is_recent(sent_at)))
        });
        match slot.map(|index| &mut self.notified[index]) {
            Some(Some((relay, sent_at))) if *relay == to && is_recent(sent_at) => false,
            Some(entry) => {
                *entry = Some((to, now));
                true
            }
            None => false,
        }
    }
}
