//! Tests of tracking the backend server by its reports.

#![expect(clippy::unwrap_used, reason = "a failed setup ends the test")]

use std::time::Duration;

use forwarding::Backend;
use opaque::agent::{BackendReport, BackendState, BackendTracker, ReportOutcome};
use quickcheck::quickcheck;
use tokio::time::Instant;
use units::Millis;

const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// System time at which the tests start.
const UNIX_TIME: Millis = Millis(1_000_000);

/// Age at that time of a backend server that started at 10 ms.
const BACKEND_AGE: Duration = Duration::from_millis(999_990);

fn tracker() -> BackendTracker {
    BackendTracker::new("s".parse().unwrap(), REPORT_TIMEOUT)
}

/// Report of a ready backend server that started at `started`, in ms.
fn report(started: u64, sequence: u64) -> BackendReport {
    BackendReport {
        id: format!("i-{started}").into(),
        started: Millis(started),
        sequence,
        service: "s".parse().unwrap(),
        slots: 4,
        state: BackendState::Ready,
    }
}

fn draining(started: u64, sequence: u64) -> BackendReport {
    BackendReport {
        state: BackendState::Draining,
        ..report(started, sequence)
    }
}

/// Guards against ignoring a reported backend server, and against keeping one whose reports stopped.
#[test]
fn backend_server_without_reports_times_out() {
    let (mut tracker, now) = (tracker(), Instant::now());
    assert_eq!(tracker.current(now), None);
    assert_eq!(
        tracker.record(now, UNIX_TIME, report(10, 1)),
        Ok(ReportOutcome::Changed)
    );
    let expected = Backend {
        incarnation: 1,
        started: now - BACKEND_AGE - Duration::from_millis(500),
        predates_agent: true,
        slots: 4,
        accepting: true,
    };
    let last = now + REPORT_TIMEOUT;
    assert_eq!(tracker.deadline(), Some(last));
    assert_eq!(
        tracker.current(last - Duration::from_millis(1)),
        Some(expected)
    );
    assert_eq!(tracker.current(last), None);
    // The same incarnation reports again, so its flows remain.
    assert_eq!(
        tracker.record(last, UNIX_TIME, report(10, 5)),
        Ok(ReportOutcome::Changed)
    );
    assert_eq!(tracker.current(last), Some(expected));
}

/// Guards against attributing flows of a new incarnation to the previous one: the reported start time
/// counts, but whatever the clocks show, an incarnation is no older than the last report of the
/// previous one.
#[test]
fn start_time_is_bounded_by_the_previous_report() {
    let started = |unix_time: u64| {
        let (mut tracker, now) = (tracker(), Instant::now() + Duration::from_secs(60));
        tracker.record(now, UNIX_TIME, report(10, 1)).unwrap();
        let later = now + Duration::from_secs(2);
        tracker
            .record(later, Millis(unix_time), report(20_000, 1))
            .unwrap();
        later - tracker.current(later).unwrap().started
    };
    assert_eq!(started(20_300), Duration::from_millis(800), "300 ms old");
    assert_eq!(started(90_000), Duration::from_secs(2), "clock set forward");
    assert_eq!(
        started(10_000),
        Duration::from_millis(500),
        "clock set back"
    );
}

/// Guards against a delayed report that overrides a newer one, for example by ending a drain.
#[test]
fn late_reports_change_nothing() {
    let (mut tracker, now) = (tracker(), Instant::now());
    tracker.record(now, UNIX_TIME, report(10, 1)).unwrap();
    assert_eq!(
        tracker.record(now, UNIX_TIME, draining(10, 7)),
        Ok(ReportOutcome::Changed)
    );
    assert_eq!(
        tracker.record(now, UNIX_TIME, report(10, 6)),
        Ok(ReportOutcome::Late)
    );
    assert!(!tracker.current(now).unwrap().accepting);
    // A late report doesn't extend the timeout either.
    tracker
        .record(now + REPORT_TIMEOUT / 2, UNIX_TIME, report(10, 6))
        .unwrap();
    assert_eq!(tracker.current(now + REPORT_TIMEOUT), None);
}

/// Guards against keeping the flows of a crashed backend server, and against a late report of the
/// crashed one that ends the flows of its successor.
#[test]
fn incarnations_are_distinguished() {
    let (mut tracker, now) = (tracker(), Instant::now());
    tracker.record(now, UNIX_TIME, report(10, 8)).unwrap();
    assert_eq!(
        tracker.record(now, UNIX_TIME, report(20, 1)),
        Ok(ReportOutcome::Changed)
    );
    assert_eq!(tracker.current(now).unwrap().incarnation, 2);
    assert_eq!(
        tracker.record(now, UNIX_TIME, draining(10, 9)),
        Ok(ReportOutcome::Late)
    );
    assert_eq!(tracker.current(now).unwrap().incarnation, 2);
    // A restarted backend server may keep its id.
    let restarted = BackendReport {
        id: "i-20".into(),
        ..report(30, 1)
    };
    tracker.record(now, UNIX_TIME, restarted).unwrap();
    assert_eq!(tracker.current(now).unwrap().incarnation, 3);
}

/// Guards against ignoring a new incarnation forever because the clock was set back.
#[test]
fn incarnation_that_looks_earlier_is_accepted_after_the_timeout() {
    let (mut tracker, now) = (tracker(), Instant::now());
    tracker.record(now, UNIX_TIME, report(20, 8)).unwrap();
    assert_eq!(
        tracker.record(now, UNIX_TIME, report(10, 1)),
        Ok(ReportOutcome::Late)
    );
    tracker
        .record(now + REPORT_TIMEOUT, UNIX_TIME, report(10, 2))
        .unwrap();
    assert_eq!(
        tracker.current(now + REPORT_TIMEOUT).unwrap().incarnation,
        2
    );
}

/// Guards against an agent that wrongly assumes that it started before its backend server, and so
/// loses flows whose start it didn't see: an agent that restarted beside a young one got its second
/// report first (review/4). Only the end of an earlier one that reported here shows it.
#[test]
fn backend_server_may_be_older_unless_it_follows_a_reported_one() {
    for first in [0, 1, 2, 3, 900] {
        let (mut tracker, now) = (tracker(), Instant::now());
        for sequence in [first, first + 50] {
            tracker
                .record(now, UNIX_TIME, report(10, sequence))
                .unwrap();
            assert!(tracker.current(now).unwrap().predates_agent, "{first}");
        }
        tracker.record(now, UNIX_TIME, report(20, first)).unwrap();
        assert!(!tracker.current(now).unwrap().predates_agent, "{first}");
    }
}

/// Guards against an agent that leaves the table when it is stopped although its backend server holds flows:
/// one that drains, or one that hasn't reported to this process yet (review/2).
#[test]
fn only_a_backend_server_that_reported_here_has_ended() {
    let (mut tracker, now) = (tracker(), Instant::now());
    assert!(!tracker.has_ended(now), "not reported yet");
    tracker.record(now, UNIX_TIME, report(10, 1)).unwrap();
    assert!(!tracker.has_ended(now));
    tracker.record(now, UNIX_TIME, draining(10, 2)).unwrap();
    assert!(!tracker.has_ended(now), "it drains");
    assert!(tracker.has_ended(now + REPORT_TIMEOUT));
    tracker.remove("i-10");
    assert!(tracker.has_ended(now), "it left");
}

/// Guards against sending requests to a backend server of another service.
#[test]
fn other_services_are_refused() {
    let (mut tracker, now) = (tracker(), Instant::now());
    let other = BackendReport {
        service: "t".parse().unwrap(),
        ..report(10, 1)
    };
    let error = tracker.record(now, UNIX_TIME, other).unwrap_err();
    let expected = "backend server i-10 runs t; this agent serves s";
    assert_eq!(error.to_string(), expected);
    assert_eq!(tracker.current(now), None);
}

/// Guards against a late leave message of a previous backend server that removes its successor.
#[test]
fn late_leave_message_changes_nothing() {
    let (mut tracker, now) = (tracker(), Instant::now());
    tracker.record(now, UNIX_TIME, report(10, 1)).unwrap();
    tracker.record(now, UNIX_TIME, report(20, 1)).unwrap();
    assert_eq!(tracker.remove("i-10"), ReportOutcome::Late);
    assert!(tracker.current(now).is_some());
    assert_eq!(tracker.remove("i-20"), ReportOutcome::Changed);
    assert_eq!(tracker.current(now), None);
}

quickcheck! {
    /// Guards against a result that depends on the order of arrival: once all reports of two
    /// incarnations have arrived, the newest one of the later incarnation counts.
    fn order_of_reports_does_not_matter(order: Vec<u8>) -> bool {
        let (mut tracker, now) = (tracker(), Instant::now());
        let mut remaining: Vec<_> = (1..=4).map(|n| report(10, n)).collect();
        remaining.extend((1..=3).map(|n| report(20, n)));
        remaining.push(draining(20, 4));
        for choice in order.iter().chain(&[0; 8]) {
            if remaining.is_empty() {
                break;
            }
            let next = remaining.remove(usize::from(*choice) % remaining.len());
            tracker.record(now, UNIX_TIME, next).unwrap();
        }
        tracker.current(now).is_some_and(|backend| !backend.accepting)
    }
}
