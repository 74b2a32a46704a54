//! Defines the settings of an agent.

use std::net::SocketAddrV4;

use serde::Deserialize;
use units::{Millis, ServiceName};

use crate::Identity;

/// Settings of an agent for opaque flows.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity of this process.
    pub identity: Identity,
    /// Service of the backend server.
    pub service: ServiceName,
    /// UDP address for packets and notices from balancers and agents; callers receive packets at the
    /// same port.
    pub packets: SocketAddrV4,
    /// UDP address for packets from the backend server.
    pub outbound: SocketAddrV4,
    /// UDP address of the backend server.
    pub backend: SocketAddrV4,
    /// Time without a report after which the backend server counts as lost and gets no new flows.
    pub silence_ms: Millis,
}
