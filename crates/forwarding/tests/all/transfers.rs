//! Requests that take many packets to arrive.

use forwarding::{Action, Reason};
use units::Flow;
use wire::Segment;

use crate::common::{ME, Rig, answer, data, flow, header, load, syn, syn_ack};

/// A caller's full segment; `part` counts them.
fn full(flow: Flow, part: u32) -> Segment {
    Segment {
        payload: 1_200,
        seq: 101 + part * 1_200,
        ..data(flow, 500)
    }
}

/// The end of a request of some full segments.
fn last(flow: Flow, parts: u32) -> Segment {
    Segment {
        seq: 101 + parts * 1_200,
        ..data(flow, 500)
    }
}

/// Lets a caller open a flow and send a full segment.
fn begin(rig: &mut Rig, flow: Flow) {
    let header = header(&[ME, 2, 3, 4]);
    let action = rig.first(&header, &syn(flow));
    assert!(matches!(action, Action::Deliver(_)), "{action:?}");
    rig.replies(&syn_ack(flow, 500));
    rig.packet(&header, &full(flow, 0));
}

/// Lets a request arrive in 100 ms and be answered after `work` ms.
fn transfer(rig: &mut Rig, flow: Flow, work: u64) {
    begin(rig, flow);
    rig.after(100);
    let header = header(&[ME, 2, 3, 4]);
    rig.packet(&header, &last(flow, 1));
    rig.after(work);
    rig.replies(&answer(flow, 500));
}

/// Guards against uploads that wait or are refused while the backend server has nothing to do: at
/// 160 uploads a second with 4 ms of work each, 22 slots counted as taken.
#[test]
fn requests_that_still_arrive_take_no_slot() {
    let mut rig = Rig::new();
    transfer(&mut rig, flow(1), 4);
    for port in 10..25 {
        begin(&mut rig, flow(port));
    }
    assert_eq!(rig.agent.load(), load(0, 2, 16));
    let action = rig.first(&header(&[ME, 2, 3, 4]), &syn(flow(30)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against a backend server that gets more requests than it can work on once they have
/// arrived: with 300 ms of work after 100 ms, four that arrive will soon take three slots.
#[test]
fn requests_that_still_arrive_count_by_their_work() {
    let mut rig = Rig::new();
    transfer(&mut rig, flow(1), 300);
    for port in 10..12 {
        begin(&mut rig, flow(port));
    }
    assert_eq!(rig.agent.load().busy, 1);
    let header = header(&[ME]);
    rig.packet(&header, &full(flow(10), 1));
    rig.packet(&header, &last(flow(10), 2));
    assert_eq!(rig.agent.load().busy, 1);
    rig.packet(&header, &last(flow(11), 1));
    assert_eq!(rig.agent.load().busy, 2);
    // A repeat of an earlier part changes nothing.
    rig.packet(&header, &full(flow(11), 0));
    assert_eq!(rig.agent.load().busy, 2);
    rig.replies(&answer(flow(10), 500));
    rig.replies(&answer(flow(11), 500));
    assert_eq!(rig.agent.load().busy, 0);
}

/// Guards against slots that stay taken: the flow ends before its request has arrived.
#[test]
fn a_broken_transfer_gives_its_share_back() {
    let mut rig = Rig::new();
    transfer(&mut rig, flow(1), 300);
    for port in 10..13 {
        begin(&mut rig, flow(port));
    }
    assert_eq!(rig.agent.load().busy, 2);
    for port in 10..13 {
        let rst = Segment {
            rst: true,
            ..last(flow(port), 1)
        };
        rig.packet(&header(&[ME]), &rst);
    }
    assert_eq!(rig.agent.load().busy, 0);
}
