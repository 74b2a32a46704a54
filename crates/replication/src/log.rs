//! Log entries in memory, starting after the last compaction.

use std::collections::VecDeque;

use crate::Entry;

/// Log in memory.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Index before the first entry in memory.
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Empty log that continues after the given entry.
    pub(crate) fn after(base_index: u64, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Index of the last entry.
    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of an entry; `None` if it is compacted or past the end.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entry at an index.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Appends an entry; its index must follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries after an index.
    pub(crate) fn truncate(&mut self, last_index: u64) {
        let len = last_index.saturating_sub(self.base_index);
        self.entries
            .truncate(usize::try_from(len).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to and including an index; does nothing if the index is
    /// not in the log.
    pub(crate) fn compact(&mut self, index: u64) {
        if index <= self.base_index {
            return;
        }
        let Some(term) = self.term(index) else {
            return;
        };
        let count = usize::try_from(index - self.base_index).unwrap_or(usize::MAX);
        self.entries.drain(..count.min(self.entries.len()));
        (self.base_index, self.base_term) = (index, term);
    }

    /// Entries from an index on, up to a size in bytes, but at least one if there is any.
    pub(crate) fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut out = Vec::new();
        let skip = from.saturating_sub(self.base_index + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        for entry in self.entries.range(skip.min(self.entries.len())..) {
            size += entry.size();
            if size > max_bytes && !out.is_empty() {
                break;
            }
            out.push(entry.clone());
        }
        out
    }
}
