//! Startup errors of a control replica.

use std::error::Error;
use std::net::SocketAddr;

use thiserror::Error;

/// Error that prevents a control replica from starting.
#[derive(Debug, Error)]
pub enum ControlError {
    /// Invalid settings.
    #[error(transparent)]
    Settings(#[from] jsonc::JsoncError),
    /// Unusable key file.
    #[error(transparent)]
    Key(#[from] rpc::KeyError),
    /// The metrics exporter can't start.
    #[error(transparent)]
    Metrics(#[from] startup::MetricsError),
    /// Signal handlers can't be installed.
    #[error(transparent)]
    Signals(#[from] startup::StopError),
    /// The async runtime can't start.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The data folder can't be written to.
    #[error("cannot write to the data folder {folder}: {source}")]
    Folder {
        /// Path of the data folder.
        folder: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// The HTTP server can't bind its address.
    #[error("cannot listen on {address}: {message}; is another process using the port?")]
    Listen {
        /// Listen address from the settings.
        address: SocketAddr,
        /// Cause.
        message: Box<str>,
    },
    /// The replica can't start.
    #[error(transparent)]
    Replica(#[from] replica::ReplicaError),
}

/// Formats an error and its causes on one line, without causes that the text already contains.
pub fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let cause_text = cause.to_string();
        if !text.contains(&cause_text) {
            text = format!("{text}: {cause_text}");
        }
        source = cause.source();
    }
    text.replace('\n', " ")
}
