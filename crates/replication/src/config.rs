//! Membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use units::ReplicaId;

/// What a member may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log only.
    Learner,
    /// Learner that the leader makes a voter once it has caught up, in place
    /// of the voter at the same address.
    Joining,
}

/// Member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address.
    pub address: SocketAddr,
    /// What it may do.
    pub kind: Kind,
}

/// Membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Members.
    pub members: BTreeMap<ReplicaId, Member>,
    /// Lowest id that was never used.
    pub next: u64,
}

impl Config {
    /// First membership of a group.
    #[must_use]
    pub fn new(voters: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        let kind = Kind::Voter;
        let members: BTreeMap<_, _> = voters
            .into_iter()
            .map(|(id, address)| (id, Member { address, kind }))
            .collect();
        let next = members.keys().next_back().map_or(1, |id| id.0 + 1);
        Self { members, next }
    }

    /// Whether a member votes.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|m| m.kind == Kind::Voter)
    }

    /// Ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        let voters = self.members.iter().filter(|(_, m)| m.kind == Kind::Voter);
        voters.map(|(id, _)| *id)
    }

    /// Whether the voters among `ids` are a majority.
    pub fn is_quorum(&self, has: impl Fn(ReplicaId) -> bool) -> bool {
        let total = self.voters().count();
        2 * self.voters().filter(|id| has(*id)).count() > total
    }

    /// Highest value that a majority of the voters has reached.
    pub fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable();
        match values.len() {
            0 => 0,
            n => values[(n - 1) / 2],
        }
    }
}
