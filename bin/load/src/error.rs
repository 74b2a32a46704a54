//! Errors of the program.

use std::net::SocketAddr;

use thiserror::Error;

/// What a subcommand can fail with.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A slope can't be measured.
    #[error("cannot measure the capacity: {0}")]
    Capacity(Box<str>),
    /// Settings or declarations that can't be used.
    #[error("{source}")]
    Settings {
        /// Cause.
        #[from]
        source: jsonc::JsoncError,
    },
    /// A value of the command line or of standard input that can't be used.
    #[error("{what}: {message}")]
    Usage {
        /// Option or line.
        what: Box<str>,
        /// What is wrong.
        message: Box<str>,
    },
    /// An operating system call.
    #[error("{step}: {source}")]
    Io {
        /// Step.
        step: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// A call to a backend server's own paths.
    #[error("{step} from {peer}: {message}")]
    Fetch {
        /// Path.
        step: Box<str>,
        /// Backend server.
        peer: SocketAddr,
        /// Cause.
        message: Box<str>,
    },
    /// A plot that can't be drawn.
    #[error("cannot draw {file}: {message}")]
    Plot {
        /// File.
        file: Box<str>,
        /// Cause.
        message: Box<str>,
    },
}

impl LoadError {
    /// Wraps an error of the operating system.
    pub fn io(step: impl Into<Box<str>>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }
}
