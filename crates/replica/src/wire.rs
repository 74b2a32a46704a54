//! Messages between replicas as they are sent.

use std::net::SocketAddr;

use replication::Message;
use serde::{Deserialize, Serialize};
use units::ReplicaId;

use crate::Peer;

/// Request to a replica.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Wire {
    /// Messages of the log.
    Batch {
        /// Sender.
        from: Peer,
        /// Receiver; another id at the same address has lost its disk and must not answer.
        to: ReplicaId,
        /// Messages.
        messages: Vec<Message>,
    },
    /// Question of a replica without files.
    Probe,
    /// Request for a new id.
    Join {
        /// Address of the replica that asks.
        address: SocketAddr,
        /// It keeps nothing, so it must not vote.
        observer: bool,
    },
}

/// Answer to a request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The messages were taken.
    Taken,
    /// Answer to a question.
    State(Standing),
    /// The sender is a learner under this id.
    Joined {
        /// New id.
        id: ReplicaId,
    },
    /// Another replica leads, or none.
    NotLeader {
        /// Address of the leader if known.
        leader: Option<SocketAddr>,
    },
    /// Try again later.
    Later,
}

/// How far a replica is with forming a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Standing {
    /// Term; above 1 once a leader was or may have been elected.
    pub(crate) term: u64,
    /// Whether it has files.
    pub(crate) formed: bool,
    /// Whether it has seen that all have files.
    pub(crate) ready: bool,
    /// It keeps nothing, so the group forms without it.
    pub(crate) observer: bool,
    /// First membership from its settings, by id.
    pub(crate) peers: Vec<Peer>,
}
