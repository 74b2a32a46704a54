//! Limits concurrency: ramps the slots up after a start, and withdraws some while the backend
//! server sheds load.

use std::time::{Duration, Instant};

use crate::{Completion, Limits};

/// Shortest time between two changes of the limit. A backend server needs
/// about this long to show the effect of a change.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of slots in use, adjusted to the results of requests.
#[derive(Debug, Clone)]
pub(crate) struct SlotLimit {
    /// Start of the ramp-up.
    started: Instant,
    /// Slots withdrawn because the backend server sheds load.
    withdrawn: u16,
    /// Sheds in a row.
    sheds: u8,
    /// Answers in a row.
    answers: u8,
    changed: Option<Instant>,
}

impl SlotLimit {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            withdrawn: 0,
            sheds: 0,
            answers: 0,
            changed: None,
        }
    }

    pub(crate) fn restart_ramp_up(&mut self, now: Instant) {
        self.started = now;
    }

    /// Counts the result of a request, and withdraws or returns a slot.
    pub(crate) fn record(&mut self, now: Instant, limits: &Limits, completion: Completion) {
        match completion {
            Completion::Cancelled => return,
            Completion::Shed => {
                self.sheds = self.sheds.saturating_add(1);
                self.answers = 0;
            }
            Completion::Answered => {
                self.answers = self.answers.saturating_add(1);
                self.sheds = 0;
            }
        }
        let changed_recently = self
            .changed
            .is_some_and(|at| now.saturating_duration_since(at) < ADJUST_INTERVAL);
        if changed_recently {
            return;
        }
        if self.sheds >= limits.fall && self.withdrawn + 1 < limits.slots {
            self.withdrawn += 1;
        } else if self.answers >= limits.rise && self.withdrawn > 0 {
            self.withdrawn -= 1;
        } else {
            return;
        }
        self.sheds = 0;
        self.answers = 0;
        self.changed = Some(now);
    }

    /// Current number of slots, at least one.
    pub(crate) fn slots(&self, now: Instant, limits: &Limits) -> u16 {
        let max = limits.slots.saturating_sub(self.withdrawn).max(1);
        let age = now.saturating_duration_since(self.started);
        if age >= limits.warmup {
            return max;
        }
        let share = age.as_secs_f64() / limits.warmup.as_secs_f64();
        let warm = 1 + (f64::from(limits.slots.saturating_sub(1)) * share) as u16;
        warm.min(max)
    }

    /// Time at which the ramp-up adds its next slot.
    pub(crate) fn next_increase(&self, now: Instant, limits: &Limits) -> Option<Instant> {
        let age = now.saturating_duration_since(self.started);
        let steps = u32::from(limits.slots.saturating_sub(1));
        if age >= limits.warmup || steps == 0 {
            return None;
        }
        let step = limits.warmup / steps;
        let done = (age.as_secs_f64() / step.as_secs_f64()) as u32;
        // One ms is added so that rounding can't place the wake-up before the increase.
        Some(self.started + step * (done + 1) + Duration::from_millis(1))
    }
}
