//! SYNs that wait for a place at the backend server.

use std::time::Duration;

use forwarding::{Action, Backend, Event, ForwardSettings, Reason};
use units::Flow;
use wire::Header;

use crate::common::{
    ME, Rig, answer, backend, balancer, data, flow, header, load, resent, syn, syn_ack, told,
};

/// Header of a SYN that has visited every other candidate.
fn last(priority: u8) -> Header {
    let mut header = header(&[2, ME]);
    header.hop = 1;
    header.hints.least_loaded = Some((1, load(0, 2, 0)));
    header.hints.priority = priority;
    header
}

/// An agent whose backend server has two requests a slot.
fn loaded() -> Rig {
    let mut rig = Rig::new();
    for port in 1..=4 {
        let action = rig.first(&last(1), &syn(flow(port)));
        assert!(matches!(action, Action::Deliver(_)), "{action:?}");
        rig.replies(&syn_ack(flow(port), 500));
        rig.packet(&last(1), &data(flow(port), 500));
    }
    rig
}

fn admitted(actions: &[Action]) -> Vec<Flow> {
    let admitted = |action: &Action| match action {
        Action::Admit { flow, .. } => Some(*flow),
        _ => None,
    };
    actions.iter().filter_map(admitted).collect()
}

fn refused(actions: &[Action]) -> Vec<Flow> {
    let refused = |action: &Action| match action {
        Action::Reset {
            flow,
            seq: 0,
            reason: Reason::Overloaded,
        } => Some(*flow),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

/// Guards against a queue at the backend server that makes every answer late, and against a balancer
/// that takes the wait for a lost SYN and tries another agent.
#[test]
fn a_loaded_backend_server_gets_no_further_request() {
    let mut rig = loaded();
    let actions = rig.packet(&last(1), &syn(flow(5)));
    assert_eq!(actions[0], Action::Hold);
    assert_eq!(told(&actions), [(balancer(), vec![flow(5)])]);
    assert_eq!(rig.agent.load(), load(5, 2, 4));
    let actions = rig.replies(&answer(flow(1), 500));
    assert_eq!(admitted(&actions), [flow(5)]);
    assert_eq!(rig.agent.load(), load(4, 2, 5));
}

/// Guards against a second place for one flow: a caller repeats its SYN while it waits.
#[test]
fn copies_of_a_syn_share_its_place() {
    let mut rig = loaded();
    rig.packet(&last(1), &syn(flow(5)));
    assert_eq!(rig.packet(&last(1), &syn(flow(5))), [Action::Hold]);
    assert_eq!(rig.agent.waits(), 1);
    assert_eq!(admitted(&rig.replies(&answer(flow(1), 500))), [flow(5)]);
    assert_eq!(admitted(&rig.replies(&answer(flow(2), 500))), []);
}

/// Guards against answers that are all late under overload because the oldest are served first, and
/// against urgent requests behind others.
#[test]
fn the_newest_of_the_most_urgent_goes_first() {
    let mut rig = loaded();
    for (port, priority) in [(5, 2), (6, 1), (7, 2), (8, 1)] {
        rig.packet(&last(priority), &syn(flow(port)));
    }
    let order: Vec<_> = (1..=4)
        .flat_map(|port| admitted(&rig.replies(&answer(flow(port), 500))))
        .collect();
    assert_eq!(order, [8, 6, 7, 5].map(flow));
}

/// Guards against callers that hear nothing until their deadline: after the longest wait they are
/// told, and what they are told is true.
#[test]
fn a_wait_ends_with_an_answer() {
    let mut rig = loaded();
    let patience = ForwardSettings::default().most_patience;
    rig.packet(&last(1), &syn(flow(5)));
    let early = rig.after(u64::try_from(patience.as_millis()).unwrap() - 1);
    assert_eq!(refused(&early), []);
    assert_eq!(refused(&rig.after(1)), [flow(5)]);
    // It is not given to the backend server afterwards.
    let later: Vec<_> = (1..=4)
        .flat_map(|port| admitted(&rig.replies(&answer(flow(port), 500))))
        .collect();
    assert_eq!(later, []);
    assert_eq!(rig.agent.waits(), 0);
}

/// Guards against SYNs that wait at a backend server that is about to leave or has gone.
#[test]
fn who_waits_goes_elsewhere_when_no_flows_are_taken() {
    let draining = Backend {
        accepts: false,
        ..backend()
    };
    for next in [Some(draining), None] {
        let mut rig = loaded();
        rig.packet(&last(1), &syn(flow(5)));
        let actions = rig.event(Event::Backend(next));
        let [(to, moved)] = resent(&actions)[..] else {
            panic!("{actions:?}");
        };
        assert_eq!(moved, flow(5));
        assert!(to != ME && to != 2, "visited already: {to}");
        assert_eq!(rig.agent.waits(), 0);
    }
}

/// Guards against memory that grows with the load: the oldest makes room, and is told.
#[test]
fn the_list_is_bounded() {
    let mut rig = loaded();
    let most = u16::try_from(ForwardSettings::default().waiting).unwrap();
    for port in 0..most {
        rig.now += Duration::from_micros(1);
        rig.packet(&last(1), &syn(flow(100 + port)));
    }
    let actions = rig.packet(&last(1), &syn(flow(5)));
    assert_eq!(refused(&actions), [flow(100)]);
    assert_eq!(rig.agent.waits(), usize::from(most));
}

/// Guards against a wait that outlasts the caller's use for an answer.
#[test]
fn the_wait_follows_what_the_route_wants() {
    let mut rig = loaded();
    let mut wanted = last(1);
    wanted.hints.latency_target_ms = 120;
    rig.packet(&wanted, &syn(flow(5)));
    wanted.hints.latency_target_ms = 5_000;
    rig.packet(&wanted, &syn(flow(6)));
    assert_eq!(refused(&rig.after(239)), []);
    assert_eq!(refused(&rig.after(1)), [flow(5)]);
    assert_eq!(refused(&rig.after(759)), []);
    assert_eq!(refused(&rig.after(1)), [flow(6)]);
}
