//! Tests of a single replica and of a single attempt.

use api::{Claim, ClaimReply, Done, KeyMember, KeySet, Lookup, RequestKey, StoredResponse};
use idempotency::{
    Attempt, ClaimReplica, Decision, ReplicaLimits, SelectError, members_for_key, request_digest,
    select_members,
};
use units::{HostName, Incarnation, Millis, ServiceId};

const WINDOW: Millis = Millis(600_000);
const NOW: Millis = Millis(1_000_000);

fn host(index: usize) -> HostName {
    format!("h{index}").parse().expect("valid")
}

fn member(index: usize, incarnation: u64) -> KeyMember {
    KeyMember {
        host: host(index),
        incarnation: Incarnation(incarnation),
        http: "127.0.0.1:1".parse().expect("valid"),
    }
}

fn set(start: u64, members: &[KeyMember]) -> KeySet {
    KeySet {
        start: Millis(start),
        members: members.to_vec(),
    }
}

fn key(time: u64, text: &str) -> RequestKey {
    format!("{time}-{text}").parse().expect("valid")
}

fn claim(key: &RequestKey, attempt: u128) -> Claim {
    Claim {
        service: ServiceId(1),
        key: key.clone(),
        attempt,
        incarnation: Incarnation(1),
        digest: 5,
    }
}

fn done(key: &RequestKey, attempt: u128, released: bool) -> Done {
    let answer = StoredResponse {
        status: 200,
        content_type: None,
        body: units::Blob(vec![1; 100]),
    };
    Done {
        service: ServiceId(1),
        key: key.clone(),
        attempt,
        incarnation: Incarnation(1),
        answer: (!released).then_some(answer),
        released,
    }
}

/// Replica on host 0, with one key set that covers all times and holds this host only.
fn replica(limits: ReplicaLimits) -> ClaimReplica {
    let mut replica = ClaimReplica::new(host(0), Incarnation(1), limits);
    replica.configure(WINDOW, &[set(0, &[member(0, 1)])], Millis(2_000_000));
    replica
}

fn is_taken_by(reply: &ClaimReply, by: u128) -> bool {
    matches!(reply, ClaimReply::Taken { attempt, .. } if *attempt == by)
}

/// Guards against granting a key twice, and against refusing a repeated claim message.
#[test]
fn key_is_granted_to_one_attempt() {
    let mut replica = replica(ReplicaLimits::default());
    let key = key(NOW.0, "a");
    assert_eq!(replica.claim(NOW, &claim(&key, 1)), ClaimReply::Granted);
    assert_eq!(replica.claim(NOW, &claim(&key, 1)), ClaimReply::Granted);
    assert!(is_taken_by(&replica.claim(NOW, &claim(&key, 2)), 1));
    let other = Claim {
        digest: 6,
        ..claim(&key, 2)
    };
    let reply = replica.claim(NOW, &other);
    assert!(matches!(reply, ClaimReply::Taken { differs: true, .. }));
    replica.complete(NOW, &done(&key, 1, false));
    let reply = replica.claim(NOW, &claim(&key, 2));
    let has_answer = |reply: &ClaimReply| {
        matches!(
            reply,
            ClaimReply::Taken {
                done: true,
                answer: Some(_),
                ..
            }
        )
    };
    assert!(has_answer(&reply));
    let lookup = Lookup {
        service: ServiceId(1),
        key,
        incarnation: Incarnation(1),
    };
    assert!(has_answer(&replica.lookup(NOW, &lookup)));
}

/// Guards against a delayed claim message that takes the key again after its release.
#[test]
fn released_attempt_cannot_claim_again() {
    let mut replica = replica(ReplicaLimits::default());
    let key = key(NOW.0, "a");
    replica.claim(NOW, &claim(&key, 1));
    replica.complete(NOW, &done(&key, 1, true));
    assert_eq!(replica.claim(NOW, &claim(&key, 1)), ClaimReply::Unknown);
    // The release arrives before the claim.
    replica.complete(NOW, &done(&key, 2, true));
    assert_eq!(replica.claim(NOW, &claim(&key, 2)), ClaimReply::Unknown);
    assert_eq!(replica.claim(NOW, &claim(&key, 3)), ClaimReply::Granted);
    // A release by another attempt, or after completion, has no effect.
    replica.complete(NOW, &done(&key, 4, true));
    assert!(is_taken_by(&replica.claim(NOW, &claim(&key, 5)), 3));
    replica.complete(NOW, &done(&key, 3, false));
    replica.complete(NOW, &done(&key, 3, true));
    assert!(is_taken_by(&replica.claim(NOW, &claim(&key, 5)), 3));
}

/// Guards against a grant by a replica that may have granted the key before and lost the claim.
#[test]
fn replica_grants_only_keys_it_retains() {
    let mut replica = replica(ReplicaLimits::default());
    let restarted = Claim {
        incarnation: Incarnation(2),
        ..claim(&key(NOW.0, "a"), 1)
    };
    let mut grants = |now: Millis, time: u64| {
        replica.claim(now, &claim(&key(time, "a"), 1)) == ClaimReply::Granted
    };
    assert!(grants(NOW, NOW.0 - WINDOW.0) && !grants(NOW, NOW.0 - WINDOW.0 - 1));
    assert!(grants(NOW, NOW.0 + 5_000) && !grants(NOW, NOW.0 + 5_001));
    let late = Millis(2_000_000);
    assert!(grants(late, 2_000_000) && !grants(late, 2_000_001));
    // The clock is set back: dropped keys are still not granted.
    assert!(!grants(NOW, NOW.0 - WINDOW.0));
    assert_eq!(replica.claim(late, &restarted), ClaimReply::Unknown);
    let mut other = ClaimReplica::new(host(1), Incarnation(1), ReplicaLimits::default());
    other.configure(WINDOW, &[set(0, &[member(0, 1)])], Millis(2_000_000));
    assert_eq!(
        other.claim(NOW, &claim(&key(NOW.0, "a"), 1)),
        ClaimReply::Unknown
    );
    let mut fresh = ClaimReplica::new(host(0), Incarnation(1), ReplicaLimits::default());
    assert_eq!(
        fresh.claim(NOW, &claim(&key(NOW.0, "a"), 1)),
        ClaimReply::Unknown
    );
}

/// Guards against an outdated view that restores earlier key sets.
#[test]
fn older_horizon_is_refused() {
    let mut replica = replica(ReplicaLimits::default());
    replica.configure(WINDOW, &[set(0, &[member(3, 1)])], Millis(1_999_999));
    assert_eq!(
        replica.claim(NOW, &claim(&key(NOW.0, "a"), 1)),
        ClaimReply::Granted
    );
}

/// Guards against unbounded memory, and against evicting keys within the window.
#[test]
fn memory_is_bounded_and_expires() {
    let limits = ReplicaLimits {
        keys: 3,
        answers: 300,
    };
    let mut replica = replica(limits);
    let keys: Vec<_> = (0..4).map(|n| key(NOW.0 + n, "a")).collect();
    for key in &keys[..3] {
        assert_eq!(replica.claim(NOW, &claim(key, 1)), ClaimReply::Granted);
        assert!(replica.complete(NOW, &done(key, 1, false)));
    }
    assert_eq!(replica.claim(NOW, &claim(&keys[3], 1)), ClaimReply::Unknown);
    assert!(!replica.complete(NOW, &done(&keys[3], 1, true)));
    assert!(replica.stored_bytes() <= 300 && replica.len() == 3);
    let reply = replica.claim(NOW, &claim(&keys[2], 2));
    assert!(matches!(
        reply,
        ClaimReply::Taken {
            done: true,
            answer: None,
            ..
        }
    ));
    replica.expire(Millis(NOW.0 + 2 + WINDOW.0));
    assert_eq!(replica.len(), 1);
    replica.expire(Millis(NOW.0 + 3 + WINDOW.0));
    assert!(replica.is_empty() && replica.stored_bytes() == 0);
}

/// Guards against selecting different replicas for one key, two votes of one host, and
/// keys outside the window.
#[test]
fn selection_depends_on_the_key_alone() {
    let members: Vec<_> = (0..9).map(|n| member(n, 1)).collect();
    let mut reversed = members.clone();
    reversed.reverse();
    reversed.push(member(0, 2));
    let sets = [
        set(0, &members),
        set(NOW.0, &members[..2]),
        set(NOW.0 + 9, &[]),
    ];
    let mut load = vec![0; 9];
    for n in 0..3_000 {
        let key = key(NOW.0 - 1, &n.to_string());
        let chosen = members_for_key(&key, &sets);
        let hosts = |members: &[KeyMember]| -> Vec<HostName> {
            members.iter().map(|m| m.host.clone()).collect()
        };
        assert_eq!(
            hosts(&chosen),
            hosts(&members_for_key(&key, &[set(0, &reversed)]))
        );
        assert_eq!(chosen.len(), 3);
        for member in &chosen {
            load[members.iter().position(|m| m == member).unwrap()] += 1;
        }
    }
    assert!(load.iter().all(|n| (850..1_150).contains(n)), "{load:?}");
    let pick = |time: u64| {
        let horizon = Millis(NOW.0 + 4_000);
        select_members(&key(time, "a"), &sets, NOW, WINDOW, horizon).map(|m| m.len())
    };
    assert_eq!(pick(NOW.0), Ok(2));
    assert_eq!(pick(NOW.0 + 9), Err(SelectError::NoKeySet));
    assert_eq!(pick(NOW.0 + 4_001), Err(SelectError::PastHorizon));
    assert_eq!(pick(NOW.0 + 5_001), Err(SelectError::InFuture));
    assert_eq!(pick(NOW.0 - WINDOW.0), Err(SelectError::Expired));
    let base = request_digest("POST", "/a", Some(1), b"b");
    assert_ne!(base, request_digest("POST", "/ab", Some(1), b""));
    assert_ne!(base, request_digest("POST", "/a", Some(1), b"c"));
}

fn taken(attempt: u128, done: bool) -> ClaimReply {
    ClaimReply::Taken {
        attempt,
        answer: None,
        done,
        differs: false,
    }
}

/// Guards against an attempt that starts the request with a single grant, or after it was
/// abandoned because another grant arrives late.
#[test]
fn attempt_starts_with_two_grants_only() {
    let mut attempt = Attempt::new(1, 3);
    assert_eq!(attempt.record_reply(0, ClaimReply::Granted), Decision::Wait);
    assert_eq!(attempt.record_reply(0, ClaimReply::Granted), Decision::Wait);
    assert_eq!(attempt.record_reply(1, ClaimReply::Unknown), Decision::Wait);
    assert_eq!(attempt.give_up(), Decision::NotStarted);
    assert!(attempt.must_release());
    assert_eq!(
        attempt.record_reply(2, ClaimReply::Granted),
        Decision::NotStarted
    );
    let mut attempt = Attempt::new(1, 3);
    attempt.record_reply(0, taken(2, false));
    attempt.record_reply(1, ClaimReply::Granted);
    assert_eq!(
        attempt.record_reply(2, ClaimReply::Granted),
        Decision::Start
    );
    assert!(!attempt.must_release());
}

/// Guards against reporting an earlier attempt with a minority of the grants as running: it may
/// never start.
#[test]
fn earlier_attempt_is_reported_only_with_a_quorum_or_outcome() {
    let decision = |replies: [ClaimReply; 3]| {
        let mut attempt = Attempt::new(1, 3);
        let mut decision = Decision::Wait;
        for (index, reply) in replies.into_iter().enumerate() {
            decision = attempt.record_reply(index, reply);
        }
        decision
    };
    let unknown = || ClaimReply::Unknown;
    assert_eq!(
        decision([taken(2, false), taken(2, false), unknown()]),
        Decision::Running
    );
    assert_eq!(
        decision([taken(2, false), taken(3, false), unknown()]),
        Decision::NotStarted
    );
    assert_eq!(
        decision([taken(2, true), unknown(), unknown()]),
        Decision::Finished
    );
    let differs = ClaimReply::Taken {
        attempt: 2,
        answer: None,
        done: true,
        differs: true,
    };
    assert_eq!(
        decision([differs, unknown(), unknown()]),
        Decision::RequestMismatch
    );
}
