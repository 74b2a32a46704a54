//! Limit of bulk transfers over a balancer's link.

use std::time::Duration;

use dispatch::{Action, DispatchSettings, DropReason, LinkSettings};
use units::Flow;
use wire::Segment;

use crate::common::{Harness, SERVICE, data, flow, route, syn};

/// Port of the route that carries bulk transfers.
const BULK_PORT: u16 = 80;

/// Port of the route with short requests.
const SHORT_PORT: u16 = 81;

/// Payload of a full segment.
const FULL_SEGMENT_BYTES: usize = 1_200;

/// A balancer whose link sends four windows within the maximum queueing delay. Both routes have had
/// traffic, so that the balancer knows which one carries bulk transfers.
fn harness() -> Harness {
    let link = LinkSettings {
        bytes_per_second: 400_000,
        full_segment_bytes: FULL_SEGMENT_BYTES,
        window_bytes: 10_000,
        queue_delay: Duration::from_millis(100),
    };
    let settings = DispatchSettings {
        link,
        ..DispatchSettings::default()
    };
    let routes = [BULK_PORT, SHORT_PORT].map(|port| route(port, &[(SERVICE, 1)], &[]));
    let mut harness = Harness::with_settings(settings, routes.to_vec());
    transfer(&mut harness, flow(1, BULK_PORT));
    for caller in 0..100 {
        harness.packet(&data(flow(caller, SHORT_PORT)));
    }
    harness
}

fn full(flow: Flow) -> Segment {
    Segment {
        payload: FULL_SEGMENT_BYTES,
        ..data(flow)
    }
}

/// A complete transfer: full segments, then a shorter last one.
fn transfer(harness: &mut Harness, flow: Flow) {
    for _ in 0..100 {
        harness.packet(&full(flow));
    }
    harness.packet(&data(flow));
}

/// Opens flows of the bulk route; returns how many were admitted.
fn open(harness: &mut Harness, callers: std::ops::Range<u16>) -> usize {
    let admitted = |caller: &u16| match harness.packet(&syn(flow(*caller, BULK_PORT)))[..] {
        [Action::Send(_)] => true,
        [Action::Refuse(DropReason::LinkFull)] => false,
        ref other => panic!("{other:?}"),
    };
    callers.filter(admitted).count()
}

/// Guards against congestion collapse of a slow link: with more transfers than it can send within the
/// retransmission timeout, retransmissions filled it. At half the link's rate, a quarter of the
/// transfers never finished.
#[test]
fn link_admits_as_many_transfers_as_fit() {
    let mut harness = harness();
    assert_eq!(open(&mut harness, 10..30), 4);
    // A retransmitted SYN of an admitted flow doesn't count as another transfer.
    assert_eq!(open(&mut harness, 10..11), 1);
}

/// Guards against transfers that still count after they ended or their caller disappeared.
#[test]
fn ended_transfers_no_longer_count() {
    let mut harness = harness();
    assert_eq!(open(&mut harness, 10..14), 4);
    transfer(&mut harness, flow(10, BULK_PORT));
    assert_eq!(open(&mut harness, 20..22), 1);
    harness.now += Duration::from_millis(200);
    harness.packet(&full(flow(11, BULK_PORT)));
    harness.now += Duration::from_millis(200);
    // Only one of the four has sent a full segment recently.
    assert_eq!(open(&mut harness, 30..40), 3);
}

/// Guards against refusing short requests because bulk transfers fill the link.
#[test]
fn short_requests_are_never_refused() {
    let mut harness = harness();
    assert_eq!(open(&mut harness, 10..30), 4);
    for caller in 200..300 {
        harness.sent_header(&syn(flow(caller, SHORT_PORT)));
    }
}

/// Guards against limiting transfers when the link's rate is unknown.
#[test]
fn without_a_rate_nothing_is_limited() {
    let mut harness = Harness::new(vec![route(BULK_PORT, &[(SERVICE, 1)], &[])]);
    transfer(&mut harness, flow(1, BULK_PORT));
    assert_eq!(open(&mut harness, 10..200), 190);
}
