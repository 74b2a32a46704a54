//! Fixture with one agent of a service with five members in two data centres.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use api::{Member, MemberState, Table};
use forwarding::{Action, Backend, Event, ForwardSettings, Forwarder};
use tokio::time::Instant;
use units::{DataCentre, Epoch, Flow, Incarnation, Millis, ServiceId, Slots, Weight};
use wire::{Candidate, Header, Hints, Load, Notice, Segment};

pub const SERVICE: ServiceId = ServiceId(1);

/// Number of the agent under test, a member in data centre `a`.
pub const LOCAL: u8 = 1;

/// Address at which the balancer of the tests receives notices.
pub const BALANCER: &str = "10.9.9.9:7100";

pub fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7_000)
}

pub fn balancer() -> SocketAddrV4 {
    BALANCER.parse().unwrap()
}

pub fn candidate(number: u8) -> Candidate {
    Candidate {
        address: address(number),
        incarnation: Incarnation(u64::from(number)),
    }
}

pub fn centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

pub fn member(number: u8, centre_name: &str) -> Member {
    Member {
        host: format!("h-{number}").parse().unwrap(),
        incarnation: Incarnation(u64::from(number)),
        packets: address(number),
        http: address(number),
        centre: centre(centre_name),
        slots: Slots(2),
        weight: Weight(100),
        state: MemberState::Serving,
    }
}

/// Members 1 to 3 in `a`, 4 and 5 in `b`.
pub fn members() -> Vec<Member> {
    let centres = [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b")];
    centres.map(|(n, name)| member(n, name)).to_vec()
}

pub fn table(epoch: u64, members: Vec<Member>) -> Arc<Table> {
    Arc::new(Table {
        service: SERVICE,
        epoch: Epoch(epoch),
        changed: Millis(0),
        members,
    })
}

pub fn flow(port: u16) -> Flow {
    format!("10.1.0.1:{port}>198.18.0.1:80").parse().unwrap()
}

/// A caller's SYN.
pub fn syn(flow: Flow) -> Segment {
    Segment {
        flow,
        syn: true,
        ack: false,
        fin: false,
        rst: false,
        seq: 100,
        ack_number: 0,
        payload: 0,
        ttl: 9,
    }
}

/// A caller's segment with data; `server` is the sequence number of the backend server's SYN-ACK.
pub fn data(flow: Flow, server: u32) -> Segment {
    Segment {
        syn: false,
        ack: true,
        seq: 101,
        ack_number: server + 1,
        payload: 10,
        ..syn(flow)
    }
}

pub fn fin(flow: Flow, server: u32) -> Segment {
    Segment {
        fin: true,
        payload: 0,
        ..data(flow, server)
    }
}

pub fn syn_ack(flow: Flow, server: u32) -> Segment {
    Segment {
        ack: true,
        seq: server,
        ack_number: 101,
        ..syn(flow)
    }
}

/// The backend server's response to a request.
pub fn answer(flow: Flow, server: u32) -> Segment {
    Segment {
        seq: server + 1,
        ack_number: 111,
        ..data(flow, 0)
    }
}

/// Header of a balancer's packet with these candidates.
pub fn header(numbers: &[u8]) -> Header {
    Header {
        service: SERVICE,
        epoch: Epoch(2),
        candidates: numbers.iter().map(|n| candidate(*n)).collect(),
        hints: Hints {
            origin: Some(balancer()),
            return_unheld: true,
            ..Hints::default()
        },
        ..Header::default()
    }
}

/// Asserts that an agent returns a packet to the balancer, with the epoch of its table.
pub fn assert_not_held(action: &Action, epoch: u64) {
    match action {
        Action::NotHeld { to, header } => {
            assert_eq!((*to, header.epoch), (balancer(), Epoch(epoch)));
            assert!(header.hints.return_unheld);
        }
        other => panic!("{other:?}"),
    }
}

/// Member numbers of a header's candidates.
pub fn candidate_numbers(header: &Header) -> Vec<u8> {
    let number = |c: &Candidate| c.address.ip().octets()[3];
    header.candidates.iter().map(number).collect()
}

/// Member number of a header's target.
pub fn target(header: &Header) -> u8 {
    candidate_numbers(header)[usize::from(header.hop)]
}

pub fn load(busy: u16, slots: u16, open: u32) -> Load {
    Load { busy, slots, open }
}

/// A backend server with two slots that started after its agent.
pub fn backend() -> Backend {
    Backend {
        incarnation: 1,
        started: Instant::now(),
        predates_agent: false,
        slots: 2,
        accepting: true,
    }
}

pub struct Fixture {
    pub forwarder: Forwarder,
    pub now: Instant,
}

impl Fixture {
    /// The agent ten seconds after its startup, with a backend server and a table.
    pub fn new() -> Self {
        Self::with_backend(backend(), members())
    }

    pub fn with_backend(backend: Backend, members: Vec<Member>) -> Self {
        Self::for_agent(LOCAL, backend, members)
    }

    /// An agent with any number of the table.
    pub fn for_agent(number: u8, backend: Backend, members: Vec<Member>) -> Self {
        let mut fixture = Self::without_backend();
        fixture.forwarder = Forwarder::new(
            ForwardSettings::default(),
            candidate(number),
            fixture.now - Duration::from_secs(10),
        );
        let local = members.iter().find(|m| m.packets == address(number));
        fixture.set_service(local.map_or("a", |member| member.centre.as_str()));
        fixture.event(Event::Backend(Some(backend)));
        fixture.event(Event::Table(&table(2, members)));
        fixture
    }

    /// The agent without backend server or table.
    pub fn without_backend() -> Self {
        let start = Instant::now();
        let settings = ForwardSettings::default();
        let mut fixture = Self {
            forwarder: Forwarder::new(settings, candidate(LOCAL), start),
            now: start + Duration::from_secs(10),
        };
        fixture.set_service("a");
        fixture
    }

    /// Sets the agent's service and data centre.
    fn set_service(&mut self, centre_name: &str) {
        self.event(Event::Service {
            id: SERVICE,
            centre: centre(centre_name),
            limit: 100,
            idle: Duration::from_secs(30),
        });
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.forwarder.handle(self.now, event, &mut out);
        out
    }

    pub fn packet(&mut self, header: &Header, segment: &Segment) -> Vec<Action> {
        let event = Event::Packet {
            header,
            segment,
            inner: b"inner",
        };
        self.event(event)
    }

    /// The action that concerns the packet.
    pub fn packet_action(&mut self, header: &Header, segment: &Segment) -> Action {
        self.packet(header, segment).remove(0)
    }

    /// Header with which the packet is forwarded.
    pub fn forwarded_header(&mut self, header: &Header, segment: &Segment) -> Header {
        match self.packet_action(header, segment) {
            Action::Forward(header, _) => header,
            other => panic!("{other:?}"),
        }
    }

    pub fn outbound(&mut self, segment: &Segment) -> Vec<Action> {
        self.event(Event::Outbound(segment))
    }

    pub fn returned(&mut self, segment: &Segment) -> Vec<Action> {
        self.event(Event::Returned(segment))
    }

    /// Opens a flow and sends a request; the backend server's initial sequence number is 500.
    pub fn open_flow(&mut self, flow: Flow) {
        let header = header(&[LOCAL, 2, 3, 4]);
        assert!(matches!(
            self.packet_action(&header, &syn(flow)),
            Action::Deliver(_)
        ));
        self.outbound(&syn_ack(flow, 500));
        self.packet(&header, &data(flow, 500));
    }

    /// Sends the backend server's response to the request.
    pub fn answer_request(&mut self, flow: Flow) {
        self.outbound(&answer(flow, 500));
    }

    pub fn notice(&mut self, owner: u8, flows: Vec<Flow>, load: Load) {
        let notice = Notice {
            leaving: false,
            service: SERVICE,
            flows,
            owner: candidate(owner),
            load,
        };
        self.event(Event::Notice(&notice));
    }

    /// Delivers the notice with which another agent announces its shutdown.
    pub fn announce_shutdown(&mut self, owner: u8) {
        self.event(Event::Notice(&Notice {
            leaving: true,
            ..self.empty_notice(candidate(owner))
        }));
    }

    /// Delivers a notice of the process that replaces another agent.
    pub fn announce_restart(&mut self, owner: u8) {
        let owner = Candidate {
            incarnation: Incarnation(99),
            ..candidate(owner)
        };
        self.event(Event::Notice(&self.empty_notice(owner)));
    }

    fn empty_notice(&self, owner: Candidate) -> Notice {
        Notice {
            service: SERVICE,
            flows: Vec::new(),
            owner,
            load: load(0, 2, 0),
            leaving: false,
        }
    }

    /// Advances the time and handles all timers due; returns their actions.
    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        let end = self.now + Duration::from_millis(ms);
        let mut out = Vec::new();
        while self.forwarder.deadline() <= end {
            self.now = self.now.max(self.forwarder.deadline());
            out.extend(self.event(Event::Tick));
        }
        self.now = end;
        out
    }
}

/// SYNs that were resent: the number of the next agent, and the flow.
pub fn resent_syns(actions: &[Action]) -> Vec<(u8, Flow)> {
    let resent = |action: &Action| match action {
        Action::Resend { header, flow, .. } => Some((target(header), *flow)),
        _ => None,
    };
    actions.iter().filter_map(resent).collect()
}

/// Notices with flows: receiver and flows.
pub fn flow_notices(actions: &[Action]) -> Vec<(SocketAddrV4, Vec<Flow>)> {
    let with_flows = |action: &Action| match action {
        Action::Notify { to, flows } if !flows.is_empty() => Some((*to, flows.clone())),
        _ => None,
    };
    actions.iter().filter_map(with_flows).collect()
}
