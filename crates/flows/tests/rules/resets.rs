//! When packets of unknown flows are answered with RST.

use std::time::Duration;

use flows::{Action, DropReason, Event};
use units::Epoch;
use wire::{Header, Segment};

use crate::common::{Harness, NO_FLAGS, SETTLE_TIME, agent, data, flow, header};

/// Guards against RST for an open flow, and against callers that wait for a lost one.
#[test]
fn unknown_flows_are_dropped_then_reset() {
    let mut harness = Harness::new(&[0, 1]);
    let last = header(1, &[1, 0], NO_FLAGS);
    let unsettled = Action::Drop(DropReason::Unsettled);
    assert_eq!(harness.packet(last, data(flow(1), 9)), unsettled);
    harness.now += SETTLE_TIME;
    // The notice about a flow may arrive after its first packet, and the table may be outdated.
    let stray = [Action::Drop(DropReason::Stray), Action::ReadView];
    assert_eq!(harness.actions(last, data(flow(1), 9)), stray);
    harness.event(Event::ViewRead(harness.now));
    harness.now += Duration::from_millis(200);
    assert_eq!(harness.actions(last, data(flow(1), 9)), [Action::Reset]);
    let rst = Segment {
        rst: true,
        ..data(flow(1), 9)
    };
    assert_eq!(
        harness.packet(last, rst),
        Action::Drop(DropReason::StrayReset)
    );
    // After a table change the packet first visits members that are not in the list.
    harness.table(2, &[0, 1, 2]);
    let got = harness.forwarded(last, data(flow(1), 9));
    assert_eq!((got.0, got.2), (2, vec![agent(1), agent(0), agent(2)]));
    harness.table(3, &[0, 1]);
    assert_eq!(harness.packet(last, data(flow(1), 9)), unsettled);
}

/// Guards against resets of flows at a member that joined while this agent, and the balancer, could not
/// reach control: as long as no read of the view has shown that its table is current, nothing is reset.
#[test]
fn nothing_is_reset_without_a_read() {
    let mut harness = Harness::new(&[0, 1]);
    let last = header(1, &[1, 0], NO_FLAGS);
    harness.now += SETTLE_TIME;
    harness.event(Event::ViewRead(harness.now));
    harness.now += Duration::from_millis(1);
    for _ in 0..30 {
        let stray = [Action::Drop(DropReason::Stray), Action::ReadView];
        assert_eq!(harness.actions(last, data(flow(1), 9)), stray);
        harness.now += Duration::from_millis(100);
    }
    // The read shows a member that the packet has to visit.
    harness.table(2, &[0, 1, 2]);
    harness.event(Event::ViewRead(harness.now));
    let got = harness.forwarded(last, data(flow(1), 9));
    assert_eq!(got.2.last(), Some(&agent(2)));
}

/// Guards against resets of flows at a member that the balancer, or this agent, doesn't know: one of them
/// has had an older table for longer than tables take to arrive.
#[test]
fn search_under_different_tables_is_no_proof() {
    let mut harness = Harness::new(&[0, 1]);
    harness.table(2, &[0, 1, 2]);
    harness.now += SETTLE_TIME;
    let unsettled = Action::Drop(DropReason::Unsettled);
    let with_epoch = |epoch, numbers: &[u16]| Header {
        epoch: Epoch(epoch),
        ..header(1, numbers, NO_FLAGS)
    };
    let behind = with_epoch(1, &[1, 0]);
    let ahead = with_epoch(3, &[1, 0]);
    for _ in 0..5 {
        harness.now += Duration::from_millis(200);
        harness.event(Event::ViewRead(harness.now));
        let got = harness.forwarded(behind, data(flow(1), 9));
        assert_eq!(got.2, [agent(1), agent(0), agent(2)]);
        let visited = with_epoch(1, &[1, 2, 0]).with_hop(2, NO_FLAGS);
        assert_eq!(harness.packet(visited, data(flow(1), 9)), unsettled);
        harness.forwarded(ahead, data(flow(1), 9));
        let visited = with_epoch(3, &[1, 2, 0]).with_hop(2, NO_FLAGS);
        assert_eq!(harness.packet(visited, data(flow(1), 9)), unsettled);
    }
    let equal = with_epoch(2, &[1, 2, 0]).with_hop(2, NO_FLAGS);
    harness.packet(equal, data(flow(1), 9));
    harness.event(Event::ViewRead(harness.now));
    harness.now += Duration::from_millis(200);
    assert_eq!(harness.packet(equal, data(flow(1), 9)), Action::Reset);
}
