//! How a backend server behaves; every field can change at run time.

use serde::{Deserialize, Serialize};

/// What a health or load endpoint says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Claim {
    /// The truth.
    #[default]
    Honest,
    /// Healthy and idle, whatever is true.
    Good,
    /// Unhealthy and fully loaded, whatever is true.
    Bad,
}

/// Requests that take many times longer than others of their kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Straggle {
    /// Share of requests, 0 to 1.
    pub share: f64,
    /// Factor on their service time.
    pub factor: f64,
}

/// Behaviour of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Service time in ms of requests that nothing else sets.
    pub service_ms: u64,
    /// Service times in ms by path prefix; the first that matches counts.
    pub times: Vec<(Box<str>, u64)>,
    /// Factor on every service time.
    pub slow: f64,
    /// Stragglers.
    pub straggle: Straggle,
    /// Time in ms after the start in which service times are longer.
    pub cold_ms: u64,
    /// Factor during that time.
    pub cold_factor: f64,
    /// Health endpoint.
    pub health: Claim,
    /// Whether the server is healthy.
    pub healthy: bool,
    /// Load endpoint.
    pub load: Claim,
    /// Time in ms that health and load endpoints lag behind the truth.
    pub lag_ms: u64,
    /// Share of requests refused with status 503 before they begin, 0 to 1.
    pub shed: f64,
    /// Number of next answers that break off in the middle.
    pub die: u32,
    /// Time in ms between the lines of a board.
    pub board_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_ms: 1,
            times: Vec::new(),
            slow: 1.0,
            straggle: Straggle::default(),
            cold_ms: 0,
            cold_factor: 1.0,
            health: Claim::Honest,
            healthy: true,
            load: Claim::Honest,
            lag_ms: 0,
            shed: 0.0,
            die: 0,
            board_ms: 20,
        }
    }
}

impl Behaviour {
    /// Service time in ms of a path before factors.
    #[must_use]
    pub fn time(&self, path: &str) -> u64 {
        let special = self
            .times
            .iter()
            .find(|(prefix, _)| path.starts_with(&**prefix));
        special.map_or(self.service_ms, |(_, ms)| *ms)
    }
}
