//! Reports of a backend server.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::time::Duration;

use forwarding::Backend;
use opaque::agent::{BackendReport, BackendState, Reported, Reports};
use quickcheck::quickcheck;
use tokio::time::Instant;
use units::Millis;

const SILENCE: Duration = Duration::from_secs(3);

/// Time of day of the tests.
const CLOCK: Millis = Millis(1_000_000);

/// Age of the start at 10 then.
const AGE: Duration = Duration::from_millis(999_990);

fn reports() -> Reports {
    Reports::new("s".parse().unwrap(), SILENCE)
}

/// Report `number` of the start at `started`.
fn report(started: u64, number: u64) -> BackendReport {
    BackendReport {
        id: format!("i-{started}").into(),
        started: Millis(started),
        number,
        service: "s".parse().unwrap(),
        slots: 4,
        state: BackendState::Ready,
    }
}

fn draining(started: u64, number: u64) -> BackendReport {
    BackendReport {
        state: BackendState::Draining,
        ..report(started, number)
    }
}

/// Guards against a backend server that is not known, or not forgotten in time.
#[test]
fn silence_ends_a_backend_server() {
    let (mut reports, now) = (reports(), Instant::now());
    assert_eq!(reports.current(now), None);
    assert_eq!(
        reports.take(now, CLOCK, report(10, 1)),
        Ok(Reported::Changed)
    );
    let expected = Backend {
        incarnation: 1,
        started: now - AGE - Duration::from_millis(500),
        predates_agent: false,
        slots: 4,
        accepting: true,
    };
    let last = now + SILENCE;
    assert_eq!(reports.deadline(), Some(last));
    assert_eq!(
        reports.current(last - Duration::from_millis(1)),
        Some(expected)
    );
    assert_eq!(reports.current(last), None);
    // It was only silent: the same start goes on, and its flows with it.
    assert_eq!(
        reports.take(last, CLOCK, report(10, 5)),
        Ok(Reported::Changed)
    );
    assert_eq!(reports.current(last), Some(expected));
}

/// Guards against flows of a new start that count as those of the one before: a start is as old as
/// it says, but not older than the last report of the one before, whatever the clock shows.
#[test]
fn the_time_of_a_start_is_known() {
    let started = |clock: u64| {
        let (mut reports, now) = (reports(), Instant::now() + Duration::from_secs(60));
        reports.take(now, CLOCK, report(10, 1)).unwrap();
        let later = now + Duration::from_secs(2);
        reports
            .take(later, Millis(clock), report(20_000, 1))
            .unwrap();
        later - reports.current(later).unwrap().started
    };
    assert_eq!(started(20_300), Duration::from_millis(800), "300 ms old");
    assert_eq!(
        started(90_000),
        Duration::from_secs(2),
        "a clock set forward"
    );
    assert_eq!(
        started(10_000),
        Duration::from_millis(500),
        "a clock set back"
    );
}

/// Guards against a delayed report that undoes a newer one, such as the end of a drain.
#[test]
fn late_reports_change_nothing() {
    let (mut reports, now) = (reports(), Instant::now());
    reports.take(now, CLOCK, report(10, 1)).unwrap();
    assert_eq!(
        reports.take(now, CLOCK, draining(10, 7)),
        Ok(Reported::Changed)
    );
    assert_eq!(reports.take(now, CLOCK, report(10, 6)), Ok(Reported::Late));
    assert!(!reports.current(now).unwrap().accepting);
    // A late report is no sign of life either.
    reports
        .take(now + SILENCE / 2, CLOCK, report(10, 6))
        .unwrap();
    assert_eq!(reports.current(now + SILENCE), None);
}

/// Guards against flows that stay although their backend server crashed, and against a report of the
/// crashed one that ends those of its successor.
#[test]
fn starts_are_told_apart() {
    let (mut reports, now) = (reports(), Instant::now());
    reports.take(now, CLOCK, report(10, 8)).unwrap();
    assert_eq!(
        reports.take(now, CLOCK, report(20, 1)),
        Ok(Reported::Changed)
    );
    assert_eq!(reports.current(now).unwrap().incarnation, 2);
    assert_eq!(
        reports.take(now, CLOCK, draining(10, 9)),
        Ok(Reported::Late)
    );
    assert_eq!(reports.current(now).unwrap().incarnation, 2);
    // The same id may start again.
    let again = BackendReport {
        id: "i-20".into(),
        ..report(30, 1)
    };
    reports.take(now, CLOCK, again).unwrap();
    assert_eq!(reports.current(now).unwrap().incarnation, 3);
}

/// Guards against a clock that jumped back and hides a new start for ever.
#[test]
fn a_start_that_looks_earlier_is_taken_after_silence() {
    let (mut reports, now) = (reports(), Instant::now());
    reports.take(now, CLOCK, report(20, 8)).unwrap();
    assert_eq!(reports.take(now, CLOCK, report(10, 1)), Ok(Reported::Late));
    reports.take(now + SILENCE, CLOCK, report(10, 2)).unwrap();
    assert_eq!(reports.current(now + SILENCE).unwrap().incarnation, 2);
}

/// Guards against an agent that takes itself for older than its backend server and so loses flows
/// that it never saw open: only an early first report shows that it was there first.
#[test]
fn the_first_report_tells_who_is_older() {
    for (first, older) in [(1, false), (2, false), (3, true), (900, true)] {
        let (mut reports, now) = (reports(), Instant::now());
        reports.take(now, CLOCK, report(10, first)).unwrap();
        reports.take(now, CLOCK, report(10, first + 50)).unwrap();
        assert_eq!(
            reports.current(now).unwrap().predates_agent,
            older,
            "{first}"
        );
    }
}

/// Guards against a backend server of another service that gets requests.
#[test]
fn other_services_are_refused() {
    let (mut reports, now) = (reports(), Instant::now());
    let other = BackendReport {
        service: "t".parse().unwrap(),
        ..report(10, 1)
    };
    let error = reports.take(now, CLOCK, other).unwrap_err();
    let expected = "backend server i-10 runs t; this agent serves s";
    assert_eq!(error.to_string(), expected);
    assert_eq!(reports.current(now), None);
}

/// Guards against a farewell of an earlier backend server that ends its successor.
#[test]
fn a_late_farewell_changes_nothing() {
    let (mut reports, now) = (reports(), Instant::now());
    reports.take(now, CLOCK, report(10, 1)).unwrap();
    reports.take(now, CLOCK, report(20, 1)).unwrap();
    assert_eq!(reports.left("i-10"), Reported::Late);
    assert!(reports.current(now).is_some());
    assert_eq!(reports.left("i-20"), Reported::Changed);
    assert_eq!(reports.current(now), None);
}

quickcheck! {
    /// Guards against an order of arrival that matters: once every report of two starts came, the
    /// newest one of the later start counts.
    fn any_order_ends_the_same(order: Vec<u8>) -> bool {
        let (mut reports, now) = (reports(), Instant::now());
        let mut left: Vec<_> = (1..=4).map(|n| report(10, n)).collect();
        left.extend((1..=3).map(|n| report(20, n)));
        left.push(draining(20, 4));
        for choice in order.iter().chain(&[0; 8]) {
            if left.is_empty() {
                break;
            }
            let next = left.remove(usize::from(*choice) % left.len());
            reports.take(now, CLOCK, next).unwrap();
        }
        reports.current(now).is_some_and(|backend| !backend.accepting)
    }
}
