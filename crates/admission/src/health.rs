//! Health of the backend server from request results and probes.

use std::time::{Duration, Instant};

/// Time for which the result of a request takes precedence over probes.
const REQUEST_PRECEDENCE: Duration = Duration::from_secs(2);

/// Source of a health result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSource {
    /// Request of a caller (passive check).
    Request,
    /// Probe of the server's health path (active check).
    Probe,
}

/// Health status with hysteresis.
#[derive(Debug, Clone)]
pub struct Health {
    rise: u8,
    fall: u8,
    healthy: bool,
    /// Results in a row that contradict the current status.
    streak: u8,
    /// Time and result of the last request.
    last_request: Option<(Instant, bool)>,
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
            last_request: None,
        }
    }

    /// Changes the thresholds.
    pub fn set_thresholds(&mut self, rise: u8, fall: u8) {
        self.rise = rise.max(1);
        self.fall = fall.max(1);
    }

    /// Whether the backend server can take requests.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Records a result; returns whether the status changed. A probe that
    /// contradicts a recent request is ignored: a server may report itself
    /// healthy while its requests fail, and the reverse.
    pub fn record(&mut self, now: Instant, source: HealthSource, good: bool) -> bool {
        match source {
            HealthSource::Request => self.last_request = Some((now, good)),
            HealthSource::Probe => {
                let contradicts = |(at, was): (Instant, bool)| {
                    was != good && now.saturating_duration_since(at) < REQUEST_PRECEDENCE
                };
                if self.last_request.is_some_and(contradicts) {
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
