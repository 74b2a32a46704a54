//! Declarations: versions, conflicts, checks and limits.

use crate::common::{Log, NOW, profile, service, version};
use api::{Announce, Conflict, Target, TargetKind};
use profile::Declaration;
use state::{
    Action, MAX_AUTHOR_BYTES, MAX_MESSAGE_BYTES, MAX_PROFILES, MAX_SERVICES, Outcome, Refusal,
};
use units::{Millis, ServiceId, Version};

fn rejection(outcome: Outcome) -> (&'static str, Box<str>) {
    match outcome {
        Outcome::Refused(Refusal::Invalid(m)) => ("invalid", m),
        Outcome::Refused(Refusal::Unknown(m)) => ("unknown", m),
        Outcome::Refused(Refusal::Full(m)) => ("full", m),
        other => panic!("{other:?}"),
    }
}

/// Guards against a lost update: a second operator with the same expected version must not overwrite
/// the first one's change.
#[test]
fn stale_expected_version_conflicts() {
    let mut log = Log::with_service();
    assert_eq!(version(&log.put(1, profile("p", 10))), 3);
    for expected in [0, 1, 2, 4] {
        let conflict = Outcome::Conflict(Conflict {
            expected: Version(expected),
            current: Version(3),
            author: "ann".into(),
        });
        assert_eq!(log.put(expected, profile("p", 20)), conflict);
        assert_eq!(log.retire("profile", "p", expected), conflict);
    }
    let stored = log.state.stored("profile", "p").unwrap();
    assert_eq!(
        (stored.version, stored.body),
        (Version(3), profile("p", 10))
    );
    assert_eq!(log.state.config(), Version(3));
}

/// Guards against an operator who unknowingly restores a declaration that another operator retired.
#[test]
fn change_of_a_retired_declaration_conflicts() {
    let mut log = Log::with_service();
    assert_eq!(version(&log.retire("service", "s", 2)), 3);
    assert_eq!(
        log.put(2, service("s", "p", 1)),
        Outcome::Conflict(Conflict {
            expected: Version(2),
            current: Version(0),
            author: "ben".into(),
        })
    );
    assert_eq!(rejection(log.retire("service", "s", 0)).0, "unknown");
}

/// Guards against traffic of a retired service that reaches a new service of the same name.
#[test]
fn service_ids_are_never_reused() {
    let mut log = Log::with_service();
    let first = log.id("s");
    log.retire("service", "s", 2);
    log.put(0, service("s", "p", 1));
    let second = log.id("s");
    assert_ne!(first, second);
    let raw = log.state.snapshot();
    log.state.restore(&raw).unwrap();
    log.put(0, service("s2", "p", 2));
    assert_eq!(log.id("s2"), ServiceId(second.0 + 1));
}

/// Guards against a declaration that contradicts accepted ones.
#[test]
fn contradictory_declarations_are_rejected() {
    let mut other_tenant = service("s", "p", 1);
    let mut other_region = service("s", "p", 1);
    if let (Declaration::Service(a), Declaration::Service(b)) =
        (&mut other_tenant, &mut other_region)
    {
        a.tenant = "rival".parse().unwrap();
        b.region = 1.into();
    }
    let cases = [
        (0, service("s2", "q", 2), "profile q does not exist"),
        (
            0,
            service("s2", "p", 1),
            "is the address of service s already",
        ),
        (2, service("s", "p", 9), "its address can't change"),
        (2, other_tenant, "its tenant can't change"),
        (2, other_region, "its region can't change"),
        (
            1,
            profile("p", 3_600_001),
            "warmup_ms: 3600001 is out of range",
        ),
        (0, service("s2", "p", 0), ""),
    ];
    for (expected, body, message) in cases {
        let mut log = Log::with_service();
        if message.is_empty() {
            assert_eq!(version(&log.put(expected, body)), 3);
            continue;
        }
        let (kind, found) = rejection(log.put(expected, body));
        assert_eq!(kind, "invalid");
        assert!(found.contains(message), "{found}");
        assert_eq!(log.state.config(), Version(2));
    }
}

/// Guards against a service without its profile, and against flows broken by retiring a service that
/// still has backend servers.
#[test]
fn declarations_in_use_cannot_be_retired() {
    let mut log = Log::with_service();
    let (_, message) = rejection(log.retire("profile", "p", 1));
    assert!(message.contains("in use by service s"), "{message}");
    log.change_members(
        &[crate::common::member("a", 1, api::MemberState::Draining)],
        &[],
    );
    let (_, message) = rejection(log.retire("service", "s", 2));
    assert!(message.contains("has 1 backend servers"), "{message}");
    log.change_members(&[], &[("a", 1)]);
    assert_eq!(version(&log.retire("service", "s", 2)), 3);
    assert_eq!(version(&log.retire("profile", "p", 1)), 4);
}

/// Guards against request texts that fill the stored outcomes and the audit log.
#[test]
fn text_lengths_are_bounded() {
    let mut log = Log::new();
    let mut body = profile("p", 0);
    if let Declaration::Profile(p) = &mut body {
        p.protocol = profile::Protocol::Http;
        let text = format!(
            r#"{{"name":"c","path":"{}","idempotent":true,"deadline_ms":1}}"#,
            "ä".repeat(MAX_MESSAGE_BYTES)
        );
        p.classes.push(serde_json::from_str(&text).unwrap());
    }
    let (_, message) = rejection(log.put(0, body));
    assert!((MAX_MESSAGE_BYTES - 1..=MAX_MESSAGE_BYTES).contains(&message.len()));
    for (length, valid) in [
        (0, false),
        (1, true),
        (MAX_AUTHOR_BYTES, true),
        (MAX_AUTHOR_BYTES + 1, false),
    ] {
        let author: Box<str> = "a".repeat(length).into();
        let (expected, key) = (log.state.stored("profile", "p"), log.next_key().into());
        let put = Action::Put {
            expected: expected.map_or(Version(0), |stored| stored.version),
            key,
            author: author.clone(),
            body: profile("p", 0),
        };
        assert_eq!(matches!(log.run(put), Outcome::Put(_)), valid, "{length}");
        let key = log.next_key().into();
        let announce = Action::Announce(Announce {
            target: Target {
                kind: TargetKind::Control,
                host: "c".parse().unwrap(),
            },
            start: Millis(0),
            end: Millis(NOW.0 + 1),
            key,
            author,
        });
        let announced = matches!(log.run(announce), Outcome::Announced(_));
        assert_eq!(announced, valid, "{length}");
    }
}

/// Guards against unbounded memory.
#[test]
fn declarations_above_the_limit_are_rejected() {
    let mut log = Log::new();
    for number in 0..MAX_PROFILES {
        version(&log.put(0, profile(&format!("p{number}"), 0)));
    }
    assert_eq!(rejection(log.put(0, profile("one-more", 0))).0, "full");
    assert_eq!(
        version(&log.put(1, profile("p0", 5))),
        1 + MAX_PROFILES as u64
    );

    let numbered = |number: usize| {
        let mut body = service(&format!("s{number}"), "p0", 0);
        if let Declaration::Service(s) = &mut body {
            s.address
                .as_mut()
                .unwrap()
                .set_port(u16::try_from(number + 1).unwrap());
        }
        body
    };
    for number in 0..MAX_SERVICES {
        version(&log.put(0, numbered(number)));
    }
    assert_eq!(rejection(log.put(0, numbered(MAX_SERVICES))).0, "full");
}
