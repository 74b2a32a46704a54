//! Refusals of SYNs: one may be sent only if no copy of the SYN opens the flow.

use std::time::Duration;

use dispatch::{Action, DispatchSettings, DropReason};
use wire::{Header, Segment};

use crate::common::{Harness, OTHER, SERVICE, agents, directory, flow, route, syn};

const REFUSED: [Action; 1] = [Action::Refuse(DropReason::NotPlaced)];
const KEPT: [Action; 1] = [Action::Drop(DropReason::MayBeOpen)];

/// Times after the first SYN at which copies are sent.
const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

fn harness() -> Harness {
    let settings = DispatchSettings {
        syn_copies: &SYN_COPIES,
        ..DispatchSettings::default()
    };
    Harness::with_settings(settings, vec![route(80, &[(SERVICE, 1)], &[])])
}

/// The SYN of flow 1, or a copy of it.
fn copy(number: u32) -> Segment {
    Segment {
        ack_number: number,
        ..syn(flow(1, 80))
    }
}

/// Sends a copy of the SYN to an agent, which queues it.
fn queue(harness: &mut Harness, number: u32) -> Header {
    let header = harness.sent_header(&copy(number));
    harness.notice(agents(&header)[0], copy(number).flow);
    header
}

/// Sends the SYN and its copies when they are due; returns their headers at the time of the last one.
fn queue_copies(harness: &mut Harness, count: u32) -> Vec<Header> {
    let times = [0, 200, 400];
    let copies = (0..count).zip(times);
    let queued = copies.map(|(number, wait)| {
        harness.advance(wait);
        queue(harness, number)
    });
    queued.collect()
}

/// Guards against callers that wait for their own timeout although no agent accepts their flow.
#[test]
fn syn_that_no_agent_accepts_is_refused_at_once() {
    let mut harness = harness();
    let header = harness.sent_header(&copy(0));
    assert!(header.hints.return_unheld);
    assert_eq!(harness.unplaced(&header, &copy(0)), REFUSED);
    assert_eq!(harness.advance(1_000), [], "no further agent gets it");
}

/// Guards against callers that wait although every copy that they sent came back.
#[test]
fn copies_that_all_came_back_are_refused() {
    for count in [2, 3] {
        let mut harness = harness();
        let headers = queue_copies(&mut harness, count);
        harness.advance(100);
        let (first, copies) = headers.split_first().unwrap();
        for (header, number) in copies.iter().zip(1..) {
            assert_eq!(harness.unplaced(header, &copy(number)), KEPT);
        }
        assert_eq!(harness.unplaced(first, &copy(0)), REFUSED);
    }
}

/// Guards against the reset of a flow that a copy of its SYN opened at another agent.
#[test]
fn syn_is_not_refused_while_a_copy_is_at_another_agent() {
    let mut harness = harness();
    let first = queue(&mut harness, 0);
    harness.advance(200);
    harness.sent_header(&copy(1));
    assert_eq!(harness.advance(40).len(), 1, "sent to the next candidate");
    harness.advance(60);
    assert_eq!(harness.unplaced(&first, &copy(0)), KEPT);
}

/// Guards against the same if the notice of the agent that queued the SYN is lost, so that it is sent to
/// a second agent.
#[test]
fn syn_is_not_refused_while_one_of_two_agents_has_it() {
    let mut harness = harness();
    let first = harness.sent_header(&copy(0));
    let second = harness.advance(40)[0];
    assert_eq!(harness.unplaced(&first, &copy(0)), KEPT);
    assert_eq!(harness.unplaced(&second, &copy(0)), REFUSED);
}

/// Guards against the same if an agent delivered the SYN and sent a copy on, as the backend server didn't
/// answer in time.
#[test]
fn syn_is_not_refused_if_an_agent_copied_it() {
    let mut harness = harness();
    let mut header = harness.sent_header(&copy(0));
    header.hints.owner_uncertain = true;
    assert_eq!(harness.unplaced(&header, &copy(0)), KEPT);
    let header = harness.sent_header(&copy(1));
    assert_eq!(harness.unplaced(&header, &copy(1)), KEPT);
}

/// Guards against the same if the next copy may have entered at another balancer; and against callers that
/// wait longer than it takes to see whether it did.
#[test]
fn syn_is_not_refused_once_the_next_copy_may_be_elsewhere() {
    for (count, last_ms) in [(1, 149), (2, 349)] {
        for (ms, expected) in [(last_ms, REFUSED), (last_ms + 1, KEPT)] {
            let mut harness = harness();
            let headers = queue_copies(&mut harness, count);
            let (last, others) = headers.split_last().unwrap();
            for (header, number) in others.iter().zip(0..) {
                harness.unplaced(header, &copy(number));
            }
            harness.advance(ms);
            assert_eq!(harness.unplaced(last, &copy(count - 1)), expected);
            // The next copy shows that it came here.
            harness.advance(51);
            assert_eq!(harness.packet(&copy(count)), REFUSED);
        }
    }
}

/// Guards against the same if an earlier copy entered at another balancer, or a packet came twice.
#[test]
fn syn_is_not_refused_if_copies_are_missing() {
    for numbers in [&[1][..], &[2], &[0, 2], &[0, 0], &[1, 0]] {
        let mut harness = harness();
        let headers: Vec<_> = numbers.iter().map(|n| queue(&mut harness, *n)).collect();
        for (header, number) in headers.iter().zip(numbers) {
            assert_eq!(
                harness.unplaced(header, &copy(*number)),
                KEPT,
                "{numbers:?}"
            );
        }
    }
}

/// Guards against the same if this process was paused, so that the SYN waited in its socket while the
/// caller's next copy entered at another balancer.
#[test]
fn syn_is_not_refused_if_it_may_have_waited_in_the_socket() {
    for (ms, expected) in [(149, REFUSED), (150, KEPT)] {
        let mut harness = harness();
        harness.drained_ago = Duration::from_millis(ms);
        let header = harness.sent_header(&copy(0));
        assert_eq!(harness.unplaced(&header, &copy(0)), expected);
    }
}

/// Guards against the same if the route was moved between a SYN and its copy, so that an agent of another
/// service has the copy.
#[test]
fn syn_is_not_refused_while_a_copy_is_at_another_service() {
    let mut harness = harness();
    let first = queue(&mut harness, 0);
    harness.directory = directory(vec![route(80, &[(OTHER, 1)], &[SERVICE])]);
    harness.advance(200);
    let second = queue(&mut harness, 1);
    assert_eq!((first.service, second.service), (SERVICE, OTHER));
    assert_eq!(harness.unplaced(&first, &copy(0)), KEPT);
    assert_eq!(harness.unplaced(&second, &copy(1)), REFUSED);
}

/// Guards against the same by this balancer's own refusals: its view may be older than that under which
/// another copy was delivered.
#[test]
fn copy_without_a_route_is_not_refused() {
    let dropped = [Action::Drop(DropReason::NoRoute)];
    let mut harness = harness();
    queue(&mut harness, 0);
    harness.directory = directory(vec![route(81, &[(SERVICE, 1)], &[])]);
    assert_eq!(harness.packet(&copy(1)), dropped);
    let mut other = self::harness();
    other.directory = harness.directory;
    assert_eq!(other.packet(&copy(1)), dropped);
}

/// Guards against mixing up attempts of callers that use the same addresses again.
#[test]
fn attempts_with_the_same_addresses_are_told_apart() {
    let mut harness = harness();
    let first = queue(&mut harness, 0);
    let next = Segment { seq: 77, ..copy(0) };
    let second = harness.sent_header(&next);
    assert_eq!(harness.unplaced(&first, &copy(0)), KEPT);
    assert_eq!(harness.unplaced(&second, &next), REFUSED);
}
