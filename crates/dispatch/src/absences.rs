//! Searches that did not find an open flow.
//!
//! A flow is reset only on proof that no backend server has it: every service that its route leads or
//! led to was searched, under a table that lists every present member. The routes and tables that this
//! is checked against have to include all changes that were committed before the search ended, since
//! another balancer may have opened the flow under a newer view. A packet whose services are all
//! searched thus waits for a linearizable read of the view.

use std::collections::VecDeque;
use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use units::{Epoch, Flow, ServiceId};
use wire::Segment;

/// Searches for the flow of one packet.
#[derive(Debug)]
pub(crate) struct Absence {
    /// Sequence and acknowledgement number of the packet. A new flow with the same addresses has
    /// other ones.
    numbers: (u32, u32),
    /// Services that don't have the flow, and the epochs of the tables under which they were searched.
    searched: Vec<(ServiceId, Epoch)>,
    /// When the first of them answered; the flow was opened before, under a view that was committed
    /// before.
    since: Instant,
    expires: Instant,
    /// The packet, while it waits for a read of the view.
    waiting: Option<Box<[u8]>>,
}

/// A packet whose view has been read.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) flow: Flow,
    pub(crate) ack_number: u32,
    pub(crate) inner: Box<[u8]>,
    pub(crate) searched: Vec<(ServiceId, Epoch)>,
}

impl Absence {
    /// Services that don't have the flow, and the epochs of the tables under which they were searched.
    pub(crate) fn searched(&self) -> &[(ServiceId, Epoch)] {
        &self.searched
    }

    /// Whether a read of the view that began at `read_at` includes all that the flow may have been
    /// opened under.
    pub(crate) fn is_covered_by(&self, read_at: Option<Instant>) -> bool {
        read_at.is_some_and(|at| at >= self.since)
    }
}

/// Flows that some services don't have, while others may.
#[derive(Debug)]
pub(crate) struct Absences {
    by_flow: LruCache<Flow, Absence>,
    limit: usize,
    ttl: Duration,
    read_timeout: Duration,
    /// Flows that wait for a read, in the order in which they time out; some may not wait any more.
    timeouts: VecDeque<(Instant, Flow)>,
}

impl Absences {
    /// Keeps at most `limit` flows, each for `ttl`, or for `read_timeout` if it waits for a read.
    pub(crate) fn new(limit: usize, ttl: Duration, read_timeout: Duration) -> Self {
        Self {
            by_flow: LruCache::unbounded(),
            limit,
            ttl,
            read_timeout,
            timeouts: VecDeque::new(),
        }
    }

    /// Records that a service doesn't have the flow of a packet, according to a search under the table
    /// of `epoch`; returns all that is known about the packet.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        segment: &Segment,
        (service, epoch): (ServiceId, Epoch),
    ) -> &Absence {
        let numbers = (segment.seq, segment.ack_number);
        let ttl = self.ttl;
        let new = || Absence {
            numbers,
            searched: Vec::new(),
            since: now,
            expires: now + ttl,
            waiting: None,
        };
        while self.by_flow.len() >= self.limit && !self.by_flow.contains(&segment.flow) {
            self.by_flow.pop_lru();
        }
        let absence = self.by_flow.get_or_insert_mut(segment.flow, new);
        if absence.numbers != numbers || now >= absence.expires {
            *absence = new();
        }
        match absence.searched.iter_mut().find(|(id, _)| *id == service) {
            Some((_, newest)) => *newest = epoch.max(*newest),
            None => absence.searched.push((service, epoch)),
        }
        absence
    }

    /// Keeps the packet of a recorded flow until the view is read; returns whether it is the first.
    pub(crate) fn wait(&mut self, now: Instant, flow: &Flow, inner: &[u8]) -> bool {
        let expires = now + self.read_timeout;
        let Some(absence) = self.by_flow.peek_mut(flow) else {
            return false;
        };
        if absence.waiting.is_some() {
            return false;
        }
        absence.waiting = Some(inner.into());
        absence.expires = expires;
        self.timeouts.push_back((expires, *flow));
        true
    }

    /// Takes the packets that a read of the view that began at `read_at` covers.
    pub(crate) fn take_read(&mut self, now: Instant, read_at: Instant) -> Vec<Waiting> {
        let mut read = Vec::new();
        for (flow, absence) in self.by_flow.iter_mut() {
            if !absence.is_covered_by(Some(read_at)) {
                continue;
            }
            let Some(inner) = absence.waiting.take() else {
                continue;
            };
            absence.expires = now + self.ttl;
            read.push(Waiting {
                flow: *flow,
                ack_number: absence.numbers.1,
                inner,
                searched: absence.searched.clone(),
            });
        }
        read
    }

    /// Takes a flow whose packet has waited too long for a read.
    pub(crate) fn take_timed_out(&mut self, now: Instant) -> Option<Flow> {
        while let Some((at, flow)) = self.timeouts.front().copied() {
            if now < at {
                return None;
            }
            self.timeouts.pop_front();
            let absence = self.by_flow.peek(&flow);
            if absence.is_some_and(|a| a.waiting.is_some() && a.expires == at) {
                self.by_flow.pop(&flow);
                return Some(flow);
            }
        }
        None
    }

    /// Time at which the next packet may time out.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.timeouts.front().map(|(at, _)| *at)
    }

    /// Number of packets that wait for a read, at most.
    pub(crate) fn waiting(&self) -> usize {
        self.timeouts.len()
    }

    /// Forgets a flow that was found or reset.
    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.by_flow.pop(flow);
    }
}
