//! Commands in the log and their outcomes.

use api::{Announce, Announced, BurnBatch, Conflict, KeyMember, Member, PutReply, ReplaceReply};
use profile::{Declaration, Deployment};
use serde::{Deserialize, Serialize};
use units::{HostName, Incarnation, Millis, ServiceId, Version};

use crate::StateError;

/// Longest message of a refusal in bytes. Refusals are kept with their operator
/// key, and findings repeat texts of the request, which may have 256 KB.
pub const MAX_MESSAGE: usize = 2_048;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Unix time of the leader.
    pub at: Millis,
    /// What happens.
    pub action: Action,
}

/// What happens to the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// An operator creates or changes a declaration.
    Put {
        /// Version that the operator saw; 0 for a new one.
        expected: Version,
        /// Operator key.
        key: Box<str>,
        /// Who.
        author: Box<str>,
        /// Declaration.
        body: Declaration,
    },
    /// An operator retires a declaration.
    Retire {
        /// `profile`, `service` or `route`.
        kind: Box<str>,
        /// Name.
        name: Box<str>,
        /// Version that the operator saw.
        expected: Version,
        /// Operator key.
        key: Box<str>,
        /// Who.
        author: Box<str>,
    },
    /// An operator gives a whole configuration.
    Replace {
        /// Who.
        author: Box<str>,
        /// Configuration.
        deployment: Box<Deployment>,
    },
    /// An operator announces a planned change.
    Announce(Announce),
    /// Members joined, changed or left.
    Members(Vec<TableChange>),
    /// New key set of a service; the state machine decides its start.
    KeySet {
        /// Service.
        service: ServiceId,
        /// Agents.
        members: Vec<KeyMember>,
    },
    /// Key sets up to this key time are final.
    Horizon(Millis),
    /// A version is in force at every live node.
    InForce {
        /// Configuration version.
        version: Version,
        /// Live nodes.
        nodes: u32,
        /// Hosts whose lease ended before they had it.
        missing: Vec<HostName>,
    },
    /// Counts of agents.
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
    /// Done; no further result.
    Done,
    /// A declaration was accepted or retired.
    Put(PutReply),
    /// A whole configuration was accepted, or a higher revision is held.
    Replaced(ReplaceReply),
    /// The declaration has another version.
    Conflict(Conflict),
    /// A planned change was accepted.
    Announced(Announced),
    /// Newest batch per agent, in the order of the command; `None` for an unknown service.
    Burn(Vec<Option<u64>>),
    /// Refused; nothing changed.
    Refused(Refusal),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The request is not valid.
    Invalid(Box<str>),
    /// What it names does not exist.
    Unknown(Box<str>),
    /// The operator key is too old to tell whether it was used.
    KeyTooOld(Box<str>),
    /// A stated limit is reached.
    Full(Box<str>),
}

impl Command {
    /// Bytes for the log.
    ///
    /// # Errors
    /// When a value can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        rmp_serde::to_vec_named(self).map_err(|e| StateError::Encode(e.to_string().into()))
    }

    /// Reads bytes from the log.
    ///
    /// # Errors
    /// When the bytes are no command.
    pub fn decode(raw: &[u8]) -> Result<Self, StateError> {
        rmp_serde::from_slice(raw).map_err(|e| StateError::Command(e.to_string().into()))
    }
}

impl Outcome {
    /// Bytes for the proposer; an outcome that can't be encoded gives none.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Reads what [`Outcome::encode`] wrote.
    ///
    /// # Errors
    /// When the bytes are no outcome.
    pub fn decode(raw: &[u8]) -> Result<Self, StateError> {
        rmp_serde::from_slice(raw).map_err(|e| StateError::Outcome(e.to_string().into()))
    }

    /// The message is cut at [`MAX_MESSAGE`].
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        let mut message = message.into();
        message.truncate(message.floor_char_boundary(MAX_MESSAGE));
        Self::Refused(Refusal::Invalid(message.into()))
    }

    pub(crate) fn unknown(message: impl Into<Box<str>>) -> Self {
        Self::Refused(Refusal::Unknown(message.into()))
    }

    pub(crate) fn full(message: impl Into<Box<str>>) -> Self {
        Self::Refused(Refusal::Full(message.into()))
    }
}
