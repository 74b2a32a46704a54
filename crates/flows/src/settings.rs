//! Limits and times of the ownership rules.

use std::time::Duration;

/// Limits and times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowsSettings {
    /// Time after a start or a table change in which packets of unknown flows are dropped;
    /// later they are answered with RST.
    pub settle: Duration,
    /// Time for which a flow must be unknown before its packets are answered with RST;
    /// a notice overtaken by the first packet arrives within it.
    pub stray: Duration,
    /// Unknown flows remembered for that.
    pub strays: usize,
    /// Shortest time between two notices about a flow to the same relay.
    pub notice: Duration,
    /// Redirects kept.
    pub redirects: usize,
    /// Time after which an unused redirect expires.
    pub redirect_ttl: Duration,
    /// Age above which a sibling's load is no reason to pass a SYN on.
    pub load_ttl: Duration,
}

impl Default for FlowsSettings {
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(10),
            stray: Duration::from_millis(200),
            strays: 65_536,
            notice: Duration::from_secs(1),
            redirects: 65_536,
            redirect_ttl: Duration::from_secs(120),
            load_ttl: Duration::from_secs(5),
        }
    }
}
