//! Messages between operators and control, as JSON.

use derive_more::{Display, FromStr};
use profile::Declaration;
use serde::{Deserialize, Serialize};
use units::{HostName, Millis, Revision, Version};

/// Request to create or change a declaration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Version of the declaration that the operator read; 0 for a new one.
    pub expected: Version,
    /// Idempotency key of the operator: `<unix ms>-<text>`, see [`crate::RequestKey`].
    pub key: Box<str>,
    /// Operator that sends the request.
    pub author: Box<str>,
    /// Declaration.
    pub body: Declaration,
}

/// Request to retire a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// Version of the declaration that the operator read.
    pub expected: Version,
    /// Idempotency key of the operator: `<unix ms>-<text>`, see [`crate::RequestKey`].
    pub key: Box<str>,
    /// Operator that sends the request.
    pub author: Box<str>,
}

/// Reply to an accepted change; a resend with the same key gets the first reply again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// Version of the configuration with this change.
    pub version: Version,
    /// Whether this is the reply to an earlier request with the same key.
    pub repeated: bool,
}

/// Reply to a complete configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceReply {
    /// Current revision: that of the request or a higher one.
    pub revision: Revision,
    /// Whether this request changed anything.
    pub changed: bool,
}

/// Response if the declaration has a different version than the operator expected (status 409).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Version that the operator expected.
    pub expected: Version,
    /// Current version; 0 if the declaration does not exist.
    pub current: Version,
    /// Author of the current version.
    pub author: Box<str>,
}

/// Response to any other rejected request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Cause and remedy.
    pub message: Box<str>,
    /// Address of the leader (`ip:port`), with status 421.
    pub leader: Option<Box<str>>,
}

/// A declaration as stored by control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Configuration version of its last change.
    pub version: Version,
    /// Author of that change.
    pub author: Box<str>,
    /// Declaration.
    pub body: Declaration,
}

/// Kind of VM that a planned change affects.
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

/// VM that a planned change affects.
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
    /// Unix time from which it accepts no new work.
    pub start: Millis,
    /// Unix time from which it accepts new work again.
    pub end: Millis,
    /// Idempotency key of the operator: `<unix ms>-<text>`, see [`crate::RequestKey`].
    pub key: Box<str>,
    /// Operator that announces the change.
    pub author: Box<str>,
}

/// Reply to an accepted planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Number of the planned change.
    pub number: u64,
    /// Whether this is the reply to an earlier request with the same key.
    pub repeated: bool,
}

/// Event of the audit log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// A declaration was created or changed.
    Put {
        /// `profile`, `service` or `route`.
        kind: Box<str>,
        /// Name.
        name: Box<str>,
    },
    /// A declaration was retired.
    Retire {
        /// `profile`, `service` or `route`.
        kind: Box<str>,
        /// Name.
        name: Box<str>,
    },
    /// A complete configuration replaced all declarations.
    Replace {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// A planned change was announced.
    Announce {
        /// VM.
        target: Target,
        /// Unix time of the start.
        start: Millis,
        /// Unix time of the end.
        end: Millis,
    },
    /// A configuration version is in force at every live node.
    InForce {
        /// Nodes that hold a lease and report the version.
        nodes: u32,
        /// Hosts whose lease expired before they had the version.
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

/// Entry of the audit log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Unix time at the leader.
    pub at: Millis,
    /// Author of the change.
    pub author: Box<str>,
    /// Configuration version that the event concerns; 0 if none.
    pub version: Version,
    /// Event.
    pub event: AuditEvent,
}
