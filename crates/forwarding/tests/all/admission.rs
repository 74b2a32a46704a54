//! Queue of SYNs that wait until the backend server has capacity.

use std::time::Duration;

use forwarding::{Action, Backend, Event, ForwardSettings, Reason};
use units::Flow;
use wire::{Header, Segment};

use crate::common::{
    Fixture, LOCAL, answer, backend, balancer, data, flow, flow_notices, header, load, resent_syns,
    syn, syn_ack,
};

/// Header of a SYN that has visited every other candidate.
fn last_candidate(priority: u8) -> Header {
    let mut header = header(&[2, LOCAL]);
    header.hop = 1;
    header.hints.least_loaded = Some((1, load(0, 2, 0)));
    header.hints.priority = priority;
    header
}

/// An agent whose backend server has two requests per slot, the maximum.
fn at_capacity() -> Fixture {
    let mut fixture = Fixture::new();
    for port in 1..=4 {
        let action = fixture.packet_action(&last_candidate(1), &syn(flow(port)));
        assert!(matches!(action, Action::Deliver(_)), "{action:?}");
        fixture.outbound(&syn_ack(flow(port), 500));
        fixture.packet(&last_candidate(1), &data(flow(port), 500));
    }
    fixture
}

fn admitted(actions: &[Action]) -> Vec<Flow> {
    let admitted = |action: &Action| match action {
        Action::Admit { flow, .. } => Some(*flow),
        _ => None,
    };
    actions.iter().filter_map(admitted).collect()
}

/// Flows whose SYNs are given up: they go back to the balancer, which alone may refuse them.
fn given_up(actions: &[Action]) -> Vec<Flow> {
    let resets = actions.iter().filter(|a| matches!(a, Action::Reset { .. }));
    assert_eq!(resets.count(), 0, "{actions:?}");
    let given_up = |action: &Action| match action {
        Action::Unplaced {
            to,
            syn,
            reason: Reason::Overloaded,
        } => {
            assert_eq!((*to, &*syn.inner), (balancer(), &b"inner"[..]));
            Some(syn.flow)
        }
        _ => None,
    };
    actions.iter().filter_map(given_up).collect()
}

/// Guards against a queue at the backend server that delays every response, and against a balancer
/// that considers the queued SYN lost and tries another agent.
#[test]
fn syns_are_queued_at_capacity() {
    let mut fixture = at_capacity();
    let actions = fixture.packet(&last_candidate(1), &syn(flow(5)));
    assert_eq!(actions[0], Action::Queue);
    assert_eq!(flow_notices(&actions), [(balancer(), vec![flow(5)])]);
    assert_eq!(fixture.forwarder.load(), load(5, 2, 4));
    let actions = fixture.outbound(&answer(flow(1), 500));
    assert_eq!(admitted(&actions), [flow(5)]);
    assert_eq!(fixture.forwarder.load(), load(4, 2, 5));
}

/// Guards against a flow that is queued twice because its caller retransmits the SYN.
#[test]
fn retransmitted_syns_are_queued_once() {
    let mut fixture = at_capacity();
    fixture.packet(&last_candidate(1), &syn(flow(5)));
    assert_eq!(
        fixture.packet(&last_candidate(1), &syn(flow(5))),
        [Action::Queue]
    );
    assert_eq!(fixture.forwarder.queued_syns(), 1);
    assert_eq!(
        admitted(&fixture.outbound(&answer(flow(1), 500))),
        [flow(5)]
    );
    assert_eq!(admitted(&fixture.outbound(&answer(flow(2), 500))), []);
}

/// Guards against a copy of a queued SYN that the balancer takes for unanswered and sends to another agent,
/// where it opened a flow whose first SYN was then refused (review/11).
#[test]
fn copy_of_a_queued_syn_goes_back_to_the_balancer() {
    let mut fixture = at_capacity();
    fixture.packet(&last_candidate(1), &syn(flow(5)));
    let copy = Segment {
        ack_number: 1,
        ..syn(flow(5))
    };
    let actions = fixture.packet(&last_candidate(1), &copy);
    let [Action::Unplaced { to, syn, reason }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((*to, *reason), (balancer(), Reason::Queued));
    assert_eq!((syn.flow, syn.copy_number), (flow(5), 1));
    assert_eq!(fixture.forwarder.queued_syns(), 1);
}

/// Guards against callers that get no early refusal because a notice was lost or late: the balancer has sent
/// the SYN to a second agent, which passed it on to the one where it waits.
#[test]
fn resent_syn_that_is_queued_already_goes_back_to_the_balancer() {
    let mut fixture = at_capacity();
    fixture.packet(&last_candidate(1), &syn(flow(5)));
    let mut resent = last_candidate(1);
    resent.hints.least_loaded = Some((1, load(1, 2, 0)));
    let action = fixture.packet_action(&resent, &syn(flow(5)));
    let queued = Reason::Queued;
    assert!(
        matches!(action, Action::Unplaced { to, reason, .. } if (to, reason) == (balancer(), queued)),
        "{action:?}"
    );
    // The network duplicated the first one.
    let action = fixture.packet_action(&last_candidate(1), &syn(flow(5)));
    assert_eq!(action, Action::Queue);
}

/// Guards against a refusal by a balancer of an earlier version, which doesn't know of the copies.
#[test]
fn syns_of_earlier_balancers_are_not_refused() {
    let mut fixture = at_capacity();
    let mut header = last_candidate(1);
    header.hints.return_unheld = false;
    fixture.packet(&header, &syn(flow(5)));
    let timeout = ForwardSettings::default().queue_timeout;
    let actions = fixture.advance(u64::try_from(timeout.as_millis()).unwrap());
    assert_eq!(given_up(&actions), []);
    assert_eq!(fixture.forwarder.queued_syns(), 0);
}

/// Guards against responses that are all late under overload because the oldest SYNs are admitted
/// first, and against SYNs that are admitted after ones of lower priority.
#[test]
fn syns_are_admitted_by_priority_then_newest_first() {
    let mut fixture = at_capacity();
    for (port, priority) in [(5, 2), (6, 1), (7, 2), (8, 1)] {
        fixture.packet(&last_candidate(priority), &syn(flow(port)));
    }
    let order: Vec<_> = (1..=4)
        .flat_map(|port| admitted(&fixture.outbound(&answer(flow(port), 500))))
        .collect();
    assert_eq!(order, [8, 6, 7, 5].map(flow));
}

/// Guards against callers that get no answer until their deadline: a queued SYN is given up after the
/// timeout, and is then never delivered.
#[test]
fn queued_syns_are_given_up_after_the_timeout() {
    let mut fixture = at_capacity();
    let timeout = ForwardSettings::default().queue_timeout;
    fixture.packet(&last_candidate(1), &syn(flow(5)));
    let early = fixture.advance(u64::try_from(timeout.as_millis()).unwrap() - 1);
    assert_eq!(given_up(&early), []);
    assert_eq!(given_up(&fixture.advance(1)), [flow(5)]);
    // It is not delivered to the backend server afterwards.
    let later: Vec<_> = (1..=4)
        .flat_map(|port| admitted(&fixture.outbound(&answer(flow(port), 500))))
        .collect();
    assert_eq!(later, []);
    assert_eq!(fixture.forwarder.queued_syns(), 0);
}

/// Guards against SYNs that stay queued for a backend server that is draining or unavailable.
#[test]
fn queued_syns_are_rerouted_when_no_flows_are_accepted() {
    let draining = Backend {
        accepting: false,
        ..backend()
    };
    for next in [Some(draining), None] {
        let mut fixture = at_capacity();
        fixture.packet(&last_candidate(1), &syn(flow(5)));
        let actions = fixture.event(Event::Backend(next));
        let [(to, moved)] = resent_syns(&actions)[..] else {
            panic!("{actions:?}");
        };
        assert_eq!(moved, flow(5));
        assert!(to != LOCAL && to != 2, "visited already: {to}");
        assert_eq!(fixture.forwarder.queued_syns(), 0);
    }
}

/// Guards against unbounded memory use under load: the oldest SYN is evicted with a reset.
#[test]
fn queue_is_bounded() {
    let mut fixture = at_capacity();
    let max = u16::try_from(ForwardSettings::default().max_queued).unwrap();
    for port in 0..max {
        fixture.now += Duration::from_micros(1);
        fixture.packet(&last_candidate(1), &syn(flow(100 + port)));
    }
    let actions = fixture.packet(&last_candidate(1), &syn(flow(5)));
    assert_eq!(given_up(&actions), [flow(100)]);
    assert_eq!(fixture.forwarder.queued_syns(), usize::from(max));
}

/// Guards against a queue time beyond which the caller has no use for a response.
#[test]
fn queue_timeout_follows_the_target_latency() {
    let mut fixture = at_capacity();
    let mut header = last_candidate(1);
    header.hints.latency_target_ms = 120;
    fixture.packet(&header, &syn(flow(5)));
    header.hints.latency_target_ms = 5_000;
    fixture.packet(&header, &syn(flow(6)));
    assert_eq!(given_up(&fixture.advance(239)), []);
    assert_eq!(given_up(&fixture.advance(1)), [flow(5)]);
    assert_eq!(given_up(&fixture.advance(759)), []);
    assert_eq!(given_up(&fixture.advance(1)), [flow(6)]);
}
