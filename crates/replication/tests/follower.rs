//! A follower; the tests send the messages of its leaders and of the other voters.

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use replication::*;
use units::ReplicaId;

const SECOND: ReplicaId = ReplicaId(2);
const THIRD: ReplicaId = ReplicaId(3);

fn config(voters: u64) -> Config {
    Config::new((1..=voters).map(|n| (ReplicaId(n), ([10, 0, 0, n as u8], 7).into())))
}

fn empty(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Empty,
    }
}

/// Replica 1 of three with entries 1 to 3 of term 1.
fn follower(now: Instant) -> ReplicaState {
    let payload = Payload::Config(config(3));
    let entries = vec![
        Entry {
            term: 1,
            index: 1,
            payload,
        },
        empty(1, 2),
        empty(1, 3),
    ];
    let vote = Vote {
        term: 1,
        voted_for: None,
    };
    let restored = Restored {
        vote,
        entries,
        ..Restored::default()
    };
    ReplicaState::new(Settings::default(), restored, StdRng::seed_from_u64(1), now)
}

fn receive(
    state: &mut ReplicaState,
    now: Instant,
    from: ReplicaId,
    term: u64,
    body: Body,
) -> Vec<Action> {
    let mut out = Vec::new();
    let message = Message { term, body };
    state.handle(now, Event::Message { from, message }, &mut out);
    out
}

fn append(prev_index: u64, prev_term: u64, entries: Vec<Entry>) -> Body {
    Body::Append {
        prev_index,
        prev_term,
        entries,
        commit_index: 0,
    }
}

fn bodies(out: &[Action]) -> Vec<&Body> {
    let sent = out.iter().filter_map(|a| match a {
        Action::Send { message, .. } => Some(&message.body),
        _ => None,
    });
    sent.collect()
}

/// Guards against acknowledging to a new leader the entries that arrived early from the
/// previous leader.
#[test]
fn early_entries_are_dropped_with_their_leader() {
    let now = Instant::now();
    let mut state = follower(now);
    let out = receive(&mut state, now, SECOND, 4, append(5, 4, vec![empty(4, 6)]));
    assert!(
        matches!(
            bodies(&out)[..],
            [Body::Rejected {
                prev_index: 5,
                hint_index: 3,
                ..
            }]
        ),
        "{out:?}"
    );
    let out = receive(
        &mut state,
        now,
        THIRD,
        5,
        append(3, 1, vec![empty(4, 4), empty(4, 5)]),
    );
    assert_eq!(bodies(&out), [&Body::Accepted { match_index: 5 }]);
    assert_eq!(state.last_index(), 5);
}

/// Guards against a membership that stays in effect after its entry was replaced.
#[test]
fn replaced_membership_is_undone() {
    let now = Instant::now();
    let mut state = follower(now);
    let payload = Payload::Config(config(5));
    let entry = Entry {
        term: 4,
        index: 4,
        payload,
    };
    receive(&mut state, now, SECOND, 4, append(3, 1, vec![entry]));
    assert_eq!(state.config().voters().count(), 5);
    receive(&mut state, now, THIRD, 5, append(3, 1, vec![empty(5, 4)]));
    assert_eq!(state.config().voters().count(), 3);
}

/// Guards against a new leader that counts its own entries as synced although they were
/// replaced after the sync.
#[test]
fn replaced_entries_do_not_count_as_synced() {
    let now = Instant::now();
    let mut state = follower(now);
    receive(&mut state, now, SECOND, 4, append(1, 1, vec![empty(4, 2)]));
    let due = state.deadline();
    let mut out = Vec::new();
    state.handle(due, Event::Tick, &mut out);
    receive(
        &mut state,
        due,
        SECOND,
        5,
        Body::PreVoteReply { granted: true },
    );
    receive(
        &mut state,
        due,
        SECOND,
        5,
        Body::VoteReply { granted: true },
    );
    assert_eq!((state.role(), state.last_index()), (RoleName::Leader, 3));
    receive(
        &mut state,
        due,
        SECOND,
        5,
        Body::Accepted { match_index: 3 },
    );
    assert_eq!(state.commit_index(), 0, "entry 3 is only on one disk");
}

/// Guards against a candidate that requests votes before its own vote is synced: after a
/// crash it could vote for another candidate in the same term.
#[test]
fn own_vote_is_synced_before_the_request() {
    let now = Instant::now();
    let mut state = follower(now);
    let due = state.deadline();
    state.handle(due, Event::Tick, &mut Vec::new());
    let out = receive(
        &mut state,
        due,
        SECOND,
        2,
        Body::PreVoteReply { granted: true },
    );
    let Some(Action::Store {
        seq,
        write: StorageWrite::Vote(vote),
    }) = out.first()
    else {
        panic!("{out:?}");
    };
    assert_eq!((vote.term, vote.voted_for), (2, Some(ReplicaId(1))));
    let after = out.iter().filter_map(|a| match a {
        Action::Send {
            after,
            message:
                Message {
                    body: Body::Vote { .. },
                    ..
                },
            ..
        } => Some(after),
        _ => None,
    });
    assert_eq!(after.collect::<Vec<_>>(), [seq, seq]);
}

/// Guards against a replica that lost contact deposing a leader that the other voters
/// still hear from.
#[test]
fn voter_that_hears_a_leader_ignores_candidates() {
    let now = Instant::now();
    let mut state = follower(now);
    receive(
        &mut state,
        now,
        SECOND,
        4,
        Body::Heartbeat {
            round: 1,
            commit_index: 0,
        },
    );
    let (last_index, last_term) = (9, 9);
    let out = receive(
        &mut state,
        now,
        THIRD,
        5,
        Body::PreVote {
            last_index,
            last_term,
        },
    );
    assert_eq!(bodies(&out), [&Body::PreVoteReply { granted: false }]);
    let vote = |transfer| Body::Vote {
        last_index,
        last_term,
        transfer,
    };
    let out = receive(&mut state, now, THIRD, 5, vote(false));
    assert!(out.is_empty() && state.term() == 4, "{out:?}");
    let later = now + Settings::default().election_timeout.0;
    let out = receive(
        &mut state,
        later,
        THIRD,
        5,
        Body::PreVote {
            last_index,
            last_term,
        },
    );
    assert_eq!(bodies(&out), [&Body::PreVoteReply { granted: true }]);
    let out = receive(&mut state, now, THIRD, 5, vote(true));
    assert_eq!(bodies(&out), [&Body::VoteReply { granted: true }]);
}
