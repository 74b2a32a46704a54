//! Errors that end a balancer or an agent.

use std::net::SocketAddrV4;

use thiserror::Error;

/// Why a balancer or an agent can't start.
#[derive(Debug, Error)]
pub enum OpaqueError {
    /// Settings.
    #[error(transparent)]
    Settings(#[from] jsonc::JsoncError),
    /// Socket.
    #[error(
        "cannot open the socket {address} for {purpose}: {source}; is another process using the port?"
    )]
    Bind {
        /// Address of the settings.
        address: SocketAddrV4,
        /// What comes in there.
        purpose: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}
