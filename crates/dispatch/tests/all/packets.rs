//! Tests of where packets of callers are sent.

use std::time::Duration;

use dispatch::{Action, Directory, DropReason};
use quickcheck::quickcheck;
use units::{Flow, ServiceId};
use wire::Header;

use crate::common::{
    Harness, OTHER, SERVICE, agents, data, directory, flow, route, sent_headers, syn,
};

/// Guards against sending new flows to another data centre while the local one has agents.
#[test]
fn syn_goes_to_the_local_data_centre_first() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    for caller in 1..200 {
        let header = harness.sent_header(&syn(flow(caller, 80)));
        let agents = agents(&header);
        let mut local = agents[..3].to_vec();
        local.sort_unstable();
        assert_eq!(local, [1, 2, 3]);
        assert_eq!(agents.len(), 4);
    }
}

/// Guards against searching for an owner that a notice has named, and against cached owners that a
/// later notice doesn't replace.
#[test]
fn notice_names_the_owner() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let flow = flow(1, 80);
    harness.sent_header(&syn(flow));
    harness.notice(5, flow);
    let header = harness.sent_header(&data(flow));
    assert_eq!(agents(&header)[0], 5);
    assert!(header.hints.owner_first);
    assert!(
        header.candidates.len() == 2,
        "the home is the second candidate"
    );
    harness.notice(2, flow);
    assert_eq!(agents(&harness.sent_header(&data(flow)))[0], 2);
    assert_eq!(harness.advance(1_000), []);
}

/// Guards against a new balancer that can't find open flows: without a notice it sends to the flow's
/// home, which all balancers of a data centre compute alike.
#[test]
fn unknown_flow_goes_to_its_home() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let mut other = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    for caller in 1..100 {
        let flow = flow(caller, 80);
        let (one, two) = (
            harness.sent_header(&data(flow)),
            other.sent_header(&data(flow)),
        );
        assert_eq!(agents(&one), agents(&two));
        assert!(!one.hints.owner_first);
        assert!(agents(&one)[0] <= 3, "the home is in the local data centre");
    }
}

/// Guards against a delay of 200 ms, the caller's retransmission timeout, when a SYN is lost or its
/// agent has failed: the SYN goes to the next candidate after 40 ms, to three at most.
#[test]
fn unanswered_syn_goes_to_the_next_candidate() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let first = harness.sent_header(&syn(flow(1, 80)));
    assert_eq!(harness.advance(39), []);
    let second = harness.advance(1);
    assert_eq!(second.len(), 1);
    assert_eq!((second[0].hop, second[0].candidates), (1, first.candidates));
    assert_eq!(harness.advance(40)[0].hop, 2);
    assert_eq!(harness.advance(40), []);
    // A retransmission by the caller meanwhile starts no second search.
    let first = harness.sent_header(&syn(flow(2, 80)));
    harness.now += Duration::from_millis(10);
    assert_eq!(harness.sent_header(&syn(flow(2, 80))), first);
    assert_eq!(harness.advance(30).len(), 1);
}

/// Guards against sending new flows to an agent on a failed VM until its lease ends, and against
/// avoiding an agent forever.
#[test]
fn silent_agents_are_avoided_for_a_limited_time() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    // Flows whose first candidate is agent 1.
    let callers: Vec<u16> = (1..2_000)
        .filter(|caller| agents(&header_without_suspects(&harness, *caller))[0] == 1)
        .take(10)
        .collect();
    for caller in &callers[..2] {
        let header = harness.sent_header(&syn(flow(*caller, 80)));
        assert_eq!(agents(&header)[0], 1);
        harness.advance(40);
        harness.notice(agents(&header)[1], flow(*caller, 80));
    }
    assert_ne!(
        agents(&harness.sent_header(&syn(flow(callers[2], 80))))[0],
        1
    );
    harness.notice(2, flow(callers[2], 80));
    harness.now += Duration::from_secs(1);
    assert_eq!(
        agents(&harness.sent_header(&syn(flow(callers[3], 80))))[0],
        1
    );
    harness.notice(1, flow(callers[3], 80));
    assert_eq!(
        agents(&harness.sent_header(&syn(flow(callers[4], 80))))[0],
        1
    );
}

/// Header that a balancer that avoids no agents uses.
fn header_without_suspects(harness: &Harness, caller: u16) -> Header {
    let mut fresh = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    fresh.now = harness.now;
    fresh.sent_header(&syn(flow(caller, 80)))
}

/// Guards against refusing a SYN because of an outdated view: its route may be new, or members may be
/// starting.
#[test]
fn nothing_is_refused_without_a_current_view() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let unknown = syn(flow(1, 81));
    assert_eq!(
        harness.packet(&unknown),
        [Action::Refuse(DropReason::NoRoute)]
    );
    let mut out = Vec::new();
    harness.dispatcher.handle_packet(
        harness.now,
        &harness.directory,
        false,
        &unknown,
        b"",
        &mut out,
    );
    assert_eq!(out, [Action::Drop(DropReason::NoRoute)]);
    // The view is confirmed, but the directory isn't built from it yet.
    let empty = Directory::default();
    out.clear();
    harness
        .dispatcher
        .handle_packet(harness.now, &empty, true, &unknown, b"", &mut out);
    assert_eq!(out, [Action::Drop(DropReason::NoRoute)]);
}

/// Guards against refusing SYNs of a service whose agents start together with the balancer.
#[test]
fn service_without_members_is_refused_after_the_startup_grace() {
    let mut harness = Harness::new(vec![route(80, &[(ServiceId(9), 1)], &[])]);
    let started = harness.now - Duration::from_secs(10);
    harness.now = started + Duration::from_millis(1_499);
    let dropped = harness.packet(&syn(flow(1, 80)));
    assert_eq!(dropped, [Action::Drop(DropReason::NoMember)]);
    harness.now = started + Duration::from_millis(1_500);
    let refused = harness.packet(&syn(flow(2, 80)));
    assert_eq!(refused, [Action::Refuse(DropReason::NoMember)]);
}

/// Guards against losing open flows when their route changes to another service, and against sending
/// new flows to the former service.
#[test]
fn open_flows_are_looked_up_in_former_services() {
    let mut harness = Harness::new(vec![route(80, &[(OTHER, 1)], &[SERVICE])]);
    assert_eq!(harness.sent_header(&syn(flow(1, 80))).service, OTHER);
    let sent = harness.packet(&data(flow(2, 80)));
    let services: Vec<_> = sent_headers(&sent).iter().map(|h| h.service).collect();
    assert_eq!(services, [OTHER, SERVICE]);
    harness.notice(2, flow(2, 80));
    assert_eq!(harness.sent_header(&data(flow(2, 80))).service, SERVICE);
}

/// Guards against sending packets of a removed route to its service.
#[test]
fn packets_of_a_removed_route_are_dropped() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    harness.notice(2, flow(1, 80));
    harness.directory = directory(vec![route(81, &[(SERVICE, 1)], &[])]);
    let dropped = [Action::Drop(DropReason::NoRoute)];
    assert_eq!(harness.packet(&data(flow(1, 80))), dropped);
}

/// Guards against callers that spoof an address of a route as their source.
#[test]
fn packets_from_a_route_are_dropped() {
    let mut harness = Harness::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let mirrored: Flow = "198.18.0.1:80>198.18.0.1:80".parse().unwrap();
    let dropped = [Action::Drop(DropReason::OwnSource)];
    assert_eq!(harness.packet(&syn(mirrored)), dropped);
}

quickcheck! {
    /// Guards against a wrong distribution over weighted services, and against balancers that choose
    /// different services for the same SYN.
    fn weights_are_kept(weight: u8) -> bool {
        let weight = u32::from(weight % 10) + 1;
        let routes = vec![route(80, &[(SERVICE, weight), (OTHER, 10)], &[])];
        let (mut one, mut two) = (Harness::new(routes.clone()), Harness::new(routes));
        let mut first = 0_u32;
        let callers = 2_000_u16;
        for caller in 1..=callers {
            let service = one.sent_header(&syn(flow(caller, 80))).service;
            assert_eq!(service, two.sent_header(&syn(flow(caller, 80))).service);
            first += u32::from(service == SERVICE);
        }
        let expected = f64::from(callers) * f64::from(weight) / f64::from(weight + 10);
        // Five standard deviations of the binomial distribution, whose variance is largest at 1/2.
        (f64::from(first) - expected).abs() < 5.0 * (f64::from(callers) / 4.0).sqrt()
    }
}
