//! Seeded simulation of several agents with different tables, packet loss and notice loss.
//!
//! Callers, balancers and connections are simulated. Guards against flows with two owners, flows
//! that break on table changes, and foreign packets.

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

struct Agent {
    flows: Flows,
    member: Member,
    /// Initial sequence number of each connection, and whether it is established.
    connections: HashMap<Flow, (u32, bool)>,
    table_index: usize,
}

#[derive(Default)]
struct Caller {
    /// Sequence number of the accepted SYN-ACK.
    peer_seq: Option<u32>,
    owner: Option<Candidate>,
    /// Steps since a packet last reached the owner.
    steps_unreached: u32,
    rejected: bool,
}

struct Simulation {
    rng: StdRng,
    now: Instant,
    loss: f64,
    notice_loss: f64,
    agents: BTreeMap<Incarnation, Agent>,
    tables: Vec<Arc<Table>>,
    balancers: Vec<Steering>,
    callers: Vec<Caller>,
    /// Number of the agent that joined last.
    last_agent: u64,
}

fn flow(number: usize) -> Flow {
    let text = format!(
        "10.0.{}.{}:4000>10.9.0.1:80",
        number / 250,
        number % 250 + 1
    );
    text.parse().expect("a flow")
}

fn segment(flow: Flow, peer_seq: Option<u32>) -> Segment {
    Segment {
        flow,
        syn: peer_seq.is_none(),
        ack: peer_seq.is_some(),
        fin: false,
        rst: false,
        seq: 1,
        ack_number: peer_seq.map_or(0, |seq| seq.wrapping_add(1)),
        payload: 0,
        ttl: 9,
    }
}

impl Simulation {
    fn new(seed: u64, loss: f64, notice_loss: f64, agents: usize) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            loss,
            notice_loss,
            agents: BTreeMap::new(),
            tables: Vec::new(),
            balancers: Vec::new(),
            callers: Vec::new(),
            last_agent: 0,
        };
        for _ in 0..agents {
            simulation.join();
        }
        simulation.publish();
        let first = Steering::new(&simulation.tables[0], [], simulation.now);
        simulation.balancers = vec![first; BALANCERS];
        simulation
    }

    fn join(&mut self) {
        self.last_agent += 1;
        let number = self.last_agent;
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
        let local = candidate(&member);
        let mut flows = Flows::new(FlowsSettings::default(), local, self.now);
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
            table_index: usize::MAX,
        };
        self.agents.insert(Incarnation(number), agent);
    }

    /// Adds a table, which each node applies at a time of its own.
    fn publish(&mut self) {
        let members = self.agents.values().map(|a| a.member.clone()).collect();
        self.tables.push(Arc::new(Table {
            service: SERVICE,
            epoch: Epoch(self.tables.len() as u64 + 1),
            changed: Millis(0),
            members,
        }));
    }

    /// Lets an agent join or drain, and publishes the table.
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

    /// Each node applies the newest table with the given probability.
    fn distribute(&mut self, probability: f64) {
        let newest = self.tables.len() - 1;
        let epoch = self.tables[newest].epoch;
        for balancer in &mut self.balancers {
            if balancer.epoch() != epoch && self.rng.random_bool(probability) {
                let earlier = self.tables[newest.saturating_sub(3)..newest].iter().rev();
                let earlier = earlier.map(|table| &**table);
                *balancer = Steering::new(&self.tables[newest], earlier, self.now);
            }
        }
        let ids: Vec<Incarnation> = self.agents.keys().copied().collect();
        for id in ids {
            let agent = self.agents.get_mut(&id).expect("an agent");
            if agent.table_index == newest || !self.rng.random_bool(probability) {
                continue;
            }
            agent.table_index = newest;
            let (table, received_at) = (&self.tables[newest], self.now);
            let mut out = Vec::new();
            agent
                .flows
                .handle(self.now, Event::Table { table, received_at }, &mut out);
            self.deliver_notices(id, out);
        }
    }

    fn deliver_notices(&mut self, from: Incarnation, out: Vec<Action>) {
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
        caller.steps_unreached += 1;
        let segment = segment(flow(number), caller.peer_seq);
        let steering = &self.balancers[self.rng.random_range(0..BALANCERS)];
        let candidates = steering.candidates(segment.flow.hash());
        let header = steering.header(candidates, self.now).expect("members");
        self.deliver(number, header, &segment);
    }

    fn deliver(&mut self, number: usize, mut header: Header, segment: &Segment) {
        for hops in 0.. {
            assert!(hops < 20, "packet of flow {number} is in a forwarding loop");
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
            self.deliver_notices(here.incarnation, out);
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
            "draining agent {here:?} accepted a flow"
        );
        agent.connections.insert(flow, (initial_seq, false));
        let opened = Event::Opened { flow, initial_seq };
        agent.flows.handle(self.now, opened, &mut Vec::new());
        self.syn_ack(number, initial_seq);
    }

    fn syn_ack(&mut self, number: usize, initial_seq: u32) {
        if !self.rng.random_bool(self.loss) {
            self.callers[number].peer_seq.get_or_insert(initial_seq);
        }
    }

    fn process(&mut self, number: usize, here: Candidate, segment: &Segment) {
        let agent = self.agents.get_mut(&here.incarnation).expect("an agent");
        let connection = agent.connections.get_mut(&segment.flow);
        let (initial_seq, established) = connection.expect("an owned flow has a connection");
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
        caller.steps_unreached = 0;
    }

    fn reset(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        assert!(
            caller.owner.is_none(),
            "established flow {number} was reset"
        );
        caller.rejected |= caller.peer_seq.is_none();
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
            self.deliver_notices(id, out);
        }
    }
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        address: member.packets,
        incarnation: member.incarnation,
    }
}

/// Runs table changes under load; returns the owner of each flow.
fn run(seed: u64, loss: f64, notice_loss: f64, changes: usize) -> Vec<Option<Candidate>> {
    let mut simulation = Simulation::new(seed, loss, notice_loss, 4);
    simulation.distribute(1.0);
    for _ in 0..changes {
        for _ in 0..8 {
            simulation.callers.push(Caller::default());
        }
        for _ in 0..100 {
            simulation.distribute(0.03);
            simulation.step();
        }
        simulation.change();
    }
    simulation.distribute(1.0);
    for _ in 0..400 {
        simulation.step();
    }
    for (number, caller) in simulation.callers.iter().enumerate() {
        assert!(
            !caller.rejected,
            "seed {seed}: flow {number} was rejected while agents were serving"
        );
        assert!(
            caller.owner.is_some(),
            "seed {seed}: flow {number} was never established"
        );
        assert!(
            caller.steps_unreached < 100,
            "seed {seed}: packets of flow {number} no longer reach the owner"
        );
    }
    for agent in simulation.agents.values() {
        let established = agent.connections.iter().filter(|(_, c)| c.1);
        for (flow, _) in established {
            assert!(
                agent.flows.owns(flow),
                "seed {seed}: {flow} is no longer owned"
            );
        }
    }
    simulation.callers.iter().map(|c| c.owner).collect()
}

/// Guards against flows that break or get a second owner while agents join and drain.
#[test]
fn flows_are_kept_through_table_changes() {
    for seed in 0..8 {
        run(seed, 0.0, 0.0, 10);
    }
}

/// Guards against rules that depend on the delivery of every packet and notice.
#[test]
fn flows_are_kept_through_packet_and_notice_loss() {
    for seed in 100..108 {
        run(seed, 0.05, 0.3, 10);
    }
}

/// Guards against decisions that depend on the order of a map or on the clock.
#[test]
fn equal_inputs_give_equal_outputs() {
    assert_eq!(run(1, 0.05, 0.3, 6), run(1, 0.05, 0.3, 6));
}

/// Guards against traffic for the former user of an address reaching its next user (P2).
#[test]
fn reused_address_gets_no_foreign_packets() {
    let mut simulation = Simulation::new(3, 0.0, 0.0, 2);
    simulation.distribute(1.0);
    let old = simulation.agents[&Incarnation(1)].member.clone();
    let local = Candidate {
        incarnation: Incarnation(99),
        ..candidate(&old)
    };
    for service in [SERVICE, ServiceId(8)] {
        let mut flows = Flows::new(FlowsSettings::default(), local, simulation.now);
        let (id, address) = (service, flow(0).service);
        let mut out = Vec::new();
        flows.handle(
            simulation.now,
            Event::Service {
                id,
                address: Some(address),
                limit: 9,
            },
            &mut out,
        );
        flows.handle(simulation.now, Event::Accepting(true), &mut out);
        for number in 0..100 {
            let steering = Steering::new(&simulation.tables[0], [], simulation.now);
            let segment = segment(flow(number), (number % 2 == 0).then_some(7));
            let mut header = steering
                .header(steering.candidates(segment.flow.hash()), simulation.now)
                .expect("members");
            let hop = header
                .candidates
                .iter()
                .position(|c| c.address == local.address);
            header.hop = hop.map_or(0, |hop| hop as u8);
            let event = Event::Packet {
                header: &header,
                segment: &segment,
            };
            out.clear();
            flows.handle(simulation.now, event, &mut out);
            let reason = if service == SERVICE {
                DropReason::OtherIncarnation
            } else {
                DropReason::OtherService
            };
            assert_eq!(out, [Action::Drop(reason)]);
        }
    }
}
