//! Slots in force: slow start, and fewer while the backend server sheds load.

use std::time::{Duration, Instant};

use crate::{Ended, Limits};

/// Shortest time between two changes. A backend server needs about this long
/// to show the effect of a change.
const HOLD: Duration = Duration::from_millis(500);

/// Slots in force.
#[derive(Debug, Clone)]
pub(crate) struct Limit {
    started: Instant,
    taken: u16,
    sheds: u8,
    answers: u8,
    changed: Option<Instant>,
}

impl Limit {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            taken: 0,
            sheds: 0,
            answers: 0,
            changed: None,
        }
    }

    /// Begins the slow start again.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.started = now;
    }

    pub(crate) fn ended(&mut self, now: Instant, limits: &Limits, ended: Ended) {
        match ended {
            Ended::Cancelled => return,
            Ended::Shed => {
                self.sheds = self.sheds.saturating_add(1);
                self.answers = 0;
            }
            Ended::Answered => {
                self.answers = self.answers.saturating_add(1);
                self.sheds = 0;
            }
        }
        let held = self
            .changed
            .is_some_and(|at| now.saturating_duration_since(at) < HOLD);
        if held {
            return;
        }
        if self.sheds >= limits.fall && self.taken + 1 < limits.slots {
            self.taken += 1;
        } else if self.answers >= limits.rise && self.taken > 0 {
            self.taken -= 1;
        } else {
            return;
        }
        self.sheds = 0;
        self.answers = 0;
        self.changed = Some(now);
    }

    /// Slots in force, at least one.
    pub(crate) fn slots(&self, now: Instant, limits: &Limits) -> u16 {
        let all = limits.slots.saturating_sub(self.taken).max(1);
        let age = now.saturating_duration_since(self.started);
        if age >= limits.warmup {
            return all;
        }
        let share = age.as_secs_f64() / limits.warmup.as_secs_f64();
        let risen = 1 + (f64::from(limits.slots.saturating_sub(1)) * share) as u16;
        risen.min(all)
    }

    /// Time of the next slot of the slow start.
    pub(crate) fn next_rise(&self, now: Instant, limits: &Limits) -> Option<Instant> {
        let age = now.saturating_duration_since(self.started);
        let steps = u32::from(limits.slots.saturating_sub(1));
        if age >= limits.warmup || steps == 0 {
            return None;
        }
        let step = limits.warmup / steps;
        let done = (age.as_secs_f64() / step.as_secs_f64()) as u32;
        // One ms late, so that rounding can't place the wake before the rise.
        Some(self.started + step * (done + 1) + Duration::from_millis(1))
    }
}
