//! Requests handed to a sibling agent.

use api::RelayHead;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use units::Millis;

/// Largest body of a relayed request in bytes.
pub const MAX_RELAY_BODY: usize = 1 << 20;

/// Largest body of a relayed answer in bytes; below the limit of `rpc`.
pub const MAX_RELAY_ANSWER: usize = 16 << 20;

/// Largest sealed body of `/v1/relay` in bytes: request body, head and tag.
pub const MAX_RELAY_MESSAGE: usize = MAX_RELAY_BODY + (256 << 10);

/// Bytes that are encoded as one MessagePack binary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Binary(pub Bytes);

impl Serialize for Binary {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Binary {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Binary;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Binary, E> {
                Ok(Binary(Bytes::copy_from_slice(bytes)))
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Binary, E> {
                Ok(Binary(bytes.into()))
            }
        }
        input.deserialize_byte_buf(Visitor)
    }
}

/// Body of `/v1/relay`: the head, then the body of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMessage {
    /// Head.
    pub head: RelayHead,
    /// Body, at most [`MAX_RELAY_BODY`].
    pub body: Binary,
}

/// Answer of a sibling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// The backend server's complete response.
    Response {
        /// Status.
        status: u16,
        /// Headers in order.
        headers: Vec<(Box<str>, Binary)>,
        /// Body, at most [`MAX_RELAY_ANSWER`].
        body: Binary,
    },
    /// The request was not run.
    NotRun {
        /// Why.
        reason: Box<str>,
        /// Time after which a new attempt has a chance.
        retry_ms: Millis,
    },
    /// It may have run.
    Unknown {
        /// Whether the deadline passed.
        timed_out: bool,
        /// Why.
        reason: Box<str>,
    },
}
