//! Snapshots and commands, whole and damaged.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use crate::common::{Log, NOW, member, profile, service};
use api::{BurnBatch, MemberState};
use quickcheck::{TestResult, quickcheck};
use state::{Action, Command, Outcome, State, StateError};
use units::{Incarnation, Millis, Version};

fn filled() -> Log {
    let mut log = Log::with_service();
    log.members(&[member("a", 5, MemberState::Serving)], &[]);
    log.members(&[member("b", 6, MemberState::Warming)], &[("a", 5)]);
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

/// Guards against replicas that differ after one of them was restored from a snapshot.
#[test]
fn a_restored_replica_goes_on_alike() {
    let mut log = filled();
    let mut other = State::default();
    other.restore(&log.state.snapshot()).unwrap();
    assert_eq!(other, log.state);
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
    assert_eq!(log.state.apply(index, &raw), other.apply(index, &raw));
    assert_eq!(other, log.state);
    assert_eq!(other.snapshot(), log.state.snapshot());
}

/// Guards against entries that are applied twice after a restart.
#[test]
fn an_index_is_applied_once() {
    let mut log = filled();
    let before = log.state.clone();
    let index = before.index();
    let command = Command {
        proposed_at: NOW,
        action: Action::Horizon(Millis(1 << 40)),
    };
    log.state.apply(index, &command.encode().unwrap());
    assert_eq!(log.state, before);
}

/// Guards against a snapshot of another program version that is taken for this one's.
#[test]
fn other_formats_are_refused() {
    let mut raw = filled().state.snapshot();
    raw[0] = 9;
    let mut state = State::default();
    let error = state.restore(&raw).unwrap_err();
    assert_eq!(error, StateError::Format { found: 9, known: 1 });
    assert!(state.restore(&[]).is_err());
    assert_eq!(state, State::default());
}

/// Guards against a clock that goes back with a new leader.
#[test]
fn time_never_goes_back() {
    let mut log = filled();
    log.now = Millis(5);
    log.run(Action::Horizon(Millis(0)));
    assert_eq!((log.state.now(), log.state.horizon()), (NOW, Millis(77)));
}

quickcheck! {
    /// Guards against a panic on, or a half restored, damaged snapshot.
    fn damaged_snapshots_change_nothing(at: usize, flip: u8, cut: usize) -> TestResult {
        let log = filled();
        let mut raw = log.state.snapshot();
        let at = at % raw.len();
        raw[at] ^= flip;
        raw.truncate(raw.len() - cut % raw.len());
        let mut state = State::default();
        match state.restore(&raw) {
            // A flipped bit within a text or number can make another valid snapshot.
            Ok(()) => TestResult::from_bool(cut.is_multiple_of(log.state.snapshot().len())),
            Err(_) => TestResult::from_bool(state == State::default()),
        }
    }

    /// Guards against a panic on damaged or foreign commands.
    fn damaged_commands_are_refused(at: usize, flip: u8, cut: usize, noise: Vec<u8>) -> bool {
        let mut log = filled();
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
        let at = at % raw.len();
        raw[at] ^= flip;
        raw.truncate(raw.len() - cut % raw.len());
        let index = log.state.index() + 1;
        let one = log.state.apply(index, &raw);
        let two = log.state.apply(index + 1, &noise);
        Outcome::decode(&one).is_ok() && Outcome::decode(&two).is_ok()
    }
}
