//! Tests the placement of new flows.

use forwarding::{Action, Backend, DropReason, Event, Reason};
use wire::Flags;

use crate::common::{
    Fixture, LOCAL, backend, balancer, candidate_numbers, fin, flow, header, load, member, members,
    resent_syns, syn, syn_ack, target,
};

const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};

fn all_slots_busy() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.open_flow(flow(1));
    fixture.open_flow(flow(2));
    fixture
}

/// Asserts that a SYN goes back to the balancer, as no candidate accepts it.
fn assert_not_placed(action: &Action) {
    let Action::Unplaced { to, syn, reason } = action else {
        panic!("{action:?}");
    };
    assert_eq!((*to, *reason), (balancer(), Reason::NoCandidate));
    assert_eq!((syn.flow, &*syn.inner), (flow(1), &b"inner"[..]));
}

/// Guards against a SYN that is forwarded although a slot is free here.
#[test]
fn syn_is_delivered_to_a_free_slot() {
    let mut fixture = Fixture::new();
    let action = fixture.packet_action(&header(&[LOCAL, 2, 3]), &syn(flow(1)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
    assert_eq!(fixture.forwarder.load(), load(1, 2, 1));
}

/// Guards against a queue at one backend server while others are idle: a SYN visits every candidate
/// before one without a free slot accepts it, and then the one with the lowest load does.
#[test]
fn syn_visits_candidates_until_a_slot_is_free() {
    let mut fixture = all_slots_busy();
    let next = fixture.forwarded_header(&header(&[LOCAL, 2, 3]), &syn(flow(3)));
    assert_eq!(target(&next), 2);
    assert_eq!(next.hints.least_loaded, Some((0, load(2, 2, 2))));
    // The last candidate of the list forwards it to the one with the lowest load.
    let mut last = header(&[4, 5, LOCAL]);
    last.hop = 2;
    last.hints.least_loaded = Some((1, load(1, 2, 1)));
    let back = fixture.forwarded_header(&last, &syn(flow(3)));
    assert_eq!((target(&back), back.flags), (5, ACCEPT));
    last.hints.least_loaded = Some((1, load(5, 2, 9)));
    let action = fixture.packet_action(&last, &syn(flow(3)));
    assert_eq!(action, Action::Deliver(Reason::Lightest));
}

/// Guards against a SYN that circulates: the candidate with the lowest load accepts it without
/// comparing loads again.
#[test]
fn candidate_with_the_lowest_load_accepts() {
    let mut fixture = all_slots_busy();
    let mut chosen = header(&[4, LOCAL, 3]);
    chosen.hop = 1;
    chosen.flags = ACCEPT;
    let action = fixture.packet_action(&chosen, &syn(flow(3)));
    assert_eq!(action, Action::Deliver(Reason::Lightest));
}

/// Guards against new flows at a draining backend server, and against a refusal while other members
/// accept flows: the SYN visits every member of the table once.
#[test]
fn draining_backend_server_gets_no_flows() {
    let draining = Backend {
        accepting: false,
        ..backend()
    };
    let mut fixture = Fixture::with_backend(draining, members());
    let mut visited = vec![LOCAL];
    let mut at = header(&[LOCAL]);
    for _ in 2..=5 {
        at = fixture.forwarded_header(&at, &syn(flow(1)));
        assert!(!visited.contains(&target(&at)));
        visited.push(target(&at));
    }
    // Members of the local data centre come first.
    assert!(visited[1..3].iter().all(|n| *n <= 3), "{visited:?}");
    assert_not_placed(&fixture.packet_action(&at, &syn(flow(1))));
}

/// Guards against wrong refusals when all processes start at the same time: backend servers that
/// aren't known yet may accept the flow.
#[test]
fn no_syn_is_refused_shortly_after_startup() {
    let mut fixture = Fixture::without_backend();
    fixture.now -= std::time::Duration::from_millis(8_501);
    let action = fixture.packet_action(&header(&[LOCAL]), &syn(flow(1)));
    assert_eq!(action, Action::Drop(DropReason::Unsettled));
    fixture.advance(1);
    let action = fixture.packet_action(&header(&[LOCAL]), &syn(flow(1)));
    assert_not_placed(&action);
}

/// Guards against a backend server with many more open flows than its siblings: if all have a free
/// slot, a new flow goes to the one with the fewest.
#[test]
fn open_flows_are_balanced() {
    let mut fixture = Fixture::new();
    for port in 1..=6 {
        fixture.open_flow(flow(port));
        fixture.answer_request(flow(port));
    }
    fixture.notice(2, vec![], load(0, 2, 5));
    fixture.notice(3, vec![], load(0, 2, 1));
    let next = fixture.forwarded_header(&header(&[LOCAL, 2]), &syn(flow(7)));
    assert_eq!(
        (target(&next), candidate_numbers(&next)),
        (3, vec![LOCAL, 3, 2])
    );
    // The forwarded flow is added to the sibling's load, and only the first candidate compares loads.
    let mut second = header(&[2, LOCAL]);
    second.hop = 1;
    let action = fixture.packet_action(&second, &syn(flow(8)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against flows sent to a sibling because of an outdated load.
#[test]
fn outdated_loads_are_ignored() {
    let mut fixture = Fixture::new();
    for port in 1..=6 {
        fixture.open_flow(flow(port));
        fixture.answer_request(flow(port));
    }
    fixture.notice(3, vec![], load(0, 2, 0));
    fixture.advance(2_000);
    let action = fixture.packet_action(&header(&[LOCAL, 2]), &syn(flow(7)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against cross-centre traffic that a small load difference doesn't justify.
#[test]
fn remote_sibling_needs_a_larger_difference() {
    let action_with = |open| {
        let mut fixture =
            Fixture::with_backend(backend(), vec![member(LOCAL, "a"), member(4, "b")]);
        for port in 1..=open {
            fixture.open_flow(flow(port));
            fixture.answer_request(flow(port));
        }
        fixture.notice(4, vec![], load(0, 2, 2));
        fixture.packet_action(&header(&[LOCAL]), &syn(flow(99)))
    };
    // The sibling has one flow per slot; the threshold here is 1.5 times that plus one.
    assert_eq!(action_with(4), Action::Deliver(Reason::FreeSlot));
    assert!(matches!(
        action_with(5),
        Action::Forward(_, Reason::Unbalanced)
    ));
}

/// Guards against a crashed backend server that gets SYNs until the timeout of its reports: one
/// that doesn't answer a SYN within 25 ms gets no more until it sends something.
#[test]
fn unanswered_syn_is_resent() {
    let mut fixture = Fixture::new();
    fixture.packet_action(&header(&[LOCAL, 2, 3]), &syn(flow(1)));
    assert_eq!(resent_syns(&fixture.advance(24)), []);
    assert_eq!(resent_syns(&fixture.advance(1)), [(2, flow(1))]);
    assert_eq!(
        target(&fixture.forwarded_header(&header(&[LOCAL, 2]), &syn(flow(2)))),
        2
    );
    fixture.outbound(&syn_ack(flow(1), 500));
    let action = fixture.packet_action(&header(&[LOCAL, 2]), &syn(flow(3)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against the refusal of a SYN that a slow backend server still answers: the one that is sent on is
/// marked as a copy.
#[test]
fn resent_syn_is_marked_as_a_copy() {
    let mut fixture = Fixture::new();
    fixture.packet_action(&header(&[LOCAL, 2, 3]), &syn(flow(1)));
    let actions = fixture.advance(25);
    let mut resent = actions.iter().filter_map(|action| match action {
        Action::Resend { header, .. } => Some(header),
        _ => None,
    });
    assert!(resent.next().unwrap().hints.owner_uncertain);
    assert_eq!(resent.next(), None);
}

/// Guards against an answered SYN that is resent to a second backend server, which wastes a
/// connection there and a slot at the first.
#[test]
fn answered_syn_is_not_resent() {
    let mut fixture = Fixture::new();
    fixture.packet_action(&header(&[LOCAL, 2, 3]), &syn(flow(1)));
    fixture.outbound(&syn_ack(flow(1), 500));
    assert_eq!(resent_syns(&fixture.advance(1_000)), []);
}

/// Guards against a SYN that is lost because the backend server returned it.
#[test]
fn returned_syn_is_forwarded() {
    let mut fixture = Fixture::new();
    fixture.packet_action(&header(&[LOCAL, 2, 3]), &syn(flow(1)));
    let back = fixture.returned(&syn(flow(1)));
    assert!(
        matches!(&back[..], [Action::Forward(header, Reason::Returned)] if target(header) == 2),
        "{back:?}"
    );
    assert_eq!(fixture.forwarder.load(), load(0, 2, 0));
    assert_eq!(resent_syns(&fixture.advance(100)), []);
}

/// Guards against a retransmitted SYN that opens a second flow or is forwarded.
#[test]
fn retransmitted_syn_goes_to_the_same_backend_server() {
    let mut fixture = all_slots_busy();
    for _ in 0..2 {
        let action = fixture.packet_action(&header(&[LOCAL, 2]), &syn(flow(1)));
        assert_eq!(action, Action::Deliver(Reason::Held));
    }
    assert_eq!(fixture.forwarder.load(), load(2, 2, 2));
}

/// Guards against leaked slots: an accepted flow reserves one until its request arrives or 100 ms
/// pass; a request occupies one until it is answered, the flow ends or the request times out.
#[test]
fn slots_are_released() {
    let mut fixture = Fixture::new();
    fixture.packet_action(&header(&[LOCAL, 2]), &syn(flow(1)));
    fixture.outbound(&syn_ack(flow(1), 500));
    fixture.advance(99);
    assert_eq!(fixture.forwarder.load().busy, 1);
    fixture.advance(1);
    assert_eq!(fixture.forwarder.load(), load(0, 2, 1));
    fixture.open_flow(flow(2));
    fixture.advance(200);
    assert_eq!(fixture.forwarder.load().busy, 1, "a request in progress");
    fixture.answer_request(flow(2));
    assert_eq!(fixture.forwarder.load().busy, 0);
    fixture.open_flow(flow(3));
    let reset = wire::Segment {
        rst: true,
        ..fin(flow(3), 500)
    };
    fixture.packet(&header(&[LOCAL]), &reset);
    assert_eq!(fixture.forwarder.load(), load(0, 2, 2));
    fixture.open_flow(flow(4));
    fixture.advance(4_000);
    assert_eq!(fixture.forwarder.load().busy, 0, "the request timed out");
}

/// Guards against more open flows than the profile allows.
#[test]
fn open_flow_limit_is_enforced() {
    let mut fixture = Fixture::new();
    fixture.event(Event::Service {
        id: crate::common::SERVICE,
        centre: crate::common::centre("a"),
        limit: 1,
        idle: std::time::Duration::from_secs(30),
    });
    fixture.open_flow(flow(1));
    fixture.answer_request(flow(1));
    let next = fixture.forwarded_header(&header(&[LOCAL, 2]), &syn(flow(2)));
    assert_eq!(target(&next), 2);
}
