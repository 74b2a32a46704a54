//! Limits and times.

use std::time::Duration;

use crate::LinkSettings;

/// Limits and times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Time after the start in which no SYN is refused: agents may be starting as well, and
    /// the caller repeats a SYN that got no answer.
    pub startup_grace: Duration,
    /// Time within which an owner is heard of after a SYN.
    pub syn_timeout: Duration,
    /// Candidates that a SYN is sent to at most.
    pub max_syn_attempts: u8,
    /// SYNs kept at most.
    pub max_pending_syns: usize,
    /// Owners kept at most.
    pub max_owners: usize,
    /// Time after which an unused owner is forgotten.
    pub owner_ttl: Duration,
    /// Unanswered SYNs in a row from which an agent is avoided.
    pub failure_threshold: u8,
    /// Time for which it is avoided.
    pub avoid_duration: Duration,
    /// Link of this balancer.
    pub link: LinkSettings,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            startup_grace: Duration::from_millis(1_500),
            syn_timeout: Duration::from_millis(40),
            max_syn_attempts: 3,
            max_pending_syns: 16_384,
            max_owners: 65_536,
            owner_ttl: Duration::from_secs(60),
            failure_threshold: 2,
            avoid_duration: Duration::from_secs(1),
            link: LinkSettings::default(),
        }
    }
}
