//! Defines the settings of a balancer.

use std::net::SocketAddrV4;

use serde::Deserialize;

use crate::Identity;

/// Settings of a balancer for opaque flows.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Identity of this process.
    pub identity: Identity,
    /// UDP address for packets from callers; callers receive packets at the same port.
    pub packets: SocketAddrV4,
    /// Rate of this VM's link in Mbit/s; if unset, bulk transfers aren't limited.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// UDP address for notices from agents.
    pub notices: SocketAddrV4,
}
