//! Bulk transfers over a balancer's link.

use std::time::Duration;

use dispatch::{Action, DispatchSettings, DropReason, LinkSettings};
use units::Flow;
use wire::Segment;

use crate::common::{Rig, SERVICE, data, flow, route, syn};

/// Port of the route that carries bulk.
const BULK: u16 = 80;

/// Port of the other route.
const SHORT: u16 = 81;

/// Payload of a full segment.
const FULL: usize = 1_200;

/// A balancer whose link takes four windows within the longest queue, with routes that were used.
fn rig() -> Rig {
    let link = LinkSettings {
        bytes_per_second: 400_000,
        full_segment_bytes: FULL,
        window_bytes: 10_000,
        max_queue_delay: Duration::from_millis(100),
    };
    let settings = DispatchSettings {
        link,
        ..DispatchSettings::default()
    };
    let routes = [BULK, SHORT].map(|port| route(port, &[(SERVICE, 1)], &[]));
    let mut rig = Rig::with(settings, routes.to_vec());
    transfer(&mut rig, flow(1, BULK));
    for caller in 0..100 {
        rig.packet(&data(flow(caller, SHORT)));
    }
    rig
}

fn full(flow: Flow) -> Segment {
    Segment {
        payload: FULL,
        ..data(flow)
    }
}

/// A whole transfer: full segments, then the rest.
fn transfer(rig: &mut Rig, flow: Flow) {
    for _ in 0..100 {
        rig.packet(&full(flow));
    }
    rig.packet(&data(flow));
}

/// Opens flows of the bulk route; how many were taken.
fn open(rig: &mut Rig, callers: std::ops::Range<u16>) -> usize {
    let taken = |caller: &u16| match rig.packet(&syn(flow(*caller, BULK)))[..] {
        [Action::Send(_)] => true,
        [Action::Refuse(DropReason::LinkFull)] => false,
        ref other => panic!("{other:?}"),
    };
    callers.filter(taken).count()
}

/// Guards against the collapse of a narrow link: with more transfers than fit into the senders' time
/// until a repeat, repeats filled it, and a quarter of the transfers never ended at half of its rate.
#[test]
fn a_link_takes_as_many_transfers_as_fit() {
    let mut rig = rig();
    assert_eq!(open(&mut rig, 10..30), 4);
    // A copy of a SYN that was taken is no further transfer.
    assert_eq!(open(&mut rig, 10..11), 1);
}

/// Guards against transfers that keep their place after their end, or after their caller is gone.
#[test]
fn ended_transfers_give_their_place_to_others() {
    let mut rig = rig();
    assert_eq!(open(&mut rig, 10..14), 4);
    transfer(&mut rig, flow(10, BULK));
    assert_eq!(open(&mut rig, 20..22), 1);
    rig.now += Duration::from_millis(200);
    rig.packet(&full(flow(11, BULK)));
    rig.now += Duration::from_millis(200);
    // Only one of the four sent something lately.
    assert_eq!(open(&mut rig, 30..40), 3);
}

/// Guards against short requests that are refused because others fill the link.
#[test]
fn short_requests_are_never_refused() {
    let mut rig = rig();
    assert_eq!(open(&mut rig, 10..30), 4);
    for caller in 200..300 {
        rig.sent(&syn(flow(caller, SHORT)));
    }
}

/// Guards against a limit where the link's rate is not known.
#[test]
fn without_a_rate_nothing_is_limited() {
    let mut rig = Rig::new(vec![route(BULK, &[(SERVICE, 1)], &[])]);
    transfer(&mut rig, flow(1, BULK));
    assert_eq!(open(&mut rig, 10..200), 190);
}
