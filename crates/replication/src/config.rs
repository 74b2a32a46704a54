//! Defines the membership of a group of replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use units::ReplicaId;

/// Whether a member votes, only receives the log, or waits for its promotion to a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberKind {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log only.
    Learner,
    /// Learner that the leader promotes once it has caught up; it replaces a voter
    /// at the same address.
    Joining,
}

/// Member of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Network address.
    pub address: SocketAddr,
    /// Whether it votes.
    pub kind: MemberKind,
}

/// Membership of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Members by id.
    pub members: BTreeMap<ReplicaId, Member>,
    /// Lowest id that was never assigned.
    #[serde(rename = "next")]
    pub next_id: u64,
}

impl Config {
    /// Initial membership of a group.
    #[must_use]
    pub fn new(voters: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        let kind = MemberKind::Voter;
        let members: BTreeMap<_, _> = voters
            .into_iter()
            .map(|(id, address)| (id, Member { address, kind }))
            .collect();
        let next_id = members.keys().next_back().map_or(1, |id| id.0 + 1);
        Self { members, next_id }
    }

    /// Whether a replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        let voters = self
            .members
            .iter()
            .filter(|(_, m)| m.kind == MemberKind::Voter);
        voters.map(|(id, _)| *id)
    }

    /// Whether the voters for which `contains` holds are a majority.
    pub fn is_quorum(&self, contains: impl Fn(ReplicaId) -> bool) -> bool {
        let total = self.voters().count();
        2 * self.voters().filter(|id| contains(*id)).count() > total
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
