//! Tables, key sets, the horizon and the long poll.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use crate::common::{Log, NOW, member, profile, service};
use api::{KeyMember, MemberState, Scope, Table, TableUpdate, Watch, WatchReply};
use state::{Action, MAX_HISTORY, MAX_KEY_SETS, MAX_MEMBERS};
use units::{Epoch, Incarnation, Millis, Version};

/// Log index of the first table of `Log::with_service`.
const FIRST_INDEX: u64 = 2;

fn watch(log: &Log, config: u64, index: u64) -> Watch {
    Watch {
        host: "n".parse().unwrap(),
        scope: Scope::Service("s".parse().unwrap()),
        config: Version(config),
        horizon: log.state.horizon(),
        index,
        wait_ms: Millis(0),
        probe: false,
    }
}

fn poll(log: &Log, config: u64, index: u64) -> Option<WatchReply> {
    log.state.watch_reply(&watch(log, config, index))
}

/// Guards against a node that missed hundreds of changes and ends with another table, and against
/// deltas that reach beyond the kept history.
#[test]
fn updates_after_any_lag_produce_the_same_table() {
    let mut log = Log::with_service();
    let mut tables: Vec<(u64, Table)> =
        vec![(FIRST_INDEX, log.state.table(log.id("s")).unwrap().clone())];
    for round in 0..(MAX_HISTORY as u64 + 50) {
        let host = format!("h{}", round % 40);
        let state = [MemberState::Warming, MemberState::Serving][(round / 40) as usize % 2];
        if round >= 40 && round % 7 != 3 {
            log.change_members(&[], &[(&host, round - 40)]);
        }
        log.change_members(&[member(&host, round, state)], &[]);
        tables.push((
            log.state.index(),
            log.state.table(log.id("s")).unwrap().clone(),
        ));
    }
    let last = tables.last().unwrap().1.clone();
    let mut counts = [0, 0];
    for (index, mut table) in tables {
        let Some(reply) = poll(&log, 2, index) else {
            assert_eq!(table, last);
            continue;
        };
        let lag = last.epoch.0 - table.epoch.0;
        let update = &reply.tables[0];
        let delta = matches!(update, TableUpdate::Delta(_));
        assert!(!delta || lag <= MAX_HISTORY as u64);
        counts[usize::from(delta)] += 1;
        assert!(table.apply(update));
        assert_eq!(table, last);
    }
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

/// Guards against a delta that starts after the epoch of the node's table.
#[test]
fn delta_never_skips_a_change() {
    let mut log = Log::with_service();
    let states = [MemberState::Warming, MemberState::Serving];
    log.change_members(&["a", "b", "c"].map(|host| member(host, 1, states[0])), &[]);
    for round in 0..MAX_HISTORY {
        let reply = poll(&log, 2, FIRST_INDEX).unwrap();
        let mut table = Table {
            epoch: Epoch(1),
            members: Vec::new(),
            ..log.state.table(log.id("s")).unwrap().clone()
        };
        assert!(table.apply(&reply.tables[0]));
        assert_eq!(table.members.len(), 3, "{round}");
        let delta = matches!(
            poll(&log, 2, FIRST_INDEX + 1).unwrap_or_default().tables[..],
            [TableUpdate::Delta(_)]
        );
        assert!(delta || round == 0);
        log.change_members(&[member("a", 1, states[(round + 1) % 2])], &[]);
    }
    let delta = |index| {
        matches!(
            poll(&log, 2, index).unwrap().tables[..],
            [TableUpdate::Delta(_)]
        )
    };
    assert!(delta(FIRST_INDEX + 1) && !delta(FIRST_INDEX));
}

/// Guards against delayed changes from an earlier incarnation, and against a table above its limit.
#[test]
fn tables_ignore_old_incarnations_and_members_above_the_limit() {
    let mut log = Log::with_service();
    log.change_members(&[member("a", 5, MemberState::Serving)], &[]);
    log.change_members(&[], &[("a", 5)]);
    let epoch = log.state.table(log.id("s")).unwrap().epoch;
    log.change_members(&[member("a", 4, MemberState::Serving)], &[("b", 1)]);
    assert_eq!(log.state.table(log.id("s")).unwrap().epoch, epoch);
    let many: Vec<_> = (0..=MAX_MEMBERS)
        .map(|n| member(&format!("m{n}"), 1, MemberState::Serving))
        .collect();
    log.change_members(&many, &[]);
    assert_eq!(
        log.state.table(log.id("s")).unwrap().members.len(),
        MAX_MEMBERS
    );
}

/// Guards against a lagging replica that reverts a node to an older configuration or table.
#[test]
fn older_state_is_never_sent() {
    let mut log = Log::with_service();
    log.change_members(&[member("a", 5, MemberState::Serving)], &[]);
    assert_eq!(poll(&log, 3, FIRST_INDEX), None);
    assert_eq!(poll(&log, 2, FIRST_INDEX + 1), None);
    assert_eq!(poll(&log, 2, FIRST_INDEX + 2), None);
    let reply = poll(&log, 2, FIRST_INDEX).unwrap();
    assert_eq!((reply.config, reply.tables.len()), (Version(2), 1));
}

/// Guards against a node that missed many changes and keeps a retired service, or never receives the
/// profile of a new one.
#[test]
fn changes_reach_nodes_after_any_lag() {
    let mut log = Log::with_service();
    let request = watch(&log, 2, FIRST_INDEX);
    let id = log.id("s");
    log.put(1, profile("p", 7));
    let reply = log.state.watch_reply(&request).unwrap();
    assert_eq!(reply.services[0].version, Version(3));
    assert_eq!(reply.services[0].profile.warmup_ms, Millis(7));
    log.retire("service", "s", 2);
    for number in 0..1_100 {
        log.put(4 * u64::from(number > 0) + number, profile("q", number));
        let retired = log.state.watch_reply(&request).unwrap().retired;
        assert_eq!(retired, [id]);
    }
    log.put(0, service("s", "p", 1));
    let reply = log.state.watch_reply(&request).unwrap();
    assert_eq!((reply.services.len(), reply.tables.len()), (1, 1));
    assert_eq!(reply.retired, [id]);
    assert!(!reply.complete);
    for _ in 0..state::MAX_RETIRED {
        log.now = Millis(log.now.0 + 1);
        log.put(0, service("t", "p", 2));
        let current = log.state.config().0;
        log.retire("service", "t", current);
    }
    let reply = log.state.watch_reply(&request).unwrap();
    assert!(reply.complete);
    assert_eq!((reply.services.len(), reply.tables.len()), (1, 1));
}

fn key_member(host: &str) -> KeyMember {
    KeyMember {
        host: host.parse().unwrap(),
        incarnation: Incarnation(1),
        http: "127.0.0.1:1".parse().unwrap(),
    }
}

/// Guards against two key sets for one key: a set that starts before the horizon could differ from
/// the one under which the key was granted.
#[test]
fn key_sets_start_after_the_horizon() {
    let mut log = Log::with_service();
    let service = log.id("s");
    let mut starts = Vec::new();
    let mut indexes = Vec::new();
    // (members, horizon before the command)
    let cases = [
        (vec!["a"], 10_000),
        (vec!["a", "b"], 20_000),
        (vec!["a", "b", "c"], 30_000),
        (vec!["a", "b", "c"], 30_000),
        (vec!["a", "c"], 30_000),
        (vec!["b", "c"], 40_000),
    ];
    for (hosts, horizon) in cases {
        log.run(Action::Horizon(Millis(NOW.0 + horizon)));
        let members = hosts.into_iter().map(key_member).collect();
        log.run(Action::KeySet { service, members });
        let start = log.state.latest_key_set(service).unwrap().start;
        starts.push(start.since(NOW).0);
        indexes.push(log.state.index());
    }
    // A set of one agent can't grant keys, so the next set replaces it from its start.
    assert_eq!(starts, [0, 0, 30_001, 30_001, 30_002, 40_001]);
    log.run(Action::Horizon(Millis(5)));
    assert_eq!(log.state.horizon(), Millis(NOW.0 + 40_000));
    let (_, first, sets) = poll(&log, 2, indexes[1]).unwrap().keys.remove(0);
    assert_eq!((first, sets.len()), (2, 3));
    assert_eq!(poll(&log, 2, log.state.index()), None);
}

/// Guards against key sets that accumulate, or that are pruned while keys granted under them are still
/// stored.
#[test]
fn old_key_sets_are_pruned() {
    let mut log = Log::with_service();
    let service = log.id("s");
    let base = NOW.0;
    for round in 0..200_u64 {
        log.now = Millis(base + round * 10_000);
        log.run(Action::Horizon(Millis(log.now.0 + 30_000)));
        let members = vec![key_member(&format!("h{round}")), key_member("z")];
        log.run(Action::KeySet { service, members });
    }
    let (_, first, sets) = poll(&log, 2, FIRST_INDEX).unwrap().keys.remove(0);
    assert_eq!(first + sets.len() as u64, 200);
    let window = log.now.0 - 660_000;
    assert!(sets[0].start.0 <= window && sets[1].start.0 > window);
    assert!(sets.len() < 100, "{}", sets.len());
    for round in 0..=MAX_KEY_SETS as u64 {
        let members = vec![key_member(&format!("g{round}")), key_member("z")];
        log.run(Action::KeySet { service, members });
    }
    assert_eq!(
        poll(&log, 2, FIRST_INDEX).unwrap().keys[0].2.len(),
        MAX_KEY_SETS
    );
}

/// Guards against restarts of members that evict operator changes from the audit log.
#[test]
fn audit_log_is_bounded() {
    let mut log = Log::with_service();
    for round in 1..=(state::MAX_MEMBER_EVENTS as u64 + 1) {
        log.change_members(
            &[member(
                "a",
                1,
                [MemberState::Serving, MemberState::Draining][round as usize % 2],
            )],
            &[],
        );
    }
    assert_eq!(log.state.audit().len(), state::MAX_MEMBER_EVENTS + 2);
    assert_eq!(log.state.report(NOW).audit.len(), 2);
    log.run(Action::InForce {
        version: Version(2),
        nodes: 3,
        missing: Vec::new(),
    });
    for stale in [1, 2, 3] {
        log.run(Action::InForce {
            version: Version(stale),
            nodes: 1,
            missing: Vec::new(),
        });
    }
    assert_eq!(log.state.in_force(), Version(2));
    assert_eq!(log.state.report(NOW).audit.len(), 3);
}
