//! The rules one by one; each test names the failure it guards against.

use std::sync::Arc;
use std::time::Duration;

use api::{Member, MemberState, Table};
use flows::{Action, DropReason, Event, Flows, FlowsSettings};
use tokio::time::Instant;
use units::{Epoch, Flow, Incarnation, Millis, ServiceId, Slots, Weight};
use wire::{Candidate, Flags, Header, Load, Notice, Segment};

const SERVICE: ServiceId = ServiceId(7);
const SETTLE: Duration = Duration::from_secs(10);

fn agent(number: u16) -> Candidate {
    let address = format!("127.0.0.1:{}", 7000 + number);
    Candidate {
        address: address.parse().expect("an address"),
        incarnation: Incarnation(100 + u64::from(number)),
    }
}

fn flow(port: u16) -> Flow {
    let text = format!("10.0.0.1:{}>10.9.0.1:80", 1000 + port);
    text.parse().expect("a flow")
}

fn table(epoch: u64, numbers: &[u16]) -> Arc<Table> {
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

const NONE: Flags = Flags {
    lookup: false,
    accept: false,
};
const LOOKUP: Flags = Flags {
    lookup: true,
    accept: false,
};
const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};
const ANYWAY: Flags = Flags {
    lookup: true,
    accept: true,
};

fn header(hop: u8, numbers: &[u16], flags: Flags) -> Header {
    Header {
        hop,
        flags,
        service: SERVICE,
        epoch: Epoch(1),
        candidates: numbers.iter().map(|n| agent(*n)).collect(),
        ..Header::default()
    }
}

fn syn(flow: Flow) -> Segment {
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

fn data(flow: Flow, ack_number: u32) -> Segment {
    Segment {
        syn: false,
        ack: true,
        ack_number,
        payload: 5,
        ..syn(flow)
    }
}

struct Rig {
    flows: Flows,
    now: Instant,
}

impl Rig {
    /// Agent 0 of a service with these members.
    fn new(members: &[u16]) -> Self {
        Self::with(FlowsSettings::default(), members)
    }

    fn with(settings: FlowsSettings, members: &[u16]) -> Self {
        let now = Instant::now();
        let mut rig = Self {
            flows: Flows::new(settings, agent(0), now),
            now,
        };
        let address = flow(1).service;
        rig.event(Event::Service {
            id: SERVICE,
            address: Some(address),
            limit: 1000,
        });
        rig.table(1, members);
        rig.event(Event::Accepting(true));
        rig
    }

    fn table(&mut self, epoch: u64, members: &[u16]) -> Vec<Action> {
        let changed = self.now;
        self.event(Event::Table {
            table: &table(epoch, members),
            changed,
        })
    }

    fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.flows.handle(self.now, event, &mut out);
        out
    }

    fn all(&mut self, header: Header, segment: Segment) -> Vec<Action> {
        self.event(Event::Packet {
            header: &header,
            segment: &segment,
        })
    }

    fn packet(&mut self, header: Header, segment: Segment) -> Action {
        self.all(header, segment)
            .into_iter()
            .next()
            .expect("an action")
    }

    fn forwarded(&mut self, header: Header, segment: Segment) -> (u8, Flags, Vec<Candidate>) {
        match self.packet(header, segment) {
            Action::Forward(header) => (header.hop, header.flags, header.candidates.to_vec()),
            other => panic!("not forwarded: {other:?}"),
        }
    }

    fn hold(&mut self, flow: Flow, established: bool) {
        assert_eq!(
            self.packet(header(0, &[0, 1], ACCEPT), syn(flow)),
            Action::Accept
        );
        self.event(Event::Opened {
            flow,
            initial_seq: 500,
        });
        if established {
            let got = self.packet(header(0, &[0, 1], NONE), data(flow, 501));
            assert_eq!(got, Action::Process);
        }
    }

    fn learn(&mut self, flow: Flow, owner: u16) -> Vec<Action> {
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

/// Guards against packets that reach another service, tenant or start of an agent (P2).
#[test]
fn foreign_packets_are_dropped() {
    let mut rig = Rig::new(&[0, 1]);
    let mut other = header(0, &[0, 1], NONE);
    other.service = ServiceId(8);
    let got = rig.packet(other, syn(flow(1)));
    assert_eq!(got, Action::Drop(DropReason::OtherService));
    let got = rig.packet(header(0, &[1, 0], NONE), syn(flow(1)));
    assert_eq!(got, Action::Drop(DropReason::OtherIncarnation));
    let mut other = syn(flow(1));
    other.flow.service.set_port(81);
    let got = rig.packet(header(0, &[0], NONE), other);
    assert_eq!(got, Action::Drop(DropReason::OtherAddress));
    assert_eq!(rig.flows.open(), 0);
}

/// Guards against new flows at an agent that drains, and against a refusal while another agent
/// could accept.
#[test]
fn declined_syns_go_on_and_end_in_a_refusal() {
    let mut rig = Rig::new(&[0, 1]);
    rig.event(Event::Accepting(false));
    let got = rig.forwarded(header(0, &[0, 1], NONE), syn(flow(1)));
    assert_eq!((got.0, got.1), (1, NONE));
    // All declined: one more pass in which overload does not count.
    let got = rig.forwarded(header(1, &[1, 0], NONE), syn(flow(1)));
    assert_eq!((got.0, got.1), (0, ANYWAY));
    let got = rig.packet(header(1, &[1, 0], ANYWAY), syn(flow(1)));
    assert_eq!(got, Action::Reset);
    assert_eq!(rig.flows.open(), 0);
    // The balancer's table may be older: members of the own one are asked before the refusal.
    let got = rig.forwarded(header(0, &[0], NONE), syn(flow(1)));
    assert_eq!((got.0, got.1, got.2), (1, ANYWAY, vec![agent(0), agent(1)]));
}

/// Guards against a second connection for a flow that an agent further down the list holds.
#[test]
fn lookup_passes_the_whole_list_before_anyone_accepts() {
    let mut rig = Rig::new(&[0, 1, 2]);
    let got = rig.forwarded(header(0, &[0, 1, 2], LOOKUP), syn(flow(1)));
    assert_eq!((got.0, got.1), (1, LOOKUP));
    let got = rig.forwarded(header(2, &[1, 2, 0], LOOKUP), syn(flow(1)));
    assert_eq!((got.0, got.1), (0, ACCEPT));
    let mut accept = |flags| rig.packet(header(0, &[0, 1, 2], flags), syn(flow(1)));
    assert_eq!(accept(ACCEPT), Action::Accept);
    assert_eq!(accept(LOOKUP), Action::Process);
}

/// Guards against uneven agents: the first choice passes new flows to the second choice.
#[test]
fn overload_passes_new_flows_to_the_second_choice() {
    let mut rig = Rig::new(&[0, 1]);
    rig.event(Event::Load {
        member: agent(1),
        open: 20,
    });
    let list = header(0, &[0, 1], NONE);
    for port in 0..23 {
        assert_eq!(rig.packet(list, syn(flow(port))), Action::Accept);
    }
    // 24 exceeds 20 * 1.05 + 2; the passed flow then counts for the sibling.
    assert_eq!(rig.forwarded(list, syn(flow(23))).0, 1);
    assert_eq!(rig.packet(list, syn(flow(24))), Action::Accept);
    // As the last resort it accepts anyway, and old loads tell nothing.
    rig.event(Event::Load {
        member: agent(1),
        open: 0,
    });
    assert_eq!(
        rig.packet(header(0, &[0, 1], ANYWAY), syn(flow(25))),
        Action::Accept
    );
    rig.now += Duration::from_secs(6);
    assert_eq!(rig.packet(list, syn(flow(26))), Action::Accept);
}

/// Guards against RST for a flow that lives, and against callers that wait for a lost one.
#[test]
fn unknown_flows_are_dropped_then_reset() {
    let mut rig = Rig::new(&[0, 1]);
    let last = header(1, &[1, 0], NONE);
    let unsettled = Action::Drop(DropReason::Unsettled);
    assert_eq!(rig.packet(last, data(flow(1), 9)), unsettled);
    rig.now += SETTLE;
    // The notice about a flow may arrive after its first packet.
    let got = rig.packet(last, data(flow(1), 9));
    assert_eq!(got, Action::Drop(DropReason::Stray));
    rig.now += Duration::from_millis(200);
    assert_eq!(rig.packet(last, data(flow(1), 9)), Action::Reset);
    let rst = Segment {
        rst: true,
        ..data(flow(1), 9)
    };
    assert_eq!(rig.packet(last, rst), Action::Drop(DropReason::StrayReset));
    // After a table change members beyond the list are asked first.
    rig.table(2, &[0, 1, 2]);
    let got = rig.forwarded(last, data(flow(1), 9));
    assert_eq!((got.0, got.2), (2, vec![agent(1), agent(0), agent(2)]));
    rig.table(3, &[0, 1]);
    assert_eq!(rig.packet(last, data(flow(1), 9)), unsettled);
}

/// Guards against RST from an agent that lost the race for a flow, and against two owners.
#[test]
fn half_open_flow_yields_to_the_established_one() {
    let mut rig = Rig::new(&[0, 1]);
    rig.hold(flow(1), false);
    assert_eq!(
        rig.forwarded(header(0, &[0, 1], NONE), data(flow(1), 777))
            .0,
        1
    );
    rig.now += SETTLE * 2;
    let got = rig.packet(header(1, &[1, 0], NONE), data(flow(1), 777));
    assert_eq!(got, Action::Drop(DropReason::Unsettled));
    rig.learn(flow(1), 1);
    let got = rig.forwarded(header(0, &[0, 1], NONE), data(flow(1), 777));
    assert_eq!((got.0, got.2[1]), (1, agent(1)));
    // An established flow does not yield.
    rig.hold(flow(2), true);
    rig.learn(flow(2), 1);
    let got = rig.packet(header(0, &[0, 1], NONE), data(flow(2), 777));
    assert_eq!(got, Action::Process);
}

/// Guards against flows that can't be found after several table changes, and against loops.
#[test]
fn redirects_lead_to_the_owner_once() {
    let mut rig = Rig::new(&[0, 1, 2, 3]);
    rig.learn(flow(1), 3);
    let got = rig.forwarded(header(0, &[0, 1, 2], NONE), data(flow(1), 9));
    assert_eq!(
        (got.0, got.2),
        (1, vec![agent(0), agent(3), agent(1), agent(2)])
    );
    let mut again = header(1, &[3, 0, 1], NONE);
    again.epoch = Epoch(0);
    let got = rig.forwarded(again, data(flow(1), 9));
    assert_eq!((got.0, got.2[2]), (2, agent(1)));
    // A new connection of the same addresses asks the owner first, then is accepted here.
    let got = rig.forwarded(header(0, &[0, 1], NONE), syn(flow(1)));
    assert_eq!((got.0, got.1, got.2[1]), (1, LOOKUP, agent(3)));
    let got = rig.packet(header(0, &[0, 3, 1], ACCEPT), syn(flow(1)));
    assert_eq!(got, Action::Accept);
    // An owner that left the table is forgotten, as is one that was not asked for long.
    rig.learn(flow(2), 3);
    rig.table(2, &[0, 1, 2]);
    assert_eq!(rig.flows.redirects(), 0);
    rig.learn(flow(2), 2);
    rig.now += Duration::from_secs(120);
    let got = rig.forwarded(header(0, &[0, 1], NONE), data(flow(2), 9));
    assert_eq!(got.2, [agent(0), agent(1)]);
}

/// Guards against unbounded memory for redirects.
#[test]
fn least_recently_used_redirect_goes_first() {
    let settings = FlowsSettings {
        redirects: 3,
        ..FlowsSettings::default()
    };
    let mut rig = Rig::with(settings, &[0, 1, 2]);
    let list = header(0, &[0, 1], NONE);
    for port in 1..=3 {
        rig.learn(flow(port), 2);
    }
    rig.packet(list, data(flow(1), 9));
    rig.learn(flow(4), 2);
    assert_eq!(rig.flows.redirects(), 3);
    let to = [1, 2, 4].map(|port| rig.forwarded(list, data(flow(port), 9)).2[1]);
    assert_eq!(to, [agent(2), agent(1), agent(2)]);
}

/// Guards against relays that are never told, and against a notice for every packet.
#[test]
fn notices_go_to_the_first_candidate_once_a_second() {
    let mut rig = Rig::new(&[0, 1]);
    rig.hold(flow(1), true);
    let relayed = header(1, &[1, 0], NONE);
    let (to, flows) = (agent(1), vec![flow(1)]);
    let told = vec![Action::Process, Action::Notify { to, flows }];
    let mut wait = |ms| {
        rig.now += Duration::from_millis(ms);
        rig.all(relayed, data(flow(1), 501))
    };
    assert_eq!(wait(0), told);
    assert_eq!(wait(999), [Action::Process]);
    assert_eq!(wait(1), told);
    let mut known = header(1, &[1, 0], NONE);
    known.epoch = Epoch(0);
    rig.now += SETTLE;
    assert_eq!(rig.all(known, data(flow(1), 501)), [Action::Process]);
}

/// Guards against moved flows whose new first choice does not know the owner.
#[test]
fn moved_flows_are_registered_and_repeated() {
    let mut rig = Rig::new(&[0]);
    for port in 0..300 {
        rig.hold(flow(port), true);
    }
    let count = |out: &[Action], number| -> usize {
        let told = |action: &Action| match action {
            Action::Notify { to, flows } if *to == agent(number) => flows.len(),
            _ => 0,
        };
        out.iter().map(told).sum()
    };
    let out = rig.table(2, &[0, 1, 2]);
    assert!(
        count(&out, 1) > 70 && count(&out, 2) > 70,
        "a third each is expected"
    );
    assert_eq!(rig.event(Event::Tick), []);
    let mut repeats = 0;
    for _ in 0..60 {
        rig.now += Duration::from_millis(200);
        let again = rig.event(Event::Tick);
        repeats += usize::from(!again.is_empty());
        assert!(again.is_empty() || again == out);
    }
    assert_eq!(repeats, 5);
    // A packet that the first choice sent straight here confirms one flow.
    let to = out.iter().find_map(|action| match action {
        Action::Notify { to, flows } => Some((*to, flows[0])),
        _ => None,
    });
    let (to, confirmed) = to.expect("a notice");
    let mut direct = header(1, &[0, 0], NONE);
    direct.epoch = Epoch(0);
    direct.candidates = [to, agent(0)].into_iter().collect();
    rig.packet(direct, data(confirmed, 501));
    rig.now += Duration::from_secs(20);
    let again = rig.event(Event::Tick);
    assert_eq!(
        count(&again, 1) + count(&again, 2),
        count(&out, 1) + count(&out, 2) - 1
    );
    // What moves again is told again.
    assert!(count(&rig.table(3, &[0, 1, 2, 3]), 3) > 40);
}

/// Guards against a handshake whose last packet comes through a balancer with another table.
#[test]
fn flow_of_another_first_choice_is_registered_at_once() {
    let mut rig = Rig::new(&[0, 1]);
    let mut told = 0;
    for port in 0..100 {
        let out = rig.all(header(0, &[0, 1], NONE), syn(flow(port)));
        let (to, flows) = (agent(1), vec![flow(port)]);
        assert_eq!(out[0], Action::Accept);
        assert!(out[1..].is_empty() || out[1] == Action::Notify { to, flows });
        told += out.len() - 1;
    }
    assert!((30..70).contains(&told), "half of the flows are expected");
}
