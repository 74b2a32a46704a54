//! Decisions of the leader, applied to a real state.

#![expect(clippy::unwrap_used, reason = "helpers of tests panic like tests")]

use std::time::Duration;

use api::{
    Announce, Announcement, Heartbeat, HeartbeatReply, Member, MemberState, Order, Role, Target,
    TargetKind,
};
use membership::{
    Action, Event, LEASE, MAX_CHANGED, MAX_MISSING, MAX_NODES, Membership, Now, Refused,
};
use profile::{Declaration, Profile, Service};
use state::{Command, Outcome, State};
use tokio::time::Instant;
use units::{HostName, Incarnation, Millis, Region, ServiceId, Slots, Version, Weight};

const SERVING: Option<MemberState> = Some(MemberState::Serving);
const DRAINING: Option<MemberState> = Some(MemberState::Draining);

/// Leader with its state and a clock.
struct World {
    state: State,
    membership: Membership,
    now: Now,
    proposals: usize,
}

impl World {
    /// Leader with profile `p` and services `s` and `t`.
    fn new() -> Self {
        let now = Now {
            mono: Instant::now(),
            unix: Millis(1_000_000_000),
        };
        let mut world = Self {
            state: State::default(),
            membership: Membership::default(),
            now,
            proposals: 0,
        };
        let profile: Profile = serde_json::from_str(r#"{"name":"p"}"#).unwrap();
        world.put(0, Declaration::Profile(profile));
        for (name, port) in [("s", 80), ("t", 81)] {
            world.put(
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
        world.event(Event::Lead);
        world.pass(100);
        world
    }

    fn run(&mut self, action: state::Action) -> Outcome {
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
        let outcome = self.run(state::Action::Put {
            expected: Version(expected),
            key: key.into(),
            author: "ann".into(),
            body,
        });
        assert!(matches!(outcome, Outcome::Put(_)), "{outcome:?}");
    }

    fn announce(&mut self, kind: TargetKind, host: &str, from: u64, to: u64) {
        let key = format!("{}-{}", self.now.unix, self.state.index());
        self.run(state::Action::Announce(Announce {
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

    fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.membership
            .handle(self.now, &self.state, event, &mut out);
        out
    }

    fn skip(&mut self, ms: u64) {
        self.now.mono += Duration::from_millis(ms);
        self.now.unix.0 += ms;
    }

    /// Time passes in ticks of 100 ms; proposals are committed.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.skip(100);
            for action in self.event(Event::Tick) {
                let Action::Propose(action) = action else {
                    panic!("{action:?}")
                };
                self.proposals += usize::from(matches!(action, state::Action::Members(_)));
                self.run(action);
            }
        }
    }

    fn beat(&mut self, beat: &Heartbeat) -> Result<HeartbeatReply, Refused> {
        match self.event(Event::Heartbeat(beat)).pop().unwrap() {
            Action::Reply(reply) => Ok(reply),
            Action::Refuse(refused) => Err(refused),
            action => panic!("{action:?}"),
        }
    }

    /// Time passes while these nodes send a heartbeat each second.
    fn live(&mut self, seconds: u64, beats: &[Heartbeat]) {
        for _ in 0..seconds {
            for beat in beats {
                self.beat(beat).unwrap();
            }
            self.pass(1_000);
        }
    }

    fn id(&self, name: &str) -> ServiceId {
        self.state.service(&name.parse().unwrap()).unwrap().id
    }

    fn table(&self, service: &str) -> Vec<(String, u64, MemberState)> {
        let entry = |m: &Member| (m.host.to_string(), m.incarnation.0, m.state);
        let table = self.state.table(self.id(service)).unwrap();
        table.members.iter().map(entry).collect()
    }

    fn states(&self) -> Vec<MemberState> {
        self.table("s").iter().map(|(_, _, state)| *state).collect()
    }
}

fn agent(host: &str, start: u64, state: Option<MemberState>) -> Heartbeat {
    let port = 1_000 + u16::from(host.as_bytes()[0]) + (start % 100) as u16 * 256;
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
        ..balancer(host, start, 3, Role::Agent)
    }
}

fn balancer(host: &str, start: u64, config: u64, role: Role) -> Heartbeat {
    Heartbeat {
        host: host.parse().unwrap(),
        role,
        region: Region(0),
        centre: "dc-1".parse().unwrap(),
        incarnation: Incarnation(start),
        config: Version(config),
        flows: 0,
        backend: None,
        leaving: false,
    }
}

/// Guards against one table version per joining host, and against a join that
/// waits longer than the coalescing time.
#[test]
fn joins_are_coalesced() {
    let mut world = World::new();
    let hosts = ["a", "b", "c"];
    for host in hosts {
        world.beat(&agent(host, 1, SERVING)).unwrap();
        world.pass(100);
    }
    assert_eq!((world.table("s").len(), world.proposals), (3, 1));
    // Heartbeats without news make no version.
    world.live(3, &hosts.map(|host| agent(host, 1, SERVING)));
    assert_eq!(world.proposals, 1);
}

/// Guards against a join that is forgotten because its proposal was lost.
#[test]
fn lost_proposals_are_made_again() {
    let mut world = World::new();
    world.beat(&agent("a", 1, SERVING)).unwrap();
    let mut lost = 0;
    for _ in 0..8 {
        world.skip(100);
        lost += world.event(Event::Tick).len();
    }
    assert_eq!((lost, world.table("s").len()), (2, 0));
    world.pass(300);
    assert_eq!(world.table("s").len(), 1);
}

/// Guards against members that stay after their lease, or leave before it ends.
#[test]
fn leases_end_after_their_time() {
    let mut world = World::new();
    world.live(1, &[agent("a", 1, SERVING), agent("b", 1, SERVING)]);
    world.live(2, &[agent("b", 1, SERVING)]);
    world.pass(800);
    assert_eq!(world.table("s").len(), 2);
    world.beat(&agent("b", 1, SERVING)).unwrap();
    world.pass(700);
    assert_eq!(world.table("s"), [("b".into(), 1, MemberState::Serving)]);
    // The same process may come back; a leave needs no lease.
    world.live(1, &[agent("a", 1, SERVING)]);
    assert_eq!(world.table("s").len(), 2);
    let leaving = Heartbeat {
        leaving: true,
        ..agent("a", 1, SERVING)
    };
    world.beat(&leaving).unwrap();
    world.pass(400);
    assert_eq!(world.table("s").len(), 1);
}

/// Guards against a new leader, or one that was stopped itself, that throws out
/// members whose heartbeats it could not have received.
#[test]
fn a_new_or_stalled_leader_grants_full_leases() {
    let mut world = World::new();
    world.live(1, &[agent("a", 1, SERVING), agent("b", 1, SERVING)]);
    world.event(Event::Follow);
    world.skip(60_000);
    assert_eq!(world.beat(&agent("a", 1, SERVING)), Err(Refused::NotLeader));
    world.event(Event::Lead);
    world.pass(LEASE.0 - 200);
    assert_eq!(world.table("s").len(), 2);
    world.beat(&agent("a", 1, SERVING)).unwrap();
    world.pass(600);
    assert_eq!(world.table("s"), [("a".into(), 1, MemberState::Serving)]);
    // The process stood still for a minute.
    world.skip(60_000);
    world.pass(2_000);
    assert_eq!(world.table("s").len(), 1);
    world.pass(5_000);
    assert_eq!(world.table("s").len(), 0);
}

/// Guards against members that stay for a lease although their agent said that it leaves: after a loss
/// of power it had started anew without its backend server, and no leader knew the process before.
#[test]
fn a_leave_ends_earlier_processes_of_the_host() {
    let mut world = World::new();
    world.live(1, &[agent("a", 1, SERVING), agent("b", 1, SERVING)]);
    world.event(Event::Follow);
    world.event(Event::Lead);
    let leave = |host, start| Heartbeat {
        leaving: true,
        ..balancer(host, start, 3, Role::Agent)
    };
    // Neither a balancer of the host nor an older process takes the member with it.
    world.beat(&leave("a", 0)).unwrap();
    let other = Heartbeat {
        role: Role::Balancer,
        ..leave("a", 2)
    };
    world.beat(&other).unwrap();
    world.pass(600);
    assert_eq!(world.table("s").len(), 2);
    world.beat(&leave("a", 2)).unwrap();
    world.pass(600);
    assert_eq!(world.table("s"), [("b".into(), 1, MemberState::Serving)]);
    // The host may come back.
    world.live(1, &[agent("a", 3, SERVING), agent("b", 1, SERVING)]);
    assert_eq!(world.table("s").len(), 2);
}

/// Guards against an old process that comes back after its successor, and
/// against two processes of one host that both take work.
#[test]
fn older_incarnations_never_take_work() {
    let mut world = World::new();
    world.live(1, &[agent("a", 5, SERVING)]);
    let refused = Refused::Older {
        host: "a".parse().unwrap(),
        known: Incarnation(5),
        refused: Incarnation(4),
    };
    assert_eq!(world.beat(&agent("a", 4, SERVING)), Err(refused.clone()));
    // Planned restart: the successor comes first, the old one keeps its flows.
    world.live(1, &[agent("a", 5, SERVING), agent("a", 6, SERVING)]);
    let both = [
        ("a".into(), 5, MemberState::Draining),
        ("a".into(), 6, MemberState::Serving),
    ];
    assert_eq!(world.table("s"), both);
    world.live(5, &[agent("a", 5, DRAINING)]);
    assert_eq!(world.table("s"), [("a".into(), 5, MemberState::Draining)]);
    world.live(5, &[]);
    assert_eq!(world.table("s").len(), 0);
    assert!(matches!(
        world.beat(&agent("a", 4, SERVING)),
        Err(Refused::Older { .. })
    ));
    world.beat(&balancer("x", 9, 3, Role::Balancer)).unwrap();
    let old = world.beat(&balancer("x", 8, 3, Role::Balancer));
    assert!(matches!(old, Err(Refused::Older { .. })));
}

/// Guards against packets for a host whose address another one took over.
#[test]
fn a_reused_address_ends_the_old_member() {
    let mut world = World::new();
    world.live(1, &[agent("a", 1, SERVING)]);
    let mut other = agent("a", 1, SERVING);
    other.host = "z".parse().unwrap();
    other.incarnation = Incarnation(2);
    other.backend.as_mut().unwrap().service = "t".parse().unwrap();
    world.beat(&other).unwrap();
    world.pass(300);
    assert_eq!(world.table("s"), []);
    assert_eq!(world.table("t").len(), 1);
}

/// Guards against a member that flaps between states with its health, and one
/// that keeps work after it said that it drains.
#[test]
fn returning_to_work_takes_two_heartbeats() {
    let mut world = World::new();
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
    for (said, shown) in steps {
        world.live(1, &[agent("a", 1, said)]);
        assert_eq!(world.states().first().copied(), shown, "{said:?}");
    }
}

/// Guards against a planned change that starts late, ends never, or concerns others.
#[test]
fn planned_changes_drain_from_start_to_end() {
    let mut world = World::new();
    world.announce(TargetKind::BackendServer, "a", 2_000, 6_000);
    world.announce(TargetKind::Balancer, "x", 2_000, 6_000);
    let beats = [
        agent("a", 1, SERVING),
        agent("b", 1, SERVING),
        balancer("x", 1, 3, Role::Balancer),
        balancer("a", 1, 3, Role::Balancer),
    ];
    for second in 0..9 {
        let drain = (2..6).contains(&second);
        let orders = beats.clone().map(|beat| world.beat(&beat).unwrap().order);
        let want = if drain { Order::Drain } else { Order::Serve };
        assert_eq!(orders, [want, Order::Serve, want, Order::Serve], "{second}");
        world.pass(1_000);
        let state = [MemberState::Serving, MemberState::Draining][usize::from(drain)];
        assert_eq!(world.states(), [state, MemberState::Serving], "{second}");
    }
}

/// Guards against a version called in force while a live node lacks it, and
/// against a lost node that blocks it or goes unmentioned.
#[test]
fn in_force_needs_every_live_node() {
    let mut world = World::new();
    let node = |host: &str, config| balancer(host, 1, config, Role::Balancer);
    world.beat(&node("lost", 1)).unwrap();
    world.live(3, &[node("x", 3), node("y", 2)]);
    // A new leader doesn't know all nodes before a full lease has passed.
    assert_eq!(world.state.in_force(), Version(0));
    world.live(3, &[node("x", 3), node("y", 2)]);
    assert_eq!(world.state.in_force(), Version(2));
    let pending = world
        .membership
        .pending(world.now.mono, &world.state)
        .unwrap();
    let host = |name: &str| name.parse::<HostName>().unwrap();
    assert_eq!(
        (pending.version, pending.missing),
        (Version(3), vec![host("y")])
    );
    world.live(1, &[node("x", 3), node("y", 3)]);
    assert_eq!(world.state.in_force(), Version(3));
    assert_eq!(world.membership.pending(world.now.mono, &world.state), None);
    let missing = world
        .state
        .report(Millis(0))
        .audit
        .into_iter()
        .filter_map(|e| match e.event {
            api::AuditEvent::InForce { nodes, missing } => Some((nodes, missing)),
            _ => None,
        });
    let lost = vec![host("lost")];
    let want = [(3, Vec::new()), (2, lost.clone()), (2, lost)];
    assert_eq!(missing.collect::<Vec<_>>(), want);
}

/// Guards against a horizon that runs out or jumps, and key sets that change
/// more often than the horizon moves.
#[test]
fn the_horizon_moves_and_key_sets_follow() {
    let mut world = World::new();
    let mut horizons = vec![world.state.horizon()];
    let mut sets = Vec::new();
    for second in 0..60 {
        // One host comes and goes every three seconds.
        let mut beats = vec![agent("a", 1, SERVING), agent("b", 1, SERVING)];
        beats.push(agent(
            "c",
            1,
            if second % 6 < 3 { SERVING } else { DRAINING },
        ));
        world.live(1, &beats);
        let left = world.state.horizon().since(world.now.unix);
        assert!((19_000..=30_000).contains(&left.0), "{left}");
        horizons.push(world.state.horizon());
        sets.extend(
            world
                .state
                .latest_key_set(world.id("s"))
                .map(|set| set.start),
        );
    }
    horizons.dedup();
    sets.dedup();
    assert!((5..=8).contains(&horizons.len()), "{}", horizons.len());
    assert!((2..=8).contains(&sets.len()), "{sets:?}");
}

/// Guards against a backend server of an undeclared service that becomes a
/// member, and one that is forgotten once the service is declared.
#[test]
fn undeclared_services_are_told() {
    let mut world = World::new();
    let mut beat = agent("a", 1, SERVING);
    beat.backend.as_mut().unwrap().service = "u".parse().unwrap();
    assert!(!world.beat(&beat).unwrap().known);
    world.put(
        0,
        Declaration::Service(Service {
            name: "u".parse().unwrap(),
            tenant: "t".parse().unwrap(),
            profile: "p".parse().unwrap(),
            address: Some("10.0.0.1:99".parse().unwrap()),
            region: Region(0),
        }),
    );
    assert!(world.beat(&beat).unwrap().known);
    world.pass(400);
    assert_eq!(world.table("u").len(), 1);
}

/// Guards against memory that grows with invented node names.
#[test]
fn nodes_are_bounded() {
    let mut world = World::new();
    for number in 0..MAX_NODES {
        let node = balancer(&format!("n{number}"), 1, 3, Role::Balancer);
        world.beat(&node).unwrap();
    }
    let one_more = balancer("one-more", 1, 3, Role::Balancer);
    assert_eq!(world.beat(&one_more), Err(Refused::Full));
    world.beat(&balancer("n0", 1, 3, Role::Balancer)).unwrap();
}

/// Guards against a proposal that is too large for the log and so never made:
/// when every agent of a region joins or is lost at once.
#[test]
fn proposals_are_bounded() {
    let mut world = World::new();
    let mut agents = Vec::new();
    for number in 0..=MAX_CHANGED {
        let mut beat = agent("a", 1, SERVING);
        beat.host = format!("{number:0>60}").parse().unwrap();
        let port = 10_000 + u16::try_from(number).unwrap();
        beat.backend.as_mut().unwrap().packets.set_port(port);
        agents.push(beat);
    }
    for step in [0, 1] {
        if step == 0 {
            for beat in &agents {
                world.beat(beat).unwrap();
            }
        }
        let mut sizes: Vec<usize> = Vec::new();
        for _ in 0..[15, 40][step] {
            world.skip(100);
            for action in world.event(Event::Tick) {
                let Action::Propose(action) = action else {
                    panic!("{action:?}")
                };
                if let state::Action::Members(changes) = &action {
                    let size = |c: &state::TableChange| c.put.len() + c.gone.len();
                    sizes.push(changes.iter().map(size).sum());
                    let proposed_at = world.now.unix;
                    let action = action.clone();
                    let raw = Command {
                        proposed_at,
                        action,
                    }
                    .encode()
                    .unwrap();
                    assert!(raw.len() < 1 << 20, "{}", raw.len());
                }
                world.run(action);
            }
        }
        assert_eq!(sizes, [MAX_CHANGED, 1]);
    }
}

/// Guards against an entry that is too large for the log when a region is lost.
#[test]
fn missing_hosts_are_bounded() {
    let mut world = World::new();
    for number in 0..=MAX_MISSING {
        let node = balancer(&format!("n{number}"), 1, 1, Role::Balancer);
        world.beat(&node).unwrap();
    }
    world.live(6, &[balancer("x", 1, 3, Role::Balancer)]);
    let audit = world.state.report(Millis(0)).audit;
    let missing = audit.into_iter().filter_map(|entry| match entry.event {
        api::AuditEvent::InForce { missing, .. } => Some(missing.len()),
        _ => None,
    });
    assert_eq!(missing.max(), Some(MAX_MISSING));
}
