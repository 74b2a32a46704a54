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
    /// Log index at which each set was added.
    added: VecDeque<u64>,
}

impl KeyLog {
    pub(crate) fn last(&self) -> Option<&KeySet> {
        self.sets.back()
    }

    /// Adds a set; whether it was new.
    ///
    /// It starts after the horizon, because keys up to there may have been
    /// granted under the last set. No key can have been under a set that is
    /// absent or too small, so its place is taken at once.
    pub(crate) fn add(&mut self, horizon: Millis, index: u64, members: &[KeyMember]) -> bool {
        let start = match self.last() {
            None => Millis(0),
            Some(last) if last.members == members => return false,
            Some(last) if last.members.len() < MIN_GRANTS => last.start,
            Some(last) => Millis(horizon.max(last.start).0 + 1),
        };
        self.added.push_back(index);
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
            self.added.pop_front();
            self.first += 1;
        }
    }

    /// Sets added after a log index, with the number of the first one.
    pub(crate) fn since(&self, index: u64) -> Option<(u64, Vec<KeySet>)> {
        let skip = self
            .added
            .iter()
            .take_while(|added| **added <= index)
            .count();
        let sets: Vec<_> = self.sets.iter().skip(skip).cloned().collect();
        (!sets.is_empty()).then(|| (self.first + skip as u64, sets))
    }
}
