//! A leader; the tests send the messages of its followers.

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use replication::*;
use units::ReplicaId;

const SECOND: ReplicaId = ReplicaId(2);

/// Membership with three voters.
fn three_voters() -> Config {
    let address = ([10, 0, 0, 1], 7).into();
    Config::new((1..=3).map(|n| (ReplicaId(n), address)))
}

/// Replica 1 of three as leader of term 4, with an entry of term 2 at index 2
/// and its own first entry at index 3.
fn leader(now: Instant) -> ReplicaState {
    let config = three_voters();
    let entries = vec![
        Entry {
            term: 1,
            index: 1,
            payload: Payload::Config(config),
        },
        Entry {
            term: 2,
            index: 2,
            payload: Payload::Command(vec![1].into()),
        },
    ];
    let vote = Vote {
        term: 3,
        voted_for: None,
    };
    let restored = Restored {
        vote,
        entries,
        ..Restored::default()
    };
    let rng = StdRng::seed_from_u64(1);
    let mut state = ReplicaState::new(Settings::default(), restored, rng, now);
    let due = state.deadline();
    state.handle(due, Event::Tick, &mut Vec::new());
    for body in [
        Body::PreVoteReply { granted: true },
        Body::VoteReply { granted: true },
    ] {
        reply(&mut state, due, body);
    }
    assert_eq!(
        (state.role(), state.term(), state.last_index()),
        (RoleName::Leader, 4, 3)
    );
    state
}

fn reply(state: &mut ReplicaState, now: Instant, body: Body) -> Vec<Action> {
    reply_from(SECOND, state, now, body)
}

fn reply_from(from: ReplicaId, state: &mut ReplicaState, now: Instant, body: Body) -> Vec<Action> {
    let mut out = Vec::new();
    let message = Message { term: 4, body };
    state.handle(now, Event::Message { from, message }, &mut out);
    out
}

/// Guards against committing an entry of an earlier term just because a quorum holds it:
/// a later leader may still replace it.
#[test]
fn entry_of_an_earlier_term_is_not_committed_alone() {
    let now = Instant::now();
    let mut state = leader(now);
    state.handle(now, Event::Stored { seq: u64::MAX }, &mut Vec::new());
    reply(&mut state, now, Body::Accepted { match_index: 2 });
    assert_eq!(state.commit_index(), 0);
    reply(&mut state, now, Body::Accepted { match_index: 3 });
    assert_eq!(state.commit_index(), 3);
}

/// Guards against a leader that counts its own entry before it is synced.
#[test]
fn unsynced_entry_of_the_leader_does_not_count() {
    let now = Instant::now();
    let mut state = leader(now);
    reply(&mut state, now, Body::Accepted { match_index: 3 });
    assert_eq!(state.commit_index(), 0);
    state.handle(now, Event::Stored { seq: u64::MAX }, &mut Vec::new());
    assert_eq!(state.commit_index(), 3);
}

/// Guards against replies that are sent before the write that they depend on.
#[test]
fn replies_wait_for_the_write() {
    let now = Instant::now();
    let mut state = leader(now);
    let sends_wait = |out: &[Action]| {
        let stored = out.iter().find_map(|a| match a {
            Action::Store { seq, .. } => Some(*seq),
            _ => None,
        });
        out.iter()
            .all(|a| !matches!(a, Action::Send { after, .. } if Some(*after) < stored))
            && stored.is_some()
    };
    let mut out = Vec::new();
    let body = Body::Vote {
        last_index: 9,
        last_term: 9,
        transfer: true,
    };
    let message = Message { term: 9, body };
    state.handle(
        now,
        Event::Message {
            from: SECOND,
            message,
        },
        &mut out,
    );
    assert!(sends_wait(&out) && out.len() > 1, "{out:?}");
    let mut out = Vec::new();
    let entries = vec![Entry {
        term: 9,
        index: 4,
        payload: Payload::Empty,
    }];
    let body = Body::Append {
        prev_index: 3,
        prev_term: 4,
        entries,
        commit_index: 0,
    };
    let message = Message { term: 9, body };
    state.handle(
        now,
        Event::Message {
            from: SECOND,
            message,
        },
        &mut out,
    );
    assert!(sends_wait(&out) && out.len() > 1, "{out:?}");
}

/// Guards against a vote for a candidate whose log is less up to date, and against two
/// votes in a term.
#[test]
fn vote_needs_a_current_log_and_is_given_once() {
    let now = Instant::now();
    let mut state = leader(now);
    let mut ask = |from, term, last_index, last_term| {
        let body = Body::Vote {
            last_index,
            last_term,
            transfer: true,
        };
        let mut out = Vec::new();
        let message = Message { term, body };
        state.handle(now, Event::Message { from, message }, &mut out);
        out.iter().any(|a| {
            let Action::Send { message, .. } = a else {
                return false;
            };
            message.body == Body::VoteReply { granted: true }
        })
    };
    assert!(!ask(SECOND, 9, 2, 4), "shorter log");
    assert!(!ask(SECOND, 10, 9, 3), "older last entry");
    assert!(ask(SECOND, 11, 3, 4));
    assert!(!ask(ReplicaId(3), 11, 9, 9), "second vote in a term");
    assert!(ask(SECOND, 11, 3, 4), "repeated request");
}

/// Guards against a group without a leader for a whole election timeout after two
/// candidates split the vote.
#[test]
fn denied_candidate_soon_sends_a_pre_vote() {
    let now = Instant::now();
    let (settings, heartbeat_interval) =
        (Settings::default(), Settings::default().heartbeat_interval);
    let entries = vec![Entry {
        term: 1,
        index: 1,
        payload: Payload::Config(three_voters()),
    }];
    let vote = Vote {
        term: 3,
        voted_for: None,
    };
    let restored = Restored {
        vote,
        entries,
        ..Restored::default()
    };
    let mut state = ReplicaState::new(settings, restored, StdRng::seed_from_u64(1), now);
    let due = state.deadline();
    state.handle(due, Event::Tick, &mut Vec::new());
    reply(&mut state, due, Body::PreVoteReply { granted: true });
    assert_eq!((state.role(), state.term()), (RoleName::Candidate, 4));
    reply(&mut state, due, Body::VoteReply { granted: false });
    assert_eq!(
        state.role(),
        RoleName::Candidate,
        "the third replica may still grant its vote"
    );
    reply_from(
        ReplicaId(3),
        &mut state,
        due,
        Body::VoteReply { granted: false },
    );
    assert_eq!(state.role(), RoleName::Follower);
    assert!(state.deadline() <= due + heartbeat_interval);
    let mut out = Vec::new();
    state.handle(state.deadline(), Event::Tick, &mut out);
    let is_pre_vote = |a: &Action| matches!(a, Action::Send { message, .. } if matches!(message.body, Body::PreVote { .. }));
    assert!(out.iter().any(is_pre_vote), "{out:?}");
    assert_eq!(state.term(), 4, "a pre-vote must not start a term");
}

/// Guards against a replica that takes entries for committed that its log does not hold,
/// and against one that forgets what its snapshot covers.
#[test]
fn restored_commit_index_is_bounded_by_the_log() {
    for (known, expected) in [(0, 0), (1, 1), (2, 2), (9, 2)] {
        let entries = (1..=2).map(|index| Entry {
            term: 1,
            index,
            payload: Payload::Empty,
        });
        let restored = Restored {
            entries: entries.collect(),
            commit_index: known,
            ..Restored::default()
        };
        let rng = StdRng::seed_from_u64(1);
        let state = ReplicaState::new(Settings::default(), restored, rng, Instant::now());
        assert_eq!(state.commit_index(), expected, "known {known}");
    }
}
