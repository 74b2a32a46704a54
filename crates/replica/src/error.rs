//! Errors of a replica.

use std::net::SocketAddr;

use thiserror::Error;

/// A replica that can't start or a message that can't be handled.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The files can't be used.
    #[error("cannot open the replica's files: {0}")]
    Storage(#[from] storage::StorageError),
    /// The state machine rejected the snapshot.
    #[error("cannot restore the snapshot at index {index}: {message}")]
    Restore {
        /// Last index that the snapshot covers.
        index: u64,
        /// Cause given by the state machine.
        message: Box<str>,
    },
    /// The message can't be decoded.
    #[error("invalid replication message: {message}")]
    Message {
        /// What is wrong.
        message: Box<str>,
    },
    /// The queue of received messages is full; the sender repeats them.
    #[error("too many replication messages are waiting")]
    Busy,
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
    /// A setting is invalid.
    #[error("invalid replica setting {name}: {message}")]
    Setting {
        /// Setting.
        name: &'static str,
        /// What is wrong and what would be valid.
        message: Box<str>,
    },
}

/// A proposal, read or membership change that was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another replica leads, or none; surely not accepted.
    #[error("this replica is not the leader{}", leader.map(|l| format!(", {l} is")).unwrap_or_default())]
    NotLeader {
        /// Address of the leader if known.
        leader: Option<SocketAddr>,
    },
    /// The outcome is unknown; the command may still be committed.
    #[error("outcome unknown: {reason}")]
    Unknown {
        /// Why.
        reason: Box<str>,
    },
    /// Surely not accepted.
    #[error("refused: {reason}")]
    Refused {
        /// Why, and the remedy where there is one.
        reason: Box<str>,
    },
}
