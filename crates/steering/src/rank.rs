//! Ranking of the members of one table.
//!
//! Weighted rendezvous hashing computes one hash per member and packet, moves
//! only the flows of the member that joined or left, and needs no memory beyond
//! the member list. Above [`RENDEZVOUS_MAX_MEMBERS`] members a Maglev table is
//! used, whose lookup cost doesn't depend on the number of members.

use api::{Member, Table};
use units::{Epoch, ServiceId};
use wire::Candidate;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Maglev, RENDEZVOUS_MAX_MEMBERS};

/// Hash increment between the Maglev lookups for a second choice.
const SECOND_CHOICE_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Maglev lookups to find a second choice that differs from the first.
const SECOND_CHOICE_ATTEMPTS: u64 = 8;

/// A member with its inputs to the ranking.
#[derive(Debug, Clone, Copy)]
pub struct RankedMember {
    /// Address and incarnation of its agent.
    pub candidate: Candidate,
    /// Hash of its host name; without the incarnation, so that a restart doesn't move its flows.
    pub seed: u64,
    /// Weight, at least 1.
    pub weight: u16,
}

/// Ranks the members of one table that take new flows.
#[derive(Debug, Clone)]
pub struct Ranker {
    /// Service that the table lists the members of.
    pub service: ServiceId,
    /// Version of the table.
    pub epoch: Epoch,
    members: Box<[RankedMember]>,
    maglev: Option<Maglev>,
}

impl Ranker {
    /// Creates a ranker of all members of a table.
    #[must_use]
    pub fn new(table: &Table) -> Self {
        Self::from_members(table, &table.members)
    }

    /// Creates a ranker of some members of a table.
    #[must_use]
    pub fn from_members<'a>(table: &Table, members: impl IntoIterator<Item = &'a Member>) -> Self {
        let members: Box<[RankedMember]> = members.into_iter().filter_map(ranked).collect();
        let maglev = (members.len() > RENDEZVOUS_MAX_MEMBERS).then(|| Maglev::new(&members));
        Self {
            service: table.service,
            epoch: table.epoch,
            members,
            maglev,
        }
    }

    /// Ranked members in the order of the table.
    #[must_use]
    pub fn members(&self) -> &[RankedMember] {
        &self.members
    }

    /// Index of the first choice for a flow hash.
    #[must_use]
    pub fn first(&self, hash: u64) -> Option<usize> {
        match &self.maglev {
            Some(maglev) => Some(maglev.get(hash)),
            None => self.top_two(hash).0,
        }
    }

    /// Indexes of the first and the second choice for a flow hash.
    #[must_use]
    pub fn choices(&self, hash: u64) -> (Option<usize>, Option<usize>) {
        let Some(maglev) = &self.maglev else {
            return self.top_two(hash);
        };
        let first = maglev.get(hash);
        let second = (1..=SECOND_CHOICE_ATTEMPTS)
            .map(|attempt| maglev.get(hash.wrapping_add(SECOND_CHOICE_STEP.wrapping_mul(attempt))))
            .find(|second| *second != first);
        (Some(first), second)
    }

    /// The `N` best members for a flow hash, best first; at most two above [`RENDEZVOUS_MAX_MEMBERS`].
    pub fn top<const N: usize>(&self, hash: u64) -> impl Iterator<Item = Candidate> {
        let mut best: [Option<(f64, usize)>; N] = [None; N];
        if self.maglev.is_some() {
            let (first, second) = self.choices(hash);
            let choices = [first, second].into_iter().flatten();
            for (entry, index) in best.iter_mut().zip(choices) {
                *entry = Some((0.0, index));
            }
        } else {
            for (index, member) in self.members.iter().enumerate() {
                insert_sorted(&mut best, (cost(hash, member), index));
            }
        }
        let members = &self.members;
        best.into_iter()
            .flatten()
            .map(move |(_, index)| members[index].candidate)
    }

    fn top_two(&self, hash: u64) -> (Option<usize>, Option<usize>) {
        let mut first = (f64::INFINITY, None);
        let mut second = first;
        for (index, member) in self.members.iter().enumerate() {
            let cost = cost(hash, member);
            if cost < first.0 {
                second = first;
                first = (cost, Some(index));
            } else if cost < second.0 {
                second = (cost, Some(index));
            }
        }
        (first.1, second.1)
    }
}

fn ranked(member: &Member) -> Option<RankedMember> {
    (member.state.takes_work() && member.weight.0 > 0).then(|| RankedMember {
        candidate: Candidate {
            address: member.packets,
            incarnation: member.incarnation,
        },
        seed: xxh3_64(member.host.as_str().as_bytes()),
        weight: member.weight.0,
    })
}

/// Inserts an entry into an ascending list, dropping the largest entry if the list is full.
fn insert_sorted<const N: usize>(best: &mut [Option<(f64, usize)>; N], entry: (f64, usize)) {
    let mut entry = Some(entry);
    for current in best {
        let smaller = match (&entry, &*current) {
            (Some((new, _)), Some((old, _))) => new < old,
            (Some(_), None) => true,
            (None, _) => return,
        };
        if smaller {
            std::mem::swap(current, &mut entry);
        }
    }
}

/// Rendezvous cost of a member for a flow hash; the member with the lowest cost is the first choice.
///
/// Costs are exponentially distributed with the weight as the rate, so the probability that a member
/// has the lowest cost is proportional to its weight.
fn cost(hash: u64, member: &RankedMember) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), member.seed);
    // 53 bits fill the mantissa of an `f64`; adding 0.5 keeps the logarithm finite.
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(member.weight)
}
