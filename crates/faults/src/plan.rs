//! What happens to a datagram or to a piece of a byte stream.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Delay that a lost piece of a byte stream gets, as TCP sends it again.
const RESEND_MS: u64 = 200;

/// Extra delay of a reordered datagram, so that later ones overtake it.
const REORDER_MS: u64 = 10;

/// Longest delay and jitter in ms.
const MAX_DELAY_MS: u64 = 60_000;

/// Direction through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From client to target.
    Forth,
    /// From target to client.
    Back,
}

/// Faults to inject; the default injects none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Share of datagrams lost, 0 to 1. A lost piece of a TCP stream arrives 200 ms late.
    pub loss: f64,
    /// Delay in ms.
    pub delay_ms: u64,
    /// Longest extra delay in ms; uniform.
    pub jitter_ms: u64,
    /// Share of datagrams delivered twice, 0 to 1; UDP only.
    pub duplicate: f64,
    /// Share of datagrams held back by 10 ms, 0 to 1; UDP only.
    pub reorder: f64,
    /// Directions cut: towards the target, towards the client. TCP holds the bytes.
    pub cut: (bool, bool),
    /// Holds everything in both directions until it ends.
    pub freeze: bool,
}

/// A plan with a value out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanError {
    /// Field.
    pub field: &'static str,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is out of range: shares go from 0 to 1, delays to {MAX_DELAY_MS} ms",
            self.field
        )
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Plan that cuts both directions.
    #[must_use]
    pub fn partition() -> Self {
        Self {
            cut: (true, true),
            ..Self::default()
        }
    }

    /// Whether a direction is cut.
    #[must_use]
    pub fn is_cut(&self, way: Way) -> bool {
        match way {
            Way::Forth => self.cut.0,
            Way::Back => self.cut.1,
        }
    }

    /// Checks ranges.
    ///
    /// # Errors
    /// Names the first field out of range.
    pub fn check(&self) -> Result<(), PlanError> {
        let share = |field, value: f64| {
            if (0.0..=1.0).contains(&value) {
                Ok(())
            } else {
                Err(PlanError { field })
            }
        };
        share("loss", self.loss)?;
        share("duplicate", self.duplicate)?;
        share("reorder", self.reorder)?;
        if self.delay_ms > MAX_DELAY_MS {
            return Err(PlanError { field: "delay_ms" });
        }
        if self.jitter_ms > MAX_DELAY_MS {
            return Err(PlanError { field: "jitter_ms" });
        }
        Ok(())
    }
}

/// What happens to one datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Not delivered because of a cut.
    Cut,
    /// Not delivered by chance.
    Lost,
    /// Delivered after a delay, and again after another one if duplicated.
    Deliver {
        /// Delay of the first copy.
        delay: Duration,
        /// Delay of the second copy.
        copy: Option<Duration>,
        /// Held back so that later datagrams overtake it.
        reordered: bool,
    },
}

/// Seeded source of decisions for one direction.
#[derive(Debug)]
pub struct Roll(StdRng);

impl Roll {
    /// Decisions of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    fn chance(&mut self, share: f64) -> bool {
        // Drawn even at zero so that a change of one share leaves the other decisions alone.
        self.0.random::<f64>() < share
    }

    fn wait(&mut self, plan: &Plan) -> Duration {
        let jitter = self.0.random_range(0..=plan.jitter_ms);
        Duration::from_millis(plan.delay_ms + jitter)
    }

    /// Fate of the next datagram.
    pub fn datagram(&mut self, plan: &Plan, way: Way) -> Fate {
        let lost = self.chance(plan.loss);
        let twice = self.chance(plan.duplicate);
        let reordered = self.chance(plan.reorder);
        let mut delay = self.wait(plan);
        let second = self.wait(plan);
        if plan.is_cut(way) {
            return Fate::Cut;
        }
        if lost {
            return Fate::Lost;
        }
        if reordered {
            delay += Duration::from_millis(REORDER_MS);
        }
        Fate::Deliver {
            delay,
            copy: twice.then_some(second),
            reordered,
        }
    }

    /// Delay of the next piece of a byte stream, and whether it was lost once.
    pub fn piece(&mut self, plan: &Plan) -> (Duration, bool) {
        let lost = self.chance(plan.loss);
        let resend = if lost { RESEND_MS } else { 0 };
        (self.wait(plan) + Duration::from_millis(resend), lost)
    }
}
