//! Open flows of routes with several services.

use std::time::Duration;

use api::RouteView;
use dispatch::Action;
use units::Flow;
use wire::{Flags, Header, Segment};

use crate::common::{Harness, OTHER, SERVICE, candidate, data, flow, route, sent_headers};

const FLOW_PORT: u16 = 3;

fn split_route() -> RouteView {
    route(80, &[(SERVICE, 1), (OTHER, 1)], &[])
}

fn open_flow() -> Flow {
    flow(FLOW_PORT, 80)
}

fn segment() -> Segment {
    Segment {
        ack_number: 701,
        ..data(open_flow())
    }
}

fn reset() -> Vec<Action> {
    vec![Action::Reset {
        flow: open_flow(),
        seq: 701,
    }]
}

/// Headers of the two searches for a flow without a known owner.
fn searches(harness: &mut Harness) -> [Header; 2] {
    let sent = harness.packet(&segment());
    sent_headers(&sent).try_into().unwrap()
}

/// Guards against a reset by agents, which know neither the other services of a route nor whether the
/// balancer's view is current: they have to return what they don't find, also those of a former service,
/// those of the owner that the balancer presumes, and if the balancer knows of no other service.
#[test]
fn agents_return_what_they_do_not_find() {
    let mut harness = Harness::new(vec![
        split_route(),
        route(81, &[(SERVICE, 1)], &[OTHER]),
        route(82, &[(SERVICE, 1)], &[]),
    ]);
    for (port, services) in [(80, 2), (81, 2), (82, 1)] {
        let flow = flow(FLOW_PORT, port);
        let headers = sent_headers(&harness.packet(&data(flow)));
        assert_eq!(headers.len(), services);
        assert!(headers.iter().all(|h| h.hints.return_unheld), "{port}");
        harness.notice(2, flow);
        assert!(harness.sent_header(&data(flow)).hints.return_unheld);
    }
}

/// Guards against a reset while one service has not been searched, and against a caller that waits for
/// a flow that none has.
#[test]
fn flow_is_reset_once_no_service_has_it() {
    let mut harness = Harness::new(vec![split_route()]);
    let [first, second] = searches(&mut harness);
    assert_eq!(harness.not_held(&first, &segment()), []);
    assert_eq!(harness.not_held(&first, &segment()), [], "the same again");
    assert_eq!(harness.not_held(&second, &segment()), [Action::ReadView]);
    assert_eq!(harness.read_unchanged(), reset());
}

/// Guards against a caller of a lost flow that waits for ever because it has many packets in flight, whose
/// searches end in any order: it never gets a packet through of which all services have answered last.
#[test]
fn searches_of_packets_in_flight_count_each() {
    let mut harness = Harness::new(vec![split_route()]);
    let packets = (0..16).map(|number| Segment {
        seq: segment().seq + 1_200 * number,
        ..segment()
    });
    let packets: Vec<_> = packets.collect();
    let [first, second] = searches(&mut harness);
    for packet in &packets {
        assert_eq!(harness.not_held(&first, packet), []);
    }
    for packet in &packets {
        assert_eq!(harness.not_held(&second, packet), [Action::ReadView]);
    }
    assert_eq!(harness.read_unchanged(), reset(), "one reset");
}

/// Guards against a reset of a flow that was found while another service was searched.
#[test]
fn found_flow_is_not_reset() {
    let mut harness = Harness::new(vec![split_route()]);
    let [first, second] = searches(&mut harness);
    harness.notice(2, open_flow());
    for header in [first, second, first, second] {
        assert_eq!(harness.not_held(&header, &segment()), []);
    }
}

/// Guards against a reset of a new flow that uses the addresses of an earlier one: what was found out
/// about a packet of the earlier one doesn't count, nor does what is old.
#[test]
fn earlier_searches_do_not_count() {
    let mut harness = Harness::new(vec![split_route()]);
    let [first, second] = searches(&mut harness);
    let new = Segment {
        ack_number: 9_000,
        ..segment()
    };
    assert_eq!(harness.not_held(&first, &segment()), []);
    assert_eq!(harness.not_held(&second, &new), []);
    assert_eq!(harness.not_held(&first, &segment()), []);
    harness.now += Duration::from_secs(1);
    assert_eq!(harness.not_held(&second, &segment()), []);
}

/// Guards against a reset because of an outdated owner: the flow may since have been opened at another
/// service of the route.
#[test]
fn outdated_owner_leads_to_a_search_elsewhere() {
    let mut harness = Harness::new(vec![split_route()]);
    harness.notice(2, open_flow());
    let owned = harness.sent_header(&segment());
    assert_eq!(owned.candidates[0], candidate(2));
    let sent = harness.not_held(&owned, &segment());
    let [search] = sent_headers(&sent).try_into().unwrap();
    assert_eq!(search.service, OTHER);
    assert!(search.hints.return_unheld && !search.hints.owner_first);
    assert_eq!(harness.not_held(&search, &segment()), [Action::ReadView]);
    assert_eq!(harness.read_unchanged(), reset());
    assert_eq!(searches(&mut harness).len(), 2, "the owner is forgotten");
}

/// Guards against a caller that waits for ever on a lost flow: the agent that the balancer presumed to be
/// the owner, or the flow's home, had redirected the packet, and so comes before the owner.
#[test]
fn redirected_packet_of_an_outdated_owner_counts() {
    let mut harness = Harness::new(vec![split_route()]);
    harness.notice(2, open_flow());
    let owned = harness.sent_header(&segment());
    let home = owned.with_hop(1, Flags::default());
    let redirected = Header {
        epoch: owned.epoch,
        ..home.redirected(candidate(3), Flags::default())
    };
    assert_ne!(redirected.candidates[0], candidate(2));
    let sent = harness.not_held(&redirected, &segment());
    assert_eq!(sent_headers(&sent)[0].service, OTHER);
    // Another owner that a notice has named since is no outdated one.
    let (mut harness, new) = (Harness::new(vec![split_route()]), 5);
    harness.notice(new, open_flow());
    assert!(!redirected.candidates.contains(&candidate(new)));
    assert_eq!(harness.not_held(&redirected, &segment()), []);
}

/// Guards against a reset though a service of the route can't be searched: its members are unknown.
#[test]
fn service_without_a_table_rules_nothing_out() {
    let unknown = units::ServiceId(9);
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1), (unknown, 1)], &[])]);
    let [search] = sent_headers(&harness.packet(&segment()))
        .try_into()
        .unwrap();
    assert_eq!(harness.not_held(&search, &segment()), []);
    assert_eq!(harness.read_unchanged(), []);
}
