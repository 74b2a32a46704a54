//! Defines the errors of a call.

use std::net::SocketAddr;

use thiserror::Error;

/// Error of a call to `path` at `peer`.
#[derive(Debug, Error)]
pub enum RpcError {
    /// No complete reply arrived within the time limit.
    #[error("{path} to {peer}: no answer within {limit_ms} ms")]
    Timeout {
        /// Path of the call.
        path: Box<str>,
        /// Address of the peer.
        peer: SocketAddr,
        /// Time limit in milliseconds.
        limit_ms: u64,
    },
    /// The reply began, but no further bytes of it arrived within the time limit.
    #[error("{path} to {peer}: no further bytes of the answer within {limit_ms} ms")]
    Stalled {
        /// Path of the call.
        path: Box<str>,
        /// Address of the peer.
        peer: SocketAddr,
        /// Time limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection could not be established, so the request was not delivered.
    #[error("{path} to {peer}: cannot connect: {source}")]
    Connect {
        /// Path of the call.
        path: Box<str>,
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection was lost; the request may have been delivered.
    #[error("{path} to {peer}: connection lost: {source}")]
    ConnectionLost {
        /// Path of the call.
        path: Box<str>,
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The peer replied with an error status.
    #[error("{path} to {peer}: status {status}: {message}")]
    Status {
        /// Path of the call.
        path: Box<str>,
        /// Address of the peer.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: Box<str>,
    },
    /// The request can't be encoded, or the reply has a wrong tag or can't be decoded.
    #[error("{path} to {peer}: invalid answer: {message}")]
    Invalid {
        /// Path of the call.
        path: Box<str>,
        /// Address of the peer.
        peer: SocketAddr,
        /// Description of the fault.
        message: Box<str>,
    },
}

impl RpcError {
    /// Whether it is certain that the peer did not receive the request.
    #[must_use]
    pub fn is_undelivered(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}
