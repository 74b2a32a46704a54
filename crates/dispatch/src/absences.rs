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

/// Packets of a flow about which searches are recorded, at most; a caller has no more in flight.
const MAX_PACKETS: usize = 16;

/// Sequence and acknowledgement number of a packet. A new flow with the same addresses has other ones.
pub(crate) type Numbers = (u32, u32);

/// Searches for the flow of one packet.
#[derive(Debug)]
pub(crate) struct Absence {
    numbers: Numbers,
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

    fn add(&mut self, service: ServiceId, epoch: Epoch) {
        match self.searched.iter_mut().find(|(id, _)| *id == service) {
            Some((_, newest)) => *newest = epoch.max(*newest),
            None => self.searched.push((service, epoch)),
        }
    }
}

/// Flows that some services don't have, while others may.
#[derive(Debug)]
pub(crate) struct Absences {
    by_flow: LruCache<Flow, Vec<Absence>>,
    /// Number of packets in `by_flow`.
    packets: usize,
    limit: usize,
    ttl: Duration,
    read_timeout: Duration,
    /// Packets that wait for a read, in the order in which they time out; some may not wait any more.
    timeouts: VecDeque<(Instant, Flow, Numbers)>,
}

impl Absences {
    /// Keeps at most `limit` packets, each for `ttl`, or for `read_timeout` if it waits for a read.
    pub(crate) fn new(limit: usize, ttl: Duration, read_timeout: Duration) -> Self {
        Self {
            by_flow: LruCache::unbounded(),
            packets: 0,
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
    ) -> &mut Absence {
        let numbers = (segment.seq, segment.ack_number);
        self.make_room(now, &segment.flow, numbers);
        let packets = self.by_flow.get_or_insert_mut(segment.flow, Vec::new);
        let known = packets.iter().position(|packet| packet.numbers == numbers);
        let index = known.unwrap_or_else(|| {
            self.packets += 1;
            packets.push(Absence {
                numbers,
                searched: Vec::new(),
                since: now,
                expires: now + self.ttl,
                waiting: None,
            });
            packets.len() - 1
        });
        let absence = &mut packets[index];
        absence.add(service, epoch);
        absence
    }

    /// Removes what has expired about a flow, and what is oldest if there is no room for a packet.
    fn make_room(&mut self, now: Instant, flow: &Flow, numbers: Numbers) {
        if let Some(packets) = self.by_flow.get_mut(flow) {
            let before = packets.len();
            packets.retain(|packet| now < packet.expires);
            let is_new = packets.iter().all(|packet| packet.numbers != numbers);
            if is_new && packets.len() >= MAX_PACKETS {
                packets.remove(0);
            }
            self.packets -= before - packets.len();
        }
        while self.packets >= self.limit {
            let oldest = self.by_flow.pop_lru();
            self.packets -= oldest.map_or(0, |(_, packets)| packets.len());
        }
    }

    /// Keeps a recorded packet until the view is read; returns whether it doesn't wait already.
    pub(crate) fn wait(&mut self, now: Instant, segment: &Segment, inner: &[u8]) -> bool {
        let numbers = (segment.seq, segment.ack_number);
        let expires = now + self.read_timeout;
        let packets = self.by_flow.peek_mut(&segment.flow).into_iter().flatten();
        let mut idle = packets.filter(|p| p.numbers == numbers && p.waiting.is_none());
        let Some(absence) = idle.next() else {
            return false;
        };
        absence.waiting = Some(inner.into());
        absence.expires = expires;
        self.timeouts.push_back((expires, segment.flow, numbers));
        true
    }

    /// Takes the packets that a read of the view that began at `read_at` covers.
    pub(crate) fn take_read(&mut self, now: Instant, read_at: Instant) -> Vec<Waiting> {
        let mut read = Vec::new();
        for (flow, packets) in self.by_flow.iter_mut() {
            let covered = packets.iter_mut();
            for absence in covered.filter(|packet| packet.is_covered_by(Some(read_at))) {
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
        }
        read
    }

    /// Takes the flow of a packet that has waited too long for a read.
    pub(crate) fn take_timed_out(&mut self, now: Instant) -> Option<Flow> {
        while let Some((at, flow, numbers)) = self.timeouts.front().copied() {
            if now < at {
                return None;
            }
            self.timeouts.pop_front();
            let Some(packets) = self.by_flow.peek_mut(&flow) else {
                continue;
            };
            let before = packets.len();
            let timed_out =
                |p: &Absence| p.numbers == numbers && p.waiting.is_some() && p.expires == at;
            packets.retain(|packet| !timed_out(packet));
            let removed = before - packets.len();
            self.packets -= removed;
            if packets.is_empty() {
                self.by_flow.pop(&flow);
            }
            if removed > 0 {
                return Some(flow);
            }
        }
        None
    }

    /// Time at which the next packet may time out.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.timeouts.front().map(|(at, ..)| *at)
    }

    /// Number of packets that wait for a read, at most.
    pub(crate) fn waiting(&self) -> usize {
        self.timeouts.len()
    }

    /// Forgets a flow that was found or reset; returns whether anything was known about it.
    pub(crate) fn remove(&mut self, flow: &Flow) -> bool {
        let packets = self.by_flow.pop(flow);
        self.packets -= packets.as_ref().map_or(0, Vec::len);
        packets.is_some()
    }
}
