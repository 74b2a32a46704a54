//! Queue of requests that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use profile::Tier;

/// Sort key: tier, then deadline unless the order is FIFO, then arrival.
type Position = (Reverse<Tier>, Option<Instant>, u64);

/// Waiting request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedRequest {
    pub(crate) id: u64,
    pub(crate) class: usize,
    pub(crate) tier: Tier,
    pub(crate) short: bool,
    pub(crate) deadline: Instant,
    /// Number of its arrival.
    pub(crate) sequence: u64,
}

/// Waiting requests in the order in which they start.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    requests: BTreeMap<Position, QueuedRequest>,
    /// Position by id.
    positions: HashMap<u64, Position>,
    /// Number of requests by class.
    counts: HashMap<usize, usize>,
    /// Id by deadline and sequence.
    expiries: BTreeMap<(Instant, u64), u64>,
}

impl Queue {
    /// Adds a request, ordered by deadline or by arrival within its tier.
    pub(crate) fn push(&mut self, request: QueuedRequest, by_deadline: bool) {
        let deadline = by_deadline.then_some(request.deadline);
        let position = (Reverse(request.tier), deadline, request.sequence);
        self.positions.insert(request.id, position);
        *self.counts.entry(request.class).or_default() += 1;
        self.expiries
            .insert((request.deadline, request.sequence), request.id);
        self.requests.insert(position, request);
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        let position = self.positions.remove(&id)?;
        let request = self.requests.remove(&position)?;
        self.expiries.remove(&(request.deadline, request.sequence));
        if let Some(count) = self.counts.get_mut(&request.class) {
            *count -= 1;
        }
        Some(request)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of waiting requests of a class.
    pub(crate) fn count_of_class(&self, class: usize) -> usize {
        self.counts.get(&class).copied().unwrap_or(0)
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &QueuedRequest> {
        self.requests.values()
    }

    /// First request that matches the predicate.
    pub(crate) fn first(
        &self,
        predicate: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        self.iter().find(|request| predicate(request)).copied()
    }

    /// Last arrival of a class.
    pub(crate) fn newest(&self, class: usize) -> Option<QueuedRequest> {
        self.iter()
            .filter(|request| request.class == class)
            .max_by_key(|request| request.sequence)
            .copied()
    }

    /// Request to evict for an arrival of the given tier and class: of the
    /// lowest tier, the class with the most waiting requests, and its last
    /// arrival. `None` if the arrival itself has to be refused.
    pub(crate) fn victim(&self, tier: Tier, class: usize) -> Option<QueuedRequest> {
        let lowest = self.iter().next_back()?.tier;
        if lowest > tier {
            return None;
        }
        let candidates = self.iter().filter(|request| request.tier == lowest);
        let victim = candidates
            .max_by_key(|request| (self.count_of_class(request.class), request.sequence))
            .copied()?;
        let is_fairer = self.count_of_class(victim.class) > self.count_of_class(class) + 1;
        (lowest < tier || victim.class != class && is_fairer).then_some(victim)
    }

    /// Earliest deadline.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.expiries.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Removes a request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<QueuedRequest> {
        let (&(deadline, _), &id) = self.expiries.iter().next()?;
        if deadline > now {
            return None;
        }
        self.remove(id)
    }
}
