//! Load and liveness of the peers: the other members of the service.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Incarnation};
use wire::{Candidate, Load};

use crate::forwarder::Member;

/// Ratio of open flows per slot, here to a peer in the same data centre, above which a new flow
/// goes to that peer.
const LOCAL_OPEN_RATIO: f64 = 1.05;

/// The same ratio for a peer in another data centre; higher because it costs cross-centre traffic.
const REMOTE_OPEN_RATIO: f64 = 1.5;

/// Difference in open flows per slot required on top of the ratio, so that flows are not moved back
/// and forth while there are only a few.
const OPEN_MARGIN_PER_SLOT: f64 = 1.0;

/// Consecutive rounds of load notices missed after which a peer counts as down.
const MAX_MISSED_ROUNDS: u32 = 3;

/// Minimum time without notices before a peer counts as down, and for which one that
/// announced its shutdown counts as restarting; longer than an agent's restart.
const MIN_DOWN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What the table and the notices say about a peer.
#[derive(Debug, Clone)]
struct PeerState {
    candidate: Candidate,
    centre: DataCentre,
    takes_work: bool,
    load: Option<(Load, Instant)>,
    /// When its last notice arrived, or when it was added to the table.
    last_heard: Instant,
    /// Process that announced its shutdown, and when.
    stopped: Option<(Incarnation, Instant)>,
}

/// Tracks the other members of the service.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<SocketAddrV4, PeerState>,
    /// Index of the peer at which the next round of load notices starts.
    next_receiver: usize,
}

impl Peers {
    /// Replaces the peers by the members of a new table; keeps the state of those that are still
    /// the same process.
    pub(crate) fn update<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now: Instant) {
        let mut before = std::mem::take(&mut self.by_address);
        self.by_address = members
            .map(|member| {
                let candidate = member.candidate;
                let old = before.remove(&candidate.address);
                let old = old.filter(|old| old.candidate == candidate);
                let peer = PeerState {
                    candidate,
                    centre: member.centre.clone(),
                    takes_work: member.takes_work,
                    load: old.as_ref().and_then(|old| old.load),
                    last_heard: old.as_ref().map_or(now, |old| old.last_heard),
                    stopped: old.and_then(|old| old.stopped),
                };
                (candidate.address, peer)
            })
            .collect();
    }

    /// Records the load from a notice.
    pub(crate) fn record_load(&mut self, owner: &Candidate, load: Load, now: Instant) {
        if let Some(peer) = self.by_address.get_mut(&owner.address) {
            peer.load = Some((load, now));
            peer.last_heard = now;
            // A load notice sent before the shutdown notice may arrive after it.
            peer.stopped = peer
                .stopped
                .filter(|(stopped, _)| *stopped == owner.incarnation);
        }
    }

    /// Records that a peer announced its shutdown.
    pub(crate) fn record_stop(&mut self, owner: &Candidate, now: Instant) {
        if let Some(peer) = self.by_address.get_mut(&owner.address) {
            peer.stopped = Some((owner.incarnation, now));
        }
    }

    /// Whether a peer announced its shutdown recently and its next process has not sent a notice
    /// yet.
    pub(crate) fn is_restarting(&self, address: SocketAddrV4, now: Instant) -> bool {
        let stopped = self.by_address.get(&address).and_then(|peer| peer.stopped);
        stopped.is_some_and(|(_, at)| now < at + MIN_DOWN_TIMEOUT)
    }

    /// Whether a peer missed several rounds of notices while most others were heard. Per interval,
    /// each agent sends a notice to `fanout` of its peers.
    pub(crate) fn is_down(
        &self,
        address: SocketAddrV4,
        interval: Duration,
        fanout: usize,
        now: Instant,
    ) -> bool {
        let rounds = self.by_address.len().div_ceil(fanout.max(1)).max(1);
        let round = interval * u32::try_from(rounds).unwrap_or(u32::MAX);
        let limit = (round * MAX_MISSED_ROUNDS).max(MIN_DOWN_TIMEOUT);
        let silent = |peer: &PeerState| now >= peer.last_heard + limit;
        // If most peers are silent, this agent was paused or is partitioned from the network.
        let majority_heard =
            || self.by_address.values().filter(|s| silent(s)).count() * 2 < self.by_address.len();
        self.by_address.get(&address).is_some_and(silent) && majority_heard()
    }

    /// Peers that get the next load notices, in round-robin order.
    pub(crate) fn next_receivers(&mut self, limit: usize) -> Vec<SocketAddrV4> {
        let count = self.by_address.len();
        let limit = limit.min(count);
        let chosen = self
            .by_address
            .keys()
            .cycle()
            .skip(self.next_receiver)
            .take(limit);
        let chosen = chosen.copied().collect();
        self.next_receiver = (self.next_receiver + limit) % count.max(1);
        chosen
    }

    /// Peer with enough fewer open flows that it should get a new flow instead. The flow is added
    /// to the peer's known load until its next notice.
    pub(crate) fn pick_less_loaded(
        &mut self,
        own: Load,
        centre: &DataCentre,
        ttl: Duration,
        now: Instant,
    ) -> Option<Candidate> {
        let own_open = per_slot(own.open + 1, own.slots);
        for (local, ratio) in [(true, LOCAL_OPEN_RATIO), (false, REMOTE_OPEN_RATIO)] {
            let known = self.by_address.values_mut().filter_map(|peer| {
                let (load, at) = peer.load.as_mut()?;
                let counts =
                    peer.takes_work && (peer.centre == *centre) == local && now < *at + ttl;
                (counts && load.is_free()).then_some((peer.candidate, load))
            });
            let open = |load: &Load| per_slot(load.open, load.slots);
            let lightest = known.min_by(|a, b| open(a.1).total_cmp(&open(b.1)));
            if let Some((candidate, load)) = lightest
                && own_open > open(load) * ratio + OPEN_MARGIN_PER_SLOT
            {
                load.open += 1;
                return Some(candidate);
            }
        }
        None
    }
}

fn per_slot(flows: u32, slots: u16) -> f64 {
    f64::from(flows) / f64::from(slots.max(1))
}
