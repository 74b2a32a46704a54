//! Who accepts a flow, and how its packets find the owner.

use std::time::Duration;

use flows::{Action, DropReason, Event, FlowsSettings};
use units::{Epoch, ServiceId};

use crate::common::{
    ACCEPT, FORCE_ACCEPT, Harness, LOOKUP, NO_FLAGS, SETTLE_TIME, agent, data, flow, header, syn,
};

/// Guards against packets that reach another service, tenant or incarnation of an agent (P2).
#[test]
fn foreign_packets_are_dropped() {
    let mut harness = Harness::new(&[0, 1]);
    let mut other = header(0, &[0, 1], NO_FLAGS);
    other.service = ServiceId(8);
    let got = harness.packet(other, syn(flow(1)));
    assert_eq!(got, Action::Drop(DropReason::OtherService));
    let got = harness.packet(header(0, &[1, 0], NO_FLAGS), syn(flow(1)));
    assert_eq!(got, Action::Drop(DropReason::OtherIncarnation));
    let mut other = syn(flow(1));
    other.flow.service.set_port(81);
    let got = harness.packet(header(0, &[0], NO_FLAGS), other);
    assert_eq!(got, Action::Drop(DropReason::OtherAddress));
    assert_eq!(harness.flows.open_count(), 0);
}

/// Guards against new flows at a draining agent, and against a reset while another agent could
/// accept.
#[test]
fn declined_syns_are_forwarded_and_finally_reset() {
    let mut harness = Harness::new(&[0, 1]);
    harness.event(Event::Accepting(false));
    let got = harness.forwarded(header(0, &[0, 1], NO_FLAGS), syn(flow(1)));
    assert_eq!((got.0, got.1), (1, NO_FLAGS));
    // All candidates declined: one more pass, in which overload is ignored.
    let got = harness.forwarded(header(1, &[1, 0], NO_FLAGS), syn(flow(1)));
    assert_eq!((got.0, got.1), (0, FORCE_ACCEPT));
    let got = harness.packet(header(1, &[1, 0], FORCE_ACCEPT), syn(flow(1)));
    assert_eq!(got, Action::Reset);
    assert_eq!(harness.flows.open_count(), 0);
    // The balancer's table may be older: the SYN visits members of the local table before a reset.
    let got = harness.forwarded(header(0, &[0], NO_FLAGS), syn(flow(1)));
    assert_eq!(
        (got.0, got.1, got.2),
        (1, FORCE_ACCEPT, vec![agent(0), agent(1)])
    );
}

/// Guards against a second connection for a flow that a later candidate owns.
#[test]
fn lookup_visits_all_candidates_before_one_accepts() {
    let mut harness = Harness::new(&[0, 1, 2]);
    let got = harness.forwarded(header(0, &[0, 1, 2], LOOKUP), syn(flow(1)));
    assert_eq!((got.0, got.1), (1, LOOKUP));
    let got = harness.forwarded(header(2, &[1, 2, 0], LOOKUP), syn(flow(1)));
    assert_eq!((got.0, got.1), (0, ACCEPT));
    let mut accept = |flags| harness.packet(header(0, &[0, 1, 2], flags), syn(flow(1)));
    assert_eq!(accept(ACCEPT), Action::Accept);
    assert_eq!(accept(LOOKUP), Action::Process);
}

/// Guards against uneven load of agents: the first choice forwards new flows to the second choice.
#[test]
fn overload_moves_new_flows_to_the_second_choice() {
    let mut harness = Harness::new(&[0, 1]);
    harness.event(Event::Load {
        member: agent(1),
        open: 20,
    });
    let list = header(0, &[0, 1], NO_FLAGS);
    for port in 0..23 {
        assert_eq!(harness.packet(list, syn(flow(port))), Action::Accept);
    }
    // 24 exceeds 20 * 1.05 + 2; the forwarded flow then counts for the sibling.
    assert_eq!(harness.forwarded(list, syn(flow(23))).0, 1);
    assert_eq!(harness.packet(list, syn(flow(24))), Action::Accept);
    // The last pass ignores overload, and an old load is ignored too.
    harness.event(Event::Load {
        member: agent(1),
        open: 0,
    });
    assert_eq!(
        harness.packet(header(0, &[0, 1], FORCE_ACCEPT), syn(flow(25))),
        Action::Accept
    );
    harness.now += Duration::from_secs(6);
    assert_eq!(harness.packet(list, syn(flow(26))), Action::Accept);
}

/// Guards against RST from an agent whose half-open flow another agent established, and against two
/// owners.
#[test]
fn half_open_flow_yields_to_the_established_one() {
    let mut harness = Harness::new(&[0, 1]);
    harness.open(flow(1), false);
    assert_eq!(
        harness
            .forwarded(header(0, &[0, 1], NO_FLAGS), data(flow(1), 777))
            .0,
        1
    );
    harness.now += SETTLE_TIME * 2;
    let got = harness.packet(header(1, &[1, 0], NO_FLAGS), data(flow(1), 777));
    assert_eq!(got, Action::Drop(DropReason::Unsettled));
    harness.notify(flow(1), 1);
    let got = harness.forwarded(header(0, &[0, 1], NO_FLAGS), data(flow(1), 777));
    assert_eq!((got.0, got.2[1]), (1, agent(1)));
    // An established flow is kept.
    harness.open(flow(2), true);
    harness.notify(flow(2), 1);
    let got = harness.packet(header(0, &[0, 1], NO_FLAGS), data(flow(2), 777));
    assert_eq!(got, Action::Process);
}

/// Guards against flows that can't be found after several table changes, and against forwarding
/// loops.
#[test]
fn redirects_lead_to_the_owner_once() {
    let mut harness = Harness::new(&[0, 1, 2, 3]);
    harness.notify(flow(1), 3);
    let got = harness.forwarded(header(0, &[0, 1, 2], NO_FLAGS), data(flow(1), 9));
    assert_eq!(
        (got.0, got.2),
        (1, vec![agent(0), agent(3), agent(1), agent(2)])
    );
    let mut redirected = header(1, &[3, 0, 1], NO_FLAGS);
    redirected.epoch = Epoch(0);
    let got = harness.forwarded(redirected, data(flow(1), 9));
    assert_eq!((got.0, got.2[2]), (2, agent(1)));
    // The SYN of a new connection with the same addresses visits the owner first and is then
    // accepted here.
    let got = harness.forwarded(header(0, &[0, 1], NO_FLAGS), syn(flow(1)));
    assert_eq!((got.0, got.1, got.2[1]), (1, LOOKUP, agent(3)));
    let got = harness.packet(header(0, &[0, 3, 1], ACCEPT), syn(flow(1)));
    assert_eq!(got, Action::Accept);
    // The redirect is removed once its owner has left the table or it was not used for a long time.
    harness.notify(flow(2), 3);
    harness.table(2, &[0, 1, 2]);
    assert_eq!(harness.flows.redirect_count(), 0);
    harness.notify(flow(2), 2);
    harness.now += Duration::from_secs(120);
    let got = harness.forwarded(header(0, &[0, 1], NO_FLAGS), data(flow(2), 9));
    assert_eq!(got.2, [agent(0), agent(1)]);
}

/// Guards against unbounded memory for redirects.
#[test]
fn least_recently_used_redirect_is_removed_first() {
    let settings = FlowsSettings {
        max_redirects: 3,
        ..FlowsSettings::default()
    };
    let mut harness = Harness::with_settings(settings, &[0, 1, 2]);
    let list = header(0, &[0, 1], NO_FLAGS);
    for port in 1..=3 {
        harness.notify(flow(port), 2);
    }
    harness.packet(list, data(flow(1), 9));
    harness.notify(flow(4), 2);
    assert_eq!(harness.flows.redirect_count(), 3);
    let to = [1, 2, 4].map(|port| harness.forwarded(list, data(flow(port), 9)).2[1]);
    assert_eq!(to, [agent(2), agent(1), agent(2)]);
}

/// Guards against relays that are never notified, and against a notice for every packet.
#[test]
fn notices_go_to_the_first_candidate_once_a_second() {
    let mut harness = Harness::new(&[0, 1]);
    harness.open(flow(1), true);
    let relayed = header(1, &[1, 0], NO_FLAGS);
    let (to, flows) = (agent(1), vec![flow(1)]);
    let notified = vec![Action::Process, Action::Notify { to, flows }];
    let mut send_after = |ms| {
        harness.now += Duration::from_millis(ms);
        harness.actions(relayed, data(flow(1), 501))
    };
    assert_eq!(send_after(0), notified);
    assert_eq!(send_after(999), [Action::Process]);
    assert_eq!(send_after(1), notified);
    let mut redirected = header(1, &[1, 0], NO_FLAGS);
    redirected.epoch = Epoch(0);
    harness.now += SETTLE_TIME;
    assert_eq!(
        harness.actions(redirected, data(flow(1), 501)),
        [Action::Process]
    );
}

/// Guards against moved flows whose new first choice does not know the owner.
#[test]
fn moved_flows_are_registered_with_retries() {
    let mut harness = Harness::new(&[0]);
    for port in 0..300 {
        harness.open(flow(port), true);
    }
    let count = |out: &[Action], number| -> usize {
        let flow_count = |action: &Action| match action {
            Action::Notify { to, flows } if *to == agent(number) => flows.len(),
            _ => 0,
        };
        out.iter().map(flow_count).sum()
    };
    let out = harness.table(2, &[0, 1, 2]);
    assert!(
        count(&out, 1) > 70 && count(&out, 2) > 70,
        "a third each is expected"
    );
    assert_eq!(harness.event(Event::Tick), []);
    let mut retries = 0;
    for _ in 0..60 {
        harness.now += Duration::from_millis(200);
        let again = harness.event(Event::Tick);
        retries += usize::from(!again.is_empty());
        assert!(again.is_empty() || again == out);
    }
    assert_eq!(retries, 5);
    // A packet that the first choice redirected here confirms one registration.
    let to = out.iter().find_map(|action| match action {
        Action::Notify { to, flows } => Some((*to, flows[0])),
        _ => None,
    });
    let (to, confirmed) = to.expect("a notice");
    let mut redirected = header(1, &[0, 0], NO_FLAGS);
    redirected.epoch = Epoch(0);
    redirected.candidates = [to, agent(0)].into_iter().collect();
    harness.packet(redirected, data(confirmed, 501));
    harness.now += Duration::from_secs(20);
    let again = harness.event(Event::Tick);
    assert_eq!(
        count(&again, 1) + count(&again, 2),
        count(&out, 1) + count(&out, 2) - 1
    );
    // Flows whose first choice changes again are registered again.
    assert!(count(&harness.table(3, &[0, 1, 2, 3]), 3) > 40);
}

/// Guards against a handshake whose last packet comes through a balancer with another table.
#[test]
fn flow_with_another_first_choice_is_registered_at_once() {
    let mut harness = Harness::new(&[0, 1]);
    let mut notified = 0;
    for port in 0..100 {
        let out = harness.actions(header(0, &[0, 1], NO_FLAGS), syn(flow(port)));
        let (to, flows) = (agent(1), vec![flow(port)]);
        assert_eq!(out[0], Action::Accept);
        assert!(out[1..].is_empty() || out[1] == Action::Notify { to, flows });
        notified += out.len() - 1;
    }
    assert!(
        (30..70).contains(&notified),
        "half of the flows are expected"
    );
}
