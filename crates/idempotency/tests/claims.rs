//! Rules of one replica and of one attempt.

use api::{Claim, ClaimReply, Done, KeyMember, KeySet, Lookup, RequestKey, StoredResponse};
use idempotency::{
    Attempt, Replica, ReplicaLimits, SelectError, Verdict, digest, replicas, select,
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

/// Replica of host 0 in a set of one host that covers all times.
fn replica(limits: ReplicaLimits) -> Replica {
    let mut replica = Replica::new(host(0), Incarnation(1), limits);
    replica.configure(WINDOW, &[set(0, &[member(0, 1)])], Millis(2_000_000));
    replica
}

fn is_taken_by(reply: &ClaimReply, by: u128) -> bool {
    matches!(reply, ClaimReply::Taken { attempt, .. } if *attempt == by)
}

/// Guards against a second grant, and against refusing a resent claim message.
#[test]
fn a_key_is_granted_to_one_attempt() {
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
    replica.done(NOW, &done(&key, 1, false));
    let reply = replica.claim(NOW, &claim(&key, 2));
    let kept = |reply: &ClaimReply| {
        matches!(
            reply,
            ClaimReply::Taken {
                done: true,
                answer: Some(_),
                ..
            }
        )
    };
    assert!(kept(&reply));
    let lookup = Lookup {
        service: ServiceId(1),
        key,
        incarnation: Incarnation(1),
    };
    assert!(kept(&replica.lookup(NOW, &lookup)));
}

/// Guards against late copies of a claim that take the key after its release.
#[test]
fn a_release_outlives_late_claims() {
    let mut replica = replica(ReplicaLimits::default());
    let key = key(NOW.0, "a");
    replica.claim(NOW, &claim(&key, 1));
    replica.done(NOW, &done(&key, 1, true));
    assert_eq!(replica.claim(NOW, &claim(&key, 1)), ClaimReply::Unknown);
    // The release overtakes the claim.
    replica.done(NOW, &done(&key, 2, true));
    assert_eq!(replica.claim(NOW, &claim(&key, 2)), ClaimReply::Unknown);
    assert_eq!(replica.claim(NOW, &claim(&key, 3)), ClaimReply::Granted);
    // A release by another attempt, or after the end, changes nothing.
    replica.done(NOW, &done(&key, 4, true));
    assert!(is_taken_by(&replica.claim(NOW, &claim(&key, 5)), 3));
    replica.done(NOW, &done(&key, 3, false));
    replica.done(NOW, &done(&key, 3, true));
    assert!(is_taken_by(&replica.claim(NOW, &claim(&key, 5)), 3));
}

/// Guards against a grant by a replica that may have granted the key before.
#[test]
fn a_replica_grants_only_what_it_would_remember() {
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
    // The clock is set back: what was forgotten stays forgotten.
    assert!(!grants(NOW, NOW.0 - WINDOW.0));
    assert_eq!(replica.claim(late, &restarted), ClaimReply::Unknown);
    let mut other = Replica::new(host(1), Incarnation(1), ReplicaLimits::default());
    other.configure(WINDOW, &[set(0, &[member(0, 1)])], Millis(2_000_000));
    assert_eq!(
        other.claim(NOW, &claim(&key(NOW.0, "a"), 1)),
        ClaimReply::Unknown
    );
    let mut fresh = Replica::new(host(0), Incarnation(1), ReplicaLimits::default());
    assert_eq!(
        fresh.claim(NOW, &claim(&key(NOW.0, "a"), 1)),
        ClaimReply::Unknown
    );
}

/// Guards against an older view that brings back other key sets.
#[test]
fn an_older_horizon_is_refused() {
    let mut replica = replica(ReplicaLimits::default());
    replica.configure(WINDOW, &[set(0, &[member(3, 1)])], Millis(1_999_999));
    assert_eq!(
        replica.claim(NOW, &claim(&key(NOW.0, "a"), 1)),
        ClaimReply::Granted
    );
}

/// Guards against memory without bound, and against evicting what is needed.
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
        assert!(replica.done(NOW, &done(key, 1, false)));
    }
    assert_eq!(replica.claim(NOW, &claim(&keys[3], 1)), ClaimReply::Unknown);
    assert!(!replica.done(NOW, &done(&keys[3], 1, true)));
    assert!(replica.kept() <= 300 && replica.len() == 3);
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
    assert!(replica.is_empty() && replica.kept() == 0);
}

/// Guards against different replicas for one key, two votes of one host, and
/// keys outside their time.
#[test]
fn selection_depends_on_the_key_alone() {
    let members: Vec<_> = (0..9).map(|n| member(n, 1)).collect();
    let mut turned = members.clone();
    turned.reverse();
    turned.push(member(0, 2));
    let sets = [
        set(0, &members),
        set(NOW.0, &members[..2]),
        set(NOW.0 + 9, &[]),
    ];
    let mut load = vec![0; 9];
    for n in 0..3_000 {
        let key = key(NOW.0 - 1, &n.to_string());
        let chosen = replicas(&key, &sets);
        let hosts = |members: &[KeyMember]| -> Vec<HostName> {
            members.iter().map(|m| m.host.clone()).collect()
        };
        assert_eq!(hosts(&chosen), hosts(&replicas(&key, &[set(0, &turned)])));
        assert_eq!(chosen.len(), 3);
        for member in &chosen {
            load[members.iter().position(|m| m == member).unwrap()] += 1;
        }
    }
    assert!(load.iter().all(|n| (850..1_150).contains(n)), "{load:?}");
    let pick = |time: u64| {
        let horizon = Millis(NOW.0 + 4_000);
        select(&key(time, "a"), &sets, NOW, WINDOW, horizon).map(|m| m.len())
    };
    assert_eq!(pick(NOW.0), Ok(2));
    assert_eq!(pick(NOW.0 + 9), Err(SelectError::NoSet));
    assert_eq!(pick(NOW.0 + 4_001), Err(SelectError::PastHorizon));
    assert_eq!(pick(NOW.0 + 5_001), Err(SelectError::Ahead));
    assert_eq!(pick(NOW.0 - WINDOW.0), Err(SelectError::Old));
    let base = digest("POST", "/a", Some(1), b"b");
    assert_ne!(base, digest("POST", "/ab", Some(1), b""));
    assert_ne!(base, digest("POST", "/a", Some(1), b"c"));
}

fn taken(attempt: u128, done: bool) -> ClaimReply {
    ClaimReply::Taken {
        attempt,
        answer: None,
        done,
        differs: false,
    }
}

/// Guards against a begin with one grant, and against a late grant that
/// begins an attempt that was given up.
#[test]
fn an_attempt_begins_with_two_grants_only() {
    let mut attempt = Attempt::new(1, 3);
    assert_eq!(attempt.reply(0, ClaimReply::Granted), Verdict::Wait);
    assert_eq!(attempt.reply(0, ClaimReply::Granted), Verdict::Wait);
    assert_eq!(attempt.reply(1, ClaimReply::Unknown), Verdict::Wait);
    assert_eq!(attempt.give_up(), Verdict::NotBegun);
    assert!(attempt.must_release());
    assert_eq!(attempt.reply(2, ClaimReply::Granted), Verdict::NotBegun);
    let mut attempt = Attempt::new(1, 3);
    attempt.reply(0, taken(2, false));
    attempt.reply(1, ClaimReply::Granted);
    assert_eq!(attempt.reply(2, ClaimReply::Granted), Verdict::Begin);
    assert!(!attempt.must_release());
}

/// Guards against taking a minority claim, which may never begin, for a running one.
#[test]
fn an_earlier_attempt_is_believed_only_on_proof() {
    let verdict = |replies: [ClaimReply; 3]| {
        let mut attempt = Attempt::new(1, 3);
        let mut verdict = Verdict::Wait;
        for (index, reply) in replies.into_iter().enumerate() {
            verdict = attempt.reply(index, reply);
        }
        verdict
    };
    let unknown = || ClaimReply::Unknown;
    assert_eq!(
        verdict([taken(2, false), taken(2, false), unknown()]),
        Verdict::Running
    );
    assert_eq!(
        verdict([taken(2, false), taken(3, false), unknown()]),
        Verdict::NotBegun
    );
    assert_eq!(
        verdict([taken(2, true), unknown(), unknown()]),
        Verdict::Finished
    );
    let differs = ClaimReply::Taken {
        attempt: 2,
        answer: None,
        done: true,
        differs: true,
    };
    assert_eq!(verdict([differs, unknown(), unknown()]), Verdict::Differs);
}
