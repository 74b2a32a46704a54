//! Maglev consistent hashing: constant lookup cost, few flows moved by a change of members.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RankedMember;

/// Largest number of members for which rendezvous hashing is used instead of Maglev.
pub const RENDEZVOUS_MAX_MEMBERS: usize = 64;

/// Table sizes, all prime. A size proportional to the number of members would move nearly every flow
/// on each join, so a table only grows to the next of these sizes.
const TABLE_SIZES: [usize; 3] = [65_537, 524_309, 4_194_319];

/// Minimum number of table entries per member; with 100 entries, a join moved 2.4 times the new
/// host's share of flows.
const MIN_ENTRIES_PER_MEMBER: usize = 1000;

const EMPTY: u32 = u32::MAX;

/// Lookup table over the members of a service.
#[derive(Debug, Clone)]
pub struct Maglev {
    entries: Box<[u32]>,
}

/// Position of a member in its permutation of the table.
struct Permutation {
    next: usize,
    skip: usize,
    /// Weight accumulated over the rounds; an entry costs the maximum weight.
    credit: u32,
}

impl Maglev {
    /// Builds the table; `members` must not be empty.
    #[must_use]
    pub fn new(members: &[RankedMember]) -> Self {
        let size = table_size(members.len());
        let max_weight = members
            .iter()
            .map(|member| u32::from(member.weight))
            .max()
            .unwrap_or(1);
        let mut permutations: Vec<_> = members
            .iter()
            .map(|member| permutation(member, size))
            .collect();
        let mut entries = vec![EMPTY; size].into_boxed_slice();
        let mut filled = 0;
        while filled < size && !members.is_empty() {
            for (index, member) in members.iter().enumerate() {
                let permutation = &mut permutations[index];
                permutation.credit += u32::from(member.weight);
                // A member with half the maximum weight takes an entry every second round.
                if permutation.credit < max_weight {
                    continue;
                }
                permutation.credit -= max_weight;
                entries[free_entry(&entries, permutation)] = index as u32;
                filled += 1;
                if filled == size {
                    break;
                }
            }
        }
        Self { entries }
    }

    /// Returns the index of the member for a hash.
    #[must_use]
    pub fn get(&self, hash: u64) -> usize {
        let at = (u128::from(hash) * self.entries.len() as u128) >> 64;
        self.entries[at as usize] as usize
    }

    /// Memory used by the table in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entries.len() * size_of::<u32>()
    }
}

fn permutation(member: &RankedMember, size: usize) -> Permutation {
    let hash = |seed| xxh3_64_with_seed(&member.seed.to_le_bytes(), seed) as usize;
    Permutation {
        next: hash(1) % size,
        skip: hash(2) % (size - 1) + 1,
        credit: 0,
    }
}

fn free_entry(entries: &[u32], permutation: &mut Permutation) -> usize {
    loop {
        let at = permutation.next;
        permutation.next = (permutation.next + permutation.skip) % entries.len();
        if entries[at] == EMPTY {
            return at;
        }
    }
}

fn table_size(members: usize) -> usize {
    let fits = |size: &&usize| **size >= members * MIN_ENTRIES_PER_MEMBER;
    *TABLE_SIZES
        .iter()
        .find(fits)
        .unwrap_or(&TABLE_SIZES[TABLE_SIZES.len() - 1])
}
