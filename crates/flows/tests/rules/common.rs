//! Harness with one agent, and fixtures for its input.

use std::sync::Arc;
use std::time::Duration;

use api::{Member, MemberState, Table};
use flows::{Action, Event, Flows, FlowsSettings};
use tokio::time::Instant;
use units::{Epoch, Flow, Incarnation, Millis, ServiceId, Slots, Weight};
use wire::{Candidate, Flags, Header, Load, Notice, Segment};

pub const SERVICE: ServiceId = ServiceId(7);
pub const SETTLE_TIME: Duration = Duration::from_secs(10);

pub fn agent(number: u16) -> Candidate {
    let address = format!("127.0.0.1:{}", 7000 + number);
    Candidate {
        address: address.parse().expect("an address"),
        incarnation: Incarnation(100 + u64::from(number)),
    }
}

pub fn flow(port: u16) -> Flow {
    let text = format!("10.0.0.1:{}>10.9.0.1:80", 1000 + port);
    text.parse().expect("a flow")
}

pub fn table(epoch: u64, numbers: &[u16]) -> Arc<Table> {
    let member = |n: &u16| Member {
        host: format!("host-{n}").parse().expect("a name"),
        incarnation: agent(*n).incarnation,
        packets: agent(*n).address,
        http: agent(*n).address,
        centre: "dc-1".parse().expect("a name"),
        slots: Slots(2),
        weight: Weight(100),
        state: MemberState::Serving,
    };
    Arc::new(Table {
        service: SERVICE,
        epoch: Epoch(epoch),
        changed: Millis(0),
        members: numbers.iter().map(member).collect(),
    })
}

pub const NO_FLAGS: Flags = Flags {
    lookup: false,
    accept: false,
};
pub const LOOKUP: Flags = Flags {
    lookup: true,
    accept: false,
};
pub const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};
pub const FORCE_ACCEPT: Flags = Flags {
    lookup: true,
    accept: true,
};

pub fn header(hop: u8, numbers: &[u16], flags: Flags) -> Header {
    Header {
        hop,
        flags,
        service: SERVICE,
        epoch: Epoch(1),
        candidates: numbers.iter().map(|n| agent(*n)).collect(),
        ..Header::default()
    }
}

pub fn syn(flow: Flow) -> Segment {
    let (ack, fin, rst) = (false, false, false);
    Segment {
        flow,
        syn: true,
        ack,
        fin,
        rst,
        seq: 1,
        ack_number: 0,
        payload: 0,
        ttl: 9,
    }
}

pub fn data(flow: Flow, ack_number: u32) -> Segment {
    Segment {
        syn: false,
        ack: true,
        ack_number,
        payload: 5,
        ..syn(flow)
    }
}

pub struct Harness {
    pub flows: Flows,
    pub now: Instant,
}

impl Harness {
    /// Agent 0 of a service with the given members.
    pub fn new(members: &[u16]) -> Self {
        Self::with_settings(FlowsSettings::default(), members)
    }

    pub fn with_settings(settings: FlowsSettings, members: &[u16]) -> Self {
        let now = Instant::now();
        let mut harness = Self {
            flows: Flows::new(settings, agent(0), now),
            now,
        };
        let address = flow(1).service;
        harness.event(Event::Service {
            id: SERVICE,
            address: Some(address),
            limit: 1000,
        });
        harness.table(1, members);
        harness.event(Event::Accepting(true));
        harness
    }

    pub fn table(&mut self, epoch: u64, members: &[u16]) -> Vec<Action> {
        let received_at = self.now;
        self.event(Event::Table {
            table: &table(epoch, members),
            received_at,
        })
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.flows.handle(self.now, event, &mut out);
        out
    }

    pub fn actions(&mut self, header: Header, segment: Segment) -> Vec<Action> {
        self.event(Event::Packet {
            header: &header,
            segment: &segment,
        })
    }

    pub fn packet(&mut self, header: Header, segment: Segment) -> Action {
        self.actions(header, segment)
            .into_iter()
            .next()
            .expect("an action")
    }

    pub fn forwarded(&mut self, header: Header, segment: Segment) -> (u8, Flags, Vec<Candidate>) {
        match self.packet(header, segment) {
            Action::Forward(header) => (header.hop, header.flags, header.candidates.to_vec()),
            other => panic!("not forwarded: {other:?}"),
        }
    }

    pub fn open(&mut self, flow: Flow, established: bool) {
        assert_eq!(
            self.packet(header(0, &[0, 1], ACCEPT), syn(flow)),
            Action::Accept
        );
        self.event(Event::Opened {
            flow,
            initial_seq: 500,
        });
        if established {
            let got = self.packet(header(0, &[0, 1], NO_FLAGS), data(flow, 501));
            assert_eq!(got, Action::Process);
        }
    }

    pub fn notify(&mut self, flow: Flow, owner: u16) -> Vec<Action> {
        let (owner, flows) = (agent(owner), vec![flow]);
        self.event(Event::Notice(&Notice {
            leaving: false,
            service: SERVICE,
            flows,
            owner,
            load: Load {
                open: 4,
                ..Load::default()
            },
        }))
    }
}
