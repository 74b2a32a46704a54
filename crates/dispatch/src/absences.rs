//! Services that were searched for a flow without finding it.

use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::{Flow, ServiceId};
use wire::Segment;

/// Searches for the flow of one packet.
#[derive(Debug)]
struct Absence {
    /// Sequence and acknowledgement number of the packet. A new flow with the same addresses has
    /// other ones.
    numbers: (u32, u32),
    /// Services that don't have the flow.
    services: Vec<ServiceId>,
    /// When the first of them answered.
    since: Instant,
}

/// Flows that some services don't have, while others may.
#[derive(Debug)]
pub(crate) struct Absences {
    by_flow: LruCache<Flow, Absence>,
    limit: usize,
    ttl: Duration,
}

impl Absences {
    /// Keeps at most `limit` flows, each for `ttl`.
    pub(crate) fn new(limit: usize, ttl: Duration) -> Self {
        Self {
            by_flow: LruCache::unbounded(),
            limit,
            ttl,
        }
    }

    /// Records that a service doesn't have the flow of a packet; returns all services of which this
    /// is known.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        segment: &Segment,
        service: ServiceId,
    ) -> &[ServiceId] {
        let numbers = (segment.seq, segment.ack_number);
        let ttl = self.ttl;
        let new = || Absence {
            numbers,
            services: Vec::new(),
            since: now,
        };
        while self.by_flow.len() >= self.limit && !self.by_flow.contains(&segment.flow) {
            self.by_flow.pop_lru();
        }
        let absence = self.by_flow.get_or_insert_mut(segment.flow, new);
        if absence.numbers != numbers || now >= absence.since + ttl {
            *absence = new();
        }
        if !absence.services.contains(&service) {
            absence.services.push(service);
        }
        &absence.services
    }

    /// Forgets a flow that was found or reset.
    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.by_flow.pop(flow);
    }
}
