//! Detection of times when a process was not scheduled, and of steps of the system clock.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// Timer delay from which the process counts as not scheduled.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(250);

/// Difference between the two clocks from which the system clock counts as stepped.
const MIN_CLOCK_STEP: Duration = Duration::from_millis(250);

/// Compares the system clock with the monotonic clock, and timers with their due times.
#[derive(Debug)]
pub struct ClockMonitor {
    monotonic: Instant,
    system: SystemTime,
}

impl ClockMonitor {
    /// Starts from the given readings of both clocks.
    #[must_use]
    pub fn new(monotonic: Instant, system: SystemTime) -> Self {
        Self { monotonic, system }
    }

    /// Returns by how much a wait from `since` until `due` was exceeded, if the process was not
    /// scheduled in time.
    #[must_use]
    pub fn timer_delay(since: Instant, due: Instant, now: Instant) -> Option<Duration> {
        let delay = now.saturating_duration_since(due.max(since));
        (delay >= MIN_TIMER_DELAY).then_some(delay)
    }

    /// Returns the step of the system clock against the monotonic clock since the last call in ms,
    /// if it reaches the threshold.
    pub fn clock_step_ms(&mut self, monotonic: Instant, system: SystemTime) -> Option<i64> {
        let elapsed = millis(monotonic.saturating_duration_since(self.monotonic));
        let system_elapsed = match system.duration_since(self.system) {
            Ok(forward) => millis(forward),
            Err(back) => -millis(back.duration()),
        };
        (self.monotonic, self.system) = (monotonic, system);
        let step = system_elapsed - elapsed;
        (step.abs() >= millis(MIN_CLOCK_STEP)).then_some(step)
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
