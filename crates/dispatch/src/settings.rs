//! Limits and times.

use std::time::Duration;

use crate::LinkSettings;

/// Limits and times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Time after the start in which no SYN is refused: agents may be starting as well, and
    /// the caller repeats a SYN that got no answer.
    pub settle: Duration,
    /// Time within which an owner is heard of after a SYN.
    pub answer: Duration,
    /// Candidates that a SYN is sent to at most.
    pub tries: u8,
    /// SYNs kept at most.
    pub openings: usize,
    /// Owners kept at most.
    pub owners: usize,
    /// Time after which an unused owner is forgotten.
    pub owner_ttl: Duration,
    /// Unanswered SYNs in a row from which an agent is avoided.
    pub failures: u8,
    /// Time for which it is avoided.
    pub avoid: Duration,
    /// Link of this balancer.
    pub link: LinkSettings,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            settle: Duration::from_millis(1_500),
            answer: Duration::from_millis(40),
            tries: 3,
            openings: 16_384,
            owners: 65_536,
            owner_ttl: Duration::from_secs(60),
            failures: 2,
            avoid: Duration::from_secs(1),
            link: LinkSettings::default(),
        }
    }
}
