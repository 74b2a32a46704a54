//! Settings of an agent.

use std::net::SocketAddrV4;

use serde::Deserialize;
use units::{Millis, ServiceName};

use crate::Identity;

/// Settings of an agent for opaque flows.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Who it is.
    pub identity: Identity,
    /// Service of the backend server.
    pub service: ServiceName,
    /// UDP address for packets of balancers and agents, and for notices; callers take packets at the
    /// same port.
    pub packets: SocketAddrV4,
    /// UDP address for packets of the backend server.
    pub outbound: SocketAddrV4,
    /// UDP address of the backend server.
    pub backend: SocketAddrV4,
    /// Time without a report after which the backend server gets no new flows.
    pub silence_ms: Millis,
}
