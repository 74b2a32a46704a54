//! Packets of open flows.

use std::time::Duration;

use forwarding::{Action, DropReason, Event, Reason};
use units::ServiceId;
use wire::{Header, Segment};

use crate::common::{
    ME, Rig, address, answer, backend, balancer, candidate, data, fin, flow, header, load, members,
    places, syn, syn_ack, table, target, told,
};

/// Guards against a packet of a held flow that goes anywhere else, whatever the balancer believed.
#[test]
fn a_held_flow_is_delivered() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    let mut odd = header(&[4, ME, 5]);
    odd.hop = 1;
    let action = rig.first(&odd, &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
}

/// Guards against two backend servers that both answered a copy of one SYN: the number that the
/// caller acknowledges says which of them it chose.
#[test]
fn a_flow_that_opened_elsewhere_is_passed_on() {
    let mut rig = Rig::new();
    rig.first(&header(&[ME, 2]), &syn(flow(1)));
    rig.replies(&syn_ack(flow(1), 500));
    let next = rig.passed(&header(&[ME, 2]), &data(flow(1), 900));
    assert_eq!(target(&next), 2);
    let action = rig.first(&header(&[ME, 2]), &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
}

/// Guards against flows that no balancer finds once its cache is gone: the home is told when the
/// caller confirmed the flow, and again, because notices get lost.
#[test]
fn the_home_is_told_the_owner() {
    let mut rig = Rig::new();
    let mut away = header(&[2, ME]);
    away.hop = 1;
    rig.first(&away, &syn(flow(1)));
    let answered = rig.replies(&syn_ack(flow(1), 500));
    assert_eq!(told(&answered), [(balancer(), vec![flow(1)])]);
    let opened = rig.packet(&away, &data(flow(1), 500));
    assert!(told(&opened).contains(&(address(2), vec![flow(1)])));
    let twice = [(address(2), vec![flow(1)]), (address(2), vec![flow(1)])];
    assert_eq!(told(&rig.after(1_000)), twice);
    assert_eq!(told(&rig.after(10_000)), []);
}

/// Guards against notices that flood the network: a balancer that knows the owner gets none, one
/// that doesn't gets one a second.
#[test]
fn a_balancer_is_told_once_a_second() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    rig.after(2_000);
    let told_by = |rig: &mut Rig, header: &Header| told(&rig.packet(header, &data(flow(1), 500)));
    let unsure = header(&[ME]);
    let expected = [(balancer(), vec![flow(1)])];
    assert_eq!(told_by(&mut rig, &unsure), expected);
    assert_eq!(told_by(&mut rig, &unsure), []);
    rig.after(1_000);
    let mut sure = header(&[ME]);
    sure.hints.owner_first = true;
    assert_eq!(told_by(&mut rig, &sure), []);
    assert_eq!(told_by(&mut rig, &unsure), expected);
}

/// Guards against packets that search for a flow although its owner told this agent, and against a
/// redirect that hides the way back: the owner comes right after this agent, the rest follows.
#[test]
fn a_redirect_leads_to_the_owner() {
    let mut rig = Rig::new();
    rig.notice(5, vec![flow(1)], load(0, 2, 1));
    let next = rig.passed(&header(&[ME, 2, 3]), &data(flow(1), 900));
    assert_eq!((target(&next), places(&next)), (5, vec![ME, 5, 2, 3]));
    assert!(next.is_redirected_at_first_hop());
    // A packet that was redirected here is not redirected again.
    rig.notice(2, vec![flow(2)], load(0, 2, 1));
    let wrong = header(&[4, 3]).redirected(candidate(ME), Default::default());
    let action = rig.first(&wrong, &data(flow(2), 900));
    assert_eq!(action, Action::Deliver(Reason::Offer));
}

/// Guards against a notice that comes late and takes a flow away from where it is held.
#[test]
fn a_notice_does_not_move_a_held_flow() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    rig.notice(2, vec![flow(1)], load(0, 2, 1));
    let action = rig.first(&header(&[ME]), &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
}

/// Guards against open flows that lose their home when the table changes: the new home is told,
/// each flow once, and repeated like every registration.
#[test]
fn moved_homes_are_told() {
    let mut rig = Rig::new();
    let flows: Vec<_> = (1..=40).map(flow).collect();
    for flow in &flows {
        rig.open(*flow);
        rig.serve(*flow);
    }
    rig.after(2_000);
    let without_third = members().into_iter().filter(|m| m.packets != address(3));
    let moved = rig.event(Event::Table(&table(3, without_third.collect())));
    let moved = told(&moved);
    assert!(moved.iter().all(|(to, _)| *to == address(2)), "{moved:?}");
    let count = moved.iter().map(|(_, flows)| flows.len()).sum::<usize>();
    assert!(count > 0 && count < flows.len());
    let again: usize = told(&rig.after(1_000)).iter().map(|(_, f)| f.len()).sum();
    assert_eq!(again, 2 * count);
}

/// Guards against an older table that undoes a newer one.
#[test]
fn tables_only_go_forward() {
    let mut rig = Rig::new();
    rig.event(Event::Table(&table(7, members())));
    rig.event(Event::Table(&table(6, vec![])));
    assert_eq!(rig.agent.epoch(), 7);
}

/// Guards against the last packets of a flow that find no owner, and against records of ended flows
/// that stay: both sides finished, the record lingers for 2 s.
#[test]
fn an_ended_flow_lingers() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    rig.serve(flow(1));
    rig.packet(&header(&[ME]), &fin(flow(1), 500));
    assert_eq!(rig.agent.load().open, 1, "half of it is open");
    let last = Segment {
        fin: true,
        ..answer(flow(1), 500)
    };
    rig.replies(&last);
    assert_eq!((rig.agent.load().open, rig.agent.held()), (0, 1));
    let action = rig.first(&header(&[ME]), &fin(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
    rig.after(3_000);
    assert_eq!(rig.agent.held(), 0);
}

/// Guards against a caller that uses its port again and gets no new flow.
#[test]
fn an_ended_flow_opens_again() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    let reset = Segment {
        rst: true,
        ..answer(flow(1), 500)
    };
    rig.replies(&reset);
    let action = rig.first(&header(&[ME]), &syn(flow(1)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
    assert_eq!(rig.agent.load().open, 1);
}

/// Guards against records of flows whose caller vanished.
#[test]
fn idle_flows_are_forgotten() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    rig.serve(flow(1));
    rig.after(29_000);
    assert_eq!(rig.agent.held(), 1);
    rig.after(2_000);
    assert_eq!((rig.agent.held(), rig.agent.load()), (0, load(0, 2, 0)));
}

/// Guards against packets that reach a backend server of another service, or that only a backend
/// server sends.
#[test]
fn foreign_packets_are_dropped() {
    let mut rig = Rig::new();
    let mut other = header(&[ME]);
    other.service = ServiceId(9);
    let dropped = Action::Drop(DropReason::OtherService);
    assert_eq!(rig.first(&other, &syn(flow(1))), dropped);
    let dropped = Action::Drop(DropReason::WrongWay);
    assert_eq!(rig.first(&header(&[ME]), &syn_ack(flow(1), 500)), dropped);
    let mut bare = Rig::bare();
    bare.agent = forwarding::Forwarder::new(
        forwarding::ForwardSettings::default(),
        candidate(ME),
        bare.now,
    );
    let dropped = Action::Drop(DropReason::NoService);
    assert_eq!(bare.first(&header(&[ME]), &syn(flow(1))), dropped);
}

/// Guards against every reply that is not passed to its caller, also one of a flow that this agent
/// doesn't know: it learns the flow from the reply.
#[test]
fn replies_always_pass() {
    let mut rig = Rig::with(
        forwarding::Backend {
            older: true,
            ..backend()
        },
        members(),
    );
    for port in 1..20 {
        let actions = rig.replies(&answer(flow(port), 500));
        assert_eq!(actions[0], Action::Reply);
        let action = rig.first(&header(&[ME]), &data(flow(port), 500));
        assert_eq!(action, Action::Deliver(Reason::Held));
    }
    let homes = told(&rig.after(1_000));
    assert!(
        homes
            .iter()
            .all(|(to, _)| *to == address(2) || *to == address(3))
    );
    assert!(!homes.is_empty(), "the homes learn it as well");
}

/// Guards against sequence numbers that wrap: an answer after the wrap still ends its request.
#[test]
fn numbers_wrap() {
    let mut rig = Rig::new();
    let at = u32::MAX - 2;
    rig.first(&header(&[ME]), &syn(flow(1)));
    rig.replies(&syn_ack(flow(1), at));
    rig.packet(&header(&[ME]), &data(flow(1), at));
    let first = answer(flow(1), at);
    rig.replies(&first);
    assert_eq!(rig.agent.load().busy, 0);
    let request = Segment {
        seq: 111,
        ack_number: at.wrapping_add(11),
        ..data(flow(1), 0)
    };
    rig.packet(&header(&[ME]), &request);
    assert_eq!(rig.agent.load().busy, 1);
    let second = Segment {
        seq: at.wrapping_add(11),
        ..first
    };
    rig.replies(&second);
    assert_eq!(rig.agent.load().busy, 0);
}

/// Guards against a copy of an answered request that takes a slot again.
#[test]
fn copies_of_a_request_take_no_slot() {
    let mut rig = Rig::new();
    rig.open(flow(1));
    rig.serve(flow(1));
    rig.now += Duration::from_millis(50);
    let action = rig.first(&header(&[ME]), &data(flow(1), 500));
    assert_eq!(action, Action::Deliver(Reason::Held));
    assert_eq!(rig.agent.load().busy, 0);
}
