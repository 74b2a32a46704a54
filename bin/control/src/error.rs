//! Errors that end a control replica.

use std::error::Error;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a control replica can't start.
#[derive(Debug, Error)]
pub enum ControlError {
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
    /// Data folder.
    #[error("cannot write to the data folder {folder}: {source}")]
    Folder {
        /// Folder.
        folder: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// Server.
    #[error("cannot listen on {address}: {message}; is another process using the port?")]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        message: Box<str>,
    },
    /// Replica.
    #[error(transparent)]
    Replica(#[from] replica::ReplicaError),
}

/// Error with its causes in one line; a cause that the text holds already is left out.
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
