//! Placement of new flows.

use forwarding::{Action, Backend, DropReason, Event, Reason};
use wire::Flags;

use crate::common::{
    ME, Rig, backend, fin, flow, header, load, member, members, places, resent, syn, syn_ack,
    target,
};

const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};

fn full() -> Rig {
    let mut rig = Rig::new();
    rig.open(flow(1));
    rig.open(flow(2));
    rig
}

/// Guards against a SYN that goes on although a slot is free here.
#[test]
fn a_free_slot_takes_the_syn() {
    let mut rig = Rig::new();
    let action = rig.first(&header(&[ME, 2, 3]), &syn(flow(1)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
    assert_eq!(rig.agent.load(), load(1, 2, 1));
}

/// Guards against a queue at one backend server while others are idle: a SYN visits every candidate
/// before one without a free slot takes it, and then the one with the lowest load does.
#[test]
fn a_syn_looks_for_a_free_slot() {
    let mut rig = full();
    let next = rig.passed(&header(&[ME, 2, 3]), &syn(flow(3)));
    assert_eq!(target(&next), 2);
    assert_eq!(next.hints.least_loaded, Some((0, load(2, 2, 2))));
    // The last candidate of a list sends it to the lightest.
    let mut last = header(&[4, 5, ME]);
    last.hop = 2;
    last.hints.least_loaded = Some((1, load(1, 2, 1)));
    let back = rig.passed(&last, &syn(flow(3)));
    assert_eq!((target(&back), back.flags), (5, ACCEPT));
    last.hints.least_loaded = Some((1, load(5, 2, 9)));
    let action = rig.first(&last, &syn(flow(3)));
    assert_eq!(action, Action::Deliver(Reason::Lightest));
}

/// Guards against a SYN that circles: the lightest candidate takes it without a further look.
#[test]
fn the_lightest_candidate_accepts() {
    let mut rig = full();
    let mut chosen = header(&[4, ME, 3]);
    chosen.hop = 1;
    chosen.flags = ACCEPT;
    let action = rig.first(&chosen, &syn(flow(3)));
    assert_eq!(action, Action::Deliver(Reason::Lightest));
}

/// Guards against new flows at a backend server that is about to leave, and against a refusal while
/// other members take work: the SYN visits every member of the table once.
#[test]
fn a_draining_backend_server_gets_no_flows() {
    let draining = Backend {
        accepts: false,
        ..backend()
    };
    let mut rig = Rig::with(draining, members());
    let mut visited = vec![ME];
    let mut at = header(&[ME]);
    for _ in 2..=5 {
        at = rig.passed(&at, &syn(flow(1)));
        assert!(!visited.contains(&target(&at)));
        visited.push(target(&at));
    }
    // Members of the own data centre come first.
    assert!(visited[1..3].iter().all(|n| *n <= 3), "{visited:?}");
    assert!(matches!(
        rig.first(&at, &syn(flow(1))),
        Action::Reset {
            seq: 0,
            reason: Reason::NoCandidate,
            ..
        }
    ));
}

/// Guards against refusals that are not true: when everything starts at once, backend servers that
/// aren't known yet may take the flow.
#[test]
fn nothing_is_refused_shortly_after_the_start() {
    let mut rig = Rig::bare();
    rig.now -= std::time::Duration::from_millis(8_501);
    let action = rig.first(&header(&[ME]), &syn(flow(1)));
    assert_eq!(action, Action::Drop(DropReason::Unsettled));
    rig.after(1);
    let action = rig.first(&header(&[ME]), &syn(flow(1)));
    assert!(matches!(action, Action::Reset { .. }));
}

/// Guards against a backend server with many more open flows than its siblings: with a free slot
/// everywhere, the new flow goes to the one with the fewest.
#[test]
fn open_flows_are_balanced() {
    let mut rig = Rig::new();
    for port in 1..=6 {
        rig.open(flow(port));
        rig.serve(flow(port));
    }
    rig.notice(2, vec![], load(0, 2, 5));
    rig.notice(3, vec![], load(0, 2, 1));
    let next = rig.passed(&header(&[ME, 2]), &syn(flow(7)));
    assert_eq!((target(&next), places(&next)), (3, vec![ME, 3, 2]));
    // The flow sent there counts, and a sibling that passed a SYN on had a reason.
    let mut second = header(&[2, ME]);
    second.hop = 1;
    let action = rig.first(&second, &syn(flow(8)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against flows sent to a sibling because of a load that is no longer true.
#[test]
fn old_loads_are_not_used() {
    let mut rig = Rig::new();
    for port in 1..=6 {
        rig.open(flow(port));
        rig.serve(flow(port));
    }
    rig.notice(3, vec![], load(0, 2, 0));
    rig.after(2_000);
    let action = rig.first(&header(&[ME, 2]), &syn(flow(7)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against bytes between data centres that a small difference doesn't justify.
#[test]
fn a_far_sibling_needs_a_larger_difference() {
    let far = |open| {
        let mut rig = Rig::with(backend(), vec![member(ME, "a"), member(4, "b")]);
        for port in 1..=open {
            rig.open(flow(port));
            rig.serve(flow(port));
        }
        rig.notice(4, vec![], load(0, 2, 2));
        rig.first(&header(&[ME]), &syn(flow(99)))
    };
    // One flow per slot there, 1.5 times that plus one here.
    assert_eq!(far(4), Action::Deliver(Reason::FreeSlot));
    assert!(matches!(far(5), Action::Forward(_, Reason::Unbalanced)));
}

/// Guards against a dead backend server that swallows SYNs until its reports are missed: one that
/// doesn't answer a SYN within 25 ms gets no more until it is heard again.
#[test]
fn an_unanswered_syn_goes_on() {
    let mut rig = Rig::new();
    rig.first(&header(&[ME, 2, 3]), &syn(flow(1)));
    assert_eq!(resent(&rig.after(24)), []);
    assert_eq!(resent(&rig.after(1)), [(2, flow(1))]);
    assert_eq!(target(&rig.passed(&header(&[ME, 2]), &syn(flow(2)))), 2);
    rig.replies(&syn_ack(flow(1), 500));
    let action = rig.first(&header(&[ME, 2]), &syn(flow(3)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against an answered SYN that is opened at a second backend server, which costs the
/// operators a connection and the first one a slot.
#[test]
fn an_answered_syn_stays() {
    let mut rig = Rig::new();
    rig.first(&header(&[ME, 2, 3]), &syn(flow(1)));
    rig.replies(&syn_ack(flow(1), 500));
    assert_eq!(resent(&rig.after(1_000)), []);
}

/// Guards against a declined SYN that the caller waits for in vain.
#[test]
fn a_returned_syn_goes_on() {
    let mut rig = Rig::new();
    rig.first(&header(&[ME, 2, 3]), &syn(flow(1)));
    let back = rig.returned(&syn(flow(1)));
    assert!(
        matches!(&back[..], [Action::Forward(header, Reason::Returned)] if target(header) == 2),
        "{back:?}"
    );
    assert_eq!(rig.agent.load(), load(0, 2, 0));
    assert_eq!(resent(&rig.after(100)), []);
}

/// Guards against a caller's copy of a SYN that opens a second flow, or goes elsewhere.
#[test]
fn a_copy_of_a_syn_goes_to_the_same_backend_server() {
    let mut rig = full();
    for _ in 0..2 {
        let action = rig.first(&header(&[ME, 2]), &syn(flow(1)));
        assert_eq!(action, Action::Deliver(Reason::Held));
    }
    assert_eq!(rig.agent.load(), load(2, 2, 2));
}

/// Guards against slots that stay taken: an accepted flow keeps one until its request arrives or
/// 100 ms pass, a request until it is answered, the flow ends or its client gave up.
#[test]
fn slots_are_given_back() {
    let mut rig = Rig::new();
    rig.first(&header(&[ME, 2]), &syn(flow(1)));
    rig.replies(&syn_ack(flow(1), 500));
    rig.after(99);
    assert_eq!(rig.agent.load().busy, 1);
    rig.after(1);
    assert_eq!(rig.agent.load(), load(0, 2, 1));
    rig.open(flow(2));
    rig.after(200);
    assert_eq!(rig.agent.load().busy, 1, "a request in progress");
    rig.serve(flow(2));
    assert_eq!(rig.agent.load().busy, 0);
    rig.open(flow(3));
    let reset = wire::Segment {
        rst: true,
        ..fin(flow(3), 500)
    };
    rig.packet(&header(&[ME]), &reset);
    assert_eq!(rig.agent.load(), load(0, 2, 2));
    rig.open(flow(4));
    rig.after(4_000);
    assert_eq!(rig.agent.load().busy, 0, "its answer is long overdue");
}

/// Guards against more open flows than the profile allows.
#[test]
fn the_limit_of_open_flows_holds() {
    let mut rig = Rig::new();
    rig.event(Event::Service {
        id: crate::common::SERVICE,
        centre: crate::common::centre("a"),
        limit: 1,
        idle: std::time::Duration::from_secs(30),
    });
    rig.open(flow(1));
    rig.serve(flow(1));
    let next = rig.passed(&header(&[ME, 2]), &syn(flow(2)));
    assert_eq!(target(&next), 2);
}
