//! Requests that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use profile::Tier;

/// Position: tier, then rank within it, then arrival.
type Place = (Reverse<Tier>, Option<Instant>, u64);

/// One waiting request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) id: u64,
    pub(crate) class: usize,
    pub(crate) tier: Tier,
    pub(crate) short: bool,
    pub(crate) deadline: Instant,
    pub(crate) sequence: u64,
}

/// Waiting requests, first to begin first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    places: BTreeMap<Place, Waiting>,
    ids: HashMap<u64, Place>,
    counts: HashMap<usize, usize>,
    expiries: BTreeMap<(Instant, u64), u64>,
}

impl Queue {
    /// Adds a request, by deadline or by arrival within its tier.
    pub(crate) fn push(&mut self, request: Waiting, by_deadline: bool) {
        let rank = by_deadline.then_some(request.deadline);
        let place = (Reverse(request.tier), rank, request.sequence);
        self.ids.insert(request.id, place);
        *self.counts.entry(request.class).or_default() += 1;
        self.expiries
            .insert((request.deadline, request.sequence), request.id);
        self.places.insert(place, request);
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<Waiting> {
        let place = self.ids.remove(&id)?;
        let request = self.places.remove(&place)?;
        self.expiries.remove(&(request.deadline, request.sequence));
        if let Some(count) = self.counts.get_mut(&request.class) {
            *count -= 1;
        }
        Some(request)
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Waiting requests of a class.
    pub(crate) fn of_class(&self, class: usize) -> usize {
        self.counts.get(&class).copied().unwrap_or(0)
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &Waiting> {
        self.places.values()
    }

    /// First request that passes the test.
    pub(crate) fn first(&self, test: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        self.iter().find(|request| test(request)).copied()
    }

    /// Newest request of a class.
    pub(crate) fn newest(&self, class: usize) -> Option<Waiting> {
        self.iter()
            .filter(|request| request.class == class)
            .max_by_key(|request| request.sequence)
            .copied()
    }

    /// Request to give up for an arrival: of the lowest tier, there of the
    /// class with most waiting, there the last one in order. None if the
    /// arrival itself is that request.
    pub(crate) fn victim(&self, tier: Tier, class: usize) -> Option<Waiting> {
        let lowest = self.iter().next_back()?.tier;
        if lowest > tier {
            return None;
        }
        let candidates = self.iter().filter(|request| request.tier == lowest);
        let victim = candidates
            .max_by_key(|request| (self.of_class(request.class), request.sequence))
            .copied()?;
        let fairer = self.of_class(victim.class) > self.of_class(class) + 1;
        (lowest < tier || victim.class != class && fairer).then_some(victim)
    }

    /// Earliest deadline.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.expiries.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Removes one request whose deadline passed.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let (&(deadline, _), &id) = self.expiries.iter().next()?;
        if deadline > now {
            return None;
        }
        self.remove(id)
    }
}
