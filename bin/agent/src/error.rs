//! Errors that end the agent.

use std::net::SocketAddr;

use thiserror::Error;

/// Why the agent can't start or go on.
#[derive(Debug, Error)]
pub enum AgentError {
    /// Settings.
    #[error(transparent)]
    Settings(#[from] jsonc::JsoncError),
    /// Key file.
    #[error(transparent)]
    Key(#[from] rpc::KeyError),
    /// Metrics.
    #[error(transparent)]
    Metrics(#[from] startup::MetricsError),
    /// Signals.
    #[error(transparent)]
    Signals(#[from] startup::StopError),
    /// Runtime.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// Packet socket.
    #[error(
        "cannot open the packet socket {address}: {source}; is another process using the port?"
    )]
    Bind {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// HTTP interface.
    #[error("cannot open the HTTP interface {address}: {message}")]
    Http {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        message: Box<str>,
    },
}
