//! The comparison of what callers were told with what backend servers did.

use load::backend::{End, Entry};
use load::caller::Outcome;
use load::ledger::{Line, judge};

fn line(id: &str, outcome: Outcome, at: u64) -> Line {
    Line {
        id: id.into(),
        key: None,
        idempotent: false,
        outcome,
        at,
    }
}

fn entry(id: &str, begun: u64) -> Entry {
    Entry {
        id: id.into(),
        key: None,
        method: "POST".into(),
        path: "/".into(),
        begun,
        ended: None,
        end: End::Done,
    }
}

/// Guards against a comparison that finds nothing: each bad history has to be found.
#[test]
fn bad_histories_are_found() {
    let ran = judge(&[line("a", Outcome::NotRun, 5)], &[entry("a", 9)]);
    assert_eq!(ran.ran, ["a".into()]);
    let before = [
        line("a", Outcome::NotRun, 5),
        line("a", Outcome::Complete, 20),
    ];
    assert_eq!(judge(&before, &[entry("a", 4)]).ran, ["a".into()]);
    let twice = judge(
        &[line("a", Outcome::Complete, 5)],
        &[entry("a", 1), entry("a", 2)],
    );
    assert_eq!(twice.repeated, ["a".into()]);
    assert_eq!(
        judge(&[line("a", Outcome::Complete, 5)], &[]).invented,
        ["a".into()]
    );
    assert_eq!(
        judge(&[line("a", Outcome::Wrong, 5)], &[entry("a", 1)]).wrong,
        ["a".into()]
    );
    let mut keyed = [entry("a", 1), entry("b", 2)];
    keyed
        .iter_mut()
        .for_each(|entry| entry.key = Some("k".into()));
    assert_eq!(judge(&[], &keyed).repeated, ["k".into()]);
}

/// Guards against a comparison that objects to allowed histories.
#[test]
fn good_histories_are_accepted() {
    let lines = [
        line("a", Outcome::NotRun, 5),
        line("a", Outcome::Complete, 20),
        line("b", Outcome::NotRun, 5),
        line("c", Outcome::Unknown, 5),
        line("d", Outcome::AttemptNotRun, 5),
    ];
    let verdict = judge(&lines, &[entry("a", 9), entry("c", 2), entry("d", 1)]);
    assert!(verdict.is_clean(), "{verdict:?}");
    assert_eq!(verdict.counts[&Outcome::NotRun], 2);
}
