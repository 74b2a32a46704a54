//! Maglev lookup table: constant cost per packet, near-minimal disruption.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RankedMember;

/// Members up to which rendezvous hashing is used.
pub const RENDEZVOUS_MAX_MEMBERS: usize = 64;

/// Table sizes, primes. A size that followed the number of members would move nearly every flow with
/// each join, so a table only grows to the next step.
const SIZES: [usize; 3] = [65_537, 524_309, 4_194_319];

/// Table entries per member; with 100, a join moved 2.4 times the share of the new host.
const ENTRIES_PER_MEMBER: usize = 1000;

const EMPTY: u32 = u32::MAX;

/// Lookup table over the members of a service.
#[derive(Debug, Clone)]
pub struct Maglev {
    entries: Box<[u32]>,
}

struct Walk {
    next: usize,
    skip: usize,
    credit: u32,
}

impl Maglev {
    /// Table for at least one member.
    #[must_use]
    pub fn new(members: &[RankedMember]) -> Self {
        let size = table_size(members.len());
        let most = members
            .iter()
            .map(|member| u32::from(member.weight))
            .max()
            .unwrap_or(1);
        let mut walks: Vec<_> = members.iter().map(|member| walk(member, size)).collect();
        let mut entries = vec![EMPTY; size].into_boxed_slice();
        let mut filled = 0;
        while filled < size && !members.is_empty() {
            for (index, member) in members.iter().enumerate() {
                let walk = &mut walks[index];
                walk.credit += u32::from(member.weight);
                // A member with half the weight takes an entry in every second round.
                if walk.credit < most {
                    continue;
                }
                walk.credit -= most;
                entries[free_entry(&entries, walk)] = index as u32;
                filled += 1;
                if filled == size {
                    break;
                }
            }
        }
        Self { entries }
    }

    /// Index of the member for a hash.
    #[must_use]
    pub fn get(&self, hash: u64) -> usize {
        let at = (u128::from(hash) * self.entries.len() as u128) >> 64;
        self.entries[at as usize] as usize
    }

    /// Memory of the table in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entries.len() * size_of::<u32>()
    }
}

fn walk(member: &RankedMember, size: usize) -> Walk {
    let hash = |seed| xxh3_64_with_seed(&member.seed.to_le_bytes(), seed) as usize;
    Walk {
        next: hash(1) % size,
        skip: hash(2) % (size - 1) + 1,
        credit: 0,
    }
}

fn free_entry(entries: &[u32], walk: &mut Walk) -> usize {
    loop {
        let at = walk.next;
        walk.next = (walk.next + walk.skip) % entries.len();
        if entries[at] == EMPTY {
            return at;
        }
    }
}

fn table_size(members: usize) -> usize {
    let fits = |size: &&usize| **size >= members * ENTRIES_PER_MEMBER;
    *SIZES.iter().find(fits).unwrap_or(&SIZES[SIZES.len() - 1])
}
