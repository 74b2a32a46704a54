//! Tests requests that consist of many packets.

use forwarding::{Action, Reason};
use units::Flow;
use wire::Segment;

use crate::common::{Fixture, LOCAL, answer, data, flow, header, load, syn, syn_ack};

/// Full segment from a caller; `part` counts the full segments of the request before it.
fn full(flow: Flow, part: u32) -> Segment {
    Segment {
        payload: 1_200,
        seq: 101 + part * 1_200,
        ..data(flow, 500)
    }
}

/// The last segment of a request with `parts` full segments.
fn last(flow: Flow, parts: u32) -> Segment {
    Segment {
        seq: 101 + parts * 1_200,
        ..data(flow, 500)
    }
}

/// Opens a flow and sends a full segment.
fn begin(fixture: &mut Fixture, flow: Flow) {
    let header = header(&[LOCAL, 2, 3, 4]);
    let action = fixture.packet_action(&header, &syn(flow));
    assert!(matches!(action, Action::Deliver(_)), "{action:?}");
    fixture.outbound(&syn_ack(flow, 500));
    fixture.packet(&header, &full(flow, 0));
}

/// Sends a request that takes 100 ms to arrive and `processing_ms` to be answered.
fn transfer(fixture: &mut Fixture, flow: Flow, processing_ms: u64) {
    begin(fixture, flow);
    fixture.advance(100);
    let header = header(&[LOCAL, 2, 3, 4]);
    fixture.packet(&header, &last(flow, 1));
    fixture.advance(processing_ms);
    fixture.outbound(&answer(flow, 500));
}

/// Guards against uploads that are queued or refused while the backend server is idle: at 160
/// uploads per second with a processing time of 4 ms each, 22 slots counted as in use.
#[test]
fn requests_still_arriving_occupy_no_slot() {
    let mut fixture = Fixture::new();
    transfer(&mut fixture, flow(1), 4);
    for port in 10..25 {
        begin(&mut fixture, flow(port));
    }
    assert_eq!(fixture.forwarder.load(), load(0, 2, 16));
    let action = fixture.packet_action(&header(&[LOCAL, 2, 3, 4]), &syn(flow(30)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against a backend server that gets more requests than it can process once they have
/// arrived: with 300 ms of processing after 100 ms of transfer, four arriving requests will soon
/// need three slots.
#[test]
fn requests_still_arriving_count_by_processing_time() {
    let mut fixture = Fixture::new();
    transfer(&mut fixture, flow(1), 300);
    for port in 10..12 {
        begin(&mut fixture, flow(port));
    }
    assert_eq!(fixture.forwarder.load().busy, 1);
    let header = header(&[LOCAL]);
    fixture.packet(&header, &full(flow(10), 1));
    fixture.packet(&header, &last(flow(10), 2));
    assert_eq!(fixture.forwarder.load().busy, 1);
    fixture.packet(&header, &last(flow(11), 1));
    assert_eq!(fixture.forwarder.load().busy, 2);
    // A retransmission of an earlier part changes nothing.
    fixture.packet(&header, &full(flow(11), 0));
    assert_eq!(fixture.forwarder.load().busy, 2);
    fixture.outbound(&answer(flow(10), 500));
    fixture.outbound(&answer(flow(11), 500));
    assert_eq!(fixture.forwarder.load().busy, 0);
}

/// Guards against leaked slots when a flow ends before its request has arrived.
#[test]
fn aborted_transfer_releases_its_slots() {
    let mut fixture = Fixture::new();
    transfer(&mut fixture, flow(1), 300);
    for port in 10..13 {
        begin(&mut fixture, flow(port));
    }
    assert_eq!(fixture.forwarder.load().busy, 2);
    for port in 10..13 {
        let rst = Segment {
            rst: true,
            ..last(flow(port), 1)
        };
        fixture.packet(&header(&[LOCAL]), &rst);
    }
    assert_eq!(fixture.forwarder.load().busy, 0);
}
