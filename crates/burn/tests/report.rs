//! Ledger, windows and burn report.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use api::{Bucket, BurnBatch, Counts};
use burn::{ExpectedAgent, Ledger, MAX_AGENTS, MAX_BUCKETS, service_report};
use profile::{Objective, Profile};
use quickcheck::quickcheck;
use units::{ClassName, HostName, Incarnation, Millis, Percent, ServiceId};

const SERVICE: ServiceId = ServiceId(1);
const DAY: u64 = 86_400_000;
const NOW: Millis = Millis(1_000 * DAY);

fn class() -> ClassName {
    "short".parse().unwrap()
}

fn batch(host: &str, start: u64, number: u64, minutes: &[(u64, Counts)]) -> BurnBatch {
    let bucket = |(minute, counts): &(u64, Counts)| Bucket {
        minute: *minute,
        class: Some(class()),
        counts: *counts,
    };
    BurnBatch {
        host: host.parse().unwrap(),
        incarnation: Incarnation(start),
        service: "s".parse().unwrap(),
        number,
        buckets: minutes.iter().map(bucket).collect(),
    }
}

fn counts(good: u64, bad: u64) -> Counts {
    Counts {
        good,
        bad,
        ..Counts::default()
    }
}

fn sum(ledger: &Ledger, now: Millis, window: u64) -> Counts {
    ledger.sum(now, SERVICE, Some(&class()), Millis(window))
}

/// Guards against counting a resent, late or reordered batch twice.
#[test]
fn counts_each_batch_once() {
    let minute = NOW.0 / 60_000;
    let mut ledger = Ledger::default();
    // (start, number, acknowledged, good counted so far)
    let cases = [
        (5, 1, 1, 10),
        (5, 1, 1, 10),
        (5, 2, 2, 20),
        (5, 1, 2, 20),
        (6, 1, 1, 30),
        (5, 2, 2, 30),
        (6, 1, 1, 30),
    ];
    for (start, number, acknowledged, good) in cases {
        let sent = batch("a", start, number, &[(minute, counts(10, 0))]);
        assert_eq!(ledger.add(NOW, SERVICE, &sent), acknowledged);
        assert_eq!(sum(&ledger, NOW, 300_000).good, good, "{start}/{number}");
    }
}

/// Guards against counts that are missing from a window or stay in it after it has passed.
#[test]
fn windows_cover_their_length() {
    for (window, tier) in [(300_000, 1), (3_600_000, 1), (21_600_000, 5), (3 * DAY, 60)] {
        let mut ledger = Ledger::default();
        let sent = batch("a", 1, 1, &[(NOW.0 / 60_000, counts(1, 1))]);
        ledger.add(NOW, SERVICE, &sent);
        assert_eq!(sum(&ledger, Millis(NOW.0 + window), window), counts(1, 1));
        let after = Millis(NOW.0 + window + 2 * tier * 60_000);
        assert_eq!(sum(&ledger, after, window), Counts::default(), "{window}");
    }
}

/// Guards against an agent with a wrong clock that adds counts outside every window or to a window
/// that has passed.
#[test]
fn effect_of_wrong_clocks_is_bounded() {
    let mut ledger = Ledger::default();
    let minute = NOW.0 / 60_000;
    let ahead = batch("a", 1, 1, &[(minute + 100_000, counts(0, 3))]);
    ledger.add(NOW, SERVICE, &ahead);
    assert_eq!(sum(&ledger, NOW, 300_000).bad, 3);
    let later = Millis(NOW.0 + 3_600_000);
    assert_eq!(sum(&ledger, later, 300_000).bad, 0);
    let mut without = ledger.clone();
    let behind = batch("a", 1, 2, &[(minute - 4 * 1_440, counts(0, 5))]);
    ledger.add(NOW, SERVICE, &behind);
    without.add(NOW, SERVICE, &batch("a", 1, 2, &[]));
    assert_eq!(ledger, without);
}

fn profile() -> Profile {
    let text = r#"{"name":"p","protocol":"http",
        "classes":[{"name":"short","path":"/","idempotent":true,"deadline_ms":100}]}"#;
    let mut profile = parse_profile(text);
    profile.objectives.push(Objective {
        class: class(),
        latency_ms: Millis(100),
        share: Percent::try_from(99.0).unwrap(),
    });
    profile
}

fn parse_profile(text: &str) -> Profile {
    serde_json::from_str(text).unwrap()
}

fn expected(host: &str, start: u64) -> ExpectedAgent {
    ExpectedAgent {
        host: host.parse().unwrap(),
        incarnation: Incarnation(start),
    }
}

/// Guards against alerts that are missed, or raised by only one window of a pair.
#[test]
fn alert_requires_both_windows_of_a_pair() {
    let minute = NOW.0 / 60_000;
    // (bad of 1,000 now, good 30 min ago, good 10 h ago, alert)
    let cases = [
        (144, 0, 0, true),
        (144, 0, 100_000, true), // only the 5 min and 1 h windows
        (143, 0, 100_000, false),
        (500, 100_000, 0, false), // only the 5 min window
        (10, 0, 0, true),         // only the 6 h and 3 days windows
        (9, 0, 0, false),
        (0, 0, 0, false),
    ];
    for (bad, recent, old, alert) in cases {
        let mut ledger = Ledger::default();
        let minutes = [
            (minute, counts(1_000 - bad, bad)),
            (minute - 30, counts(recent, 0)),
            (minute - 600, counts(old, 0)),
        ];
        ledger.add(NOW, SERVICE, &batch("a", 1, 1, &minutes));
        let name = "s".parse().unwrap();
        let report = service_report(NOW, &ledger, &name, SERVICE, &profile(), &[]);
        let found = report.objectives[0].alert;
        assert_eq!(found, alert, "{bad} {recent} {old}");
    }
}

/// Guards against a silent agent that counts as good, and against a burn rate of zero when nothing was
/// measured.
#[test]
fn silent_agents_are_listed_and_never_count_as_good() {
    let mut ledger = Ledger::default();
    let name = "s".parse().unwrap();
    ledger.add(NOW, SERVICE, &batch("alive", 1, 1, &[]));
    let early = Millis(NOW.0 - 300_000);
    ledger.add(early, SERVICE, &batch("stopped", 1, 1, &[]));
    ledger.add(NOW, SERVICE, &batch("restarted", 1, 1, &[]));
    let agents = [
        expected("alive", 1),
        expected("stopped", 1),
        expected("never", 1),
        expected("restarted", 2),
        expected("new", NOW.0 - 59_999),
        expected("late", NOW.0 - 60_000),
    ];
    let report = service_report(NOW, &ledger, &name, SERVICE, &profile(), &agents);
    let host = |name: &str| name.parse::<HostName>().unwrap();
    assert_eq!(report.measured, [host("alive")]);
    let silent = ["stopped", "never", "restarted", "late"].map(host);
    assert_eq!(report.silent, silent);
    assert!(
        report.objectives[0]
            .windows
            .iter()
            .all(|w| w.rate.is_none())
    );
    assert_eq!(report.counts, Counts::default());
}

/// Guards against memory use that grows without limit with the number of agents or buckets sent.
#[test]
fn agents_and_buckets_over_the_limits_are_discarded() {
    let mut ledger = Ledger::default();
    for number in 0..=MAX_AGENTS as u64 {
        let now = Millis(NOW.0 + number / 1_000);
        ledger.add(now, SERVICE, &batch("a", number, 1, &[]));
    }
    let host = "a".parse().unwrap();
    let last_received = |start| ledger.last_received(SERVICE, &host, Incarnation(start));
    assert!(last_received(0).is_none());
    assert!(last_received(1).is_some() && last_received(MAX_AGENTS as u64).is_some());

    let mut ledger = Ledger::default();
    let minutes = vec![(NOW.0 / 60_000, counts(1, 0)); MAX_BUCKETS + 1];
    ledger.add(NOW, SERVICE, &batch("a", 1, 1, &minutes));
    assert_eq!(sum(&ledger, NOW, 300_000).good, MAX_BUCKETS as u64);
}

quickcheck! {
    /// Guards against counts that are lost or counted twice between the resolutions.
    fn longer_windows_contain_the_counts_of_shorter_ones(minutes: Vec<(u8, u8)>) -> bool {
        let mut ledger = Ledger::default();
        let last = NOW.0 / 60_000;
        let mut total = 0;
        for (number, (ago, good)) in (1_u64..).zip(&minutes) {
            let sent = [(last - u64::from(*ago), counts((*good).into(), 0))];
            ledger.add(NOW, SERVICE, &batch("a", 1, number, &sent));
            total += u64::from(*good);
        }
        let sums = [300_000, 3_600_000, 21_600_000, 3 * DAY].map(|w| sum(&ledger, NOW, w).good);
        sums.is_sorted() && sums[2] == total && sums[3] == total
    }
}
