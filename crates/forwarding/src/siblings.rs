//! Tracks the load and liveness of the siblings.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Incarnation};
use wire::{Candidate, Load};

use crate::forwarder::Member;

/// Ratio of open flows per slot, here to a sibling in the same data centre, above which a new flow
/// goes to that sibling.
const LOCAL_OPEN_RATIO: f64 = 1.05;

/// The same ratio for a sibling in another data centre; higher because it costs cross-centre traffic.
const REMOTE_OPEN_RATIO: f64 = 1.5;

/// Difference in open flows per slot required on top of the ratio, so that flows are not moved back
/// and forth while there are only a few.
const OPEN_MARGIN_PER_SLOT: f64 = 1.0;

/// Consecutive rounds of load notices missed after which a sibling counts as down.
const MAX_MISSED_ROUNDS: u32 = 3;

/// Minimum time without notices before a sibling counts as down; longer than an agent's restart.
const MIN_DOWN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a search can visit a sibling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// A search visits it.
    Reachable,
    /// It can't be reached for now, but its backend server may live: it announced its shutdown, or has not
    /// been heard by this agent yet. The doubt ends with its next notice, or when it leaves the table.
    Uncertain,
    /// It was heard and went silent. Without its agent a backend server is unreachable, whether it has a
    /// flow or not.
    Down,
}

/// What the table and the notices say about a sibling.
#[derive(Debug, Clone)]
struct SiblingState {
    candidate: Candidate,
    centre: DataCentre,
    takes_work: bool,
    load: Option<(Load, Instant)>,
    /// Whether a notice of it arrived since it was added to the table.
    heard: bool,
    /// When its last notice arrived, or when it was added to the table.
    last_heard: Instant,
    /// Process that announced its shutdown.
    stopped: Option<Incarnation>,
}

/// Tracks the siblings: the other agents of the same service.
#[derive(Debug, Default)]
pub(crate) struct Siblings {
    by_address: BTreeMap<SocketAddrV4, SiblingState>,
    /// Index of the sibling at which the next round of load notices starts.
    next_receiver: usize,
}

impl Siblings {
    /// Replaces the siblings by the members of a new table; keeps the state of those that are still
    /// the same process.
    pub(crate) fn update<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now: Instant) {
        let mut before = std::mem::take(&mut self.by_address);
        self.by_address = members
            .map(|member| {
                let candidate = member.candidate;
                let old = before.remove(&candidate.address);
                let old = old.filter(|old| old.candidate == candidate);
                let sibling = SiblingState {
                    candidate,
                    centre: member.centre.clone(),
                    takes_work: member.takes_work,
                    load: old.as_ref().and_then(|old| old.load),
                    heard: old.as_ref().is_some_and(|old| old.heard),
                    last_heard: old.as_ref().map_or(now, |old| old.last_heard),
                    stopped: old.and_then(|old| old.stopped),
                };
                (candidate.address, sibling)
            })
            .collect();
    }

    /// Records the load from a notice.
    pub(crate) fn record_load(&mut self, owner: &Candidate, load: Load, now: Instant) {
        if let Some(sibling) = self.by_address.get_mut(&owner.address) {
            sibling.load = Some((load, now));
            (sibling.heard, sibling.last_heard) = (true, now);
            // A load notice sent before the shutdown notice may arrive after it.
            sibling.stopped = sibling
                .stopped
                .filter(|stopped| *stopped == owner.incarnation);
        }
    }

    /// Records that a sibling announced its shutdown.
    pub(crate) fn record_stop(&mut self, owner: &Candidate) {
        if let Some(sibling) = self.by_address.get_mut(&owner.address) {
            sibling.stopped = Some(owner.incarnation);
        }
    }

    /// Whether a search can visit a member; one that isn't in the table is visited.
    pub(crate) fn reachability(
        &self,
        address: SocketAddrV4,
        interval: Duration,
        fanout: usize,
        now: Instant,
    ) -> Reachability {
        let Some(sibling) = self.by_address.get(&address) else {
            return Reachability::Reachable;
        };
        let silent = self.is_silent(sibling, interval, fanout, now);
        if sibling.stopped.is_some() || silent && !sibling.heard {
            Reachability::Uncertain
        } else if silent {
            Reachability::Down
        } else {
            Reachability::Reachable
        }
    }

    /// Whether a sibling missed several rounds of notices while most others were heard. Per interval,
    /// each agent sends a notice to `fanout` of its siblings.
    fn is_silent(
        &self,
        sibling: &SiblingState,
        interval: Duration,
        fanout: usize,
        now: Instant,
    ) -> bool {
        let rounds = self.by_address.len().div_ceil(fanout.max(1)).max(1);
        let round = interval * u32::try_from(rounds).unwrap_or(u32::MAX);
        let limit = (round * MAX_MISSED_ROUNDS).max(MIN_DOWN_TIMEOUT);
        let silent = |sibling: &SiblingState| now >= sibling.last_heard + limit;
        // If most siblings are silent, this agent was paused or is partitioned from the network.
        let majority_heard =
            || self.by_address.values().filter(|s| silent(s)).count() * 2 < self.by_address.len();
        silent(sibling) && majority_heard()
    }

    /// Siblings that get the next load notices, in round-robin order.
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

    /// Sibling with enough fewer open flows that it should get a new flow instead. The flow is added
    /// to the sibling's known load until its next notice.
    pub(crate) fn pick_less_loaded(
        &mut self,
        own: Load,
        centre: &DataCentre,
        ttl: Duration,
        now: Instant,
    ) -> Option<Candidate> {
        let own_open = per_slot(own.open + 1, own.slots);
        for (local, ratio) in [(true, LOCAL_OPEN_RATIO), (false, REMOTE_OPEN_RATIO)] {
            let known = self.by_address.values_mut().filter_map(|sibling| {
                let (load, at) = sibling.load.as_mut()?;
                let counts =
                    sibling.takes_work && (sibling.centre == *centre) == local && now < *at + ttl;
                (counts && load.is_free()).then_some((sibling.candidate, load))
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
