//! Tests the handling of packets of open flows.

use std::time::Duration;

use forwarding::{Action, DropReason, Event, Reason};
use units::ServiceId;
use wire::{Header, Segment};

use crate::common::{
    Fixture, LOCAL, address, answer, backend, balancer, candidate, candidate_numbers, data, fin,
    flow, flow_notices, header, load, members, syn, syn_ack, table, target,
};

/// Guards against a packet of a local flow that is forwarded because the balancer's candidate list
/// names another agent first.
#[test]
fn packets_of_a_local_flow_are_delivered() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    let mut misrouted = header(&[4, LOCAL, 5]);
    misrouted.hop = 1;
    let action = fixture.packet_action(&misrouted, &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
}

/// Guards against packets delivered to the wrong one of two backend servers that answered copies of
/// one SYN: the acknowledgement number shows which of them the caller selected.
#[test]
fn packets_of_a_flow_opened_elsewhere_are_forwarded() {
    let mut fixture = Fixture::new();
    fixture.packet_action(&header(&[LOCAL, 2]), &syn(flow(1)));
    fixture.outbound(&syn_ack(flow(1), 500));
    let next = fixture.forwarded_header(&header(&[LOCAL, 2]), &data(flow(1), 900));
    assert_eq!(target(&next), 2);
    let action = fixture.packet_action(&header(&[LOCAL, 2]), &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
}

/// Guards against flows that no balancer finds after it lost its cache: a flow is registered with
/// its home when the caller has confirmed it, and again later, because notices may be lost.
#[test]
fn established_flows_are_registered_with_their_home() {
    let mut fixture = Fixture::new();
    let mut second = header(&[2, LOCAL]);
    second.hop = 1;
    fixture.packet_action(&second, &syn(flow(1)));
    let answered = fixture.outbound(&syn_ack(flow(1), 500));
    assert_eq!(flow_notices(&answered), [(balancer(), vec![flow(1)])]);
    let opened = fixture.packet(&second, &data(flow(1), 500));
    assert!(flow_notices(&opened).contains(&(address(2), vec![flow(1)])));
    let twice = [(address(2), vec![flow(1)]), (address(2), vec![flow(1)])];
    assert_eq!(flow_notices(&fixture.advance(1_000)), twice);
    assert_eq!(flow_notices(&fixture.advance(10_000)), []);
}

/// Guards against a flood of notices: a balancer that knows the owner gets none, another one gets
/// at most one per second.
#[test]
fn notices_to_a_balancer_are_rate_limited() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    fixture.advance(2_000);
    let notices_for = |fixture: &mut Fixture, header: &Header| {
        flow_notices(&fixture.packet(header, &data(flow(1), 500)))
    };
    let owner_unknown = header(&[LOCAL]);
    let expected = [(balancer(), vec![flow(1)])];
    assert_eq!(notices_for(&mut fixture, &owner_unknown), expected);
    assert_eq!(notices_for(&mut fixture, &owner_unknown), []);
    fixture.advance(1_000);
    let mut owner_known = header(&[LOCAL]);
    owner_known.hints.owner_first = true;
    assert_eq!(notices_for(&mut fixture, &owner_known), []);
    assert_eq!(notices_for(&mut fixture, &owner_unknown), expected);
}

/// Guards against packets that search for a flow although this agent knows its owner, and against a
/// redirect that drops candidates: the owner is inserted after this agent, before the others.
#[test]
fn redirect_targets_the_owner() {
    let mut fixture = Fixture::new();
    fixture.notice(5, vec![flow(1)], load(0, 2, 1));
    let next = fixture.forwarded_header(&header(&[LOCAL, 2, 3]), &data(flow(1), 900));
    assert_eq!(
        (target(&next), candidate_numbers(&next)),
        (5, vec![LOCAL, 5, 2, 3])
    );
    assert!(next.is_redirected_at_first_hop());
    // A packet that was redirected here is not redirected again.
    fixture.notice(2, vec![flow(2)], load(0, 2, 1));
    let wrong = header(&[4, 3]).redirected(candidate(LOCAL), Default::default());
    let action = fixture.packet_action(&wrong, &data(flow(2), 900));
    assert_eq!(action, Action::Deliver(Reason::Offer));
}

/// Guards against a delayed notice that redirects a local flow to another agent.
#[test]
fn notice_does_not_redirect_a_local_flow() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    fixture.notice(2, vec![flow(1)], load(0, 2, 1));
    let action = fixture.packet_action(&header(&[LOCAL]), &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
}

/// Guards against open flows that are unknown to their new home after a table change: each is
/// registered there, and again later like every registration.
#[test]
fn flows_are_registered_with_a_new_home() {
    let mut fixture = Fixture::new();
    let flows: Vec<_> = (1..=40).map(flow).collect();
    for flow in &flows {
        fixture.open_flow(*flow);
        fixture.answer_request(*flow);
    }
    fixture.advance(2_000);
    let without_third = members().into_iter().filter(|m| m.packets != address(3));
    let moved = fixture.event(Event::Table(&table(3, without_third.collect())));
    let moved = flow_notices(&moved);
    assert!(moved.iter().all(|(to, _)| *to == address(2)), "{moved:?}");
    let count = moved.iter().map(|(_, flows)| flows.len()).sum::<usize>();
    assert!(count > 0 && count < flows.len());
    let again: usize = flow_notices(&fixture.advance(1_000))
        .iter()
        .map(|(_, f)| f.len())
        .sum();
    assert_eq!(again, 2 * count);
}

/// Guards against an older table that replaces a newer one.
#[test]
fn older_tables_are_ignored() {
    let mut fixture = Fixture::new();
    fixture.event(Event::Table(&table(7, members())));
    fixture.event(Event::Table(&table(6, vec![])));
    assert_eq!(fixture.forwarder.epoch(), 7);
}

/// Guards against last packets of a flow that find no owner, and against a leak of the state of
/// ended flows: it is kept for 2 s after both sides sent a FIN.
#[test]
fn ended_flows_are_kept_for_two_seconds() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    fixture.answer_request(flow(1));
    fixture.packet(&header(&[LOCAL]), &fin(flow(1), 500));
    assert_eq!(
        fixture.forwarder.load().open,
        1,
        "only the caller has sent a FIN"
    );
    let last = Segment {
        fin: true,
        ..answer(flow(1), 500)
    };
    fixture.outbound(&last);
    assert_eq!(
        (
            fixture.forwarder.load().open,
            fixture.forwarder.flow_count()
        ),
        (0, 1)
    );
    let action = fixture.packet_action(&header(&[LOCAL]), &fin(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
    fixture.advance(3_000);
    assert_eq!(fixture.forwarder.flow_count(), 0);
}

/// Guards against a caller that reuses its port and gets no new flow.
#[test]
fn port_can_be_reused_after_a_reset() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    let reset = Segment {
        rst: true,
        ..answer(flow(1), 500)
    };
    fixture.outbound(&reset);
    let action = fixture.packet_action(&header(&[LOCAL]), &syn(flow(1)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
    assert_eq!(fixture.forwarder.load().open, 1);
}

/// Guards against a leak of the state of flows whose caller disappeared.
#[test]
fn idle_flows_expire() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    fixture.answer_request(flow(1));
    fixture.advance(29_000);
    assert_eq!(fixture.forwarder.flow_count(), 1);
    fixture.advance(2_000);
    assert_eq!(
        (fixture.forwarder.flow_count(), fixture.forwarder.load()),
        (0, load(0, 2, 0))
    );
}

/// Guards against packets delivered to a backend server of another service, and against packets of
/// a kind that only backend servers send.
#[test]
fn foreign_packets_are_dropped() {
    let mut fixture = Fixture::new();
    let mut other = header(&[LOCAL]);
    other.service = ServiceId(9);
    let dropped = Action::Drop(DropReason::OtherService);
    assert_eq!(fixture.packet_action(&other, &syn(flow(1))), dropped);
    let dropped = Action::Drop(DropReason::WrongWay);
    assert_eq!(
        fixture.packet_action(&header(&[LOCAL]), &syn_ack(flow(1), 500)),
        dropped
    );
    let mut bare = Fixture::without_backend();
    bare.forwarder = forwarding::Forwarder::new(
        forwarding::ForwardSettings::default(),
        candidate(LOCAL),
        bare.now,
    );
    let dropped = Action::Drop(DropReason::NoService);
    assert_eq!(
        bare.packet_action(&header(&[LOCAL]), &syn(flow(1))),
        dropped
    );
}

/// Guards against replies that are not sent to their caller, including those of flows that this
/// agent doesn't know: it learns the flow from the reply.
#[test]
fn replies_are_always_sent_to_the_caller() {
    let mut fixture = Fixture::with_backend(
        forwarding::Backend {
            predates_agent: true,
            ..backend()
        },
        members(),
    );
    for port in 1..20 {
        let actions = fixture.outbound(&answer(flow(port), 500));
        assert_eq!(actions[0], Action::Reply);
        let action = fixture.packet_action(&header(&[LOCAL]), &data(flow(port), 500));
        assert_eq!(action, Action::Deliver(Reason::Held));
    }
    let homes = flow_notices(&fixture.advance(1_000));
    assert!(
        homes
            .iter()
            .all(|(to, _)| *to == address(2) || *to == address(3))
    );
    assert!(
        !homes.is_empty(),
        "learned flows are registered with their homes"
    );
}

/// Guards against requests that never end because sequence numbers wrap around.
#[test]
fn sequence_numbers_wrap_around() {
    let mut fixture = Fixture::new();
    let at = u32::MAX - 2;
    fixture.packet_action(&header(&[LOCAL]), &syn(flow(1)));
    fixture.outbound(&syn_ack(flow(1), at));
    fixture.packet(&header(&[LOCAL]), &data(flow(1), at));
    let first = answer(flow(1), at);
    fixture.outbound(&first);
    assert_eq!(fixture.forwarder.load().busy, 0);
    let request = Segment {
        seq: 111,
        ack_number: at.wrapping_add(11),
        ..data(flow(1), 0)
    };
    fixture.packet(&header(&[LOCAL]), &request);
    assert_eq!(fixture.forwarder.load().busy, 1);
    let second = Segment {
        seq: at.wrapping_add(11),
        ..first
    };
    fixture.outbound(&second);
    assert_eq!(fixture.forwarder.load().busy, 0);
}

/// Guards against counting a retransmitted request as in progress although it was answered: it
/// would occupy a slot for nothing.
#[test]
fn retransmitted_requests_occupy_no_slot() {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    fixture.answer_request(flow(1));
    fixture.now += Duration::from_millis(50);
    let action = fixture.packet_action(&header(&[LOCAL]), &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
    assert_eq!(fixture.forwarder.load().busy, 0);
}
