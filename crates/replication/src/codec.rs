//! Encoding of messages and of log payloads, in MessagePack.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Command, Payload};

/// Bytes that can't be decoded.
#[derive(Debug, Error)]
#[error("invalid {what}: {message}")]
pub struct CodecError {
    what: &'static str,
    message: Box<str>,
}

/// Encodes a value.
///
/// # Errors
/// When the value can't be represented.
pub fn encode<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(value).map_err(|e| CodecError {
        what,
        message: e.to_string().into(),
    })
}

/// Decodes a value.
///
/// # Errors
/// When the bytes are not exactly one value of the type.
pub fn decode<T: DeserializeOwned>(what: &'static str, raw: &[u8]) -> Result<T, CodecError> {
    let error = |message: String| CodecError {
        what,
        message: message.into(),
    };
    let mut rest = raw;
    let value = rmp_serde::from_read(&mut rest).map_err(|e| error(e.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(error(format!("{} bytes too many", rest.len())))
    }
}

/// Kinds of payloads in log records.
const EMPTY: u8 = 0;
const COMMAND: u8 = 1;
const CONFIG: u8 = 2;

impl Payload {
    /// Kind and bytes for a log record.
    ///
    /// # Errors
    /// When a membership can't be represented.
    pub fn to_record(&self) -> Result<(u8, Command), CodecError> {
        Ok(match self {
            Self::Empty => (EMPTY, Vec::new().into()),
            Self::Command(command) => (COMMAND, command.clone()),
            Self::Config(config) => (CONFIG, encode("membership", config)?.into()),
        })
    }

    /// Payload of a log record.
    ///
    /// # Errors
    /// When the kind is unknown or a membership can't be decoded.
    pub fn from_record(kind: u8, bytes: Vec<u8>) -> Result<Self, CodecError> {
        match kind {
            EMPTY if bytes.is_empty() => Ok(Self::Empty),
            COMMAND => Ok(Self::Command(bytes.into())),
            CONFIG => Ok(Self::Config(decode("membership", &bytes)?)),
            _ => Err(CodecError {
                what: "log record",
                message: format!("unknown kind {kind}").into(),
            }),
        }
    }
}
