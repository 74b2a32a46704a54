//! One agent of a service with five members in two data centres.

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
pub const ME: u8 = 1;

/// Where the balancer of the tests wants notices.
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

pub fn member(number: u8, place: &str) -> Member {
    Member {
        host: format!("h-{number}").parse().unwrap(),
        incarnation: Incarnation(u64::from(number)),
        packets: address(number),
        http: address(number),
        centre: centre(place),
        slots: Slots(2),
        weight: Weight(100),
        state: MemberState::Serving,
    }
}

/// Members 1 to 3 in `a`, 4 and 5 in `b`.
pub fn members() -> Vec<Member> {
    let places = [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b")];
    places.map(|(n, place)| member(n, place)).to_vec()
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

/// First segment of a caller.
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

/// A caller's segment with data; `server` is the number of the backend server's SYN-ACK.
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

/// The backend server's answer.
pub fn answer(flow: Flow, server: u32) -> Segment {
    Segment {
        seq: server + 1,
        ack_number: 111,
        ..data(flow, 0)
    }
}

/// Header of a balancer for these candidates.
pub fn header(places: &[u8]) -> Header {
    Header {
        service: SERVICE,
        epoch: Epoch(2),
        candidates: places.iter().map(|n| candidate(*n)).collect(),
        hints: Hints {
            origin: Some(balancer()),
            ..Hints::default()
        },
        ..Header::default()
    }
}

/// Numbers of a header's candidates.
pub fn places(header: &Header) -> Vec<u8> {
    let number = |c: &Candidate| c.address.ip().octets()[3];
    header.candidates.iter().map(number).collect()
}

/// Number of the candidate that a header addresses.
pub fn target(header: &Header) -> u8 {
    places(header)[usize::from(header.hop)]
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

pub struct Rig {
    pub agent: Forwarder,
    pub now: Instant,
}

impl Rig {
    /// The agent ten seconds after its start, with a backend server and a table.
    pub fn new() -> Self {
        Self::with(backend(), members())
    }

    pub fn with(backend: Backend, members: Vec<Member>) -> Self {
        Self::at(ME, backend, members)
    }

    /// Any agent of the table.
    pub fn at(number: u8, backend: Backend, members: Vec<Member>) -> Self {
        let mut rig = Self::bare();
        rig.agent = Forwarder::new(
            ForwardSettings::default(),
            candidate(number),
            rig.now - Duration::from_secs(10),
        );
        let place = members.iter().find(|m| m.packets == address(number));
        rig.serve_as(place.map_or("a", |member| member.centre.as_str()));
        rig.event(Event::Backend(Some(backend)));
        rig.event(Event::Table(&table(2, members)));
        rig
    }

    /// The agent without backend server or table.
    pub fn bare() -> Self {
        let start = Instant::now();
        let settings = ForwardSettings::default();
        let mut rig = Self {
            agent: Forwarder::new(settings, candidate(ME), start),
            now: start + Duration::from_secs(10),
        };
        rig.serve_as("a");
        rig
    }

    /// Tells the agent its service and data centre.
    fn serve_as(&mut self, place: &str) {
        self.event(Event::Service {
            id: SERVICE,
            centre: centre(place),
            limit: 100,
            idle: Duration::from_secs(30),
        });
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.agent.handle(self.now, event, &mut out);
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
    pub fn first(&mut self, header: &Header, segment: &Segment) -> Action {
        self.packet(header, segment).remove(0)
    }

    /// Header with which the packet is passed on.
    pub fn passed(&mut self, header: &Header, segment: &Segment) -> Header {
        match self.first(header, segment) {
            Action::Forward(header, _) => header,
            other => panic!("{other:?}"),
        }
    }

    pub fn replies(&mut self, segment: &Segment) -> Vec<Action> {
        self.event(Event::Outbound(segment))
    }

    pub fn returned(&mut self, segment: &Segment) -> Vec<Action> {
        self.event(Event::Returned(segment))
    }

    /// Lets a caller open a flow and send a request; the backend server's first number is 500.
    pub fn open(&mut self, flow: Flow) {
        let header = header(&[ME, 2, 3, 4]);
        assert!(matches!(
            self.first(&header, &syn(flow)),
            Action::Deliver(_)
        ));
        self.replies(&syn_ack(flow, 500));
        self.packet(&header, &data(flow, 500));
    }

    /// Lets the backend server answer the request.
    pub fn serve(&mut self, flow: Flow) {
        self.replies(&answer(flow, 500));
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

    /// Another agent says that it stops.
    pub fn leaves(&mut self, owner: u8) {
        self.event(Event::Notice(&Notice {
            leaving: true,
            ..self.owned(candidate(owner))
        }));
    }

    /// The process that takes another agent's place says that it is there.
    pub fn follows(&mut self, owner: u8) {
        let owner = Candidate {
            incarnation: Incarnation(99),
            ..candidate(owner)
        };
        self.event(Event::Notice(&self.owned(owner)));
    }

    fn owned(&self, owner: Candidate) -> Notice {
        Notice {
            service: SERVICE,
            flows: Vec::new(),
            owner,
            load: load(0, 2, 0),
            leaving: false,
        }
    }

    /// Ticks until some time passed; what was done.
    pub fn after(&mut self, ms: u64) -> Vec<Action> {
        let end = self.now + Duration::from_millis(ms);
        let mut out = Vec::new();
        while self.agent.deadline() <= end {
            self.now = self.now.max(self.agent.deadline());
            out.extend(self.event(Event::Tick));
        }
        self.now = end;
        out
    }
}

/// SYNs that were sent on: the number of the next agent and the flow.
pub fn resent(actions: &[Action]) -> Vec<(u8, Flow)> {
    let resent = |action: &Action| match action {
        Action::Resend { header, flow, .. } => Some((target(header), *flow)),
        _ => None,
    };
    actions.iter().filter_map(resent).collect()
}

/// Notices that name flows: receiver and flows.
pub fn told(actions: &[Action]) -> Vec<(SocketAddrV4, Vec<Flow>)> {
    let told = |action: &Action| match action {
        Action::Notify { to, flows } if !flows.is_empty() => Some((*to, flows.clone())),
        _ => None,
    };
    actions.iter().filter_map(told).collect()
}
