//! Errors and exit codes.

use std::process::ExitCode;

use api::Conflict;
use profile::DeclarationError;
use thiserror::Error;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done = 0,
    /// Failure.
    Failure = 1,
    /// Usage or invalid declaration.
    Invalid = 2,
    /// Another operator was faster.
    Conflict = 3,
    /// Not in force yet, or differences found.
    Differs = 4,
    /// Control can't be reached.
    Unreachable = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line holds a value that can't be used.
    #[error("{0}")]
    Usage(Box<str>),
    /// The folder can't be used.
    #[error(transparent)]
    Declarations(#[from] DeclarationError),
    /// A file of the users' platform can't be used.
    #[error(transparent)]
    Platform(#[from] platform::check::CheckError),
    /// Control refused the request as invalid.
    #[error("control refused {step}: {message}")]
    Invalid {
        /// Request.
        step: Box<str>,
        /// Control's message.
        message: Box<str>,
    },
    /// The declaration has another version.
    #[error("{}", conflict(step, found))]
    Conflict {
        /// Request.
        step: Box<str>,
        /// What control found.
        found: Conflict,
    },
    /// Control failed the request.
    #[error("{step} failed with status {status}: {message}")]
    Failed {
        /// Request.
        step: Box<str>,
        /// HTTP status.
        status: u16,
        /// Control's message.
        message: Box<str>,
    },
    /// No replica answered; the request was not delivered.
    #[error("{step}: control is unreachable: {message}")]
    Unreachable {
        /// Request.
        step: Box<str>,
        /// Last error.
        message: Box<str>,
    },
    /// A change was sent, but its answer was lost.
    #[error(
        "{step}: outcome unknown, control may have accepted it: {message}; look at the current \
         declarations, or send it again with --key {key}"
    )]
    Unknown {
        /// Request.
        step: Box<str>,
        /// Last error.
        message: Box<str>,
        /// Operator key.
        key: Box<str>,
    },
    /// Anything of the own process.
    #[error("{0}")]
    Local(Box<str>),
}

fn conflict(step: &str, found: &Conflict) -> String {
    if found.current.0 == 0 {
        return format!(
            "{step}: conflict: you saw version {}, but it was retired by {}",
            found.expected, found.author
        );
    }
    format!(
        "{step}: conflict: you saw version {}, but {} made version {}; look at it and try again",
        found.expected, found.author, found.current
    )
}

impl CliError {
    /// Exit code.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Usage(_) | Self::Declarations(_) | Self::Platform(_) | Self::Invalid { .. } => {
                Code::Invalid
            }
            Self::Conflict { .. } => Code::Conflict,
            Self::Unreachable { .. } | Self::Unknown { .. } => Code::Unreachable,
            Self::Failed { .. } | Self::Local(_) => Code::Failure,
        }
    }
}
