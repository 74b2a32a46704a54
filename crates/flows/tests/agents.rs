//! Several agents with different tables, lost packets and lost notices, by seed.
//!
//! Callers, balancers and connections are fakes. Guards against flows with two
//! owners, flows that break on table changes, and foreign packets.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use api::{Member, MemberState, Table};
use flows::{Action, DropReason, Event, Flows, FlowsSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steering::Steering;
use tokio::time::Instant;
use units::{Epoch, Flow, Incarnation, Millis, ServiceId, Slots, Weight};
use wire::{Candidate, Header, Load, Notice, Segment};

const SERVICE: ServiceId = ServiceId(7);
const STEP: Duration = Duration::from_millis(20);
const BALANCERS: usize = 3;

/// Connections of one agent: initial sequence number, established.
struct Agent {
    flows: Flows,
    member: Member,
    connections: HashMap<Flow, (u32, bool)>,
    epoch: usize,
}

#[derive(Default)]
struct Caller {
    /// Sequence number of the SYN-ACK that it took.
    peer: Option<u32>,
    owner: Option<Candidate>,
    /// Steps since its last packet reached the owner.
    silent: u32,
    refused: bool,
}

struct World {
    rng: StdRng,
    now: Instant,
    loss: f64,
    notice_loss: f64,
    agents: BTreeMap<Incarnation, Agent>,
    tables: Vec<Arc<Table>>,
    balancers: Vec<Steering>,
    callers: Vec<Caller>,
    next: u64,
}

fn flow(number: usize) -> Flow {
    let text = format!(
        "10.0.{}.{}:4000>10.9.0.1:80",
        number / 250,
        number % 250 + 1
    );
    text.parse().expect("a flow")
}

fn segment(flow: Flow, peer: Option<u32>) -> Segment {
    Segment {
        flow,
        syn: peer.is_none(),
        ack: peer.is_some(),
        fin: false,
        rst: false,
        seq: 1,
        ack_number: peer.map_or(0, |seq| seq.wrapping_add(1)),
        payload: 0,
        ttl: 9,
    }
}

impl World {
    fn new(seed: u64, loss: f64, notice_loss: f64, agents: usize) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            loss,
            notice_loss,
            agents: BTreeMap::new(),
            tables: Vec::new(),
            balancers: Vec::new(),
            callers: Vec::new(),
            next: 0,
        };
        for _ in 0..agents {
            world.join();
        }
        world.publish();
        let first = Steering::new(&world.tables[0], [], world.now);
        world.balancers = vec![first; BALANCERS];
        world
    }

    fn join(&mut self) {
        self.next += 1;
        let number = self.next;
        let address = format!("127.0.0.1:{}", 7000 + number)
            .parse()
            .expect("an address");
        let member = Member {
            host: format!("host-{number}").parse().expect("a name"),
            incarnation: Incarnation(number),
            packets: address,
            http: address,
            centre: "dc-1".parse().expect("a name"),
            slots: Slots(2),
            weight: Weight(100),
            state: MemberState::Serving,
        };
        let me = candidate(&member);
        let mut flows = Flows::new(FlowsSettings::default(), me, self.now);
        let (id, address) = (SERVICE, flow(0).service);
        let mut out = Vec::new();
        flows.handle(
            self.now,
            Event::Service {
                id,
                address: Some(address),
                limit: 100_000,
            },
            &mut out,
        );
        flows.handle(self.now, Event::Accepting(true), &mut out);
        let agent = Agent {
            flows,
            member,
            connections: HashMap::new(),
            epoch: usize::MAX,
        };
        self.agents.insert(Incarnation(number), agent);
    }

    /// Makes a table; nodes take it when they please.
    fn publish(&mut self) {
        let members = self.agents.values().map(|a| a.member.clone()).collect();
        self.tables.push(Arc::new(Table {
            service: SERVICE,
            epoch: Epoch(self.tables.len() as u64 + 1),
            changed: Millis(0),
            members,
        }));
    }

    fn change(&mut self) {
        let serving: Vec<Incarnation> = self
            .agents
            .iter()
            .filter(|(_, a)| a.member.state == MemberState::Serving)
            .map(|(id, _)| *id)
            .collect();
        if self.rng.random_bool(0.5) || serving.len() < 3 {
            self.join();
        } else {
            let id = serving[self.rng.random_range(0..serving.len())];
            let agent = self.agents.get_mut(&id).expect("an agent");
            agent.member.state = MemberState::Draining;
            agent
                .flows
                .handle(self.now, Event::Accepting(false), &mut Vec::new());
        }
        self.publish();
    }

    /// Each node takes the newest table with some chance.
    fn spread(&mut self, chance: f64) {
        let newest = self.tables.len() - 1;
        let epoch = self.tables[newest].epoch;
        for balancer in &mut self.balancers {
            if balancer.epoch() != epoch && self.rng.random_bool(chance) {
                let earlier = self.tables[newest.saturating_sub(3)..newest].iter().rev();
                let earlier = earlier.map(|table| &**table);
                *balancer = Steering::new(&self.tables[newest], earlier, self.now);
            }
        }
        let ids: Vec<Incarnation> = self.agents.keys().copied().collect();
        for id in ids {
            let agent = self.agents.get_mut(&id).expect("an agent");
            if agent.epoch == newest || !self.rng.random_bool(chance) {
                continue;
            }
            agent.epoch = newest;
            let (table, changed) = (&self.tables[newest], self.now);
            let mut out = Vec::new();
            agent
                .flows
                .handle(self.now, Event::Table { table, changed }, &mut out);
            self.notices(id, out);
        }
    }

    fn notices(&mut self, from: Incarnation, out: Vec<Action>) {
        for action in out {
            let Action::Notify { to, flows } = action else {
                continue;
            };
            let owner = candidate(&self.agents[&from].member);
            if self.rng.random_bool(self.notice_loss) {
                continue;
            }
            let notice = Notice {
                leaving: false,
                service: SERVICE,
                flows,
                owner,
                load: Load::default(),
            };
            if let Some(agent) = self.agents.get_mut(&to.incarnation) {
                let event = Event::Notice(&notice);
                agent.flows.handle(self.now, event, &mut Vec::new());
            }
        }
    }

    /// Sends the next packet of a caller through a random balancer.
    fn send(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        caller.silent += 1;
        let segment = segment(flow(number), caller.peer);
        let steering = &self.balancers[self.rng.random_range(0..BALANCERS)];
        let candidates = steering.candidates(segment.flow.hash());
        let header = steering.header(candidates, self.now).expect("members");
        self.deliver(number, header, &segment);
    }

    fn deliver(&mut self, number: usize, mut header: Header, segment: &Segment) {
        for hops in 0.. {
            assert!(hops < 20, "packet of flow {number} goes in circles");
            if self.rng.random_bool(self.loss) {
                return;
            }
            let here = header.candidates[usize::from(header.hop)];
            let Some(agent) = self.agents.get_mut(&here.incarnation) else {
                return;
            };
            let mut out = Vec::new();
            let event = Event::Packet {
                header: &header,
                segment,
            };
            agent.flows.handle(self.now, event, &mut out);
            let action = out.remove(0);
            self.notices(here.incarnation, out);
            match action {
                Action::Forward(next) => header = next,
                Action::Process => return self.process(number, here, segment),
                Action::Accept => return self.accept(number, here, segment),
                Action::Reset => return self.reset(number),
                _ => return,
            }
        }
    }

    fn accept(&mut self, number: usize, here: Candidate, segment: &Segment) {
        let (flow, initial_seq) = (segment.flow, self.rng.random());
        let agent = self.agents.get_mut(&here.incarnation).expect("an agent");
        assert!(
            agent.member.state == MemberState::Serving,
            "{here:?} drains and accepted"
        );
        agent.connections.insert(flow, (initial_seq, false));
        let opened = Event::Opened { flow, initial_seq };
        agent.flows.handle(self.now, opened, &mut Vec::new());
        self.syn_ack(number, initial_seq);
    }

    fn syn_ack(&mut self, number: usize, initial_seq: u32) {
        if !self.rng.random_bool(self.loss) {
            self.callers[number].peer.get_or_insert(initial_seq);
        }
    }

    fn process(&mut self, number: usize, here: Candidate, segment: &Segment) {
        let agent = self.agents.get_mut(&here.incarnation).expect("an agent");
        let connection = agent.connections.get_mut(&segment.flow);
        let (initial_seq, established) = connection.expect("a held flow has a connection");
        if segment.syn {
            let initial_seq = *initial_seq;
            return self.syn_ack(number, initial_seq);
        }
        assert_eq!(
            segment.ack_number,
            initial_seq.wrapping_add(1),
            "foreign acknowledgement"
        );
        *established = true;
        let caller = &mut self.callers[number];
        let owner = *caller.owner.get_or_insert(here);
        assert_eq!(owner, here, "flow {number} has two owners");
        caller.silent = 0;
    }

    fn reset(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        assert!(
            caller.owner.is_none(),
            "established flow {number} was reset"
        );
        caller.refused |= caller.peer.is_none();
    }

    fn step(&mut self) {
        self.now += STEP;
        for number in 0..self.callers.len() {
            self.send(number);
        }
        let ids: Vec<Incarnation> = self.agents.keys().copied().collect();
        for id in ids {
            let mut out = Vec::new();
            let agent = self.agents.get_mut(&id).expect("an agent");
            agent.flows.handle(self.now, Event::Tick, &mut out);
            self.notices(id, out);
        }
    }
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        address: member.packets,
        incarnation: member.incarnation,
    }
}

/// Runs table changes under load; returns what happened, for comparison.
fn run(seed: u64, loss: f64, notice_loss: f64, changes: usize) -> Vec<Option<Candidate>> {
    let mut world = World::new(seed, loss, notice_loss, 4);
    world.spread(1.0);
    for _ in 0..changes {
        for _ in 0..8 {
            world.callers.push(Caller::default());
        }
        for _ in 0..100 {
            world.spread(0.03);
            world.step();
        }
        world.change();
    }
    world.spread(1.0);
    for _ in 0..400 {
        world.step();
    }
    for (number, caller) in world.callers.iter().enumerate() {
        assert!(
            !caller.refused,
            "seed {seed}: flow {number} refused while agents serve"
        );
        assert!(
            caller.owner.is_some(),
            "seed {seed}: flow {number} never opened"
        );
        assert!(
            caller.silent < 100,
            "seed {seed}: flow {number} lost its owner"
        );
    }
    for agent in world.agents.values() {
        let owned = agent.connections.iter().filter(|(_, c)| c.1);
        for (flow, _) in owned {
            assert!(
                agent.flows.holds(flow),
                "seed {seed}: {flow} is no longer held"
            );
        }
    }
    world.callers.iter().map(|c| c.owner).collect()
}

/// Guards against flows that break or get a second owner while agents join and drain.
#[test]
fn flows_survive_table_changes() {
    for seed in 0..8 {
        run(seed, 0.0, 0.0, 10);
    }
}

/// Guards against rules that need every packet and notice to arrive.
#[test]
fn flows_survive_losses() {
    for seed in 100..108 {
        run(seed, 0.05, 0.3, 10);
    }
}

/// Guards against decisions that depend on map order or time of day.
#[test]
fn equal_inputs_give_equal_outputs() {
    assert_eq!(run(1, 0.05, 0.3, 6), run(1, 0.05, 0.3, 6));
}

/// Guards against traffic of a former holder of an address reaching the next one (P2).
#[test]
fn reused_address_gets_no_foreign_packets() {
    let mut world = World::new(3, 0.0, 0.0, 2);
    world.spread(1.0);
    let old = world.agents[&Incarnation(1)].member.clone();
    let me = Candidate {
        incarnation: Incarnation(99),
        ..candidate(&old)
    };
    for service in [SERVICE, ServiceId(8)] {
        let mut flows = Flows::new(FlowsSettings::default(), me, world.now);
        let (id, address) = (service, flow(0).service);
        let mut out = Vec::new();
        flows.handle(
            world.now,
            Event::Service {
                id,
                address: Some(address),
                limit: 9,
            },
            &mut out,
        );
        flows.handle(world.now, Event::Accepting(true), &mut out);
        for number in 0..100 {
            let steering = Steering::new(&world.tables[0], [], world.now);
            let segment = segment(flow(number), (number % 2 == 0).then_some(7));
            let mut header = steering
                .header(steering.candidates(segment.flow.hash()), world.now)
                .expect("members");
            let at = header
                .candidates
                .iter()
                .position(|c| c.address == me.address);
            header.hop = at.map_or(0, |at| at as u8);
            let event = Event::Packet {
                header: &header,
                segment: &segment,
            };
            out.clear();
            flows.handle(world.now, event, &mut out);
            let reason = if service == SERVICE {
                DropReason::OtherIncarnation
            } else {
                DropReason::OtherService
            };
            assert_eq!(out, [Action::Drop(reason)]);
        }
    }
}
