//! Errors of a replica.

use std::net::SocketAddr;

use thiserror::Error;

/// A replica can't start or can't handle a message.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The data folder can't be opened.
    #[error("cannot open the replica's files: {0}")]
    Storage(#[from] storage::StorageError),
    /// The state machine rejected the snapshot.
    #[error("cannot restore the snapshot at index {index}: {message}")]
    Restore {
        /// Last index that the snapshot covers.
        index: u64,
        /// Error message of the state machine.
        message: Box<str>,
    },
    /// The message can't be decoded.
    #[error("invalid replication message: {message}")]
    Message {
        /// Description of the error.
        message: Box<str>,
    },
    /// The queue of received messages is full; the sender sends them again.
    #[error("too many replication messages are waiting")]
    Busy,
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
    /// A setting is invalid.
    #[error("invalid replica setting {name}: {message}")]
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// Rule that the value violates.
        message: Box<str>,
    },
}

/// A proposal, leadership confirmation or membership change was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This replica is not the leader. The request was definitely not accepted.
    #[error("this replica is not the leader{}", leader.map(|l| format!(", {l} is")).unwrap_or_default())]
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The outcome is unknown; the command may still be committed.
    #[error("outcome unknown: {reason}")]
    Unknown {
        /// Why the outcome is unknown.
        reason: Box<str>,
    },
    /// The request was definitely not accepted.
    #[error("refused: {reason}")]
    Refused {
        /// Why it was refused, and the remedy if there is one.
        reason: Box<str>,
    },
}
