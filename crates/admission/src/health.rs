//! Health of the backend server by results seen and by probes.

use std::time::{Duration, Instant};

/// Time for which results of requests overrule probes.
const DIRECT_HOLDS: Duration = Duration::from_secs(2);

/// Where a result comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A request of a caller.
    Direct,
    /// The server's own health path.
    Probe,
}

/// Health with hysteresis.
#[derive(Debug, Clone)]
pub struct Health {
    rise: u8,
    fall: u8,
    healthy: bool,
    streak: u8,
    direct: Option<(Instant, bool)>,
}

impl Health {
    /// Healthy until `fall` failures in a row; healthy again after `rise` successes.
    #[must_use]
    pub fn new(rise: u8, fall: u8) -> Self {
        Self {
            rise: rise.max(1),
            fall: fall.max(1),
            healthy: true,
            streak: 0,
            direct: None,
        }
    }

    /// Changes the thresholds.
    pub fn set(&mut self, rise: u8, fall: u8) {
        self.rise = rise.max(1);
        self.fall = fall.max(1);
    }

    /// Whether the backend server can take work.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Takes a result; returns whether the health changed. A probe that
    /// contradicts a recent request tells nothing: servers report themselves
    /// healthy while their requests fail, and the reverse.
    pub fn observe(&mut self, now: Instant, source: Source, good: bool) -> bool {
        match source {
            Source::Direct => self.direct = Some((now, good)),
            Source::Probe => {
                let contradicts = |(at, was): (Instant, bool)| {
                    was != good && now.saturating_duration_since(at) < DIRECT_HOLDS
                };
                if self.direct.is_some_and(contradicts) {
                    return false;
                }
            }
        }
        if good == self.healthy {
            self.streak = 0;
            return false;
        }
        self.streak += 1;
        let needed = if good { self.rise } else { self.fall };
        if self.streak < needed {
            return false;
        }
        self.healthy = good;
        self.streak = 0;
        true
    }
}
