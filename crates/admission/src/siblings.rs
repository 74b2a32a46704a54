//! Choice of a sibling agent for a request that has not started.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Age after which a reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// Load as reported by a sibling.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiblingLoad {
    /// Number of requests in progress.
    pub busy: u16,
    /// Current number of slots.
    pub slots: u16,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Whether it takes new requests.
    pub serving: bool,
}

impl SiblingLoad {
    fn free_slots(&self, sent: u16) -> u32 {
        let busy = u32::from(self.busy) + u32::from(sent) + self.waiting;
        u32::from(self.slots).saturating_sub(busy)
    }
}

#[derive(Debug, Clone, Default)]
struct Entry {
    load: SiblingLoad,
    /// Time of the last report; `None` before the first, or while unreachable.
    reported_at: Option<Instant>,
    /// Requests in progress that were sent since the last report.
    sent: u16,
}

impl Entry {
    fn is_free(&self, now: Instant) -> bool {
        let fresh = self
            .reported_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_LOAD_AGE);
        fresh && self.load.serving && self.load.free_slots(self.sent) > 0
    }
}

/// Siblings and their last reported loads.
#[derive(Debug, Clone, Default)]
pub struct Siblings {
    entries: BTreeMap<SocketAddrV4, Entry>,
}

impl Siblings {
    /// Replaces the list of siblings; keeps the loads of those that remain.
    pub fn set_members(&mut self, members: &[SocketAddrV4]) {
        self.entries.retain(|address, _| members.contains(address));
        for address in members {
            self.entries.entry(*address).or_default();
        }
    }

    /// Addresses of the siblings.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.entries.keys().copied()
    }

    /// Records a load report.
    pub fn update_load(&mut self, now: Instant, address: SocketAddrV4, load: SiblingLoad) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.load = load;
            entry.reported_at = Some(now);
            entry.sent = 0;
        }
    }

    /// Records an answer of a sibling, which frees a slot there.
    pub fn record_answer(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.sent = entry.sent.saturating_sub(1);
        }
    }

    /// Records that a sibling did not run a request: it counts as full until its next report.
    pub fn mark_full(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.sent = entry.load.slots;
        }
    }

    /// Records that a sibling could not be reached: it is not chosen until its next report.
    pub fn mark_unreachable(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.reported_at = None;
        }
    }

    /// Whether any sibling is known to have a free slot.
    #[must_use]
    pub fn has_free(&self, now: Instant) -> bool {
        self.entries.values().any(|entry| entry.is_free(now))
    }

    /// Chooses a sibling with a free slot by the power of two random choices.
    /// Counts the request as sent, since many are sent between two load reports.
    pub fn choose(
        &mut self,
        now: Instant,
        except: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Option<SocketAddrV4> {
        let free: Vec<(SocketAddrV4, u32)> = self
            .entries
            .iter()
            .filter(|(address, entry)| !except.contains(address) && entry.is_free(now))
            .map(|(address, entry)| (*address, entry.load.free_slots(entry.sent)))
            .collect();
        let pick = |rng: &mut _| -> Option<(SocketAddrV4, u32)> {
            let count = free.len();
            (count > 0).then(|| free[RngExt::random_range(rng, 0..count)])
        };
        let (first, second) = (pick(rng)?, pick(rng)?);
        let best = if second.1 > first.1 { second } else { first };
        if let Some(entry) = self.entries.get_mut(&best.0) {
            entry.sent = entry.sent.saturating_add(1);
        }
        Some(best.0)
    }
}
