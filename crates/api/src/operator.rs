//! Messages between operators and control, as JSON.

use derive_more::{Display, FromStr};
use profile::Declaration;
use serde::{Deserialize, Serialize};
use units::{HostName, Millis, Revision, Version};

/// Wish to create or change a declaration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Version of the declaration that the operator saw; 0 for a new one.
    pub expected: Version,
    /// Idempotency key of the operator: `<unix ms>-<text>`, see [`crate::RequestKey`].
    pub key: Box<str>,
    /// Who asks.
    pub author: Box<str>,
    /// The declaration.
    pub body: Declaration,
}

/// Wish to retire a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// Version of the declaration that the operator saw.
    pub expected: Version,
    /// Idempotency key of the operator: `<unix ms>-<text>`, see [`crate::RequestKey`].
    pub key: Box<str>,
    /// Who asks.
    pub author: Box<str>,
}

/// An accepted change; a resend with the same key gets the first answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// Version of the configuration with this change.
    pub version: Version,
    /// Whether this is the answer to an earlier request with the same key.
    pub repeated: bool,
}

/// Answer to a whole configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceReply {
    /// Newest revision, this one or a higher one.
    pub revision: Revision,
    /// Whether this request changed anything.
    pub changed: bool,
}

/// The declaration has another version than the operator expected (status 409).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Version that the operator expected.
    pub expected: Version,
    /// Current version; 0 if the declaration does not exist.
    pub current: Version,
    /// Author of the current version.
    pub author: Box<str>,
}

/// Any other refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What is wrong and what would be right.
    pub message: Box<str>,
    /// Address of the leader (`ip:port`), with status 421.
    pub leader: Option<Box<str>>,
}

/// A declaration as control holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Version of the configuration at its last change.
    pub version: Version,
    /// Author of that change.
    pub author: Box<str>,
    /// The declaration.
    pub body: Declaration,
}

/// Kind of VM that a planned change concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Backend server.
    BackendServer,
    /// Balancer.
    Balancer,
    /// Control VM.
    Control,
}

/// VM that a planned change concerns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Kind.
    pub kind: TargetKind,
    /// Host.
    pub host: HostName,
}

/// A planned change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// VM.
    pub target: Target,
    /// Unix time at which it takes no new work.
    pub start: Millis,
    /// Unix time at which it takes new work again.
    pub end: Millis,
    /// Idempotency key of the operator: `<unix ms>-<text>`, see [`crate::RequestKey`].
    pub key: Box<str>,
    /// Who announces.
    pub author: Box<str>,
}

/// An accepted planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Number of the planned change.
    pub number: u64,
    /// Whether this is the answer to an earlier request with the same key.
    pub repeated: bool,
}

/// What the audit record holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// Created or changed.
    Put {
        /// `profile`, `service` or `route`.
        kind: Box<str>,
        /// Name.
        name: Box<str>,
    },
    /// Retired.
    Retire {
        /// `profile`, `service` or `route`.
        kind: Box<str>,
        /// Name.
        name: Box<str>,
    },
    /// A whole configuration took the place of all declarations.
    Replace {
        /// Its revision.
        revision: Revision,
    },
    /// Planned change announced.
    Announce {
        /// VM.
        target: Target,
        /// Start.
        start: Millis,
        /// End.
        end: Millis,
    },
    /// A configuration version is in force at every live node.
    InForce {
        /// Nodes that hold a lease and report the version.
        nodes: u32,
        /// Hosts whose lease ended before they had the version.
        #[serde(default)]
        missing: Vec<HostName>,
    },
    /// A member joined, changed its state or left.
    Member {
        /// Host.
        host: HostName,
        /// New state, or `gone`.
        state: Box<str>,
    },
}

/// One line of the audit record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Unix time of the leader.
    pub at: Millis,
    /// Who.
    pub author: Box<str>,
    /// Configuration version concerned; 0 if none is.
    pub version: Version,
    /// What.
    pub event: AuditEvent,
}
