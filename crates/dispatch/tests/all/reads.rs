//! Open flows that no known service has, at a balancer whose view may be older than they are.

use std::time::Duration;

use dispatch::{Action, Directory};
use units::{Epoch, Flow};
use wire::{Header, Segment};

use crate::common::{
    Harness, OTHER, PACKET, SERVICE, data, directory, flow, member, members, route, sent_headers,
    view, with_table,
};

const PORT: u16 = 80;

fn open_flow() -> Flow {
    flow(3, PORT)
}

fn segment() -> Segment {
    data(open_flow())
}

fn reset() -> Vec<Action> {
    vec![Action::Reset {
        flow: open_flow(),
        seq: segment().ack_number,
    }]
}

/// A route to one service.
fn to_service() -> Vec<api::RouteView> {
    vec![route(PORT, &[(SERVICE, 1)], &[])]
}

/// The route after it was moved to the other service.
fn moved() -> Directory {
    directory(vec![route(PORT, &[(OTHER, 1)], &[SERVICE])])
}

/// A balancer to which the agents of the only known service have returned a packet, and the header
/// with which they did.
fn after_a_search() -> (Harness, Header) {
    let mut harness = Harness::new(to_service());
    let header = harness.sent_header(&segment());
    assert_eq!(harness.not_held(&header, &segment()), [Action::ReadView]);
    (harness, header)
}

/// Headers of a packet that is searched for again.
fn searched_again(actions: Vec<Action>) -> Vec<Header> {
    let header = |action| match action {
        Action::Search {
            flow,
            header,
            inner,
        } => {
            assert_eq!((flow, &*inner), (open_flow(), PACKET));
            header
        }
        other => panic!("{other:?}"),
    };
    actions.into_iter().map(header).collect()
}

/// Guards against resets of flows that another balancer has opened under a newer view: as long as
/// control serves no read, whatever the reason, nothing is reset.
#[test]
fn nothing_is_reset_without_a_read() {
    let (mut harness, header) = after_a_search();
    let read_before = Some(harness.now - Duration::from_millis(1));
    harness.directory = directory(to_service()).with_read_at(read_before);
    for _ in 0..30 {
        harness.now += Duration::from_millis(100);
        let mut out = Vec::new();
        harness
            .dispatcher
            .handle_read(harness.now, &harness.directory, &mut out);
        assert_eq!(out, [], "the read began before the packet came back");
        let deadline = harness.dispatcher.deadline().unwrap();
        harness.dispatcher.tick(harness.now, &mut out);
        let actions = harness.not_held(&header, &segment());
        if deadline <= harness.now {
            assert_eq!(out, [Action::Unread(open_flow())]);
            assert_eq!(actions, [Action::ReadView]);
        } else {
            assert_eq!(
                (out, actions),
                (vec![], vec![]),
                "the read is still awaited"
            );
        }
    }
    assert_eq!(harness.read_unchanged(), reset());
}

/// Guards against a reset by a balancer that has just started, or polls a replica that is behind: the
/// read shows that the route was moved, and the packet goes to the service that has its flow.
#[test]
fn packet_is_searched_for_where_the_route_leads_now() {
    let (mut harness, _) = after_a_search();
    harness.now += Duration::from_millis(5);
    let headers = searched_again(harness.read(moved()));
    let [search] = headers[..] else {
        panic!("{headers:?}")
    };
    assert_eq!(search.service, OTHER);
    assert!(search.hints.return_unheld && !search.hints.owner_first);
    // If that service doesn't have it either, the read already covers the packet.
    assert_eq!(harness.not_held(&search, &segment()), reset());
}

/// Guards against a reset if the change arrives by the poll: it may be older than the newest one.
#[test]
fn polled_change_is_no_read() {
    let (mut harness, header) = after_a_search();
    harness.directory = moved();
    assert_eq!(harness.not_held(&header, &segment()), []);
    let searches = sent_headers(&harness.packet(&segment()));
    for search in &searches {
        assert_eq!(harness.not_held(search, &segment()), []);
    }
    assert_eq!(searches.len(), 2);
    assert_eq!(harness.read_unchanged(), reset());
}

/// Guards against a reset of a flow at a member that joined while balancer and agents had an older
/// table: the search was complete, but under that table.
#[test]
fn member_that_joined_since_is_searched() {
    let (mut harness, _) = after_a_search();
    let mut all = members();
    all.push(member(6, "a"));
    let joined = Directory::default().updated(&with_table(&view(to_service()), 3, all));
    let headers = searched_again(harness.read(joined));
    let [search] = headers[..] else {
        panic!("{headers:?}")
    };
    assert_eq!((search.service, search.epoch), (SERVICE, Epoch(3)));
    // An agent that is still behind may end the search; its table lacks the member.
    let behind = Header {
        epoch: Epoch(2),
        ..search
    };
    assert_eq!(harness.not_held(&behind, &segment()), []);
    assert_eq!(harness.not_held(&search, &segment()), reset());
}

/// Guards against callers that wait for ever in a service whose table changes all the time: only
/// members that joined count.
#[test]
fn member_that_left_or_drains_needs_no_search() {
    let (mut harness, _) = after_a_search();
    let mut all = members();
    all[0].state = api::MemberState::Draining;
    let draining = with_table(&view(to_service()), 3, all.clone());
    all.pop();
    let left = with_table(&draining, 4, all);
    assert_eq!(harness.read(Directory::default().updated(&left)), reset());
}

/// Guards against a read for each of many flows that end at once.
#[test]
fn one_read_covers_all_flows_that_wait() {
    let mut harness = Harness::new(to_service());
    let flows: Vec<_> = (1..=100).map(|caller| flow(caller, PORT)).collect();
    for flow in &flows {
        let header = harness.sent_header(&data(*flow));
        let actions = harness.not_held(&header, &data(*flow));
        assert_eq!(actions, [Action::ReadView]);
    }
    assert_eq!(harness.dispatcher.waiting(), flows.len());
    assert_eq!(harness.read_unchanged().len(), flows.len());
    assert_eq!(harness.read_unchanged(), []);
}

/// Guards against packets of an open flow that are lost because another one of the same flow waits, and
/// against memory without bounds: of many packets in flight each goes on after the read.
#[test]
fn all_packets_in_flight_go_on_after_the_read() {
    let mut harness = Harness::new(to_service());
    let header = harness.sent_header(&segment());
    for number in 0..20 {
        harness.now += Duration::from_millis(1);
        let packet = Segment {
            seq: segment().seq + 1_200 * number,
            ..segment()
        };
        assert_eq!(harness.not_held(&header, &packet), [Action::ReadView]);
    }
    assert_eq!(searched_again(harness.read(moved())).len(), 16);
}

/// Guards against a reset of a flow whose owner sent a notice while the read was under way.
#[test]
fn found_flow_is_not_reset_after_a_read() {
    let (mut harness, _) = after_a_search();
    harness.notice(2, open_flow());
    assert_eq!(harness.read_unchanged(), []);
}
