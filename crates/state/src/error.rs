//! Errors of encoding and decoding.

use thiserror::Error;

/// Error of encoding or decoding.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateError {
    /// A command or snapshot can't be encoded.
    #[error("cannot encode: {0}")]
    Encode(Box<str>),
    /// Bytes of the log are not a command.
    #[error("not a command of the log: {0}")]
    Command(Box<str>),
    /// Bytes are not an outcome.
    #[error("not an outcome: {0}")]
    Outcome(Box<str>),
    /// Bytes are not a snapshot.
    #[error("not a snapshot of the state: {0}")]
    Snapshot(Box<str>),
    /// The snapshot has another format.
    #[error("the snapshot has format {found}; this program reads format {known}")]
    Format {
        /// Format of the snapshot.
        found: u8,
        /// Format that this program reads.
        known: u8,
    },
}
