//! Messages between the agents of a service.

use serde::{Deserialize, Serialize};
use units::{ClassName, Incarnation, Millis, ServiceId};

/// Head of a request handed to a sibling; stands MessagePack encoded before its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHead {
    /// Service; the sibling refuses another one.
    pub service: ServiceId,
    /// Incarnation of the sibling.
    pub incarnation: Incarnation,
    /// Class.
    pub class: ClassName,
    /// Time left until the deadline.
    pub left_ms: Millis,
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub uri: Box<str>,
    /// Headers in order.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Comes from an agent that is leaving: it may wait, since it can't wait there.
    #[serde(default)]
    pub leaving: bool,
}

/// Load of an agent as siblings see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiblingLoad {
    /// Open flows.
    pub flows: u32,
    /// Requests in progress.
    pub busy: u16,
    /// Slots.
    pub slots: u16,
    /// Requests waiting.
    pub waiting: u32,
    /// Takes new work.
    pub serving: bool,
}
