//! Member state and weight that the agent announces.

use std::time::Duration;

use api::MemberState;
use tokio::time::Instant;
use units::Weight;

/// Steps of the weight during the warm-up; each step changes the table on every node.
const WARMUP_STEPS: u32 = 4;

/// Health, warm-up and drain requests of the backend server.
#[derive(Debug, Clone)]
pub struct MemberStatus {
    weight: Weight,
    warmup: Duration,
    healthy: bool,
    /// Time at which the backend server last became healthy; `None` until the first time.
    warmup_start: Option<Instant>,
    stopping: bool,
    drain_ordered: bool,
}

impl MemberStatus {
    /// Status of a backend server that has not been reached yet.
    #[must_use]
    pub fn new(weight: Weight) -> Self {
        Self {
            weight,
            warmup: Duration::ZERO,
            healthy: false,
            warmup_start: None,
            stopping: false,
            drain_ordered: false,
        }
    }

    pub fn set_warmup(&mut self, warmup: Duration) {
        self.warmup = warmup;
    }

    /// Records the health of the backend server; a recovery starts a new warm-up.
    pub fn set_healthy(&mut self, healthy: bool, now: Instant) {
        if healthy && !self.healthy {
            self.warmup_start = Some(now);
        }
        self.healthy = healthy;
    }

    /// Records that this process is shutting down.
    pub fn set_stopping(&mut self) {
        self.stopping = true;
    }

    /// Records whether control orders this agent to drain.
    pub fn set_drain_ordered(&mut self, drain: bool) {
        self.drain_ordered = drain;
    }

    /// Whether new requests on established flows also go to other agents.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.stopping || self.drain_ordered
    }

    /// State to announce; `None` until the backend server has been reached.
    #[must_use]
    pub fn state(&self, now: Instant) -> Option<MemberState> {
        let warmup_start = self.warmup_start?;
        Some(if self.stopping || self.drain_ordered || !self.healthy {
            MemberState::Draining
        } else if now < warmup_start + self.warmup {
            MemberState::Warming
        } else {
            MemberState::Serving
        })
    }

    /// Whether new flows may be accepted.
    #[must_use]
    pub fn is_accepting(&self, now: Instant) -> bool {
        self.state(now).is_some_and(MemberState::takes_work)
    }

    /// Weight to announce.
    #[must_use]
    pub fn weight(&self, now: Instant) -> Weight {
        let full_weight = u32::from(self.weight.0);
        let Some(warmup_start) = self.warmup_start else {
            return self.weight;
        };
        let elapsed = now.saturating_duration_since(warmup_start);
        if elapsed >= self.warmup {
            return self.weight;
        }
        let progress = elapsed.as_secs_f64() / self.warmup.as_secs_f64();
        let step = (progress * f64::from(WARMUP_STEPS)) as u32 + 1;
        let weight = (full_weight * step.min(WARMUP_STEPS) / WARMUP_STEPS).max(1);
        Weight(u16::try_from(weight).unwrap_or(self.weight.0))
    }
}
