//! Key sets of one service, in order of start.

use std::collections::VecDeque;

use api::{KeyMember, KeySet};
use serde::{Deserialize, Serialize};
use units::Millis;

/// Maximum number of key sets kept per service. A new set starts only after the horizon, which
/// advances every 10 s, so the longest key window of one hour needs 360.
pub const MAX_KEY_SETS: usize = 512;

/// Minimum number of agents of a usable set: an attempt needs two grants.
const MIN_GRANTING_AGENTS: usize = 2;

/// Key sets; `first` is the number of the oldest one that is kept.
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

    /// Adds a set; returns whether it differs from the last one.
    ///
    /// The set starts after the horizon, because keys up to the horizon may have been granted under
    /// the last set. A missing or too small set can't have granted any key, so the new set replaces
    /// it from its start.
    pub(crate) fn add(&mut self, horizon: Millis, index: u64, members: &[KeyMember]) -> bool {
        let start = match self.last() {
            None => Millis(0),
            Some(last) if last.members == members => return false,
            Some(last) if last.members.len() < MIN_GRANTING_AGENTS => last.start,
            Some(last) => Millis(horizon.max(last.start).0 + 1),
        };
        self.added.push_back(index);
        self.sets.push_back(KeySet {
            start,
            members: members.to_vec(),
        });
        true
    }

    /// Removes sets whose successor started at or before `before`.
    pub(crate) fn prune(&mut self, before: Millis) {
        while self.sets.len() > 1
            && (self.sets.len() > MAX_KEY_SETS || self.sets[1].start <= before)
        {
            self.sets.pop_front();
            self.added.pop_front();
            self.first += 1;
        }
    }

    /// Sets added after a log index, with the number of the first one.
    pub(crate) fn added_since(&self, index: u64) -> Option<(u64, Vec<KeySet>)> {
        let skip = self
            .added
            .iter()
            .take_while(|added| **added <= index)
            .count();
        let sets: Vec<_> = self.sets.iter().skip(skip).cloned().collect();
        (!sets.is_empty()).then(|| (self.first + skip as u64, sets))
    }
}
