//! Backend servers that report to be healthy but reset their requests.

use forwarding::{Action, Reason};
use wire::Segment;

use crate::common::{Fixture, LOCAL, data, flow, header, load, syn, syn_ack, target};

fn reset(port: u16) -> Segment {
    Segment {
        rst: true,
        ..syn_ack(flow(port), 501)
    }
}

/// Opens a flow with a request that the backend server resets.
fn fail(fixture: &mut Fixture, port: u16) {
    fixture.open_flow(flow(port));
    fixture.outbound(&reset(port));
}

fn failing() -> Fixture {
    let mut fixture = Fixture::new();
    for port in 1..=4 {
        fail(&mut fixture, port);
    }
    assert!(fixture.forwarder.is_backend_failing());
    fixture
}

/// Guards against a backend server that resets every request and, as its slots are always free,
/// attracts more flows than its siblings.
#[test]
fn new_flows_avoid_a_failing_backend_server() {
    let mut fixture = failing();
    let probe = fixture.packet_action(&header(&[LOCAL, 2, 3, 4]), &syn(flow(10)));
    assert_eq!(probe, Action::Deliver(Reason::Probe));
    let passed = fixture.forwarded_header(&header(&[LOCAL, 2, 3, 4]), &syn(flow(11)));
    assert_eq!(target(&passed), 2);
    // Any sibling that is up has a lower load.
    let (_, least) = passed.hints.least_loaded.unwrap();
    assert!(load(90, 2, 99) < least, "{least:?}");
}

/// Guards against a service that refuses all flows because every backend server fails some
/// requests.
#[test]
fn failing_backend_server_accepts_flows_without_alternative() {
    let mut fixture = failing();
    let alone = header(&[LOCAL]);
    fixture.packet_action(&alone, &syn(flow(10)));
    let mut back = header(&[LOCAL]);
    back.flags.accept = true;
    let action = fixture.packet_action(&back, &syn(flow(11)));
    assert_eq!(action, Action::Deliver(Reason::Lightest));
}

/// Guards against a backend server that gets no flows after it has recovered.
#[test]
fn answered_probes_end_the_failing_state() {
    let mut fixture = failing();
    for port in 10..30 {
        fixture.advance(200);
        fixture.open_flow(flow(port));
        fixture.answer_request(flow(port));
    }
    assert!(!fixture.forwarder.is_backend_failing());
    let action = fixture.packet_action(&header(&[LOCAL, 2, 3, 4]), &syn(flow(50)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against a healthy backend server that counts as failing because of resets without a
/// request in progress: after a response, or of an ended flow.
#[test]
fn resets_of_idle_or_ended_flows_are_no_failures() {
    let mut fixture = Fixture::new();
    for port in 1..=20 {
        fixture.open_flow(flow(port));
        fixture.answer_request(flow(port));
        fixture.outbound(&reset(port));
        fixture.outbound(&reset(port));
        fixture.packet(&header(&[LOCAL, 2, 3, 4]), &data(flow(port), 500));
        fixture.outbound(&reset(port));
    }
    assert!(!fixture.forwarder.is_backend_failing());
}
