//! Where packets of callers go.

use std::time::Duration;

use dispatch::{Action, Directory, DropReason};
use quickcheck::quickcheck;
use units::{Flow, ServiceId};
use wire::Header;

use crate::common::{OTHER, Rig, SERVICE, data, directory, flow, places, route, syn};

/// Guards against new flows that cross data centres although agents of the own one are there.
#[test]
fn a_syn_visits_the_own_data_centre_first() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    for caller in 1..200 {
        let header = rig.sent(&syn(flow(caller, 80)));
        let places = places(&header);
        let mut near = places[..3].to_vec();
        near.sort_unstable();
        assert_eq!(near, [1, 2, 3]);
        assert_eq!(places.len(), 4);
    }
}

/// Guards against packets of an open flow that look for their owner again although a notice named
/// it, and against a cache that can't be corrected.
#[test]
fn a_notice_names_the_owner() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let flow = flow(1, 80);
    rig.sent(&syn(flow));
    rig.notice(5, flow);
    let header = rig.sent(&data(flow));
    assert_eq!(places(&header)[0], 5);
    assert!(header.hints.owned);
    assert!(header.candidates.len() == 2, "the home follows");
    rig.notice(2, flow);
    assert_eq!(places(&rig.sent(&data(flow)))[0], 2);
    assert_eq!(rig.after(1_000), []);
}

/// Guards against a balancer that joined and can't find open flows: without a notice it asks the
/// flow's home, which all balancers of a data centre compute alike.
#[test]
fn an_unknown_flow_goes_to_its_home() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let mut other = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    for caller in 1..100 {
        let flow = flow(caller, 80);
        let (one, two) = (rig.sent(&data(flow)), other.sent(&data(flow)));
        assert_eq!(places(&one), places(&two));
        assert!(!one.hints.owned);
        assert!(places(&one)[0] <= 3, "the home is in the own data centre");
    }
}

/// Guards against a lost SYN, or one at a dead agent, that costs the caller its repetition after
/// 200 ms: it goes to the next candidate after 40 ms, to three at most.
#[test]
fn a_syn_without_an_owner_goes_on() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let first = rig.sent(&syn(flow(1, 80)));
    assert_eq!(rig.after(39), []);
    let second = rig.after(1);
    assert_eq!(second.len(), 1);
    assert_eq!((second[0].hop, second[0].candidates), (1, first.candidates));
    assert_eq!(rig.after(40)[0].hop, 2);
    assert_eq!(rig.after(40), []);
    // A caller's copy meanwhile would not start a second search.
    let again = rig.sent(&syn(flow(2, 80)));
    rig.now += Duration::from_millis(10);
    assert_eq!(rig.sent(&syn(flow(2, 80))), again);
    assert_eq!(rig.after(30).len(), 1);
}

/// Guards against new flows that go on visiting an agent whose machine is gone until its lease
/// ends, and against an agent that is avoided for ever.
#[test]
fn silent_agents_are_avoided_for_a_while() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    // Flows whose first candidate is agent 1.
    let callers: Vec<u16> = (1..2_000)
        .filter(|caller| places(&rig_header(&rig, *caller))[0] == 1)
        .take(10)
        .collect();
    for caller in &callers[..2] {
        let header = rig.sent(&syn(flow(*caller, 80)));
        assert_eq!(places(&header)[0], 1);
        rig.after(40);
        rig.notice(places(&header)[1], flow(*caller, 80));
    }
    assert_ne!(places(&rig.sent(&syn(flow(callers[2], 80))))[0], 1);
    rig.notice(2, flow(callers[2], 80));
    rig.now += Duration::from_secs(1);
    assert_eq!(places(&rig.sent(&syn(flow(callers[3], 80))))[0], 1);
    rig.notice(1, flow(callers[3], 80));
    assert_eq!(places(&rig.sent(&syn(flow(callers[4], 80))))[0], 1);
}

/// Header that a balancer without suspects would use.
fn rig_header(rig: &Rig, caller: u16) -> Header {
    let mut fresh = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    fresh.now = rig.now;
    fresh.sent(&syn(flow(caller, 80)))
}

/// Guards against refusals that are not true: a route that may be there, or members that may be
/// starting.
#[test]
fn nothing_is_refused_without_a_current_view() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let unknown = syn(flow(1, 81));
    assert_eq!(rig.packet(&unknown), [Action::Refuse(DropReason::NoRoute)]);
    let mut out = Vec::new();
    rig.dispatch
        .handle_packet(rig.now, &rig.directory, false, &unknown, b"", &mut out);
    assert_eq!(out, [Action::Drop(DropReason::NoRoute)]);
    // A view that came this instant is not in the directory yet.
    let empty = Directory::default();
    out.clear();
    rig.dispatch
        .handle_packet(rig.now, &empty, true, &unknown, b"", &mut out);
    assert_eq!(out, [Action::Drop(DropReason::NoRoute)]);
}

/// Guards against refusals of a service whose agents start together with the balancer.
#[test]
fn a_service_without_members_is_refused_once_settled() {
    let mut rig = Rig::new(vec![route(80, &[(ServiceId(9), 1)], &[])]);
    let started = rig.now - Duration::from_secs(10);
    rig.now = started + Duration::from_millis(1_499);
    let syn = syn(flow(1, 80));
    assert_eq!(rig.packet(&syn), [Action::Drop(DropReason::NoMember)]);
    rig.now = started + Duration::from_millis(1_500);
    assert_eq!(rig.packet(&syn), [Action::Refuse(DropReason::NoMember)]);
}

/// Guards against open flows that are lost when their route leads to another service, and against
/// new flows that still go to the old one.
#[test]
fn open_flows_are_looked_for_in_earlier_services() {
    let mut rig = Rig::new(vec![route(80, &[(OTHER, 1)], &[SERVICE])]);
    assert_eq!(rig.sent(&syn(flow(1, 80))).service, OTHER);
    let sent = rig.packet(&data(flow(2, 80)));
    let services: Vec<_> = sent
        .iter()
        .map(|action| match action {
            Action::Send(header) => header.service,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(services, [OTHER, SERVICE]);
    rig.notice(2, flow(2, 80));
    assert_eq!(rig.sent(&data(flow(2, 80))).service, SERVICE);
}

/// Guards against packets of a dropped route that still reach its service.
#[test]
fn a_dropped_route_leads_nowhere() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    rig.notice(2, flow(1, 80));
    rig.directory = directory(vec![route(81, &[(SERVICE, 1)], &[])]);
    let dropped = [Action::Drop(DropReason::NoRoute)];
    assert_eq!(rig.packet(&data(flow(1, 80))), dropped);
}

/// Guards against callers that use an address of the platform as their own.
#[test]
fn packets_from_a_route_are_dropped() {
    let mut rig = Rig::new(vec![route(80, &[(SERVICE, 1)], &[])]);
    let mirrored: Flow = "198.18.0.1:80>198.18.0.1:80".parse().unwrap();
    let dropped = [Action::Drop(DropReason::OwnSource)];
    assert_eq!(rig.packet(&syn(mirrored)), dropped);
}

quickcheck! {
    /// Guards against weights that are not kept, and against copies of a SYN that go to another
    /// service through another balancer.
    fn weights_are_kept(weight: u8) -> bool {
        let weight = u32::from(weight % 10) + 1;
        let routes = vec![route(80, &[(SERVICE, weight), (OTHER, 10)], &[])];
        let (mut one, mut two) = (Rig::new(routes.clone()), Rig::new(routes));
        let mut first = 0_u32;
        let callers = 2_000_u16;
        for caller in 1..=callers {
            let service = one.sent(&syn(flow(caller, 80))).service;
            assert_eq!(service, two.sent(&syn(flow(caller, 80))).service);
            first += u32::from(service == SERVICE);
        }
        let expected = f64::from(callers) * f64::from(weight) / f64::from(weight + 10);
        // Five standard deviations of the binomial distribution, which is the widest at one half.
        (f64::from(first) - expected).abs() < 5.0 * (f64::from(callers) / 4.0).sqrt()
    }
}
