//! Settings of a balancer.

use std::net::SocketAddrV4;

use serde::Deserialize;

use crate::Identity;

/// Settings of a balancer for opaque flows.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Who it is.
    pub identity: Identity,
    /// UDP address for callers' packets; callers take packets at the same port.
    pub packets: SocketAddrV4,
    /// UDP address for notices of agents.
    pub notices: SocketAddrV4,
}
