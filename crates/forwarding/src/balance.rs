//! Loads of the siblings, and whether a new flow is better placed at one.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Incarnation};
use wire::{Candidate, Load};

use crate::forwarder::Other;

/// Share by which the own open flows may exceed a sibling's in the same data centre.
const SURPLUS: f64 = 1.05;

/// The same for a sibling in another data centre, which costs bytes between them.
const FAR_SURPLUS: f64 = 1.5;

/// Flows per slot by which they may exceed it on top, so that few flows don't bounce.
const MARGIN: f64 = 1.0;

/// Notices missed in a row after which a sibling counts as silent.
const MISSED: u32 = 3;

/// Shortest time without notices after which it does; longer than an agent's restart.
const LEAST_SILENCE: Duration = Duration::from_millis(1_500);

/// A sibling as its notices and the table describe it.
#[derive(Debug, Clone)]
struct Sibling {
    candidate: Candidate,
    centre: DataCentre,
    takes_work: bool,
    load: Option<(Load, Instant)>,
    /// When it was heard last, or came into the table.
    heard: Instant,
    /// Process that said that it stops, and when.
    left: Option<(Incarnation, Instant)>,
}

/// The other members of the service.
#[derive(Debug, Default)]
pub(crate) struct Siblings {
    all: BTreeMap<SocketAddrV4, Sibling>,
    /// Sibling at which the next round of load notices starts.
    turn: usize,
}

impl Siblings {
    /// Takes the members of a new table; what is known of them stays.
    pub(crate) fn update<'a>(&mut self, members: impl Iterator<Item = &'a Other>, now: Instant) {
        let mut before = std::mem::take(&mut self.all);
        self.all = members
            .map(|member| {
                let candidate = member.candidate;
                let old = before.remove(&candidate.address);
                let old = old.filter(|old| old.candidate == candidate);
                let sibling = Sibling {
                    candidate,
                    centre: member.centre.clone(),
                    takes_work: member.takes_work,
                    load: old.as_ref().and_then(|old| old.load),
                    heard: old.as_ref().map_or(now, |old| old.heard),
                    left: old.and_then(|old| old.left),
                };
                (candidate.address, sibling)
            })
            .collect();
    }

    /// Takes a load from a notice.
    pub(crate) fn set(&mut self, owner: &Candidate, load: Load, now: Instant) {
        if let Some(sibling) = self.all.get_mut(&owner.address) {
            sibling.load = Some((load, now));
            sibling.heard = now;
            // A notice may overtake the last one of its process.
            sibling.left = sibling.left.filter(|(left, _)| *left == owner.incarnation);
        }
    }

    /// Notes that the process of a sibling stops.
    pub(crate) fn leave(&mut self, owner: &Candidate, now: Instant) {
        if let Some(sibling) = self.all.get_mut(&owner.address) {
            sibling.left = Some((owner.incarnation, now));
        }
    }

    /// Whether the process of a sibling stopped just now and the next one was not heard yet.
    pub(crate) fn is_restarting(&self, address: SocketAddrV4, now: Instant) -> bool {
        let left = self.all.get(&address).and_then(|sibling| sibling.left);
        left.is_some_and(|(_, at)| now < at + LEAST_SILENCE)
    }

    /// Whether a sibling left out several notices in a row while most others were heard; each sends one
    /// to `fanout` of its siblings per interval.
    pub(crate) fn is_gone(
        &self,
        address: SocketAddrV4,
        interval: Duration,
        fanout: usize,
        now: Instant,
    ) -> bool {
        let rounds = self.all.len().div_ceil(fanout.max(1)).max(1);
        let round = interval * u32::try_from(rounds).unwrap_or(u32::MAX);
        let limit = (round * MISSED).max(LEAST_SILENCE);
        let silent = |sibling: &Sibling| now >= sibling.heard + limit;
        // Otherwise it is this agent that stood still or is cut off.
        let most_heard = || self.all.values().filter(|s| silent(s)).count() * 2 < self.all.len();
        self.all.get(&address).is_some_and(silent) && most_heard()
    }

    /// Siblings that get the next load notices.
    pub(crate) fn receivers(&mut self, most: usize) -> Vec<SocketAddrV4> {
        let count = self.all.len();
        let most = most.min(count);
        let chosen = self.all.keys().cycle().skip(self.turn).take(most);
        let chosen = chosen.copied().collect();
        self.turn = (self.turn + most) % count.max(1);
        chosen
    }

    /// Sibling that should get a new flow instead; counts the flow there until its next notice.
    pub(crate) fn better(
        &mut self,
        own: Load,
        centre: &DataCentre,
        ttl: Duration,
        now: Instant,
    ) -> Option<Candidate> {
        let mine = per_slot(own.open + 1, own.slots);
        for (near, surplus) in [(true, SURPLUS), (false, FAR_SURPLUS)] {
            let known = self.all.values_mut().filter_map(|sibling| {
                let (load, at) = sibling.load.as_mut()?;
                let counts =
                    sibling.takes_work && (sibling.centre == *centre) == near && now < *at + ttl;
                (counts && load.is_free()).then_some((sibling.candidate, load))
            });
            let open = |load: &Load| per_slot(load.open, load.slots);
            let lightest = known.min_by(|a, b| open(a.1).total_cmp(&open(b.1)));
            if let Some((candidate, load)) = lightest
                && mine > open(load) * surplus + MARGIN
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
