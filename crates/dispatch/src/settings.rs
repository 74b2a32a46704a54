//! Defines the settings of the dispatcher.

use std::time::Duration;

use crate::LinkSettings;

/// Limits and timeouts of the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Time after the start in which no SYN is refused for lack of members: agents may be starting as
    /// well, and the caller retransmits an unanswered SYN.
    pub startup_grace: Duration,
    /// Time to wait for a notice after sending a SYN to a candidate.
    pub syn_timeout: Duration,
    /// Maximum number of candidates that a SYN is sent to.
    pub max_attempts: u8,
    /// Maximum number of pending SYNs.
    pub max_pending: usize,
    /// Times after its first SYN at which a caller sends copies, which tell their number.
    pub syn_copies: &'static [Duration],
    /// Longest time for the way from a caller to this balancer and back, within which a SYN may be
    /// refused before the caller sends its next copy.
    pub caller_round_trip: Duration,
    /// Maximum number of attempts of callers to open a flow that are remembered.
    pub max_openings: usize,
    /// Maximum number of cached owners.
    pub max_owners: usize,
    /// Time after which an unused owner is removed from the cache.
    pub owner_ttl: Duration,
    /// Maximum number of packets whose flow was searched for in services that don't have it.
    pub max_absences: usize,
    /// Time within which all services of a route are searched for a packet's flow.
    pub absence_ttl: Duration,
    /// Time for which the packet of a flow that no service has waits for a read of the view. It is
    /// longer than a caller waits before it sends the packet again.
    pub read_timeout: Duration,
    /// Number of consecutive unanswered SYNs after which an agent is avoided.
    pub failure_threshold: u8,
    /// Time for which an agent is avoided after its last unanswered SYN.
    pub avoid_duration: Duration,
    /// Capacity of this balancer's link.
    pub link: LinkSettings,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            startup_grace: Duration::from_millis(1_500),
            syn_timeout: Duration::from_millis(40),
            max_attempts: 3,
            max_pending: 16_384,
            syn_copies: &[],
            caller_round_trip: Duration::from_millis(50),
            max_openings: 16_384,
            max_owners: 65_536,
            owner_ttl: Duration::from_secs(60),
            max_absences: 4_096,
            absence_ttl: Duration::from_secs(1),
            read_timeout: Duration::from_secs(2),
            failure_threshold: 2,
            avoid_duration: Duration::from_secs(1),
            link: LinkSettings::default(),
        }
    }
}
