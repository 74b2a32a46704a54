//! Decisions of the leader, applied to the replicated state.

#![expect(clippy::unwrap_used, reason = "helpers of tests panic like tests")]

use std::time::Duration;

use api::{
    Announce, Announcement, Heartbeat, HeartbeatReply, Member, MemberState, Order, Role, Target,
    TargetKind,
};
use membership::{
    Action, Event, HeartbeatError, LEASE_TIMEOUT, MAX_CHANGED_MEMBERS, MAX_MISSING_HOSTS,
    MAX_NODES, Membership, Now,
};
use profile::{Declaration, Profile, Service};
use state::{Command, Outcome, State};
use tokio::time::Instant;
use units::{HostName, Incarnation, Millis, Region, ServiceId, Slots, Version, Weight};

const SERVING: Option<MemberState> = Some(MemberState::Serving);
const DRAINING: Option<MemberState> = Some(MemberState::Draining);

/// Leader with its replicated state and a simulated clock.
struct Fixture {
    state: State,
    membership: Membership,
    now: Now,
    proposals: usize,
}

impl Fixture {
    /// Leader with profile `p` and services `s` and `t`.
    fn new() -> Self {
        let now = Now {
            mono: Instant::now(),
            unix: Millis(1_000_000_000),
        };
        let mut fixture = Self {
            state: State::default(),
            membership: Membership::default(),
            now,
            proposals: 0,
        };
        let profile: Profile = serde_json::from_str(r#"{"name":"p"}"#).unwrap();
        fixture.put(0, Declaration::Profile(profile));
        for (name, port) in [("s", 80), ("t", 81)] {
            fixture.put(
                0,
                Declaration::Service(Service {
                    name: name.parse().unwrap(),
                    tenant: "t".parse().unwrap(),
                    profile: "p".parse().unwrap(),
                    address: Some(format!("10.0.0.1:{port}").parse().unwrap()),
                    region: Region(0),
                }),
            );
        }
        fixture.handle(Event::BecomeLeader);
        fixture.advance(100);
        fixture
    }

    fn commit(&mut self, action: state::Action) -> Outcome {
        let proposed_at = self.now.unix;
        let raw = Command {
            proposed_at,
            action,
        }
        .encode()
        .unwrap();
        let index = self.state.index() + 1;
        Outcome::decode(&self.state.apply(index, &raw)).unwrap()
    }

    fn put(&mut self, expected: u64, body: Declaration) {
        let key = format!("{}-{}", self.now.unix, self.state.index());
        let outcome = self.commit(state::Action::Put {
            expected: Version(expected),
            key: key.into(),
            author: "ann".into(),
            body,
        });
        assert!(matches!(outcome, Outcome::Put(_)), "{outcome:?}");
    }

    fn announce(&mut self, kind: TargetKind, host: &str, from: u64, to: u64) {
        let key = format!("{}-{}", self.now.unix, self.state.index());
        self.commit(state::Action::Announce(Announce {
            target: Target {
                kind,
                host: host.parse().unwrap(),
            },
            start: Millis(self.now.unix.0 + from),
            end: Millis(self.now.unix.0 + to),
            key: key.into(),
            author: "ann".into(),
        }));
    }

    fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.membership
            .handle(self.now, &self.state, event, &mut out);
        out
    }

    fn advance_clock(&mut self, ms: u64) {
        self.now.mono += Duration::from_millis(ms);
        self.now.unix.0 += ms;
    }

    /// Advances the clock in ticks of 100 ms and commits every proposal.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.advance_clock(100);
            for action in self.handle(Event::Tick) {
                let Action::Propose(action) = action else {
                    panic!("{action:?}")
                };
                self.proposals += usize::from(matches!(action, state::Action::Members(_)));
                self.commit(action);
            }
        }
    }

    fn send_heartbeat(&mut self, heartbeat: &Heartbeat) -> Result<HeartbeatReply, HeartbeatError> {
        match self.handle(Event::Heartbeat(heartbeat)).pop().unwrap() {
            Action::Reply(reply) => Ok(reply),
            Action::Reject(error) => Err(error),
            action => panic!("{action:?}"),
        }
    }

    /// Advances the clock while each node sends a heartbeat per second.
    fn run_for(&mut self, seconds: u64, heartbeats: &[Heartbeat]) {
        for _ in 0..seconds {
            for heartbeat in heartbeats {
                self.send_heartbeat(heartbeat).unwrap();
            }
            self.advance(1_000);
        }
    }

    fn service_id(&self, name: &str) -> ServiceId {
        self.state.service(&name.parse().unwrap()).unwrap().id
    }

    fn table(&self, service: &str) -> Vec<(String, u64, MemberState)> {
        let entry = |m: &Member| (m.host.to_string(), m.incarnation.0, m.state);
        let table = self.state.table(self.service_id(service)).unwrap();
        table.members.iter().map(entry).collect()
    }

    fn member_states(&self) -> Vec<MemberState> {
        self.table("s").iter().map(|(_, _, state)| *state).collect()
    }
}

fn agent(host: &str, incarnation: u64, state: Option<MemberState>) -> Heartbeat {
    let port = 1_000 + u16::from(host.as_bytes()[0]) + (incarnation % 100) as u16 * 256;
    let address = format!("127.0.0.1:{port}").parse().unwrap();
    Heartbeat {
        backend: Some(Announcement {
            service: "s".parse().unwrap(),
            packets: address,
            http: address,
            slots: Slots(2),
            weight: Weight(100),
            state,
        }),
        ..node(host, incarnation, 3, Role::Agent)
    }
}

fn node(host: &str, incarnation: u64, config: u64, role: Role) -> Heartbeat {
    Heartbeat {
        host: host.parse().unwrap(),
        role,
        region: Region(0),
        centre: "dc-1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        config: Version(config),
        flows: 0,
        backend: None,
        leaving: false,
    }
}

/// Guards against one table version per joining host, and against a join that is
/// delayed beyond the coalescing window.
#[test]
fn joins_are_coalesced() {
    let mut fixture = Fixture::new();
    let hosts = ["a", "b", "c"];
    for host in hosts {
        fixture.send_heartbeat(&agent(host, 1, SERVING)).unwrap();
        fixture.advance(100);
    }
    assert_eq!((fixture.table("s").len(), fixture.proposals), (3, 1));
    // Heartbeats without changes create no version.
    fixture.run_for(3, &hosts.map(|host| agent(host, 1, SERVING)));
    assert_eq!(fixture.proposals, 1);
}

/// Guards against a join that is dropped because its proposal was lost.
#[test]
fn lost_proposals_are_retried() {
    let mut fixture = Fixture::new();
    fixture.send_heartbeat(&agent("a", 1, SERVING)).unwrap();
    let mut lost = 0;
    for _ in 0..8 {
        fixture.advance_clock(100);
        lost += fixture.handle(Event::Tick).len();
    }
    assert_eq!((lost, fixture.table("s").len()), (2, 0));
    fixture.advance(300);
    assert_eq!(fixture.table("s").len(), 1);
}

/// Guards against members that stay after their lease has expired, or are removed
/// before.
#[test]
fn leases_expire_after_timeout() {
    let mut fixture = Fixture::new();
    fixture.run_for(1, &[agent("a", 1, SERVING), agent("b", 1, SERVING)]);
    fixture.run_for(2, &[agent("b", 1, SERVING)]);
    fixture.advance(800);
    assert_eq!(fixture.table("s").len(), 2);
    fixture.send_heartbeat(&agent("b", 1, SERVING)).unwrap();
    fixture.advance(700);
    assert_eq!(fixture.table("s"), [("b".into(), 1, MemberState::Serving)]);
    // The same process may rejoin; a leave takes effect without waiting for the lease.
    fixture.run_for(1, &[agent("a", 1, SERVING)]);
    assert_eq!(fixture.table("s").len(), 2);
    let leaving = Heartbeat {
        leaving: true,
        ..agent("a", 1, SERVING)
    };
    fixture.send_heartbeat(&leaving).unwrap();
    fixture.advance(400);
    assert_eq!(fixture.table("s").len(), 1);
}

/// Guards against a new leader, or one that was not scheduled for a while, that
/// removes members whose heartbeats it could not have received.
#[test]
fn new_or_stalled_leader_grants_full_leases() {
    let mut fixture = Fixture::new();
    fixture.run_for(1, &[agent("a", 1, SERVING), agent("b", 1, SERVING)]);
    fixture.handle(Event::BecomeFollower);
    fixture.advance_clock(60_000);
    assert_eq!(
        fixture.send_heartbeat(&agent("a", 1, SERVING)),
        Err(HeartbeatError::NotLeader)
    );
    fixture.handle(Event::BecomeLeader);
    fixture.advance(LEASE_TIMEOUT.0 - 200);
    assert_eq!(fixture.table("s").len(), 2);
    fixture.send_heartbeat(&agent("a", 1, SERVING)).unwrap();
    fixture.advance(600);
    assert_eq!(fixture.table("s"), [("a".into(), 1, MemberState::Serving)]);
    // The leader was not scheduled for a minute.
    fixture.advance_clock(60_000);
    fixture.advance(2_000);
    assert_eq!(fixture.table("s").len(), 1);
    fixture.advance(5_000);
    assert_eq!(fixture.table("s").len(), 0);
}

/// Guards against members that stay for a full lease although their agent announced that it
/// leaves: after a power loss the agent restarted without its backend server, and no leader had
/// known this process before.
#[test]
fn leave_removes_earlier_processes_of_host() {
    let mut fixture = Fixture::new();
    fixture.run_for(1, &[agent("a", 1, SERVING), agent("b", 1, SERVING)]);
    fixture.handle(Event::BecomeFollower);
    fixture.handle(Event::BecomeLeader);
    let leave = |host, incarnation| Heartbeat {
        leaving: true,
        ..node(host, incarnation, 3, Role::Agent)
    };
    // Neither a balancer of the host nor an older process removes the member.
    fixture.send_heartbeat(&leave("a", 0)).unwrap();
    let other = Heartbeat {
        role: Role::Balancer,
        ..leave("a", 2)
    };
    fixture.send_heartbeat(&other).unwrap();
    fixture.advance(600);
    assert_eq!(fixture.table("s").len(), 2);
    fixture.send_heartbeat(&leave("a", 2)).unwrap();
    fixture.advance(600);
    assert_eq!(fixture.table("s"), [("b".into(), 1, MemberState::Serving)]);
    // The host may rejoin.
    fixture.run_for(1, &[agent("a", 3, SERVING), agent("b", 1, SERVING)]);
    assert_eq!(fixture.table("s").len(), 2);
}

/// Guards against an old process that rejoins after its successor, and against two
/// processes of one host that both accept new work.
#[test]
fn older_incarnations_never_take_work() {
    let mut fixture = Fixture::new();
    fixture.run_for(1, &[agent("a", 5, SERVING)]);
    let error = HeartbeatError::OlderIncarnation {
        host: "a".parse().unwrap(),
        known: Incarnation(5),
        rejected: Incarnation(4),
    };
    assert_eq!(
        fixture.send_heartbeat(&agent("a", 4, SERVING)),
        Err(error.clone())
    );
    // Planned restart: the successor joins first, the old process keeps its flows.
    fixture.run_for(1, &[agent("a", 5, SERVING), agent("a", 6, SERVING)]);
    let both = [
        ("a".into(), 5, MemberState::Draining),
        ("a".into(), 6, MemberState::Serving),
    ];
    assert_eq!(fixture.table("s"), both);
    fixture.run_for(5, &[agent("a", 5, DRAINING)]);
    assert_eq!(fixture.table("s"), [("a".into(), 5, MemberState::Draining)]);
    fixture.run_for(5, &[]);
    assert_eq!(fixture.table("s").len(), 0);
    assert!(matches!(
        fixture.send_heartbeat(&agent("a", 4, SERVING)),
        Err(HeartbeatError::OlderIncarnation { .. })
    ));
    fixture
        .send_heartbeat(&node("x", 9, 3, Role::Balancer))
        .unwrap();
    let old = fixture.send_heartbeat(&node("x", 8, 3, Role::Balancer));
    assert!(matches!(old, Err(HeartbeatError::OlderIncarnation { .. })));
}

/// Guards against packets that are sent to a host although another one now uses its
/// address.
#[test]
fn reused_address_removes_old_member() {
    let mut fixture = Fixture::new();
    fixture.run_for(1, &[agent("a", 1, SERVING)]);
    let mut other = agent("a", 1, SERVING);
    other.host = "z".parse().unwrap();
    other.incarnation = Incarnation(2);
    other.backend.as_mut().unwrap().service = "t".parse().unwrap();
    fixture.send_heartbeat(&other).unwrap();
    fixture.advance(300);
    assert_eq!(fixture.table("s"), []);
    assert_eq!(fixture.table("t").len(), 1);
}

/// Guards against a member whose state flaps with its health, and one that gets new
/// work after it reported that it drains.
#[test]
fn draining_member_serves_after_two_heartbeats() {
    let mut fixture = Fixture::new();
    let steps = [
        (Some(MemberState::Warming), Some(MemberState::Warming)),
        (SERVING, SERVING),
        (DRAINING, DRAINING),
        (SERVING, DRAINING),
        (DRAINING, DRAINING),
        (SERVING, DRAINING),
        (SERVING, SERVING),
        (None, None),
        (SERVING, SERVING),
    ];
    for (announced, effective) in steps {
        fixture.run_for(1, &[agent("a", 1, announced)]);
        assert_eq!(
            fixture.member_states().first().copied(),
            effective,
            "{announced:?}"
        );
    }
}

/// Guards against a planned change that starts late, never ends, or affects other hosts.
#[test]
fn planned_changes_drain_from_start_to_end() {
    let mut fixture = Fixture::new();
    fixture.announce(TargetKind::BackendServer, "a", 2_000, 6_000);
    fixture.announce(TargetKind::Balancer, "x", 2_000, 6_000);
    let heartbeats = [
        agent("a", 1, SERVING),
        agent("b", 1, SERVING),
        node("x", 1, 3, Role::Balancer),
        node("a", 1, 3, Role::Balancer),
    ];
    for second in 0..9 {
        let drain = (2..6).contains(&second);
        let orders = heartbeats
            .clone()
            .map(|heartbeat| fixture.send_heartbeat(&heartbeat).unwrap().order);
        let expected_order = if drain { Order::Drain } else { Order::Serve };
        assert_eq!(
            orders,
            [expected_order, Order::Serve, expected_order, Order::Serve],
            "{second}"
        );
        fixture.advance(1_000);
        let state = [MemberState::Serving, MemberState::Draining][usize::from(drain)];
        assert_eq!(
            fixture.member_states(),
            [state, MemberState::Serving],
            "{second}"
        );
    }
}

/// Guards against a version reported as in force while a live node lacks it, and
/// against a lost node that blocks it or is not listed as missing.
#[test]
fn in_force_requires_every_live_node() {
    let mut fixture = Fixture::new();
    let node = |host: &str, config| node(host, 1, config, Role::Balancer);
    fixture.send_heartbeat(&node("lost", 1)).unwrap();
    fixture.run_for(3, &[node("x", 3), node("y", 2)]);
    // A new leader doesn't know all nodes until a full lease has passed.
    assert_eq!(fixture.state.in_force(), Version(0));
    fixture.run_for(3, &[node("x", 3), node("y", 2)]);
    assert_eq!(fixture.state.in_force(), Version(2));
    let pending = fixture
        .membership
        .pending(fixture.now.mono, &fixture.state)
        .unwrap();
    let host = |name: &str| name.parse::<HostName>().unwrap();
    assert_eq!(
        (pending.version, pending.missing),
        (Version(3), vec![host("y")])
    );
    fixture.run_for(1, &[node("x", 3), node("y", 3)]);
    assert_eq!(fixture.state.in_force(), Version(3));
    assert_eq!(
        fixture.membership.pending(fixture.now.mono, &fixture.state),
        None
    );
    let missing = fixture
        .state
        .report(Millis(0))
        .audit
        .into_iter()
        .filter_map(|e| match e.event {
            api::AuditEvent::InForce { nodes, missing } => Some((nodes, missing)),
            _ => None,
        });
    let lost = vec![host("lost")];
    let expected = [(3, Vec::new()), (2, lost.clone()), (2, lost)];
    assert_eq!(missing.collect::<Vec<_>>(), expected);
}

/// Guards against a horizon that expires or jumps, and key sets that change more
/// often than the horizon is extended.
#[test]
fn horizon_advances_and_key_sets_are_renewed() {
    let mut fixture = Fixture::new();
    let mut horizons = vec![fixture.state.horizon()];
    let mut sets = Vec::new();
    for second in 0..60 {
        // One host alternates between serving and draining every three seconds.
        let mut heartbeats = vec![agent("a", 1, SERVING), agent("b", 1, SERVING)];
        heartbeats.push(agent(
            "c",
            1,
            if second % 6 < 3 { SERVING } else { DRAINING },
        ));
        fixture.run_for(1, &heartbeats);
        let left = fixture.state.horizon().since(fixture.now.unix);
        assert!((19_000..=30_000).contains(&left.0), "{left}");
        horizons.push(fixture.state.horizon());
        sets.extend(
            fixture
                .state
                .latest_key_set(fixture.service_id("s"))
                .map(|set| set.start),
        );
    }
    horizons.dedup();
    sets.dedup();
    assert!((5..=8).contains(&horizons.len()), "{}", horizons.len());
    assert!((2..=8).contains(&sets.len()), "{sets:?}");
}

/// Guards against a backend server that becomes a member of an undeclared service, and
/// one that does not join once the service is declared.
#[test]
fn undeclared_service_is_reported() {
    let mut fixture = Fixture::new();
    let mut heartbeat = agent("a", 1, SERVING);
    heartbeat.backend.as_mut().unwrap().service = "u".parse().unwrap();
    assert!(!fixture.send_heartbeat(&heartbeat).unwrap().known);
    fixture.put(
        0,
        Declaration::Service(Service {
            name: "u".parse().unwrap(),
            tenant: "t".parse().unwrap(),
            profile: "p".parse().unwrap(),
            address: Some("10.0.0.1:99".parse().unwrap()),
            region: Region(0),
        }),
    );
    assert!(fixture.send_heartbeat(&heartbeat).unwrap().known);
    fixture.advance(400);
    assert_eq!(fixture.table("u").len(), 1);
}

/// Guards against unbounded memory use by heartbeats with ever new host names.
#[test]
fn node_count_is_bounded() {
    let mut fixture = Fixture::new();
    for number in 0..MAX_NODES {
        let node = node(&format!("n{number}"), 1, 3, Role::Balancer);
        fixture.send_heartbeat(&node).unwrap();
    }
    let one_more = node("one-more", 1, 3, Role::Balancer);
    assert_eq!(fixture.send_heartbeat(&one_more), Err(HeartbeatError::Full));
    fixture
        .send_heartbeat(&node("n0", 1, 3, Role::Balancer))
        .unwrap();
}

/// Guards against a proposal that is too large for the log, and therefore never
/// committed, when every agent of a region joins or is lost at once.
#[test]
fn proposal_size_is_bounded() {
    let mut fixture = Fixture::new();
    let mut agents = Vec::new();
    for number in 0..=MAX_CHANGED_MEMBERS {
        let mut heartbeat = agent("a", 1, SERVING);
        heartbeat.host = format!("{number:0>60}").parse().unwrap();
        let port = 10_000 + u16::try_from(number).unwrap();
        heartbeat.backend.as_mut().unwrap().packets.set_port(port);
        agents.push(heartbeat);
    }
    for step in [0, 1] {
        if step == 0 {
            for heartbeat in &agents {
                fixture.send_heartbeat(heartbeat).unwrap();
            }
        }
        let mut sizes: Vec<usize> = Vec::new();
        for _ in 0..[15, 40][step] {
            fixture.advance_clock(100);
            for action in fixture.handle(Event::Tick) {
                let Action::Propose(action) = action else {
                    panic!("{action:?}")
                };
                if let state::Action::Members(changes) = &action {
                    let size = |c: &state::TableChange| c.put.len() + c.gone.len();
                    sizes.push(changes.iter().map(size).sum());
                    let proposed_at = fixture.now.unix;
                    let action = action.clone();
                    let raw = Command {
                        proposed_at,
                        action,
                    }
                    .encode()
                    .unwrap();
                    assert!(raw.len() < 1 << 20, "{}", raw.len());
                }
                fixture.commit(action);
            }
        }
        assert_eq!(sizes, [MAX_CHANGED_MEMBERS, 1]);
    }
}

/// Guards against an entry that is too large for the log when a region is lost.
#[test]
fn missing_hosts_are_bounded() {
    let mut fixture = Fixture::new();
    for number in 0..=MAX_MISSING_HOSTS {
        let node = node(&format!("n{number}"), 1, 1, Role::Balancer);
        fixture.send_heartbeat(&node).unwrap();
    }
    fixture.run_for(6, &[node("x", 1, 3, Role::Balancer)]);
    let audit = fixture.state.report(Millis(0)).audit;
    let missing = audit.into_iter().filter_map(|entry| match entry.event {
        api::AuditEvent::InForce { missing, .. } => Some(missing.len()),
        _ => None,
    });
    assert_eq!(missing.max(), Some(MAX_MISSING_HOSTS));
}
