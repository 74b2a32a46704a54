//! Snapshots and commands, valid and corrupt.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use crate::common::{Log, NOW, member, profile, service};
use api::{BurnBatch, MemberState};
use quickcheck::{TestResult, quickcheck};
use state::{Action, Command, Outcome, State, StateError};
use units::{Incarnation, Millis, Version};

fn populated() -> Log {
    let mut log = Log::with_service();
    log.change_members(&[member("a", 5, MemberState::Serving)], &[]);
    log.change_members(&[member("b", 6, MemberState::Warming)], &[("a", 5)]);
    log.run(Action::Horizon(Millis(77)));
    log.run(Action::Burn(vec![BurnBatch {
        host: "a".parse().unwrap(),
        incarnation: Incarnation(5),
        service: "s".parse().unwrap(),
        number: 1,
        buckets: Vec::new(),
    }]));
    log.put(0, service("s2", "p", 2));
    log.retire("service", "s2", 3);
    log
}

/// Guards against replicas that diverge after one of them was restored from a snapshot.
#[test]
fn restored_replica_applies_commands_identically() {
    let mut log = populated();
    let mut restored = State::default();
    restored.restore(&log.state.snapshot()).unwrap();
    assert_eq!(restored, log.state);
    let command = Command {
        proposed_at: NOW,
        action: Action::Put {
            expected: Version(0),
            key: "1000000-x".into(),
            author: "ann".into(),
            body: service("s2", "p", 2),
        },
    };
    let raw = command.encode().unwrap();
    let index = log.state.index() + 1;
    assert_eq!(log.state.apply(index, &raw), restored.apply(index, &raw));
    assert_eq!(restored, log.state);
    assert_eq!(restored.snapshot(), log.state.snapshot());
}

/// Guards against log entries that are applied twice after a restart.
#[test]
fn log_index_is_applied_once() {
    let mut log = populated();
    let before = log.state.clone();
    let index = before.index();
    let command = Command {
        proposed_at: NOW,
        action: Action::Horizon(Millis(1 << 40)),
    };
    log.state.apply(index, &command.encode().unwrap());
    assert_eq!(log.state, before);
}

/// Guards against a snapshot of another program version that is read as the current format.
#[test]
fn other_snapshot_formats_are_rejected() {
    let mut raw = populated().state.snapshot();
    raw[0] = 9;
    let mut state = State::default();
    let error = state.restore(&raw).unwrap_err();
    assert_eq!(error, StateError::Format { found: 9, known: 1 });
    assert!(state.restore(&[]).is_err());
    assert_eq!(state, State::default());
}

/// Guards against time and horizon going backwards when a new leader's clock is behind.
#[test]
fn time_never_decreases() {
    let mut log = populated();
    log.now = Millis(5);
    log.run(Action::Horizon(Millis(0)));
    assert_eq!((log.state.now(), log.state.horizon()), (NOW, Millis(77)));
}

quickcheck! {
    /// Guards against a panic or a partial restore from a corrupt snapshot.
    fn corrupt_snapshots_change_nothing(offset: usize, flip: u8, removed: usize) -> TestResult {
        let log = populated();
        let mut raw = log.state.snapshot();
        let offset = offset % raw.len();
        raw[offset] ^= flip;
        raw.truncate(raw.len() - removed % raw.len());
        let mut state = State::default();
        match state.restore(&raw) {
            // A flipped bit in a text or number can produce another valid snapshot.
            Ok(()) => TestResult::from_bool(removed.is_multiple_of(log.state.snapshot().len())),
            Err(_) => TestResult::from_bool(state == State::default()),
        }
    }

    /// Guards against a panic on corrupt commands or arbitrary bytes.
    fn corrupt_commands_get_a_valid_outcome(
        offset: usize,
        flip: u8,
        removed: usize,
        noise: Vec<u8>
    ) -> bool {
        let mut log = populated();
        let command = Command {
            proposed_at: NOW,
            action: Action::Put {
                expected: Version(1),
                key: "1000000-q".into(),
                author: "ann".into(),
                body: profile("p", 9),
            },
        };
        let mut raw = command.encode().unwrap();
        let offset = offset % raw.len();
        raw[offset] ^= flip;
        raw.truncate(raw.len() - removed % raw.len());
        let index = log.state.index() + 1;
        let corrupt = log.state.apply(index, &raw);
        let arbitrary = log.state.apply(index + 1, &noise);
        Outcome::decode(&corrupt).is_ok() && Outcome::decode(&arbitrary).is_ok()
    }
}
