//! Idempotency keys of requests, and claims on them.

use std::net::SocketAddrV4;
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use units::{Blob, HostName, Incarnation, Millis, QuantityError, ServiceId};

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Maximum body size of a stored response, in bytes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 4096;

/// Agent that stores the keys of a key set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMember {
    /// Host.
    pub host: HostName,
    /// Incarnation; a later one has no keys of this set.
    pub incarnation: Incarnation,
    /// HTTP interface of the agent.
    pub http: SocketAddrV4,
}

/// Agents that store the keys with times from `start` until the start of the next set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySet {
    /// First key time.
    pub start: Millis,
    /// Agents.
    pub members: Vec<KeyMember>,
}

/// Key of a request: Unix time in ms, a dash and a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{}-{text}", time.0)]
pub struct RequestKey {
    /// Unix time chosen by the caller; selects the key set.
    pub time: Millis,
    /// Rest of the key.
    pub text: Box<str>,
}

impl FromStr for RequestKey {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error = || QuantityError {
            text: text.chars().take(MAX_KEY_BYTES).collect::<String>().into(),
            expected: "a key as <unix ms>-<text> of at most 128 bytes",
        };
        let (time, rest) = text.split_once('-').ok_or_else(error)?;
        let printable = rest.bytes().all(|b| b.is_ascii_graphic());
        if text.len() > MAX_KEY_BYTES
            || rest.is_empty()
            || !printable
            || !time.bytes().all(|b| b.is_ascii_digit())
        {
            return Err(error());
        }
        let time: u64 = time.parse().map_err(|_| error())?;
        Ok(Self {
            time: Millis(time),
            text: rest.into(),
        })
    }
}

/// Request for the exclusive right to run the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Service.
    pub service: ServiceId,
    /// Key.
    pub key: RequestKey,
    /// Attempt id, unique across all agents and over time.
    pub attempt: u128,
    /// Incarnation of the receiving replica.
    pub incarnation: Incarnation,
    /// Hash of method, path and body; a different request under the same key is rejected.
    pub digest: u64,
}

/// Reply of a replica to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This attempt holds the claim at this replica; repeating the claim gives the same reply.
    Granted,
    /// Another attempt holds it.
    Taken {
        /// Attempt id of the holder.
        attempt: u128,
        /// Its response, if it is done and the response is small enough.
        answer: Option<StoredResponse>,
        /// Whether it is done.
        done: bool,
        /// Whether the holder's request is a different one.
        differs: bool,
    },
    /// This replica can't tell whether the key was claimed.
    Unknown,
}

/// Response that is returned again for the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    #[serde(rename = "kind")]
    pub content_type: Option<Box<str>>,
    /// Body, at most [`MAX_STORED_RESPONSE_BYTES`].
    pub body: Blob,
}

/// Outcome of an attempt that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Service.
    pub service: ServiceId,
    /// Key.
    pub key: RequestKey,
    /// Attempt id.
    pub attempt: u128,
    /// Incarnation of the receiving replica.
    pub incarnation: Incarnation,
    /// Response; `None` if it is too large or the outcome is unknown.
    pub answer: Option<StoredResponse>,
    /// Whether the claim is released, because the attempt certainly did not begin.
    pub released: bool,
}

/// Query for the state of a key at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Service.
    pub service: ServiceId,
    /// Key.
    pub key: RequestKey,
    /// Incarnation of the receiving replica.
    pub incarnation: Incarnation,
}
