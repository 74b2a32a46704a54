//! MessagePack encoding of messages and log payloads.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Command, Payload};

/// A value can't be encoded, or bytes can't be decoded.
#[derive(Debug, Error)]
#[error("invalid {what}: {message}")]
pub struct CodecError {
    what: &'static str,
    message: Box<str>,
}

/// Encodes a value; `what` names it in errors.
///
/// # Errors
/// When MessagePack can't represent the value.
pub fn encode<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(value).map_err(|e| CodecError {
        what,
        message: e.to_string().into(),
    })
}

/// Decodes a value; `what` names it in errors.
///
/// # Errors
/// When the bytes are not exactly one encoded value of the type.
pub fn decode<T: DeserializeOwned>(what: &'static str, raw: &[u8]) -> Result<T, CodecError> {
    let error = |message: String| CodecError {
        what,
        message: message.into(),
    };
    let mut remaining = raw;
    let value = rmp_serde::from_read(&mut remaining).map_err(|e| error(e.to_string()))?;
    if remaining.is_empty() {
        Ok(value)
    } else {
        Err(error(format!("{} trailing bytes", remaining.len())))
    }
}

// Payload kinds in stored log records.
const KIND_EMPTY: u8 = 0;
const KIND_COMMAND: u8 = 1;
const KIND_CONFIG: u8 = 2;

impl Payload {
    /// Encodes the payload as the kind and bytes of a log record.
    ///
    /// # Errors
    /// When a membership can't be encoded.
    pub fn to_record(&self) -> Result<(u8, Command), CodecError> {
        Ok(match self {
            Self::Empty => (KIND_EMPTY, Vec::new().into()),
            Self::Command(command) => (KIND_COMMAND, command.clone()),
            Self::Config(config) => (KIND_CONFIG, encode("membership", config)?.into()),
        })
    }

    /// Decodes the payload of a log record.
    ///
    /// # Errors
    /// When the kind is unknown, an empty payload has bytes, or a membership can't be decoded.
    pub fn from_record(kind: u8, bytes: Vec<u8>) -> Result<Self, CodecError> {
        match kind {
            KIND_EMPTY if bytes.is_empty() => Ok(Self::Empty),
            KIND_COMMAND => Ok(Self::Command(bytes.into())),
            KIND_CONFIG => Ok(Self::Config(decode("membership", &bytes)?)),
            _ => Err(CodecError {
                what: "log record",
                message: format!("unknown payload kind {kind}").into(),
            }),
        }
    }
}
