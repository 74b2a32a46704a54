//! State of a flow that the backend server has open.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::DataCentre;
use wire::{Candidate, Segment};

use crate::occupancy::RequestState;
use crate::pending::PendingSyn;

/// Receivers per flow for which the rate limit of notices is tracked; further receivers get no
/// notice until an entry expires.
const MAX_NOTICE_RECEIVERS: usize = 3;

/// Part of a request that a segment carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPart {
    /// A full segment, so more of the request follows.
    More,
    /// A segment that is not full and is taken for the end of the request.
    Last,
}

/// State of a tracked flow.
#[derive(Debug)]
pub(crate) struct FlowState {
    /// Sequence number of the backend server's SYN-ACK.
    pub(crate) initial_seq: Option<u32>,
    pub(crate) established: bool,
    /// Data centre in which the flow's packets enter, if known.
    pub(crate) centre: Option<DataCentre>,
    /// Home agent with which the flow is registered.
    pub(crate) home: Option<Candidate>,
    /// Number of times that the registration is still to be sent again.
    pub(crate) retries_left: u8,
    /// When the SYN was delivered, then when the backend server answered it; for a flow that was
    /// learned from the backend server's packets, when the first of them came.
    pub(crate) opened: Instant,
    /// Time of the last packet.
    pub(crate) last_seen: Instant,
    /// Request in progress, or the slot reserved for the first one. Only [`crate::Forwarder`]
    /// changes it, as it updates the occupancy with it.
    pub(crate) request: Option<RequestState>,
    /// Whether the last request consisted of more than one packet.
    pub(crate) multi_packet: bool,
    /// When the flow ended: both sides sent a FIN, or one a reset.
    pub(crate) ended: Option<Instant>,
    /// SYN that the backend server has not answered.
    pub(crate) pending_syn: Option<Box<PendingSyn>>,
    /// Last acknowledgement number of the caller.
    pub(crate) last_ack: u32,
    /// Sequence number after the last byte of the caller's data.
    caller_end: Option<u32>,
    /// Sequence number after the last byte of the backend server's data.
    server_end: Option<u32>,
    caller_fin: bool,
    server_fin: bool,
    notified: [Option<(SocketAddrV4, Instant)>; MAX_NOTICE_RECEIVERS],
}

impl FlowState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            initial_seq: None,
            established: false,
            centre: None,
            home: None,
            retries_left: 0,
            opened: now,
            last_seen: now,
            request: None,
            multi_packet: false,
            ended: None,
            pending_syn: None,
            last_ack: 0,
            caller_end: None,
            server_end: None,
            caller_fin: false,
            server_fin: false,
            notified: [None; MAX_NOTICE_RECEIVERS],
        }
    }

    /// Whether a caller's segment belongs to this flow, not to one that another backend server
    /// opened for a copy of the same SYN.
    pub(crate) fn matches(&self, segment: &Segment) -> bool {
        if self.established || !segment.ack {
            return true;
        }
        let expected = self.initial_seq.map(|seq| seq.wrapping_add(1));
        expected == Some(segment.ack_number)
    }

    /// Processes a caller's segment that matches this flow; returns the part of a request that it
    /// carries, unless it is a retransmission.
    pub(crate) fn inbound(
        &mut self,
        now: Instant,
        segment: &Segment,
        full_segment_bytes: usize,
    ) -> Option<RequestPart> {
        self.last_seen = now;
        if segment.ack {
            self.established = !segment.rst;
            self.last_ack = segment.ack_number;
        }
        if segment.rst {
            self.ended.get_or_insert(now);
        }
        self.caller_fin |= segment.fin;
        self.update_ended(now);
        let new = segment.payload > 0 && advance_end(&mut self.caller_end, segment);
        (new && self.ended.is_none()).then_some(if segment.payload < full_segment_bytes {
            RequestPart::Last
        } else {
            RequestPart::More
        })
    }

    /// Processes a segment of the backend server; returns whether it carries new data of a
    /// response.
    pub(crate) fn outbound(&mut self, now: Instant, segment: &Segment) -> bool {
        self.last_seen = now;
        if segment.syn {
            if self.initial_seq.replace(segment.seq) != Some(segment.seq) {
                self.opened = now;
            }
            self.pending_syn = None;
        }
        if segment.rst {
            self.ended.get_or_insert(now);
        }
        self.server_fin |= segment.fin;
        self.update_ended(now);
        segment.payload > 0 && advance_end(&mut self.server_end, segment)
    }

    fn update_ended(&mut self, now: Instant) {
        if self.caller_fin && self.server_fin {
            self.ended.get_or_insert(now);
        }
    }

    /// Whether a notice to this receiver is due; if so, records it as sent.
    pub(crate) fn try_notify(
        &mut self,
        now: Instant,
        to: SocketAddrV4,
        interval: Duration,
    ) -> bool {
        let recent = |at: Instant| now < at + interval;
        let known = self
            .notified
            .iter()
            .position(|slot| slot.is_some_and(|(receiver, _)| receiver == to));
        let slot = known.or_else(|| {
            let free = |slot: &Option<_>| slot.is_none_or(|(_, at)| !recent(at));
            self.notified.iter().position(free)
        });
        let Some(slot) = slot.map(|at| &mut self.notified[at]) else {
            return false;
        };
        if slot.is_some_and(|(receiver, at)| receiver == to && recent(at)) {
            return false;
        }
        *slot = Some((to, now));
        true
    }
}

/// Advances `end` to the end of the segment's data; returns whether that is beyond the previous
/// end.
fn advance_end(end: &mut Option<u32>, segment: &Segment) -> bool {
    let length = u32::try_from(segment.payload).unwrap_or(u32::MAX);
    let last = segment.seq.wrapping_add(length);
    // Sequence numbers wrap: a later one is less than half the range ahead.
    let newer = end.is_none_or(|known| last.wrapping_sub(known).cast_signed() > 0);
    if newer {
        *end = Some(last);
    }
    newer
}
