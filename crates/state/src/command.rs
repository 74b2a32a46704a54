//! Commands of the replicated log and their outcomes.

use api::{Announce, Announced, BurnBatch, Conflict, KeyMember, Member, PutReply, ReplaceReply};
use profile::{Declaration, Deployment};
use serde::{Deserialize, Serialize};
use units::{HostName, Incarnation, Millis, ServiceId, Version};

use crate::StateError;

/// Maximum length of the message of a [`Refusal`]. Refusals are stored with their operator key, and
/// their findings quote the request, which may have 256 KB.
pub const MAX_MESSAGE_BYTES: usize = 2_048;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Unix time of the leader when it proposed the command.
    #[serde(rename = "at")]
    pub proposed_at: Millis,
    /// Change to the state.
    pub action: Action,
}

/// Change to the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// An operator creates or changes a declaration.
    Put {
        /// Version that the operator expects; 0 for a new declaration.
        expected: Version,
        /// Operator key.
        key: Box<str>,
        /// Operator who requested the change.
        author: Box<str>,
        /// New declaration.
        body: Declaration,
    },
    /// An operator retires a declaration.
    Retire {
        /// `profile`, `service` or `route`.
        kind: Box<str>,
        /// Name of the declaration.
        name: Box<str>,
        /// Version that the operator expects.
        expected: Version,
        /// Operator key.
        key: Box<str>,
        /// Operator who requested the change.
        author: Box<str>,
    },
    /// An operator replaces the complete configuration.
    Replace {
        /// Operator who requested the change.
        author: Box<str>,
        /// New configuration.
        deployment: Box<Deployment>,
    },
    /// An operator announces a planned change.
    Announce(Announce),
    /// Members joined, changed or left.
    Members(Vec<TableChange>),
    /// New key set of a service; the state machine assigns its start.
    KeySet {
        /// Service.
        service: ServiceId,
        /// Agents of the set.
        members: Vec<KeyMember>,
    },
    /// The key sets up to this key time are final.
    Horizon(Millis),
    /// A configuration version is in force at every live node.
    InForce {
        /// Configuration version.
        version: Version,
        /// Number of live nodes.
        nodes: u32,
        /// Hosts whose lease expired before they received it.
        missing: Vec<HostName>,
    },
    /// Request counts reported by agents.
    Burn(Vec<BurnBatch>),
}

/// Change to one service's table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Service.
    pub service: ServiceId,
    /// New or changed members.
    pub put: Vec<Member>,
    /// Members that left.
    pub gone: Vec<(HostName, Incarnation)>,
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied; there is nothing to return.
    Done,
    /// A declaration was accepted or retired.
    Put(PutReply),
    /// A complete configuration was accepted, or ignored because its revision is not newer.
    Replaced(ReplaceReply),
    /// The declaration has another version than the expected one.
    Conflict(Conflict),
    /// A planned change was accepted.
    Announced(Announced),
    /// Newest batch number per agent, in the order of the command; `None` for an unknown service.
    Burn(Vec<Option<u64>>),
    /// Rejected; nothing changed.
    Refused(Refusal),
}

/// Why a command was rejected, with a message for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The request is not valid.
    Invalid(Box<str>),
    /// The request names something that does not exist.
    Unknown(Box<str>),
    /// The operator key is older than the stored keys, so it may have been used before.
    KeyTooOld(Box<str>),
    /// A size limit is reached.
    Full(Box<str>),
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    /// When a value can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        rmp_serde::to_vec_named(self).map_err(|e| StateError::Encode(e.to_string().into()))
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    /// When the bytes are not a command.
    pub fn decode(raw: &[u8]) -> Result<Self, StateError> {
        rmp_serde::from_slice(raw).map_err(|e| StateError::Command(e.to_string().into()))
    }
}

impl Outcome {
    /// Encodes the outcome for the proposer; empty if that fails.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes the result of [`Outcome::encode`].
    ///
    /// # Errors
    /// When the bytes are not an outcome.
    pub fn decode(raw: &[u8]) -> Result<Self, StateError> {
        rmp_serde::from_slice(raw).map_err(|e| StateError::Outcome(e.to_string().into()))
    }

    /// Truncates the message to [`MAX_MESSAGE_BYTES`].
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        let mut message = message.into();
        message.truncate(message.floor_char_boundary(MAX_MESSAGE_BYTES));
        Self::Refused(Refusal::Invalid(message.into()))
    }

    pub(crate) fn unknown(message: impl Into<Box<str>>) -> Self {
        Self::Refused(Refusal::Unknown(message.into()))
    }

    pub(crate) fn full(message: impl Into<Box<str>>) -> Self {
        Self::Refused(Refusal::Full(message.into()))
    }
}
