//! Idempotency keys of requests and their claims.

use std::net::SocketAddrV4;
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use units::{Blob, HostName, Incarnation, Millis, QuantityError, ServiceId};

/// Longest key in bytes.
pub const MAX_KEY: usize = 128;

/// Largest answer that replicas keep, in bytes.
pub const MAX_KEPT_ANSWER: usize = 4096;

/// Agent that remembers keys of a key set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMember {
    /// Host.
    pub host: HostName,
    /// Incarnation; a later one remembers nothing of this set.
    pub incarnation: Incarnation,
    /// HTTP interface of the agent.
    pub http: SocketAddrV4,
}

/// Agents that remember the keys with times from `start` to the next set's start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySet {
    /// First key time.
    pub start: Millis,
    /// Agents.
    pub members: Vec<KeyMember>,
}

/// Key of a request: Unix ms, a dash and a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{}-{text}", time.0)]
pub struct RequestKey {
    /// Time that the caller put in; selects the key set.
    pub time: Millis,
    /// Rest of the key.
    pub text: Box<str>,
}

impl FromStr for RequestKey {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error = || QuantityError {
            text: text.chars().take(MAX_KEY).collect::<String>().into(),
            expected: "a key as <unix ms>-<text> of at most 128 bytes",
        };
        let (time, rest) = text.split_once('-').ok_or_else(error)?;
        let printable = rest.bytes().all(|b| b.is_ascii_graphic());
        if text.len() > MAX_KEY
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

/// Request to be the only one that begins a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Service.
    pub service: ServiceId,
    /// Key.
    pub key: RequestKey,
    /// Attempt: unique over all agents and time.
    pub attempt: u128,
    /// Incarnation of the replica that is asked.
    pub incarnation: Incarnation,
    /// Hash of method, path and body; another request under the same key is refused.
    pub digest: u64,
}

/// Answer of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This attempt holds the claim at this replica; asking again gives the same answer.
    Granted,
    /// Another attempt holds it.
    Taken {
        /// The holder's attempt.
        attempt: u128,
        /// Its answer, once it is done and small enough.
        answer: Option<KeptAnswer>,
        /// Whether it is done.
        done: bool,
        /// Whether the holder's request was another one.
        differs: bool,
    },
    /// This replica can't know whether the key was claimed.
    Unknown,
}

/// Answer that is given again for the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: Option<Box<str>>,
    /// Body, at most [`MAX_KEPT_ANSWER`].
    pub body: Blob,
}

/// Outcome of an attempt that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Service.
    pub service: ServiceId,
    /// Key.
    pub key: RequestKey,
    /// Attempt.
    pub attempt: u128,
    /// Incarnation of the replica that is told.
    pub incarnation: Incarnation,
    /// Answer if it is small; `None` if it is too large or the outcome is unknown.
    pub answer: Option<KeptAnswer>,
    /// The attempt surely did not begin: the claim is given back.
    pub released: bool,
}

/// Question for what a replica knows of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Service.
    pub service: ServiceId,
    /// Key.
    pub key: RequestKey,
    /// Incarnation of the replica that is asked.
    pub incarnation: Incarnation,
}
