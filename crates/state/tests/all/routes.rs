//! Routes and complete configurations.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddrV4};

use api::{MemberState, ReplaceReply, Scope, Watch, WatchReply};
use profile::{Declaration, Deployment, Profile, Protocol, Route, Service, Target};
use state::{Action, MAX_FORMER_SERVICES, Outcome, Refusal, State};
use units::{Blob, Millis, Region, Revision, Version};

use crate::common::{Log, member, profile, version};

fn opaque(name: &str, flows: u32) -> Profile {
    let text =
        format!(r#"{{"name":"{name}","protocol":"opaque","concurrency":{{"flows":{flows}}}}}"#);
    serde_json::from_str(&text).unwrap()
}

fn service(name: &str) -> Service {
    Service {
        name: name.parse().unwrap(),
        tenant: "t".parse().unwrap(),
        profile: name.parse().unwrap(),
        address: None,
        region: Region(0),
    }
}

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

fn route(port: u16, targets: &[(&str, u32)]) -> Route {
    let target = |(name, weight): &(&str, u32)| Target {
        service: name.parse().unwrap(),
        weight: *weight,
    };
    Route {
        name: format!("r-{port}").parse().unwrap(),
        address: address(port),
        targets: targets.iter().map(target).collect(),
        idempotent: true,
        deadline_ms: Millis(500),
        latency_ms: Millis(100),
        priority: 1,
    }
}

/// Configuration with the services `s` and `t` and the given routes.
fn deployment(revision: u64, routes: Vec<Route>) -> Deployment {
    Deployment {
        revision: Revision(revision),
        profiles: vec![opaque("s", 100), opaque("t", 100)],
        services: vec![service("s"), service("t")],
        routes,
        source: Blob(format!("document {revision}").into_bytes()),
    }
}

fn replace(log: &mut Log, deployment: &Deployment) -> Outcome {
    log.run(Action::Replace {
        author: "ann".into(),
        deployment: Box::new(deployment.clone()),
    })
}

fn replaced(revision: u64, changed: bool) -> Outcome {
    Outcome::Replaced(ReplaceReply {
        revision: Revision(revision),
        changed,
    })
}

fn rejection(outcome: Outcome) -> Box<str> {
    match outcome {
        Outcome::Refused(Refusal::Invalid(message)) => message,
        other => panic!("{other:?}"),
    }
}

/// Reply to the long poll of a balancer whose view reflects a log index.
fn poll(state: &State, index: u64) -> Option<WatchReply> {
    state.watch_reply(&Watch {
        host: "b".parse().unwrap(),
        scope: Scope::Region(Region(0)),
        config: if index == 0 {
            Version(0)
        } else {
            state.config()
        },
        horizon: Millis(0),
        index,
        wait_ms: Millis(0),
        probe: false,
    })
}

/// Guards against a retry or a second operator that restores an older configuration, or sends other
/// content under the current revision.
#[test]
fn highest_revision_is_kept() {
    let mut log = Log::new();
    let first = deployment(7, vec![route(80, &[("s", 1)])]);
    assert_eq!(replace(&mut log, &first), replaced(7, true));
    assert_eq!(replace(&mut log, &first), replaced(7, false));
    let other = deployment(7, vec![route(81, &[("s", 1)])]);
    assert_eq!(replace(&mut log, &other), replaced(7, false));
    let older = deployment(3, vec![]);
    assert_eq!(replace(&mut log, &older), replaced(7, false));
    assert_eq!(log.state.source(), Some(&first.source));
    assert_eq!(log.state.revision(), Revision(7));
    let view = poll(&log.state, 0).unwrap();
    assert_eq!(view.routes.len(), 1);
    assert_eq!(view.routes[0].address, address(80));
}

/// Guards against a rejected configuration that is partly applied.
#[test]
fn invalid_configuration_changes_nothing() {
    let mut log = Log::new();
    replace(&mut log, &deployment(1, vec![route(80, &[("s", 1)])]));
    let before = log.state.clone();
    let unknown = deployment(2, vec![route(81, &[("s", 1)]), route(82, &[("gone", 1)])]);
    assert!(rejection(replace(&mut log, &unknown)).contains("gone"));
    let mut duplicate = deployment(2, vec![route(81, &[("s", 1)]), route(81, &[("t", 1)])]);
    duplicate.routes[1].name = "other".parse().unwrap();
    assert!(rejection(replace(&mut log, &duplicate)).contains("198.18.0.1:81"));
    let mut no_deadline = deployment(2, vec![route(81, &[("s", 1)])]);
    no_deadline.routes[0].deadline_ms = Millis(0);
    assert!(rejection(replace(&mut log, &no_deadline)).contains("deadline_ms"));
    let zero_weight = deployment(2, vec![route(81, &[("s", 0), ("t", 0)])]);
    assert!(rejection(replace(&mut log, &zero_weight)).contains("weight"));
    assert_eq!(log.state.revision(), Revision(1));
    assert_eq!(poll(&log.state, before.index()).map(|r| r.routes), None);
    assert_eq!(log.state.declarations(), before.declarations());
}

/// Guards against balancers that receive all routes for each change, or keep dropped ones.
#[test]
fn poll_returns_only_changed_routes() {
    let mut log = Log::new();
    let routes = |timeout: u64, ports: &[u16]| -> Vec<Route> {
        let with = |port: &u16| Route {
            latency_ms: Millis(if *port == 80 { timeout } else { 100 }),
            ..route(*port, &[("s", 1)])
        };
        ports.iter().map(with).collect()
    };
    replace(&mut log, &deployment(1, routes(100, &[80, 81, 82])));
    let index = log.state.index();
    replace(&mut log, &deployment(2, routes(200, &[80, 81, 83])));
    let reply = poll(&log.state, index).unwrap();
    let mut changed: Vec<_> = reply.routes.iter().map(|r| r.address.port()).collect();
    changed.sort_unstable();
    assert_eq!(changed, [80, 83]);
    assert_eq!(reply.dropped, [address(82)]);
    assert!(!reply.complete);
    assert!(poll(&log.state, log.state.index()).is_none());
    let complete = poll(&log.state, 0).unwrap();
    assert_eq!((complete.routes.len(), complete.complete), (3, true));
    // A route that is declared again is not listed as dropped.
    replace(&mut log, &deployment(3, routes(200, &[80, 81, 82, 83])));
    assert_eq!(poll(&log.state, index).unwrap().dropped, []);
}

/// Guards against open flows that can't be found after their route changed to another service.
#[test]
fn former_services_of_a_route_are_kept() {
    let mut log = Log::new();
    replace(&mut log, &deployment(1, vec![route(80, &[("s", 1)])]));
    replace(&mut log, &deployment(2, vec![route(80, &[("t", 1)])]));
    let (s, t) = (log.id("s"), log.id("t"));
    let view = poll(&log.state, 0).unwrap().routes.remove(0);
    assert_eq!(
        view.targets.iter().map(|t| t.service).collect::<Vec<_>>(),
        [t]
    );
    assert_eq!(view.former, [s]);
    replace(
        &mut log,
        &deployment(3, vec![route(80, &[("s", 9), ("t", 1)])]),
    );
    assert_eq!(poll(&log.state, 0).unwrap().routes[0].former, []);
}

/// Guards against a route entry that grows with every replacement: only the newest former services are
/// kept, up to the limit.
#[test]
fn former_services_are_bounded() {
    let mut log = Log::new();
    let names: Vec<String> = (0..MAX_FORMER_SERVICES + 3)
        .map(|n| format!("s-{n}"))
        .collect();
    for (revision, name) in (1..).zip(&names) {
        let mut next = deployment(revision, vec![route(80, &[(name, 1)])]);
        next.profiles = names.iter().map(|name| opaque(name, 100)).collect();
        next.services = names.iter().map(|name| service(name)).collect();
        assert_eq!(replace(&mut log, &next), replaced(revision, true));
    }
    let former = &poll(&log.state, 0).unwrap().routes[0].former;
    let mut newest: Vec<_> = names
        .iter()
        .rev()
        .skip(1)
        .map(|name| log.id(name))
        .collect();
    newest.truncate(MAX_FORMER_SERVICES);
    let mut former = former.clone();
    former.sort_unstable();
    newest.sort_unstable();
    assert_eq!(former, newest);
}

/// Guards against the removal of a service whose members still have flows, and against one that is
/// never removed.
#[test]
fn undeclared_service_is_kept_until_its_members_left() {
    let mut log = Log::new();
    replace(&mut log, &deployment(1, vec![route(80, &[("t", 1)])]));
    log.change_members(&[member("h", 1, MemberState::Serving)], &[]);
    let mut without = deployment(2, vec![route(80, &[("t", 1)])]);
    without.services.remove(0);
    without.profiles.remove(0);
    assert_eq!(replace(&mut log, &without), replaced(2, true));
    assert!(log.state.service(&"s".parse().unwrap()).is_some());
    log.change_members(&[], &[("h", 1)]);
    without.revision = Revision(3);
    replace(&mut log, &without);
    assert!(log.state.service(&"s".parse().unwrap()).is_none());
    assert!(log.state.stored("profile", "s").is_none());
}

/// Guards against accepting the same change from two operators with the same expected version: the
/// version has to increase even if the content is equal.
#[test]
fn equal_change_increases_the_version() {
    let mut log = Log::with_service();
    assert_eq!(version(&log.put(1, profile("p", 0))), 3);
    assert!(matches!(log.put(1, profile("p", 0)), Outcome::Conflict(_)));
}

/// Guards against single routes that contradict other declarations.
#[test]
fn single_routes_are_validated() {
    let mut log = Log::with_service();
    let tcp = Declaration::Route(route(80, &[("s", 1)]));
    assert!(rejection(log.put(0, tcp)).contains("opaque"));
    assert_eq!(
        version(&log.put(0, Declaration::Profile(opaque("o", 5)))),
        3
    );
    let service = Service {
        profile: "o".parse().unwrap(),
        ..service("u")
    };
    assert_eq!(version(&log.put(0, Declaration::Service(service))), 4);
    let one = route(80, &[("u", 1)]);
    assert_eq!(version(&log.put(0, Declaration::Route(one.clone()))), 5);
    let moved = Route {
        address: address(81),
        ..one.clone()
    };
    assert!(rejection(log.put(5, Declaration::Route(moved))).contains("can't change"));
    let other = Route {
        name: "other".parse().unwrap(),
        ..one
    };
    assert!(rejection(log.put(0, Declaration::Route(other))).contains("r-80"));
    assert!(rejection(log.retire("service", "u", 4)).contains("r-80"));
    assert_eq!(version(&log.retire("route", "r-80", 5)), 6);
    assert_eq!(version(&log.retire("service", "u", 4)), 7);
}

/// Guards against key sets for services that don't store keys.
#[test]
fn opaque_services_store_no_keys() {
    let mut log = Log::with_service();
    replace(&mut log, &deployment(1, vec![]));
    assert!(!log.state.stores_keys(log.id("t")));
    let tcp = Profile {
        protocol: Protocol::Tcp,
        ..opaque("p", 5)
    };
    let mut next = deployment(2, vec![]);
    next.profiles.push(tcp);
    next.services.push(Service {
        profile: "p".parse().unwrap(),
        address: Some(address(9)),
        ..service("v")
    });
    replace(&mut log, &next);
    assert!(log.state.stores_keys(log.id("v")));
}
