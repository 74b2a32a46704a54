//! What the agent announces: its state and weight.

use std::time::Duration;

use api::MemberState;
use tokio::time::Instant;
use units::Weight;

/// Steps in which the weight rises during the warm-up; each one is a table change everywhere.
const WARMUP_STEPS: u32 = 4;

/// Health, warm-up, and wishes to drain.
#[derive(Debug, Clone)]
pub struct Standing {
    weight: Weight,
    warmup: Duration,
    healthy: bool,
    /// Start of the warm-up: first contact, or recovery.
    since: Option<Instant>,
    stopping: bool,
    ordered: bool,
}

impl Standing {
    /// Standing of a backend server that was not seen yet.
    #[must_use]
    pub fn new(weight: Weight) -> Self {
        Self {
            weight,
            warmup: Duration::ZERO,
            healthy: false,
            since: None,
            stopping: false,
            ordered: false,
        }
    }

    /// Changes the length of the warm-up.
    pub fn set_warmup(&mut self, warmup: Duration) {
        self.warmup = warmup;
    }

    /// Takes the health of the backend server.
    pub fn set_healthy(&mut self, healthy: bool, now: Instant) {
        if healthy && !self.healthy {
            self.since = Some(now);
        }
        self.healthy = healthy;
    }

    /// This process ends.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Control announced a planned change, or its end.
    pub fn set_ordered(&mut self, drain: bool) {
        self.ordered = drain;
    }

    /// Whether new requests on established flows go elsewhere, too.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.stopping || self.ordered
    }

    /// State to announce; `None` before the backend server was seen.
    #[must_use]
    pub fn state(&self, now: Instant) -> Option<MemberState> {
        let since = self.since?;
        Some(if self.stopping || self.ordered || !self.healthy {
            MemberState::Draining
        } else if now < since + self.warmup {
            MemberState::Warming
        } else {
            MemberState::Serving
        })
    }

    /// Whether new flows may be accepted.
    #[must_use]
    pub fn accepting(&self, now: Instant) -> bool {
        self.state(now).is_some_and(MemberState::takes_work)
    }

    /// Weight to announce.
    #[must_use]
    pub fn weight(&self, now: Instant) -> Weight {
        let full = u32::from(self.weight.0);
        let Some(since) = self.since else {
            return self.weight;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= self.warmup {
            return self.weight;
        }
        let done = elapsed.as_secs_f64() / self.warmup.as_secs_f64();
        let step = (done * f64::from(WARMUP_STEPS)) as u32 + 1;
        let weight = (full * step.min(WARMUP_STEPS) / WARMUP_STEPS).max(1);
        Weight(u16::try_from(weight).unwrap_or(self.weight.0))
    }
}
