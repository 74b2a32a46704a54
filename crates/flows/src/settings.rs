//! Settings of the ownership rules.

use std::time::Duration;

/// Limits and times of the ownership rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowsSettings {
    /// Time after a start or a table change in which packets of unknown flows are dropped;
    /// afterwards the reply to them is RST.
    pub settle_time: Duration,
    /// Minimum time from the first packet of an unknown flow to the first RST reply, so that a
    /// notice that the packet overtook can still arrive.
    pub stray_time: Duration,
    /// Maximum number of unknown flows whose first packet is recorded.
    pub max_strays: usize,
    /// Time after which an unknown flow counts as a new one: it may use the addresses of an earlier one.
    pub stray_ttl: Duration,
    /// Minimum time between two notices about a flow to the same relay.
    pub notice_interval: Duration,
    /// Maximum number of redirects.
    pub max_redirects: usize,
    /// Time after which an unused redirect expires.
    pub redirect_ttl: Duration,
    /// Age above which a sibling's load is no reason to forward a SYN to it.
    pub load_ttl: Duration,
}

impl Default for FlowsSettings {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_secs(10),
            stray_time: Duration::from_millis(200),
            max_strays: 65_536,
            stray_ttl: Duration::from_secs(5),
            notice_interval: Duration::from_secs(1),
            max_redirects: 65_536,
            redirect_ttl: Duration::from_secs(120),
            load_ttl: Duration::from_secs(5),
        }
    }
}
