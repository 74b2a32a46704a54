//! Network, clock and faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use api::{Member, RouteView, ServiceView, TableUpdate, TargetView, WatchReply};
use dispatch::{Directory, Dispatch, DispatchSettings};
use forwarding::{Action, Backend, Event, ForwardSettings, Forwarder};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use units::{Flow, Incarnation, Millis, Version};
use watcher::View;
use wire::{Candidate, Header, Notice, Segment};

use super::caller::{Caller, Stage};
use super::host::{Host, Sent};
use crate::common::{SERVICE, centre, flow, members, table};

const SLOTS: u16 = 2;
const BALANCERS: usize = 3;
const CALLERS: u16 = 60;

/// Time of a request at a backend server, in ms.
const WORK: u64 = 15;

/// Pauses of a caller between an answer and its next request, in ms; during the long one others may
/// forget its flow.
const SHORT: u64 = 10;
const LONG: u64 = 1_000;

/// Time after which a caller repeats what was not answered, in ms.
const REPEAT: u64 = 200;

/// Longest wait of a SYN in a rush; the usual one would outlast it.
const RUSH_PATIENCE: Duration = Duration::from_millis(100);

/// Time for which a change of a table is on its way, in ms.
const TABLE_DELAY: u64 = 80;

/// Time after its start at which a backend server reports for the first time, in ms.
const REPORT_DELAY: u64 = 300;

/// Requests of a flow.
const REQUESTS: u32 = 12;

/// End of a run in ms: the last flow opens after 2.4 s, and few callers pause more than ten times.
const END: u64 = 20_000;

/// What fails.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A balancer starts anew.
    Balancer(usize),
    /// An agent starts anew.
    Agent(usize),
    /// A backend server starts anew.
    Host(usize),
    /// A backend server takes no new flows from now on.
    Drain(usize),
}

#[derive(Debug)]
enum Due {
    ToBalancer(usize, Segment),
    NoticeTo(SocketAddrV4, Notice),
    ToAgent(usize, Box<Header>, Segment),
    ToHost(usize, Segment),
    FromHost(usize, u64, Sent),
    ToCaller(Flow, Segment),
    ResetOf(usize, Flow, u32),
    Done(usize, u64, Flow),
    /// Sends what a caller has out, unless it had an answer since.
    Ask(Flow, u32),
    TickBalancer(usize),
    TickAgent(usize),
    Table(usize),
    Report(usize),
    Fails(Fault),
}

pub struct World {
    start: Instant,
    now: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Due>,
    random: StdRng,
    loss: f64,
    balancers: Vec<Dispatch>,
    directory: Directory,
    agents: Vec<Forwarder>,
    hosts: Vec<Host>,
    members: Vec<Member>,
    epoch: u64,
    older: Vec<bool>,
    /// When each backend server started.
    started: Vec<Instant>,
    draining: HashSet<usize>,
    callers: BTreeMap<Flow, Caller>,
    /// Flows that a backend server held when it started anew, with its first numbers.
    lost: HashSet<(Flow, u32)>,
    faults: Vec<String>,
    /// More callers come than can be served: some may be refused.
    rush: bool,
}

/// Time between two opened flows in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// All are served.
    Usual = 40,
    /// A second of work comes at once.
    Rush = 1,
}

impl World {
    pub fn new(seed: u64, loss: f64, pace: Pace) -> Self {
        let mut world = Self {
            start: Instant::now(),
            now: 0,
            due: BinaryHeap::new(),
            events: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            loss,
            balancers: Vec::new(),
            directory: Directory::default(),
            agents: Vec::new(),
            hosts: Vec::new(),
            members: members(),
            epoch: 2,
            older: Vec::new(),
            started: Vec::new(),
            draining: HashSet::new(),
            callers: BTreeMap::new(),
            lost: HashSet::new(),
            faults: Vec::new(),
            rush: pace == Pace::Rush,
        };
        world.renew_directory();
        for number in 0..BALANCERS {
            world.balancers.push(world.balancer(number));
            world.at(0, Due::TickBalancer(number));
        }
        for number in 0..world.members.len() {
            world.hosts.push(Host::new(1, SLOTS));
            world.older.push(false);
            world.started.push(world.instant());
            let agent = world.agent(number);
            world.agents.push(agent);
            world.inform(number);
            world.at(0, Due::TickAgent(number));
        }
        for port in 1..=CALLERS {
            let flow = flow(port);
            world.callers.insert(flow, Caller::new(flow, REQUESTS));
            world.at(u64::from(port) * pace as u64, Due::Ask(flow, 0));
        }
        world
    }

    fn instant(&self) -> Instant {
        // Late enough that balancers and agents refuse what they must.
        self.start + Duration::from_millis(10_000 + self.now)
    }

    fn at(&mut self, at: u64, due: Due) {
        let id =
            self.events.len() as u64 + self.random.random_range(0..u64::from(u32::MAX)) * 65_536;
        self.events.insert(id, due);
        self.due.push(Reverse((at, id)));
    }

    /// Sends something over the network, which may lose it.
    fn send(&mut self, due: Due) {
        if self.random.random_bool(1.0 - self.loss) {
            let delay = self.random.random_range(1..4);
            self.at(self.now + delay, due);
        }
    }

    fn balancer(&self, number: usize) -> Dispatch {
        let settings = DispatchSettings::default();
        Dispatch::new(settings, notices(number), centre("a"), self.instant())
    }

    fn agent(&self, number: usize) -> Forwarder {
        let member = &self.members[number];
        let me = Candidate {
            address: member.packets,
            incarnation: member.incarnation,
        };
        let usual = ForwardSettings::default();
        let max_queue_timeout = if self.rush {
            RUSH_PATIENCE
        } else {
            usual.max_queue_timeout
        };
        let settings = ForwardSettings {
            max_queue_timeout,
            ..usual
        };
        Forwarder::new(settings, me, self.instant())
    }

    fn renew_directory(&mut self) {
        let profile = r#"{"name":"p","protocol":"opaque"}"#;
        let service = r#"{"name":"s","tenant":"t","profile":"p"}"#;
        let table = table(self.epoch, self.members.clone());
        let reply = WatchReply {
            config: Version(1),
            services: vec![ServiceView {
                id: SERVICE,
                service: serde_json::from_str(service).unwrap(),
                profile: serde_json::from_str(profile).unwrap(),
                version: Version(1),
            }],
            tables: vec![TableUpdate::Snapshot((*table).clone())],
            routes: vec![RouteView {
                address: flow(1).service,
                targets: vec![TargetView {
                    service: SERVICE,
                    weight: 1,
                }],
                former: vec![],
                latency_ms: Millis(100),
                priority: 1,
            }],
            whole: true,
            index: 1,
            ..WatchReply::default()
        };
        let view = View::default().updated(&reply, Instant::now()).unwrap();
        self.directory = Directory::default().updated(&view);
    }

    /// Tells an agent its service, its backend server and its table.
    fn inform(&mut self, number: usize) {
        let id = SERVICE;
        let place = self.members[number].centre.clone();
        let service = Event::Service {
            id,
            centre: place,
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
            incarnation: self.hosts[number].start,
            started: self.started[number],
            predates_agent: self.older[number],
            slots: SLOTS,
            accepting: !self.draining.contains(&number),
        };
        self.handle(number, Event::Backend(Some(backend)), None);
    }

    pub fn run(&mut self, faults: &[(u64, Fault)]) {
        for (at, fault) in faults {
            self.at(*at, Due::Fails(*fault));
        }
        while let Some(Reverse((at, id))) = self.due.pop() {
            if at > END {
                return;
            }
            self.now = at;
            let due = self.events.remove(&id).unwrap();
            self.handle_due(due);
        }
    }

    fn handle_due(&mut self, due: Due) {
        match due {
            Due::Ask(flow, answers) => self.ask(flow, answers),
            Due::ToBalancer(number, segment) => self.dispatch(number, Some(&segment)),
            Due::TickBalancer(number) => {
                self.dispatch(number, None);
                self.at(self.now + 5, Due::TickBalancer(number));
            }
            Due::NoticeTo(to, notice) => {
                let now = self.instant();
                if let Some(number) = (0..BALANCERS).find(|n| notices(*n) == to) {
                    self.balancers[number].notice(now, &notice);
                } else if let Some(number) = self.number_of(to) {
                    self.handle(number, Event::Notice(&notice), None);
                }
            }
            Due::ToAgent(number, header, segment) => {
                let inner = b"inner";
                let event = Event::Packet {
                    header: &header,
                    segment: &segment,
                    inner,
                };
                self.handle(number, event, Some(&segment));
            }
            Due::TickAgent(number) => {
                self.handle(number, Event::Tick, None);
                self.at(self.now + 5, Due::TickAgent(number));
            }
            Due::ToHost(number, segment) => {
                let initial = self.random.random_range(1_000..1_000_000_000);
                let (sent, begun) = self.hosts[number].take(&segment, initial);
                self.host_did(number, sent, begun);
            }
            Due::Done(number, start, flow) if self.hosts[number].start == start => {
                let (sent, begun) = self.hosts[number].done(flow);
                self.host_did(number, sent, begun);
            }
            Due::FromHost(number, start, sent) if self.hosts[number].start == start => match sent {
                Sent::Reply(segment) => {
                    self.handle(number, Event::Outbound(&segment), Some(&segment));
                }
                Sent::Returned(segment) => {
                    self.handle(number, Event::Returned(&segment), Some(&segment));
                }
            },
            Due::Done(..) | Due::FromHost(..) => {}
            Due::ToCaller(flow, segment) => {
                let caller = self.callers.get_mut(&flow).unwrap();
                if caller.take(&segment) {
                    let answers = caller.answers;
                    let pause = if self.random.random_bool(0.2) {
                        LONG
                    } else {
                        SHORT
                    };
                    self.at(self.now + pause, Due::Ask(flow, answers));
                }
            }
            Due::ResetOf(number, flow, seq) => self.reset(number, flow, seq),
            Due::Table(number) => self.inform(number),
            Due::Report(number) => self.report(number),
            Due::Fails(fault) => self.fail(fault),
        }
    }

    /// Sends what a caller has out, through any balancer, until it is answered.
    fn ask(&mut self, flow: Flow, answers: u32) {
        let caller = &self.callers[&flow];
        let Some(segment) = caller.segment().filter(|_| caller.answers == answers) else {
            return;
        };
        let number = self.random.random_range(0..BALANCERS);
        self.send(Due::ToBalancer(number, segment));
        self.at(self.now + REPEAT, Due::Ask(flow, answers));
    }

    fn reset(&mut self, number: usize, flow: Flow, seq: u32) {
        let caller = &self.callers[&flow];
        // A caller of an open flow takes no reset that does not fit its acknowledgements.
        if caller.initial.is_some_and(|initial| seq != initial + 1) {
            return;
        }
        let holder = caller.initial.and_then(|initial| {
            let mut hosts = self.hosts.iter();
            hosts.position(|host| host.holds(&flow, initial))
        });
        assert!(
            caller.is_done() || holder.is_none(),
            "agent {number} reset {flow}, which backend server {holder:?} holds, at {} ms",
            self.now
        );
        self.callers.get_mut(&flow).unwrap().reset();
    }

    fn host_did(&mut self, number: usize, sent: Option<Sent>, begun: Vec<Flow>) {
        let start = self.hosts[number].start;
        if let Some(sent) = sent {
            self.at(self.now + 1, Due::FromHost(number, start, sent));
        }
        for flow in begun {
            let work = WORK + self.random.random_range(0..10);
            self.at(self.now + work, Due::Done(number, start, flow));
        }
    }

    fn dispatch(&mut self, number: usize, segment: Option<&Segment>) {
        let now = self.instant();
        let mut out = Vec::new();
        let balancer = &mut self.balancers[number];
        match segment {
            Some(segment) => {
                balancer.packet(now, &self.directory, true, segment, b"inner", &mut out);
            }
            None => balancer.tick(now, &mut out),
        }
        for action in out {
            match action {
                dispatch::Action::Send(header) => self.forward(header, *segment.unwrap()),
                dispatch::Action::Resend { flow, header, .. } => {
                    self.forward(header, crate::common::syn(flow));
                }
                other => panic!("{other:?} at balancer {number}"),
            }
        }
    }

    fn number_of(&self, address: SocketAddrV4) -> Option<usize> {
        self.members.iter().position(|m| m.packets == address)
    }

    fn forward(&mut self, header: Header, segment: Segment) {
        let to = header
            .target()
            .and_then(|target| self.number_of(target.address));
        self.send(Due::ToAgent(to.unwrap(), Box::new(header), segment));
    }

    fn handle(&mut self, number: usize, event: Event<'_>, segment: Option<&Segment>) {
        let now = self.instant();
        let mut out = Vec::new();
        self.agents[number].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Deliver(_) => {
                    let due = Due::ToHost(number, *segment.unwrap());
                    self.at(self.now + 1, due);
                }
                Action::Admit { flow, .. } => {
                    let due = Due::ToHost(number, crate::common::syn(flow));
                    self.at(self.now + 1, due);
                }
                Action::Queue => {}
                Action::Reply => {
                    let segment = *segment.unwrap();
                    self.send(Due::ToCaller(segment.flow, segment));
                }
                Action::Forward(header, _) => self.forward(header, *segment.unwrap()),
                Action::Resend { header, flow, .. } => {
                    self.forward(header, crate::common::syn(flow));
                }
                Action::Reset { flow, seq, .. } => self.send(Due::ResetOf(number, flow, seq)),
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
                    self.send(Due::NoticeTo(to, notice));
                }
            }
        }
    }

    fn fail(&mut self, fault: Fault) {
        self.faults.push(format!("{} ms {fault:?}", self.now));
        match fault {
            Fault::Balancer(number) => {
                let number = number % BALANCERS;
                self.balancers[number] = self.balancer(number);
            }
            Fault::Agent(number) => {
                self.epoch += 1;
                self.members[number].incarnation = Incarnation(100 + self.epoch);
                self.older[number] = true;
                self.agents[number] = self.agent(number);
                self.inform(number);
                self.renew_directory();
                for other in 0..self.members.len() {
                    self.at(self.now + TABLE_DELAY, Due::Table(other));
                }
            }
            Fault::Host(number) => {
                self.lost.extend(self.hosts[number].flows());
                let start = self.hosts[number].start + 1;
                self.hosts[number] = Host::new(start, SLOTS);
                self.older[number] = false;
                self.started[number] = self.instant();
                self.at(self.now + REPORT_DELAY, Due::Report(number));
            }
            Fault::Drain(number) => {
                self.draining.insert(number);
                self.report(number);
            }
        }
    }

    /// Every flow was served, unless its backend server lost it, and then its caller knows.
    pub fn check(&self, seed: u64) {
        let agents_started = self.faults.iter().filter(|f| f.contains("Agent")).count() as u32;
        for caller in self.callers.values() {
            let was_lost = |initial| self.lost.contains(&(caller.flow, initial));
            let refused = caller.stage == Stage::Reset && caller.initial.is_none();
            let mut hosts = self.hosts.iter();
            let began = hosts.any(|host| host.began(&caller.flow));
            let expected = caller.stage == Stage::Served
                || self.rush && refused && !began
                || caller.stage == Stage::Reset && caller.initial.is_some_and(was_lost);
            assert!(expected, "seed {seed}: {caller:?} after {:?}", self.faults);
        }
        for (number, host) in self.hosts.iter().enumerate() {
            for (flow, packets) in &host.strangers {
                // Each start of an agent may offer a flow once, and a redirect may be out of date.
                assert!(
                    *packets <= agents_started + 3,
                    "seed {seed}: backend server {number} got {packets} packets of {flow}, which \
                     it doesn't hold, after {:?}",
                    self.faults
                );
            }
        }
        for (number, agent) in self.agents.iter().enumerate() {
            let load = agent.load();
            assert_eq!(
                load.busy, 0,
                "seed {seed}: agent {number}, {:?}",
                self.faults
            );
        }
    }
}

/// Where a balancer wants notices.
fn notices(number: usize) -> SocketAddrV4 {
    let last = u8::try_from(number + 1).unwrap();
    SocketAddrV4::new([10, 9, 9, last].into(), 7_100)
}
