//! Choice of a sibling agent for a request that has not begun.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Age after which a load tells nothing.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Load of a sibling as it told itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sibling {
    /// Requests in progress.
    pub busy: u16,
    /// Slots.
    pub slots: u16,
    /// Requests waiting.
    pub waiting: u32,
    /// Takes new work.
    pub serving: bool,
}

impl Sibling {
    fn free(&self, sent: u16) -> u32 {
        let busy = u32::from(self.busy) + u32::from(sent) + self.waiting;
        u32::from(self.slots).saturating_sub(busy)
    }
}

#[derive(Debug, Clone, Default)]
struct Known {
    load: Sibling,
    seen: Option<Instant>,
    sent: u16,
}

impl Known {
    fn is_free(&self, now: Instant) -> bool {
        let fresh = self
            .seen
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_AGE);
        fresh && self.load.serving && self.load.free(self.sent) > 0
    }
}

/// Siblings with their last known loads.
#[derive(Debug, Clone, Default)]
pub struct Siblings {
    known: BTreeMap<SocketAddrV4, Known>,
}

impl Siblings {
    /// Replaces the list; loads of siblings that stay are kept.
    pub fn set(&mut self, members: &[SocketAddrV4]) {
        self.known.retain(|address, _| members.contains(address));
        for address in members {
            self.known.entry(*address).or_default();
        }
    }

    /// Siblings.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.known.keys().copied()
    }

    /// Takes the load that a sibling told.
    pub fn observe(&mut self, now: Instant, address: SocketAddrV4, load: Sibling) {
        if let Some(known) = self.known.get_mut(&address) {
            known.load = load;
            known.seen = Some(now);
            known.sent = 0;
        }
    }

    /// A request sent there was answered, so that its slot is free again.
    pub fn answered(&mut self, address: SocketAddrV4) {
        if let Some(known) = self.known.get_mut(&address) {
            known.sent = known.sent.saturating_sub(1);
        }
    }

    /// A sibling did not run a request: it has no free slot until it tells a load again.
    pub fn declined(&mut self, address: SocketAddrV4) {
        if let Some(known) = self.known.get_mut(&address) {
            known.sent = known.load.slots;
        }
    }

    /// A sibling that could not be reached is not chosen until it tells a load again.
    pub fn failed(&mut self, address: SocketAddrV4) {
        if let Some(known) = self.known.get_mut(&address) {
            known.seen = None;
        }
    }

    /// Whether any sibling is known to have a free slot.
    #[must_use]
    pub fn has_free(&self, now: Instant) -> bool {
        self.known.values().any(|known| known.is_free(now))
    }

    /// The better of two random siblings with a free slot; counts the request
    /// against it, since many requests are sent between two reports of load.
    pub fn choose(
        &mut self,
        now: Instant,
        except: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Option<SocketAddrV4> {
        let free: Vec<(SocketAddrV4, u32)> = self
            .known
            .iter()
            .filter(|(address, known)| !except.contains(address) && known.is_free(now))
            .map(|(address, known)| (*address, known.load.free(known.sent)))
            .collect();
        let pick = |rng: &mut _| -> Option<(SocketAddrV4, u32)> {
            let count = free.len();
            (count > 0).then(|| free[RngExt::random_range(rng, 0..count)])
        };
        let (first, second) = (pick(rng)?, pick(rng)?);
        let best = if second.1 > first.1 { second } else { first };
        if let Some(known) = self.known.get_mut(&best.0) {
            known.sent = known.sent.saturating_add(1);
        }
        Some(best.0)
    }
}
