//! Guards against times without answers that leave nothing in the log: a process that was suspended,
//! and a time of day that was set.

use std::time::{Duration, SystemTime};

use startup::Pauses;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_timer_in_time_is_no_pause() {
    let start = Instant::now();
    assert_eq!(Pauses::late(start, start + SECOND, start + SECOND), None);
    assert_eq!(Pauses::late(start, start + SECOND, start), None);
}

#[test]
fn a_late_timer_shows_how_long_the_process_was_not_run() {
    let start = Instant::now();
    let late = Pauses::late(start, start + SECOND, start + 3 * SECOND);
    assert_eq!(late, Some(2 * SECOND));
}

#[test]
fn a_timer_that_was_due_before_the_wait_counts_from_the_wait() {
    let start = Instant::now() + 5 * SECOND;
    assert_eq!(Pauses::late(start, start - 5 * SECOND, start), None);
}

#[test]
fn clocks_that_move_together_show_nothing() {
    let (steady, day) = (Instant::now(), SystemTime::now());
    let mut pauses = Pauses::new(steady, day);
    assert_eq!(pauses.moved(steady + SECOND, day + SECOND), None);
}

#[test]
fn a_set_time_of_day_shows_once_with_its_sign() {
    let (steady, day) = (Instant::now(), SystemTime::now());
    let mut pauses = Pauses::new(steady, day);
    assert_eq!(pauses.moved(steady + SECOND, day + 4 * SECOND), Some(3_000));
    assert_eq!(pauses.moved(steady + 2 * SECOND, day), Some(-5_000));
    assert_eq!(pauses.moved(steady + 3 * SECOND, day + SECOND), None);
}
