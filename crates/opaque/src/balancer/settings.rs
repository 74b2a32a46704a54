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
    /// Rate of this VM's link in Mbit/s; without it, bulk transfers are not limited.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// UDP address for notices of agents.
    pub notices: SocketAddrV4,
}
