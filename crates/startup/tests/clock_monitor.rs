//! Guards against outages without a trace in the log: a suspended process, and a system clock that
//! was set.

use std::time::{Duration, SystemTime};

use startup::ClockMonitor;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn timer_in_time_is_not_reported() {
    let start = Instant::now();
    assert_eq!(
        ClockMonitor::timer_delay(start, start + SECOND, start + SECOND),
        None
    );
    assert_eq!(
        ClockMonitor::timer_delay(start, start + SECOND, start),
        None
    );
}

#[test]
fn late_timer_reports_its_delay() {
    let start = Instant::now();
    let late = ClockMonitor::timer_delay(start, start + SECOND, start + 3 * SECOND);
    assert_eq!(late, Some(2 * SECOND));
}

#[test]
fn delay_of_an_overdue_timer_counts_from_the_start_of_the_wait() {
    let start = Instant::now() + 5 * SECOND;
    assert_eq!(
        ClockMonitor::timer_delay(start, start - 5 * SECOND, start),
        None
    );
}

#[test]
fn clocks_that_advance_together_report_no_step() {
    let (monotonic, system) = (Instant::now(), SystemTime::now());
    let mut monitor = ClockMonitor::new(monotonic, system);
    assert_eq!(
        monitor.clock_step_ms(monotonic + SECOND, system + SECOND),
        None
    );
}

#[test]
fn clock_step_is_reported_once_with_its_sign() {
    let (monotonic, system) = (Instant::now(), SystemTime::now());
    let mut monitor = ClockMonitor::new(monotonic, system);
    assert_eq!(
        monitor.clock_step_ms(monotonic + SECOND, system + 4 * SECOND),
        Some(3_000)
    );
    assert_eq!(
        monitor.clock_step_ms(monotonic + 2 * SECOND, system),
        Some(-5_000)
    );
    assert_eq!(
        monitor.clock_step_ms(monotonic + 3 * SECOND, system + SECOND),
        None
    );
}
