//! Errors that terminate the agent.

use std::net::SocketAddr;

use thiserror::Error;

/// Why the agent can't start or continue.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] jsonc::JsoncError),
    /// The key file is missing or invalid.
    #[error(transparent)]
    Key(#[from] rpc::KeyError),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] startup::MetricsError),
    /// The signal handlers can't be installed.
    #[error(transparent)]
    Signals(#[from] startup::StopError),
    /// The async runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The packet socket can't be bound.
    #[error(
        "cannot open the packet socket {address}: {source}; is another process using the port?"
    )]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP interface can't be started.
    #[error("cannot open the HTTP interface {address}: {message}")]
    Http {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the HTTP server.
        message: Box<str>,
    },
}
