//! Set-associative cache of candidate lists with a fixed number of entries.
//!
//! The cache only avoids ranking the members for every packet: evicting an
//! entry never changes where a packet goes. An entry of a flow that has only
//! sent SYNs never evicts one of an established flow, so a SYN flood doesn't
//! evict open flows. If a set holds only established entries that are in use,
//! a new flow isn't cached and its candidates are ranked for each packet.

use std::ops::Deref;

/// Candidates per entry: two choices under the current table and one under each earlier one.
const MAX_CANDIDATES: usize = 6;

/// Entries per set.
const WAYS: usize = 8;

/// Packets after the SYN from which a flow counts as established.
const ESTABLISHED_PACKETS: u8 = 2;

/// Candidate list packed by [`Steering::pack`](crate::Steering::pack): indexes into the list of all
/// candidates of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PackedCandidates {
    indexes: [u16; MAX_CANDIDATES],
    len: u8,
}

impl PackedCandidates {
    /// Appends an index; does nothing if the list is full.
    pub fn push(&mut self, index: u16) {
        if let Some(entry) = self.indexes.get_mut(usize::from(self.len)) {
            *entry = index;
            self.len += 1;
        }
    }
}

impl Deref for PackedCandidates {
    type Target = [u16];

    fn deref(&self) -> &[u16] {
        &self.indexes[..usize::from(self.len)]
    }
}

/// Size and idle timeout of the cache.
#[derive(Debug, Clone, Copy)]
pub struct CacheSettings {
    /// Number of entries, rounded up to a power of two.
    pub entries: usize,
    /// Seconds without packets after which an established entry may be evicted.
    pub idle_s: u32,
}

impl Default for CacheSettings {
    fn default() -> Self {
        Self {
            entries: 1 << 19,
            idle_s: 120,
        }
    }
}

/// Number of hits, misses and rejected insertions of the cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Lookups that found an entry.
    pub hits: u64,
    /// Lookups that found none.
    pub misses: u64,
    /// Insertions rejected because every entry of the set is established and in use.
    pub rejected: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    hash: u64,
    /// 0 marks an unused entry.
    generation: u32,
    last_used_s: u32,
    candidates: PackedCandidates,
    /// Packets since the last SYN.
    packets: u8,
}

/// Cache keyed by flow hash and the generation of the service's steering.
#[derive(Debug)]
pub struct FlowCache {
    entries: Box<[Entry]>,
    idle_s: u32,
    stats: CacheStats,
}

impl FlowCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(settings: CacheSettings) -> Self {
        let entries = settings.entries.max(WAYS).next_power_of_two();
        Self {
            entries: vec![Entry::default(); entries].into_boxed_slice(),
            idle_s: settings.idle_s,
            stats: CacheStats::default(),
        }
    }

    /// Counters since the cache was created.
    #[must_use]
    pub fn stats(&self) -> CacheStats {
        self.stats
    }

    /// Memory used by the entries in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of_val(&*self.entries)
    }

    /// Returns the cached candidates of a flow. Generations start at 1; `is_syn` marks a SYN.
    pub fn get(
        &mut self,
        hash: u64,
        generation: u32,
        now_s: u32,
        is_syn: bool,
    ) -> Option<PackedCandidates> {
        let found = self
            .set(hash)
            .iter_mut()
            .find(|e| e.hash == hash && e.generation == generation);
        if let Some(entry) = found {
            entry.last_used_s = now_s;
            // A SYN resets the count, so repeated SYNs never establish an entry.
            entry.packets = if is_syn {
                0
            } else {
                entry.packets.saturating_add(1)
            };
            let candidates = entry.candidates;
            self.stats.hits += 1;
            return Some(candidates);
        }
        self.stats.misses += 1;
        None
    }

    /// Stores the candidates of a flow, if its set has an entry that may be evicted; `is_syn` marks a
    /// SYN.
    pub fn put(
        &mut self,
        hash: u64,
        generation: u32,
        now_s: u32,
        is_syn: bool,
        candidates: PackedCandidates,
    ) {
        let idle_s = self.idle_s;
        let set = self.set(hash);
        let same = set.iter().position(|e| e.hash == hash);
        let unused = || set.iter().position(|e| e.generation == 0);
        let idle = || {
            set.iter()
                .position(|e| now_s.saturating_sub(e.last_used_s) > idle_s)
        };
        let oldest_unestablished = || {
            let unestablished = set
                .iter()
                .enumerate()
                .filter(|(_, e)| e.packets < ESTABLISHED_PACKETS);
            unestablished
                .min_by_key(|(_, e)| e.last_used_s)
                .map(|(at, _)| at)
        };
        let position = same
            .or_else(unused)
            .or_else(idle)
            .or_else(oldest_unestablished);
        // The packet count is kept when a table change invalidates the entry, so that the flow still
        // counts as established.
        let previous = same.map_or(0, |at| set[at].packets);
        let packets = if is_syn {
            0
        } else {
            previous.saturating_add(1)
        };
        match position {
            Some(at) => {
                set[at] = Entry {
                    hash,
                    generation,
                    last_used_s: now_s,
                    candidates,
                    packets,
                }
            }
            None => self.stats.rejected += 1,
        }
    }

    fn set(&mut self, hash: u64) -> &mut [Entry] {
        let sets = self.entries.len() / WAYS;
        let at = (hash as usize & (sets - 1)) * WAYS;
        &mut self.entries[at..at + WAYS]
    }
}
