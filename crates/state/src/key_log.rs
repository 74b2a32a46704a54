//! Key sets of one service.

use std::collections::VecDeque;

use api::{KeyMember, KeySet};
use serde::{Deserialize, Serialize};
use units::Millis;

/// Key sets kept per service. A new one starts only after the horizon, which
/// moves every 10 s, so an hour (the longest key window) needs 360.
pub const MAX_SETS: usize = 512;

/// Fewest agents of a set under which an attempt can get the two grants that it needs.
const MIN_GRANTS: usize = 2;

/// Sets in order of start; `first` is the number of the oldest kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyLog {
    first: u64,
    sets: VecDeque<KeySet>,
}

impl KeyLog {
    pub(crate) fn last(&self) -> Option<&KeySet> {
        self.sets.back()
    }

    /// Number of sets ever.
    pub(crate) fn count(&self) -> u64 {
        self.first + self.sets.len() as u64
    }

    /// Adds a set; whether it was new.
    ///
    /// It starts after the horizon, because keys up to there may have been
    /// granted under the last set. No key can have been under a set that is
    /// absent or too small, so its place is taken at once.
    pub(crate) fn add(&mut self, horizon: Millis, members: &[KeyMember]) -> bool {
        let start = match self.last() {
            None => Millis(0),
            Some(last) if last.members == members => return false,
            Some(last) if last.members.len() < MIN_GRANTS => last.start,
            Some(last) => Millis(horizon.max(last.start).0 + 1),
        };
        self.sets.push_back(KeySet {
            start,
            members: members.to_vec(),
        });
        true
    }

    /// Forgets sets that were followed by another one before `before`.
    pub(crate) fn prune(&mut self, before: Millis) {
        while self.sets.len() > 1 && (self.sets.len() > MAX_SETS || self.sets[1].start <= before) {
            self.sets.pop_front();
            self.first += 1;
        }
    }

    /// Sets that a holder of `held` ones lacks, with the number of the first one.
    pub(crate) fn since(&self, held: u64) -> Option<(u64, Vec<KeySet>)> {
        if held >= self.count() {
            return None;
        }
        let from = held.max(self.first);
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        Some((from, self.sets.iter().skip(skip).cloned().collect()))
    }
}
