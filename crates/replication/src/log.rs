//! Log in memory, from the last compaction on.

use std::collections::VecDeque;

use crate::Entry;

/// Log in memory.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Empty log after an entry.
    pub(crate) fn after(base: u64, base_term: u64) -> Self {
        Self {
            base,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Last index.
    pub(crate) fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of an entry; `None` if it is compacted or after the end.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entry at an index.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Appends the entry after the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries after an index.
    pub(crate) fn truncate(&mut self, last: u64) {
        let keep = usize::try_from(last.saturating_sub(self.base)).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
    }

    /// Drops the entries up to an index that is in the log.
    pub(crate) fn compact(&mut self, upto: u64) {
        if upto <= self.base {
            return;
        }
        let Some(term) = self.term(upto) else { return };
        let count = usize::try_from(upto - self.base).unwrap_or(usize::MAX);
        self.entries.drain(..count.min(self.entries.len()));
        (self.base, self.base_term) = (upto, term);
    }

    /// Entries from an index on, up to a size in bytes but at least one.
    pub(crate) fn slice(&self, from: u64, limit: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut out = Vec::new();
        let skip = usize::try_from(from.saturating_sub(self.base + 1)).unwrap_or(usize::MAX);
        for entry in self.entries.range(skip.min(self.entries.len())..) {
            size += entry.size();
            if size > limit && !out.is_empty() {
                break;
            }
            out.push(entry.clone());
        }
        out
    }
}
