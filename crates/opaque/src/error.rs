//! Errors at the start of a balancer or an agent.

use std::net::SocketAddrV4;

use thiserror::Error;

/// Error that prevents a balancer or an agent from starting.
#[derive(Debug, Error)]
pub enum OpaqueError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] jsonc::JsoncError),
    /// A socket can't be opened.
    #[error(
        "cannot open the socket {address} for {purpose}: {source}; is another process using the port?"
    )]
    Bind {
        /// Address from the settings.
        address: SocketAddrV4,
        /// What the socket receives.
        purpose: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}
