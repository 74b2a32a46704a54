//! Operator keys and their stored outcomes.

use crate::common::{Log, NOW, profile};
use api::{Announce, Target, TargetKind};
use state::{Action, MAX_KEY_SKEW_MS, MAX_OUTCOMES, MAX_PLAN_MS, Outcome, Refusal};
use units::{Millis, Version};

/// Guards against a retry after a lost response that is applied again, or that gets another outcome
/// than the first attempt.
#[test]
fn repeated_request_gets_the_first_outcome() {
    let mut log = Log::new();
    let first = log.put_with_key("1000000-a", 0, profile("p", 1));
    log.put(1, profile("p", 2));
    let Outcome::Put(mut reply) = first else {
        panic!("{first:?}")
    };
    reply.repeated = true;
    assert_eq!(
        log.put_with_key("1000000-a", 0, profile("p", 1)),
        Outcome::Put(reply)
    );
    assert_eq!(log.state.config(), Version(2));

    let conflict = log.put_with_key("1000000-b", 1, profile("p", 3));
    assert!(matches!(conflict, Outcome::Conflict(_)));
    log.retire("profile", "p", 2);
    assert_eq!(log.put_with_key("1000000-b", 1, profile("p", 3)), conflict);
}

/// Guards against a second planned change when an announcement is retried.
#[test]
fn retried_announcement_is_applied_once() {
    let mut log = Log::new();
    let request = Announce {
        target: Target {
            kind: TargetKind::Balancer,
            host: "b".parse().unwrap(),
        },
        start: NOW,
        end: Millis(NOW.0 + 1_000),
        key: "1000000-a".into(),
        author: "ann".into(),
    };
    for repeated in [false, true] {
        let Outcome::Announced(reply) = log.run(Action::Announce(request.clone())) else {
            panic!()
        };
        assert_eq!((reply.number, reply.repeated), (1, repeated));
    }
    let cases = [
        (NOW.0, NOW.0),
        (NOW.0 - 10, NOW.0),
        (NOW.0, NOW.0 + MAX_PLAN_MS + 1),
    ];
    for (start, end) in cases {
        let (start, end) = (Millis(start), Millis(end));
        let key = log.next_key().into();
        let request = Announce {
            start,
            end,
            key,
            ..request.clone()
        };
        let outcome = log.run(Action::Announce(request));
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    }
    assert_eq!(log.state.plans().count(), 1);
    let host = "b".parse().unwrap();
    for (now, draining) in [
        (NOW.0 - 1, false),
        (NOW.0, true),
        (NOW.0 + 999, true),
        (NOW.0 + 1_000, false),
    ] {
        assert_eq!(
            log.state
                .is_draining(TargetKind::Balancer, &host, Millis(now)),
            draining
        );
    }
    assert!(!log.state.is_draining(TargetKind::BackendServer, &host, NOW));
}

/// Guards against one key being used for two different requests.
#[test]
fn key_is_bound_to_one_request() {
    let mut log = Log::new();
    log.put_with_key("1000000-a", 0, profile("p", 1));
    let other = log.put_with_key("1000000-a", 0, profile("p", 2));
    assert!(matches!(other, Outcome::Refused(Refusal::Invalid(_))));
    for key in [
        "a",
        "",
        "x-1",
        "1000000-",
        &format!("{}-a", NOW.0 + MAX_KEY_SKEW_MS + 1),
    ] {
        let outcome = log.put_with_key(key, 1, profile("p", 2));
        assert!(
            matches!(outcome, Outcome::Refused(Refusal::Invalid(_))),
            "{key}"
        );
    }
    assert_eq!(log.state.config(), Version(1));
}

/// Guards against unbounded memory, and against a pruned key that is accepted as a new one.
#[test]
fn pruned_keys_are_rejected() {
    let mut log = Log::new();
    let key = |number: usize| format!("{}-k", 500_000 + number);
    for number in 0..=MAX_OUTCOMES {
        log.put_with_key(&key(number), number as u64, profile("p", 1));
    }
    let config = log.state.config();
    let old = log.put_with_key(&key(0), 0, profile("p", 1));
    assert!(
        matches!(old, Outcome::Refused(Refusal::KeyTooOld(_))),
        "{old:?}"
    );
    let kept = log.put_with_key(&key(1), 1, profile("p", 1));
    assert!(
        matches!(kept, Outcome::Put(reply) if reply.repeated),
        "{kept:?}"
    );
    assert_eq!(log.state.config(), config);
}
