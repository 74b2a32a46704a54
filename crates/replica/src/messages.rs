//! Requests and replies between replicas.

use std::net::SocketAddr;

use replication::Message;
use serde::{Deserialize, Serialize};
use units::ReplicaId;

use crate::Peer;

/// Request to another replica.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Messages of the replication algorithm.
    Batch {
        /// Sender.
        from: Peer,
        /// Receiver. A replica with another id at this address has lost its disk and must
        /// not handle the messages.
        to: ReplicaId,
        /// Messages.
        messages: Vec<Message>,
    },
    /// Request for the [`FormationStatus`], sent by a replica that does not take part yet.
    Probe,
    /// Request to join the group under a new id.
    Join {
        /// Address of the joining replica.
        address: SocketAddr,
        /// The replica stores no files, so it must not vote.
        observer: bool,
    },
}

/// Reply to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// The messages were queued.
    Taken,
    /// Reply to a probe.
    State(FormationStatus),
    /// The joining replica is now a learner.
    Joined {
        /// Its new id.
        id: ReplicaId,
    },
    /// The receiver is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The request can't be handled now; try again later.
    Later,
}

/// Progress of a replica in forming a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FormationStatus {
    /// Term; above 1 if a leader was or may have been elected.
    pub(crate) term: u64,
    /// Whether the replica has stored the initial membership.
    pub(crate) formed: bool,
    /// Whether the replica knows that all replicas have stored it.
    pub(crate) ready: bool,
    /// The replica stores no files, so the group forms without it.
    pub(crate) observer: bool,
    /// Initial membership from its settings, sorted by id.
    pub(crate) peers: Vec<Peer>,
}
