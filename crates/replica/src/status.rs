//! What a replica reports about itself.

use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;
use units::ReplicaId;

/// Role of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Role {
    /// Receives the log but does not vote.
    #[default]
    #[display("learner")]
    Learner,
    /// Follows a leader and votes.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Decides the order of commands.
    #[display("leader")]
    Leader,
}

/// State of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Id; differs from the settings after a lost disk.
    pub id: ReplicaId,
    /// Role.
    pub role: Role,
    /// Leader if known.
    pub leader: Option<ReplicaId>,
    /// Address of the leader if known.
    pub leader_address: Option<SocketAddr>,
    /// Term.
    pub term: u64,
    /// Last committed index.
    pub commit_index: u64,
    /// Last applied index.
    pub applied_index: u64,
    /// The other members.
    pub peers: Vec<PeerStatus>,
    /// Why this replica can't write its files at the moment.
    pub storage_error: Option<Box<str>>,
}

/// Another member as this replica sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Id.
    pub id: ReplicaId,
    /// Address.
    pub address: SocketAddr,
    /// Whether it votes.
    pub voter: bool,
    /// Last index known to be on its disk; 0 unless this replica leads.
    pub match_index: u64,
    /// When the last message from it arrived.
    pub last_contact: Option<Instant>,
}
