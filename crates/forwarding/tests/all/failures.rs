//! Backend servers that report that they are well and end their requests.

use forwarding::{Action, Reason};
use wire::Segment;

use crate::common::{ME, Rig, data, flow, header, load, syn, syn_ack, target};

fn reset(port: u16) -> Segment {
    Segment {
        rst: true,
        ..syn_ack(flow(port), 501)
    }
}

/// Opens a flow with a request and lets the backend server reset it.
fn fail(rig: &mut Rig, port: u16) {
    rig.open(flow(port));
    rig.replies(&reset(port));
}

fn failing() -> Rig {
    let mut rig = Rig::new();
    for port in 1..=4 {
        fail(&mut rig, port);
    }
    assert!(rig.agent.is_failing());
    rig
}

/// Guards against a backend server that resets every request and, as its slots are always free,
/// attracts more flows than its siblings.
#[test]
fn resets_instead_of_answers_send_new_flows_to_siblings() {
    let mut rig = failing();
    let probe = rig.first(&header(&[ME, 2, 3, 4]), &syn(flow(10)));
    assert_eq!(probe, Action::Deliver(Reason::Probe));
    let passed = rig.passed(&header(&[ME, 2, 3, 4]), &syn(flow(11)));
    assert_eq!(target(&passed), 2);
    // Any sibling that is up is lighter.
    let (_, least) = passed.hints.least_loaded.unwrap();
    assert!(load(90, 2, 99) < least, "{least:?}");
}

/// Guards against a service of which no backend server gets flows because all fail some requests.
#[test]
fn the_last_resort_still_takes_flows() {
    let mut rig = failing();
    let alone = header(&[ME]);
    rig.first(&alone, &syn(flow(10)));
    let mut back = header(&[ME]);
    back.flags.accept = true;
    let action = rig.first(&back, &syn(flow(11)));
    assert_eq!(action, Action::Deliver(Reason::Lightest));
}

/// Guards against a backend server that stays without flows after it has recovered.
#[test]
fn answered_probes_bring_flows_back() {
    let mut rig = failing();
    for port in 10..30 {
        rig.after(200);
        rig.open(flow(port));
        rig.serve(flow(port));
    }
    assert!(!rig.agent.is_failing());
    let action = rig.first(&header(&[ME, 2, 3, 4]), &syn(flow(50)));
    assert_eq!(action, Action::Deliver(Reason::FreeSlot));
}

/// Guards against a healthy backend server that counts as failing for resets that end no request:
/// after an answer, or for a flow that had ended.
#[test]
fn resets_of_idle_or_ended_flows_count_for_nothing() {
    let mut rig = Rig::new();
    for port in 1..=20 {
        rig.open(flow(port));
        rig.serve(flow(port));
        rig.replies(&reset(port));
        rig.replies(&reset(port));
        rig.packet(&header(&[ME, 2, 3, 4]), &data(flow(port), 500));
        rig.replies(&reset(port));
    }
    assert!(!rig.agent.is_failing());
}
