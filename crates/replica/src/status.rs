//! Status of a replica.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use units::ReplicaId;

/// Role of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Role {
    /// Receives the log but does not vote.
    #[default]
    #[display("learner")]
    Learner,
    /// Receives the log and votes.
    #[display("follower")]
    Follower,
    /// Requests votes.
    #[display("candidate")]
    Candidate,
    /// Orders the commands and replicates the log.
    #[display("leader")]
    Leader,
}

/// Status of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Replica id; differs from the settings after the disk was lost or the group removed
    /// the replica.
    pub id: ReplicaId,
    /// Role in the group.
    pub role: Role,
    /// Id of the leader, if known.
    pub leader: Option<ReplicaId>,
    /// Address of the leader, if known.
    pub leader_address: Option<SocketAddr>,
    /// Current term.
    pub term: u64,
    /// Last committed index.
    pub commit_index: u64,
    /// Last applied index.
    pub applied_index: u64,
    /// Other members of the group.
    pub peers: Vec<PeerStatus>,
    /// Error while this replica can't write its files.
    pub storage_error: Option<Box<str>>,
}

impl ReplicaStatus {
    /// Whether the replica leads, or heard the leader within `limit`.
    #[must_use]
    pub fn hears_leader(&self, now: Instant, limit: Duration) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        let leader = self.peers.iter().find(|peer| Some(peer.id) == self.leader);
        let last_contact = leader.and_then(|peer| peer.last_contact);
        last_contact.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Whether the replica leads, or hears the leader and holds entries. One that has applied
    /// nothing may have lost its disk, and doesn't know yet what the group holds.
    #[must_use]
    pub fn is_current(&self, now: Instant, limit: Duration) -> bool {
        let has_state = self.role == Role::Leader || self.applied_index > 0;
        has_state && self.hears_leader(now, limit)
    }
}

/// Status of another member, as known to this replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Replica id.
    pub id: ReplicaId,
    /// Address that serves `/v1/replicate`.
    pub address: SocketAddr,
    /// Whether the member votes.
    pub voter: bool,
    /// Last index known to be on the member's disk; 0 unless this replica is the leader.
    pub match_index: u64,
    /// When the last message from it arrived.
    pub last_contact: Option<Instant>,
}
