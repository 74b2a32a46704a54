//! Simulated network, clock and faults.

mod balancers;
mod outcomes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use api::Member;
use dispatch::{Directory, Dispatcher};
use forwarding::{Action, Backend, Event, ForwardSettings, Forwarder};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use units::{Flow, Incarnation};
use wire::{Candidate, Header, Notice, Segment};

use super::backend_server::{BackendServer, Output};
use super::caller::Caller;
use crate::common::{SERVICE, flow, members, syn, table};

const SLOTS: u16 = 2;
const BALANCERS: usize = 3;
const CALLERS: u16 = 60;

/// Minimum processing time of a request at a backend server.
const MIN_PROCESSING_MS: u64 = 15;

/// Pauses of a caller between a response and its next request. The long one allows state of its
/// flow to expire.
const SHORT_PAUSE_MS: u64 = 10;
const LONG_PAUSE_MS: u64 = 1_000;

/// Time after which a caller retransmits an unanswered segment.
const RETRANSMIT_MS: u64 = 200;

/// Maximum times of a SYN in the admission queue under overload, one per seed in turn: before and after
/// the caller sends a copy. With the default, the overload would end before any SYN times out.
const OVERLOAD_QUEUE_TIMEOUTS: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_millis(300)];

/// Time that a linearizable read of a balancer's view takes.
const READ_MS: u64 = 20;

/// Propagation time of a table change.
const TABLE_DELAY_MS: u64 = 80;

/// Time from the start of a backend server to its first report.
const REPORT_DELAY_MS: u64 = 300;

const REQUESTS_PER_FLOW: u32 = 12;

/// Time at which a run ends. The last flow opens after 2.4 s, and few callers make more than ten
/// long pauses, so that nearly all flows end before.
const END_MS: u64 = 20_000;

/// Fault to inject.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A balancer restarts.
    Balancer(usize),
    /// An agent restarts.
    Agent(usize),
    /// A backend server restarts.
    Backend(usize),
    /// A backend server stops accepting new flows.
    Drain(usize),
}

#[derive(Debug)]
enum Scheduled {
    ToBalancer(usize, Segment),
    NoticeTo(SocketAddrV4, Notice),
    ToAgent(usize, Box<Header>, Segment),
    /// A packet that an agent returns to a balancer.
    NotHeld(usize, Box<Header>, Segment),
    /// A linearizable read of a balancer's view that began at this time.
    ReadView(usize, Instant),
    ToBackend(usize, Segment),
    FromBackend(usize, u64, Output),
    ToCaller(Flow, Segment),
    Reset(usize, Flow, u32),
    /// A SYN that an agent returns to a balancer.
    Unplaced(usize, Box<Header>, Segment),
    Done(usize, u64, Flow),
    /// Sends the outstanding segment of a caller, unless it has received an answer since.
    Transmit(Flow, u32),
    TickBalancer(usize),
    TickAgent(usize),
    Table(usize),
    Report(usize),
    Inject(Fault),
}

pub struct Simulation {
    start: Instant,
    now: u64,
    scheduled: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Scheduled>,
    random: StdRng,
    loss: f64,
    balancers: Vec<Dispatcher>,
    directory: Directory,
    /// When the last read of each balancer's view began.
    read_at: [Option<Instant>; BALANCERS],
    agents: Vec<Forwarder>,
    backends: Vec<BackendServer>,
    members: Vec<Member>,
    epoch: u64,
    predates_agent: Vec<bool>,
    /// Start time of each backend server.
    started: Vec<Instant>,
    draining: HashSet<usize>,
    callers: BTreeMap<Flow, Caller>,
    /// Flows that a backend server lost in a restart, with their initial sequence numbers.
    lost: HashSet<(Flow, u32)>,
    faults: Vec<String>,
    entry: Entry,
    /// Maximum time of a SYN in the admission queue.
    queue_timeout: Duration,
    /// Whether more callers arrive than can be served, so that some may be refused.
    overloaded: bool,
}

/// Balancer at which a packet enters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    /// The same for all packets of a flow.
    Same,
    Random,
}

/// Time between the arrivals of two callers, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalInterval {
    /// All callers can be served.
    Normal = 40,
    /// About a second of work arrives within 60 ms.
    Overload = 1,
}

impl Simulation {
    pub fn new(seed: u64, loss: f64, interval: ArrivalInterval) -> Self {
        let mut simulation = Self {
            start: Instant::now(),
            now: 0,
            scheduled: BinaryHeap::new(),
            events: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            loss,
            balancers: Vec::new(),
            directory: Directory::default(),
            read_at: [None; BALANCERS],
            agents: Vec::new(),
            backends: Vec::new(),
            members: members(),
            epoch: 2,
            predates_agent: Vec::new(),
            started: Vec::new(),
            draining: HashSet::new(),
            callers: BTreeMap::new(),
            lost: HashSet::new(),
            faults: Vec::new(),
            entry: if seed % 4 < 2 {
                Entry::Random
            } else {
                Entry::Same
            },
            queue_timeout: match interval {
                ArrivalInterval::Normal => ForwardSettings::default().queue_timeout,
                ArrivalInterval::Overload => {
                    OVERLOAD_QUEUE_TIMEOUTS[seed as usize % OVERLOAD_QUEUE_TIMEOUTS.len()]
                }
            },
            overloaded: interval == ArrivalInterval::Overload,
        };
        simulation.update_directory();
        for number in 0..BALANCERS {
            simulation.balancers.push(simulation.balancer(number));
            simulation.schedule(0, Scheduled::TickBalancer(number));
        }
        for number in 0..simulation.members.len() {
            simulation.backends.push(BackendServer::new(1, SLOTS));
            simulation.predates_agent.push(false);
            simulation.started.push(simulation.instant());
            let agent = simulation.agent(number);
            simulation.agents.push(agent);
            simulation.configure_agent(number);
            simulation.schedule(0, Scheduled::TickAgent(number));
        }
        for port in 1..=CALLERS {
            let flow = flow(port);
            simulation
                .callers
                .insert(flow, Caller::new(flow, REQUESTS_PER_FLOW));
            simulation.schedule(
                u64::from(port) * interval as u64,
                Scheduled::Transmit(flow, 0),
            );
        }
        simulation
    }

    fn instant(&self) -> Instant {
        // After the startup grace period, in which balancers and agents refuse nothing.
        self.start + Duration::from_millis(10_000 + self.now)
    }

    fn schedule(&mut self, at: u64, scheduled: Scheduled) {
        let id =
            self.events.len() as u64 + self.random.random_range(0..u64::from(u32::MAX)) * 65_536;
        self.events.insert(id, scheduled);
        self.scheduled.push(Reverse((at, id)));
    }

    /// Sends a message over the network, which may lose it.
    fn send(&mut self, scheduled: Scheduled) {
        if self.random.random_bool(1.0 - self.loss) {
            let delay = self.random.random_range(1..4);
            self.schedule(self.now + delay, scheduled);
        }
    }

    fn agent(&self, number: usize) -> Forwarder {
        let member = &self.members[number];
        let me = Candidate {
            address: member.packets,
            incarnation: member.incarnation,
        };
        let settings = ForwardSettings {
            queue_timeout: self.queue_timeout,
            ..ForwardSettings::default()
        };
        Forwarder::new(settings, me, self.instant())
    }

    /// Sends an agent its service, its backend server's state and its table.
    fn configure_agent(&mut self, number: usize) {
        let id = SERVICE;
        let centre = self.members[number].centre.clone();
        let service = Event::Service {
            id,
            centre,
            limit: 1_000,
            idle: Duration::from_secs(60),
        };
        self.handle(number, service, None);
        self.report(number);
        let table = table(self.epoch, self.members.clone());
        self.handle(number, Event::Table(&Arc::clone(&table)), None);
    }

    fn report(&mut self, number: usize) {
        let backend = Backend {
            incarnation: self.backends[number].incarnation,
            started: self.started[number],
            predates_agent: self.predates_agent[number],
            slots: SLOTS,
            accepting: !self.draining.contains(&number),
        };
        self.handle(number, Event::Backend(Some(backend)), None);
    }

    pub fn run(&mut self, faults: &[(u64, Fault)]) {
        for (at, fault) in faults {
            self.schedule(*at, Scheduled::Inject(*fault));
        }
        while let Some(Reverse((at, id))) = self.scheduled.pop() {
            if at > END_MS {
                return;
            }
            self.now = at;
            let scheduled = self.events.remove(&id).unwrap();
            self.handle_scheduled(scheduled);
        }
    }

    fn handle_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Transmit(flow, answers) => self.transmit(flow, answers),
            Scheduled::ToBalancer(number, segment) => self.dispatch(number, Some(&segment)),
            Scheduled::TickBalancer(number) => {
                self.dispatch(number, None);
                self.schedule(self.now + 5, Scheduled::TickBalancer(number));
            }
            Scheduled::NoticeTo(to, notice) => {
                let now = self.instant();
                if let Some(number) = (0..BALANCERS).find(|n| notice_address(*n) == to) {
                    self.balancers[number].handle_notice(now, &notice);
                } else if let Some(number) = self.number_of(to) {
                    self.handle(number, Event::Notice(&notice), None);
                }
            }
            Scheduled::ToAgent(number, header, segment) => {
                let event = Event::Packet {
                    header: &header,
                    segment: &segment,
                    inner: &inner(&segment),
                };
                self.handle(number, event, Some(&segment));
            }
            Scheduled::NotHeld(number, header, segment) => {
                self.return_packet(number, &header, &segment);
            }
            Scheduled::Unplaced(number, header, segment) => {
                self.return_syn(number, &header, &segment);
            }
            Scheduled::ReadView(number, began) => self.finish_read(number, began),
            Scheduled::TickAgent(number) => {
                self.handle(number, Event::Tick, None);
                self.schedule(self.now + 5, Scheduled::TickAgent(number));
            }
            Scheduled::ToBackend(number, segment) => {
                let initial_seq = self.random.random_range(1_000..1_000_000_000);
                let (sent, begun) = self.backends[number].receive(&segment, initial_seq);
                self.handle_output(number, sent, begun);
            }
            Scheduled::Done(number, start, flow) if self.backends[number].incarnation == start => {
                let (sent, begun) = self.backends[number].finish_request(flow);
                self.handle_output(number, sent, begun);
            }
            Scheduled::FromBackend(number, start, sent)
                if self.backends[number].incarnation == start =>
            {
                match sent {
                    Output::Reply(segment) => {
                        self.handle(number, Event::Outbound(&segment), Some(&segment));
                    }
                    Output::Returned(segment) => {
                        self.handle(number, Event::Returned(&segment), Some(&segment));
                    }
                }
            }
            Scheduled::Done(..) | Scheduled::FromBackend(..) => {}
            Scheduled::ToCaller(flow, segment) => {
                let caller = self.callers.get_mut(&flow).unwrap();
                if caller.receive(&segment) {
                    let answers = caller.answers;
                    let pause = if self.random.random_bool(0.2) {
                        LONG_PAUSE_MS
                    } else {
                        SHORT_PAUSE_MS
                    };
                    self.schedule(self.now + pause, Scheduled::Transmit(flow, answers));
                }
            }
            Scheduled::Reset(number, flow, seq) => self.reset(number, flow, seq),
            Scheduled::Table(number) => self.configure_agent(number),
            Scheduled::Report(number) => self.report(number),
            Scheduled::Inject(fault) => self.inject(fault),
        }
    }

    /// Sends the outstanding segment of a caller until it is answered.
    fn transmit(&mut self, flow: Flow, answers: u32) {
        let caller = self.callers.get_mut(&flow).unwrap();
        let Some(segment) = caller.segment().filter(|_| caller.answers == answers) else {
            return;
        };
        caller.syns_sent += u32::from(segment.opens());
        let number = match self.entry {
            Entry::Same => flow.hash() as usize % BALANCERS,
            Entry::Random => self.random.random_range(0..BALANCERS),
        };
        self.send(Scheduled::ToBalancer(number, segment));
        self.schedule(self.now + RETRANSMIT_MS, Scheduled::Transmit(flow, answers));
    }

    fn reset(&mut self, number: usize, flow: Flow, seq: u32) {
        let caller = &self.callers[&flow];
        // A caller that knows its flow to be open ignores resets with an unexpected sequence number.
        let is_expected = |initial_seq| seq == initial_seq + 1;
        if caller.confirmed && !caller.initial_seq.is_some_and(is_expected) {
            return;
        }
        let holder = self.backends.iter().position(|backend| {
            let seq = caller.initial_seq;
            seq.map_or(backend.has_any_flow(&flow), |seq| {
                backend.has_flow(&flow, seq)
            })
        });
        assert!(
            caller.is_done() || holder.is_none(),
            "agent or balancer {number} reset {flow}, which is open at backend server {holder:?}, at {} ms",
            self.now
        );
        self.callers.get_mut(&flow).unwrap().receive_reset();
    }

    fn handle_output(&mut self, number: usize, sent: Option<Output>, begun: Vec<Flow>) {
        let start = self.backends[number].incarnation;
        if let Some(sent) = sent {
            self.schedule(self.now + 1, Scheduled::FromBackend(number, start, sent));
        }
        for flow in begun {
            let work = MIN_PROCESSING_MS + self.random.random_range(0..10);
            self.schedule(self.now + work, Scheduled::Done(number, start, flow));
        }
    }

    fn number_of(&self, address: SocketAddrV4) -> Option<usize> {
        self.members.iter().position(|m| m.packets == address)
    }

    fn forward(&mut self, header: Header, segment: Segment) {
        let to = header
            .target()
            .and_then(|target| self.number_of(target.address));
        self.send(Scheduled::ToAgent(to.unwrap(), Box::new(header), segment));
    }

    fn handle(&mut self, number: usize, event: Event<'_>, segment: Option<&Segment>) {
        let now = self.instant();
        let mut out = Vec::new();
        self.agents[number].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Deliver(_) => {
                    let scheduled = Scheduled::ToBackend(number, *segment.unwrap());
                    self.schedule(self.now + 1, scheduled);
                }
                Action::Admit { flow, inner, .. } => {
                    let scheduled = Scheduled::ToBackend(number, stored_syn(flow, &inner));
                    self.schedule(self.now + 1, scheduled);
                }
                Action::Queue => {}
                Action::Reply => {
                    let segment = *segment.unwrap();
                    self.send(Scheduled::ToCaller(segment.flow, segment));
                }
                Action::Forward(header, _) => self.forward(header, *segment.unwrap()),
                Action::Resend {
                    header,
                    flow,
                    inner,
                } => self.forward(header, stored_syn(flow, &inner)),
                Action::Unplaced { to, syn, .. } => {
                    let balancer = (0..BALANCERS).find(|n| notice_address(*n) == to);
                    let segment = stored_syn(syn.flow, &syn.inner);
                    let header = Box::new(syn.header);
                    self.send(Scheduled::Unplaced(balancer.unwrap(), header, segment));
                }
                Action::Reset { flow, seq, .. } => self.send(Scheduled::Reset(number, flow, seq)),
                Action::NotHeld { to, header } => {
                    let balancer = (0..BALANCERS).find(|n| notice_address(*n) == to);
                    let segment = *segment.unwrap();
                    self.send(Scheduled::NotHeld(
                        balancer.unwrap(),
                        Box::new(header),
                        segment,
                    ));
                }
                Action::Drop(_) => {}
                Action::Notify { to, flows } => {
                    let member = &self.members[number];
                    let notice = Notice {
                        leaving: false,
                        service: SERVICE,
                        flows,
                        owner: Candidate {
                            address: member.packets,
                            incarnation: member.incarnation,
                        },
                        load: self.agents[number].load(),
                    };
                    self.send(Scheduled::NoticeTo(to, notice));
                }
            }
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.faults.push(format!("{} ms {fault:?}", self.now));
        match fault {
            Fault::Balancer(number) => {
                let number = number % BALANCERS;
                self.balancers[number] = self.balancer(number);
            }
            Fault::Agent(number) => {
                self.epoch += 1;
                self.members[number].incarnation = Incarnation(100 + self.epoch);
                self.predates_agent[number] = true;
                self.agents[number] = self.agent(number);
                self.configure_agent(number);
                self.update_directory();
                for other in 0..self.members.len() {
                    self.schedule(self.now + TABLE_DELAY_MS, Scheduled::Table(other));
                }
            }
            Fault::Backend(number) => {
                self.lost.extend(self.backends[number].flows());
                let start = self.backends[number].incarnation + 1;
                self.backends[number] = BackendServer::new(start, SLOTS);
                self.predates_agent[number] = false;
                self.started[number] = self.instant();
                self.schedule(self.now + REPORT_DELAY_MS, Scheduled::Report(number));
            }
            Fault::Drain(number) => {
                self.draining.insert(number);
                self.report(number);
            }
        }
    }
}

/// Address at which a balancer receives notices.
fn notice_address(number: usize) -> SocketAddrV4 {
    let last = u8::try_from(number + 1).unwrap();
    SocketAddrV4::new([10, 9, 9, last].into(), 7_100)
}

/// Inner packet: the number of a SYN's copy, as nothing else of it is read.
fn inner(segment: &Segment) -> [u8; 1] {
    [u8::try_from(segment.copy_number()).unwrap_or(u8::MAX)]
}

/// The SYN of a flow that was stored as an inner packet.
fn stored_syn(flow: Flow, inner: &[u8]) -> Segment {
    Segment {
        ack_number: u32::from(inner[0]),
        ..syn(flow)
    }
}
