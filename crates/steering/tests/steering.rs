//! Distribution of flows over members, movement of flows by table changes, and the flow cache.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use api::{Member, MemberState, Table};
use quickcheck::quickcheck;
use steering::{
    CacheSettings, CentreSteering, FlowCache, LOOKUP_PERIOD, PackedCandidates, Ranker, Steering,
};
use tokio::time::Instant;
use units::{Epoch, Incarnation, Millis, ServiceId, Slots, Weight};

/// Highest accepted ratio of the maximum to the mean number of flows per member.
const MAX_IMBALANCE: f64 = 1.15;

fn member(n: u32) -> Member {
    let addr = |port| SocketAddrV4::new(Ipv4Addr::from(0x7F00_0000 + n), port);
    Member {
        host: format!("host-{n}").parse().unwrap(),
        incarnation: Incarnation(1),
        packets: addr(7000),
        http: addr(7001),
        centre: "dc-1".parse().unwrap(),
        slots: Slots(2),
        weight: Weight(100),
        state: MemberState::Serving,
    }
}

fn table(epoch: u64, hosts: impl IntoIterator<Item = u32>) -> Table {
    let members = hosts.into_iter().map(member).collect();
    Table {
        service: ServiceId(1),
        epoch: Epoch(epoch),
        changed: Millis(0),
        members,
    }
}

fn hash(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

fn imbalance(ranker: &Ranker, flows: u64) -> f64 {
    let mut counts = vec![0_u64; ranker.members().len()];
    for n in 0..flows {
        counts[ranker.first(hash(n)).unwrap()] += 1;
    }
    *counts.iter().max().unwrap() as f64 / (flows as f64 / counts.len() as f64)
}

#[test]
fn spreads_flows_evenly_in_small_and_large_services() {
    for (hosts, flows) in [
        (3, 10_000),
        (7, 10_000),
        (64, 400_000),
        (65, 400_000),
        (400, 4_000_000),
    ] {
        let got = imbalance(&Ranker::new(&table(1, 0..hosts)), flows);
        assert!(got <= MAX_IMBALANCE, "{hosts} hosts: {got}");
    }
}

#[test]
fn moves_only_what_a_join_must_move() {
    // Maglev moves somewhat more than the new host's share; the bound is twice that share.
    for (hosts, factor) in [(7_u32, 1.15), (200, 2.0)] {
        let (before, after) = (
            Ranker::new(&table(1, 0..hosts)),
            Ranker::new(&table(2, 0..=hosts)),
        );
        let flows = 100_000;
        let host = |ranker: &Ranker, n| ranker.members()[ranker.first(hash(n)).unwrap()].candidate;
        let moved = (0..flows)
            .filter(|n| host(&before, *n) != host(&after, *n))
            .count();
        let share = moved as f64 / flows as f64 * f64::from(hosts + 1);
        assert!(share <= factor, "{hosts} hosts: {share}");
    }
}

#[test]
fn gives_half_the_flows_to_half_the_weight() {
    for hosts in [7, 100] {
        let mut members = table(1, 0..hosts);
        members.members[0].weight = Weight(50);
        let ranker = Ranker::new(&members);
        let flows = 200_000;
        let got = (0..flows)
            .filter(|n| ranker.first(hash(*n)) == Some(0))
            .count() as f64;
        let expected = f64::from(flows as u32) * 0.5 / (f64::from(hosts) - 0.5);
        assert!(
            (got / expected - 1.0).abs() < 0.15,
            "{hosts} hosts: {got} for {expected}"
        );
    }
}

#[test]
fn candidates_include_the_previous_owner_after_three_table_changes() {
    let tables = [
        table(4, 1..8),
        table(3, 1..9),
        table(2, 0..8),
        table(1, 0..7),
    ];
    let old = Ranker::new(&tables[3]);
    let steering = Steering::new(&tables[0], &tables[1..], Instant::now());
    for n in 0..10_000 {
        let owner = old.members()[old.first(hash(n)).unwrap()].candidate;
        assert!(steering.candidates(hash(n)).contains(&owner));
    }
}

#[test]
fn sends_no_new_flow_to_a_draining_member() {
    let mut current = table(2, 0..7);
    current.members[3].state = MemberState::Draining;
    let steering = Steering::new(&current, [&table(1, 0..7)], Instant::now());
    let leaving = member(3).packets;
    assert!((0..10_000).all(|n| steering.candidates(hash(n))[0].address != leaving));
}

#[tokio::test(start_paused = true)]
async fn requests_a_lookup_only_after_a_table_change() {
    let steering = Steering::new(&table(2, 0..7), [&table(1, 0..6)], Instant::now());
    let flags = || {
        steering
            .header(steering.candidates(1), Instant::now())
            .unwrap()
            .flags
    };
    assert!(flags().lookup);
    tokio::time::advance(LOOKUP_PERIOD + Duration::from_millis(1)).await;
    assert!(!flags().lookup);
}

/// Guards against sending a packet to an agent twice: earlier tables list its earlier incarnations.
#[test]
fn lookup_lists_a_restarted_agent_once() {
    let earlier = table(1, 0..5);
    let mut current = table(2, 0..5);
    for member in &mut current.members {
        member.incarnation = Incarnation(2);
    }
    let steering = CentreSteering::new(&current, [&earlier], None);
    for n in 0..100 {
        let found = steering.lookup(hash(n), &"dc-1".parse().unwrap());
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!(found[0].incarnation, Incarnation(2));
    }
}

#[test]
fn returns_no_header_without_members() {
    let steering = Steering::new(&table(1, 0..0), [], Instant::now());
    assert!(
        steering
            .header(steering.candidates(5), Instant::now())
            .is_none()
    );
}

#[test]
fn keeps_established_flows_in_the_cache_during_a_flood() {
    let mut cache = FlowCache::new(CacheSettings {
        entries: 1 << 12,
        idle_s: 120,
    });
    let candidates = PackedCandidates::default();
    let established: Vec<u64> = (0..1_000).map(hash).collect();
    for flow in &established {
        cache.put(*flow, 1, 0, true, candidates);
        for _ in 0..3 {
            cache.get(*flow, 1, 0, false);
        }
    }
    // A set full of established entries rejects further flows; only flows that were stored have an
    // entry that the flood could evict.
    let established: Vec<u64> = established
        .into_iter()
        .filter(|flow| cache.get(*flow, 1, 0, false).is_some())
        .collect();
    assert_eq!(established.len() as u64 + cache.stats().rejected, 1_000);
    for n in 0..1_000_000 {
        cache.put(hash(n + 10_000), 1, 1, true, candidates);
    }
    let still_cached = established
        .iter()
        .filter(|flow| cache.get(**flow, 1, 2, false).is_some())
        .count();
    assert_eq!(still_cached, established.len());
}

#[test]
fn does_not_establish_an_entry_by_repeated_syns() {
    let mut cache = FlowCache::new(CacheSettings {
        entries: 8,
        idle_s: 120,
    });
    for n in 0..8 {
        for _ in 0..5 {
            cache.put(n * 8, 1, 0, true, PackedCandidates::default());
            cache.get(n * 8, 1, 0, true);
        }
    }
    cache.put(800, 1, 0, true, PackedCandidates::default());
    assert!(cache.get(800, 1, 0, false).is_some());
}

#[test]
fn replaces_established_entries_once_they_are_idle() {
    let mut cache = FlowCache::new(CacheSettings {
        entries: 8,
        idle_s: 120,
    });
    for n in 0..8 {
        cache.put(n * 8, 1, 0, false, PackedCandidates::default());
        cache.get(n * 8, 1, 0, false);
    }
    cache.put(800, 1, 60, false, PackedCandidates::default());
    assert_eq!(cache.stats().rejected, 1);
    cache.put(800, 1, 121, false, PackedCandidates::default());
    assert!(cache.get(800, 1, 121, false).is_some());
}

#[test]
fn ignores_entries_of_another_generation() {
    let mut cache = FlowCache::new(CacheSettings::default());
    cache.put(7, 1, 0, false, PackedCandidates::default());
    assert!(cache.get(7, 2, 0, false).is_none());
}

quickcheck! {
    fn packed_candidates_unpack_to_the_same(n: u64) -> bool {
        let steering = Steering::new(&table(2, 0..30), [&table(1, 5..40)], Instant::now());
        let candidates = steering.candidates(n);
        steering.pack(&candidates).map(|packed| steering.unpack(&packed)) == Some(candidates)
    }
}
