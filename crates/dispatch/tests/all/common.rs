//! Test harness: one dispatcher with a simulated clock, and fixtures for its input.

use std::net::SocketAddrV4;
use std::time::Duration;

use api::{
    Member, MemberState, RouteView, ServiceView, Table, TableUpdate, TargetView, WatchReply,
};
use dispatch::{Action, Directory, DispatchSettings, Dispatcher};
use tokio::time::Instant;
use units::{DataCentre, Epoch, Flow, Incarnation, Millis, ServiceId, Slots, Version, Weight};
use watcher::View;
use wire::{Candidate, Header, Load, Notice, Segment};

/// The packet that agents return.
pub const PACKET: &[u8] = b"data";

pub const SERVICE: ServiceId = ServiceId(1);
pub const OTHER: ServiceId = ServiceId(2);

pub fn centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

pub fn address(number: u8) -> SocketAddrV4 {
    format!("10.0.0.{number}:7000").parse().unwrap()
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

pub fn candidate(number: u8) -> Candidate {
    Candidate {
        address: address(number),
        incarnation: Incarnation(u64::from(number)),
    }
}

pub fn service(id: ServiceId) -> ServiceView {
    let profile = r#"{"name":"p","protocol":"opaque"}"#;
    let text = format!(r#"{{"name":"s-{id}","tenant":"t","profile":"p"}}"#);
    ServiceView {
        id,
        service: serde_json::from_str(&text).unwrap(),
        profile: serde_json::from_str(profile).unwrap(),
        version: Version(1),
    }
}

pub fn table(id: ServiceId, epoch: u64, members: Vec<Member>) -> TableUpdate {
    TableUpdate::Snapshot(Table {
        service: id,
        epoch: Epoch(epoch),
        changed: Millis(0),
        members,
    })
}

pub fn route(port: u16, targets: &[(ServiceId, u32)], former: &[ServiceId]) -> RouteView {
    let target = |(service, weight): &(ServiceId, u32)| TargetView {
        service: *service,
        weight: *weight,
    };
    RouteView {
        address: SocketAddrV4::new([198, 18, 0, 1].into(), port),
        targets: targets.iter().map(target).collect(),
        former: former.to_vec(),
        latency_ms: Millis(100),
        priority: 1,
    }
}

/// Members of service 1 in two data centres.
pub fn members() -> Vec<Member> {
    let members = [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b")];
    members.map(|(n, name)| member(n, name)).to_vec()
}

/// Services 1 (members 1 to 5 in two data centres) and 2 (members 11 and 12).
pub fn view(routes: Vec<RouteView>) -> View {
    let others = vec![member(11, "a"), member(12, "b")];
    let reply = WatchReply {
        config: Version(1),
        services: vec![service(SERVICE), service(OTHER)],
        tables: vec![table(SERVICE, 2, members()), table(OTHER, 2, others)],
        routes,
        complete: true,
        index: 1,
        ..WatchReply::default()
    };
    View::default().updated(&reply, Instant::now()).unwrap()
}

/// The view after another table of service 1.
pub fn with_table(view: &View, epoch: u64, members: Vec<Member>) -> View {
    let reply = WatchReply {
        config: view.config,
        tables: vec![table(SERVICE, epoch, members)],
        index: epoch,
        ..WatchReply::default()
    };
    view.updated(&reply, Instant::now()).unwrap()
}

pub fn directory(routes: Vec<RouteView>) -> Directory {
    Directory::default().updated(&view(routes))
}

pub struct Harness {
    pub dispatcher: Dispatcher,
    pub directory: Directory,
    pub now: Instant,
    /// How long a packet may have waited in the socket.
    pub drained_ago: Duration,
}

impl Harness {
    pub fn new(routes: Vec<RouteView>) -> Self {
        Self::with_settings(DispatchSettings::default(), routes)
    }

    pub fn with_settings(settings: DispatchSettings, routes: Vec<RouteView>) -> Self {
        let now = Instant::now();
        let notice_address = "10.9.9.9:7100".parse().unwrap();
        Self {
            dispatcher: Dispatcher::new(settings, notice_address, centre("a"), now),
            directory: directory(routes),
            now: now + Duration::from_secs(10),
            drained_ago: Duration::ZERO,
        }
    }

    pub fn packet(&mut self, segment: &Segment) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.record_drained(self.now - self.drained_ago);
        self.dispatcher
            .handle_packet(self.now, &self.directory, true, segment, b"syn", &mut out);
        out
    }

    /// Header with which the packet is sent; panics on any other action.
    pub fn sent_header(&mut self, segment: &Segment) -> Header {
        match self.packet(segment)[..] {
            [Action::Send(header)] => header,
            ref other => panic!("{other:?}"),
        }
    }

    pub fn notice(&mut self, owner: u8, flow: Flow) {
        let notice = Notice {
            leaving: false,
            service: SERVICE,
            flows: vec![flow],
            owner: candidate(owner),
            load: Load::default(),
        };
        self.dispatcher.handle_notice(self.now, &notice);
    }

    /// Delivers a packet that the agents of its service returned.
    pub fn not_held(&mut self, header: &Header, segment: &Segment) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle_not_held(
            self.now,
            &self.directory,
            header,
            segment,
            PACKET,
            &mut out,
        );
        out
    }

    /// Delivers a SYN that no agent accepts.
    pub fn unplaced(&mut self, header: &Header, segment: &Segment) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher
            .handle_unplaced(self.now, header, segment, &mut out);
        out
    }

    /// Reads the view, which is that of `directory`, from control.
    pub fn read(&mut self, directory: Directory) -> Vec<Action> {
        self.directory = directory.with_read_at(Some(self.now));
        let mut out = Vec::new();
        self.dispatcher
            .handle_read(self.now, &self.directory, &mut out);
        out
    }

    /// Reads the view from control, which has no change.
    pub fn read_unchanged(&mut self) -> Vec<Action> {
        self.read(self.directory.clone())
    }

    /// Advances the clock; returns the headers of the SYNs that are sent again.
    pub fn advance(&mut self, ms: u64) -> Vec<Header> {
        self.now += Duration::from_millis(ms);
        let mut out = Vec::new();
        self.dispatcher.tick(self.now, &mut out);
        let header = |action| match action {
            Action::Resend { header, inner, .. } => {
                assert_eq!(&*inner, b"syn");
                header
            }
            other => panic!("{other:?}"),
        };
        out.into_iter().map(header).collect()
    }
}

pub fn flow(caller: u16, port: u16) -> Flow {
    format!("10.1.0.1:{caller}>198.18.0.1:{port}")
        .parse()
        .unwrap()
}

pub fn syn(flow: Flow) -> Segment {
    Segment {
        flow,
        syn: true,
        ack: false,
        fin: false,
        rst: false,
        seq: 1,
        ack_number: 0,
        payload: 0,
        ttl: 9,
    }
}

pub fn data(flow: Flow) -> Segment {
    Segment {
        syn: false,
        ack: true,
        payload: 10,
        ..syn(flow)
    }
}

/// Headers of sent packets; panics on any other action.
pub fn sent_headers(actions: &[Action]) -> Vec<Header> {
    let header = |action: &Action| match action {
        Action::Send(header) => *header,
        other => panic!("{other:?}"),
    };
    actions.iter().map(header).collect()
}

/// Numbers of the candidate agents, in order.
pub fn agents(header: &Header) -> Vec<u8> {
    header
        .candidates
        .iter()
        .map(|c| c.address.ip().octets()[3])
        .collect()
}
