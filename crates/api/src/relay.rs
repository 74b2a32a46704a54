//! Messages between the agents of a service.

use serde::{Deserialize, Serialize};
use units::{ClassName, Incarnation, Millis, ServiceId};

/// Head of a request that is forwarded to a sibling agent, MessagePack encoded before the body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHead {
    /// Service; the sibling rejects a request for another one.
    pub service: ServiceId,
    /// Incarnation of the receiving sibling.
    pub incarnation: Incarnation,
    /// Request class.
    pub class: ClassName,
    /// Time left until the deadline.
    pub left_ms: Millis,
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub uri: Box<str>,
    /// Headers in order.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Whether the sender is leaving: the request may be queued here, because it can't be queued
    /// at the sender.
    #[serde(default)]
    pub leaving: bool,
}

/// Load of an agent as reported to its siblings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiblingLoad {
    /// Open flows.
    pub flows: u32,
    /// Requests in progress.
    pub busy: u16,
    /// Total slots.
    pub slots: u16,
    /// Queued requests.
    pub waiting: u32,
    /// Whether the agent accepts new work.
    pub serving: bool,
}
