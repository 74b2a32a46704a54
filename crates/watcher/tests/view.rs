//! Updates of a view; its versions never decrease.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddrV4};

use api::{KeySet, Member, MemberState, ServiceView, Table, TableDelta, TableUpdate, WatchReply};
use profile::{Profile, Service};
use tokio::time::Instant;
use units::{Epoch, Incarnation, Millis, ServiceId, Slots, Version, Weight};
use watcher::{MAX_EARLIER_TABLES, View};

const ID: ServiceId = ServiceId(1);

fn member(n: u8) -> Member {
    let addr = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7000);
    Member {
        host: format!("host-{n}").parse().unwrap(),
        incarnation: Incarnation(1),
        packets: addr,
        http: addr,
        centre: "dc-1".parse().unwrap(),
        slots: Slots(2),
        weight: Weight(100),
        state: MemberState::Serving,
    }
}

fn service(version: u64) -> ServiceView {
    let profile = Profile {
        name: "web".parse().unwrap(),
        protocol: profile::Protocol::Tcp,
        classes: Vec::new(),
        concurrency: profile::Concurrency::default(),
        retry: profile::Retry::default(),
        drain: profile::Drain::default(),
        idle_ms: Millis(60_000),
        warmup_ms: Millis(0),
        health: profile::Health::default(),
        keys: profile::Keys::default(),
        objectives: Vec::new(),
    };
    let service = Service {
        name: "s".parse().unwrap(),
        tenant: "t".parse().unwrap(),
        profile: profile.name.clone(),
        address: Some("10.9.0.1:80".parse().unwrap()),
        region: units::Region(0),
    };
    ServiceView {
        id: ID,
        service,
        profile,
        version: Version(version),
    }
}

fn snapshot(epoch: u64, hosts: &[u8]) -> TableUpdate {
    let members = hosts.iter().map(|n| member(*n)).collect();
    TableUpdate::Snapshot(Table {
        service: ID,
        epoch: Epoch(epoch),
        changed: Millis(0),
        members,
    })
}

fn delta(from: u64, to: u64, put: &[u8], gone: &[u8]) -> TableUpdate {
    TableUpdate::Delta(TableDelta {
        service: ID,
        from: Epoch(from),
        to: Epoch(to),
        changed: Millis(0),
        put: put.iter().map(|n| member(*n)).collect(),
        gone: gone
            .iter()
            .map(|n| (member(*n).host, Incarnation(1)))
            .collect(),
    })
}

fn reply(config: u64, tables: Vec<TableUpdate>) -> WatchReply {
    let config = Version(config);
    WatchReply {
        config,
        services: vec![service(config.0)],
        tables,
        ..WatchReply::default()
    }
}

fn start() -> View {
    View::default()
        .updated(&reply(5, vec![snapshot(3, &[1, 2])]), Instant::now())
        .unwrap()
}

#[test]
fn rejects_an_older_configuration_from_a_lagging_replica() {
    assert!(
        start()
            .updated(&reply(4, vec![snapshot(9, &[1])]), Instant::now())
            .is_none()
    );
}

#[test]
fn rejects_older_tables_and_deltas_from_another_epoch() {
    let view = start();
    for update in [
        snapshot(3, &[9]),
        snapshot(2, &[9]),
        delta(2, 4, &[9], &[]),
        delta(3, 3, &[9], &[]),
    ] {
        let next = view
            .updated(&reply(6, vec![update.clone()]), Instant::now())
            .unwrap();
        assert_eq!(next.tables[&ID].current.epoch, Epoch(3), "{update:?}");
    }
}

#[test]
fn applies_a_delta_and_keeps_the_earlier_tables() {
    let mut view = start();
    for epoch in 3..9 {
        let update = delta(epoch, epoch + 1, &[epoch as u8], &[]);
        view = view
            .updated(&reply(5, vec![update]), Instant::now())
            .unwrap();
    }
    let tables = &view.tables[&ID];
    assert_eq!(tables.current.epoch, Epoch(9));
    assert_eq!(tables.earlier.len(), MAX_EARLIER_TABLES);
    assert_eq!(tables.earlier[0].epoch, Epoch(8));
    let view = view
        .updated(&reply(5, vec![delta(9, 10, &[], &[1])]), Instant::now())
        .unwrap();
    assert!(
        view.tables[&ID]
            .current
            .members
            .iter()
            .all(|m| m.host.as_str() != "host-1")
    );
}

#[test]
fn ignores_tables_of_unknown_services() {
    let reply = WatchReply {
        tables: vec![snapshot(1, &[1])],
        ..WatchReply::default()
    };
    assert!(View::default().updated(&reply, Instant::now()).is_none());
}

#[test]
fn appends_repeated_key_sets_only_once() {
    let set = |start| KeySet {
        start: Millis(start),
        members: Vec::new(),
    };
    let with = |first, sets| WatchReply {
        keys: vec![(ID, first, sets)],
        ..reply(5, Vec::new())
    };
    let view = start()
        .updated(&with(0, vec![set(1), set(2)]), Instant::now())
        .unwrap();
    assert!(
        view.updated(&with(0, vec![set(1), set(2)]), Instant::now())
            .is_none()
    );
    let view = view
        .updated(&with(1, vec![set(2), set(3)]), Instant::now())
        .unwrap();
    let starts: Vec<_> = view.keys[&ID].iter().map(|set| set.start.0).collect();
    assert_eq!(starts, [1, 2, 3]);
}

#[test]
fn removes_services_missing_from_a_complete_reply() {
    let complete = WatchReply {
        config: Version(6),
        complete: true,
        ..WatchReply::default()
    };
    let view = start().updated(&complete, Instant::now()).unwrap();
    assert!(view.services.is_empty() && view.tables.is_empty());
}

#[test]
fn removes_a_retired_service_and_never_lowers_the_horizon() {
    let high = WatchReply {
        horizon: Millis(100),
        ..reply(5, Vec::new())
    };
    let view = start().updated(&high, Instant::now()).unwrap();
    let retire = WatchReply {
        config: Version(6),
        retired: vec![ID],
        horizon: Millis(50),
        ..WatchReply::default()
    };
    let view = view.updated(&retire, Instant::now()).unwrap();
    assert!(view.services.is_empty() && view.tables.is_empty());
    assert_eq!(view.horizon, Millis(100));
}
