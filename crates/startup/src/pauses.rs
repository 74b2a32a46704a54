//! Times in which a process was not run, and changes of the time of day.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// Lateness of a timer from which the process counts as not run.
const LATE: Duration = Duration::from_millis(250);

/// Difference of the two clocks from which the time of day counts as changed.
const APART: Duration = Duration::from_millis(250);

/// Compares timers and clocks with what they should show.
#[derive(Debug)]
pub struct Pauses {
    steady: Instant,
    day: SystemTime,
}

impl Pauses {
    /// Starts from the clocks as they are.
    #[must_use]
    pub fn new(steady: Instant, day: SystemTime) -> Self {
        Self { steady, day }
    }

    /// How long the process was not run, if it waited from `since` until `due` at the latest.
    #[must_use]
    pub fn late(since: Instant, due: Instant, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(due.max(since));
        (late >= LATE).then_some(late)
    }

    /// By how many ms the time of day moved against the steady clock since the last call, if by much.
    pub fn moved(&mut self, steady: Instant, day: SystemTime) -> Option<i64> {
        let passed = millis(steady.saturating_duration_since(self.steady));
        let shown = match day.duration_since(self.day) {
            Ok(forward) => millis(forward),
            Err(back) => -millis(back.duration()),
        };
        (self.steady, self.day) = (steady, day);
        let moved = shown - passed;
        (moved.abs() >= millis(APART)).then_some(moved)
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
