//! Errors of a call.

use std::net::SocketAddr;

use thiserror::Error;

/// A call that failed; `step` says where and `peer` with whom.
#[derive(Debug, Error)]
pub enum RpcError {
    /// No complete answer within the time limit.
    #[error("{step} to {peer}: no answer within {limit_ms} ms")]
    Timeout {
        /// Path of the call.
        step: Box<str>,
        /// Peer.
        peer: SocketAddr,
        /// Time limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection could not be made, so the request was not delivered.
    #[error("{step} to {peer}: cannot connect: {source}")]
    Connect {
        /// Path of the call.
        step: Box<str>,
        /// Peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection broke; the request may have been delivered.
    #[error("{step} to {peer}: connection lost: {source}")]
    Broken {
        /// Path of the call.
        step: Box<str>,
        /// Peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The peer answered with an error status.
    #[error("{step} to {peer}: status {status}: {message}")]
    Status {
        /// Path of the call.
        step: Box<str>,
        /// Peer.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Text of the peer.
        message: Box<str>,
    },
    /// The answer has a wrong tag or can't be decoded.
    #[error("{step} to {peer}: invalid answer: {message}")]
    Invalid {
        /// Path of the call.
        step: Box<str>,
        /// Peer.
        peer: SocketAddr,
        /// What is wrong.
        message: Box<str>,
    },
}

impl RpcError {
    /// Whether the peer surely did not see the request.
    #[must_use]
    pub fn is_undelivered(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}
