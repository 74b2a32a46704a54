//! Bounded cache of candidate lists.
//!
//! The cache saves the ranking and nothing else: dropping an entry never
//! changes where a packet goes. It is set-associative with a fixed number of
//! entries. An entry of a flow that has only sent a SYN never evicts an
//! established one, so that a flood of new flows leaves the entries of open
//! flows alone; when a set is full of established entries that are in use, the
//! new flow is ranked anew for each packet.

use std::ops::Deref;

/// Candidates of an entry: two choices under the current table and one under each earlier one.
const MAX_LIST: usize = 6;

/// Entries per set.
const WAYS: usize = 8;

/// Packets after the SYN from which a flow counts as established.
const ESTABLISHED: u8 = 2;

/// Indexes into the palette of a steering.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PackedCandidates {
    list: [u16; MAX_LIST],
    len: u8,
}

impl PackedCandidates {
    /// Appends an index; a full slot stays as it is.
    pub fn push(&mut self, index: u16) {
        if let Some(place) = self.list.get_mut(usize::from(self.len)) {
            *place = index;
            self.len += 1;
        }
    }
}

impl Deref for PackedCandidates {
    type Target = [u16];

    fn deref(&self) -> &[u16] {
        &self.list[..usize::from(self.len)]
    }
}

/// Size and lifetime of the cache.
#[derive(Debug, Clone, Copy)]
pub struct CacheSettings {
    /// Entries, rounded up to a power of two.
    pub entries: usize,
    /// Time without packets in s after which an established entry may be replaced.
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

/// What happened at the cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Found.
    pub hits: u64,
    /// Not found.
    pub misses: u64,
    /// Not stored since every entry of the set is established and in use.
    pub refused: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    hash: u64,
    generation: u32,
    used_s: u32,
    slot: PackedCandidates,
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
    /// Empty cache.
    #[must_use]
    pub fn new(settings: CacheSettings) -> Self {
        let entries = settings.entries.max(WAYS).next_power_of_two();
        Self {
            entries: vec![Entry::default(); entries].into_boxed_slice(),
            idle_s: settings.idle_s,
            stats: CacheStats::default(),
        }
    }

    /// Counts since the start.
    #[must_use]
    pub fn stats(&self) -> CacheStats {
        self.stats
    }

    /// Memory of the entries in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of_val(&*self.entries)
    }

    /// Candidates of a flow under a generation, which starts at 1; `opens` marks a SYN.
    pub fn get(
        &mut self,
        hash: u64,
        generation: u32,
        now_s: u32,
        opens: bool,
    ) -> Option<PackedCandidates> {
        let found = self
            .set(hash)
            .iter_mut()
            .find(|e| e.hash == hash && e.generation == generation);
        if let Some(entry) = found {
            entry.used_s = now_s;
            // A SYN starts the count again, so that repeated SYNs never establish an entry.
            entry.packets = if opens {
                0
            } else {
                entry.packets.saturating_add(1)
            };
            let slot = entry.slot;
            self.stats.hits += 1;
            return Some(slot);
        }
        self.stats.misses += 1;
        None
    }

    /// Stores the candidates of a flow; `opens` marks a SYN.
    pub fn put(
        &mut self,
        hash: u64,
        generation: u32,
        now_s: u32,
        opens: bool,
        slot: PackedCandidates,
    ) {
        let idle_s = self.idle_s;
        let set = self.set(hash);
        let same = set.iter().position(|e| e.hash == hash);
        let stale = || set.iter().position(|e| e.generation == 0);
        let idle = || {
            set.iter()
                .position(|e| now_s.saturating_sub(e.used_s) > idle_s)
        };
        let opening = || {
            let candidates = set
                .iter()
                .enumerate()
                .filter(|(_, e)| e.packets < ESTABLISHED);
            candidates.min_by_key(|(_, e)| e.used_s).map(|(at, _)| at)
        };
        let place = same.or_else(stale).or_else(idle).or_else(opening);
        // After a table change an established flow keeps its rank among the entries of its set.
        let before = same.map_or(0, |at| set[at].packets);
        let packets = if opens { 0 } else { before.saturating_add(1) };
        match place {
            Some(at) => {
                set[at] = Entry {
                    hash,
                    generation,
                    used_s: now_s,
                    slot,
                    packets,
                }
            }
            None => self.stats.refused += 1,
        }
    }

    fn set(&mut self, hash: u64) -> &mut [Entry] {
        let sets = self.entries.len() / WAYS;
        let at = (hash as usize & (sets - 1)) * WAYS;
        &mut self.entries[at..at + WAYS]
    }
}
