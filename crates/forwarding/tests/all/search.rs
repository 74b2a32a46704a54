//! Searches over all members of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use api::{Member, MemberState};
use forwarding::{Action, Backend, DropReason, Event, Reason};
use units::Flow;
use wire::{Flags, Header};

use crate::common::{
    Fixture, address, assert_not_held, backend, data, flow, header, load, member, table, target,
};

/// Members of a service, a fifth in each of five data centres.
const MEMBERS: u8 = 45;

/// A service with an agent for each member.
struct Agents(BTreeMap<u8, Fixture>);

impl Agents {
    fn new(backend: &Backend) -> Self {
        let fixture = |n| (n, Fixture::for_agent(n, *backend, members()));
        Self((1..=MEMBERS).map(fixture).collect())
    }

    fn agent(&mut self, number: u8) -> &mut Fixture {
        self.0.get_mut(&number).unwrap()
    }

    /// Advances the time and delivers the notices that are due, except those of the `silent`
    /// agents.
    fn advance(&mut self, time: Duration, silent: &[u8]) {
        let ms = u64::try_from(time.as_millis()).unwrap();
        let mut notices = Vec::new();
        for (number, fixture) in &mut self.0 {
            let actions = fixture.advance(ms);
            if !silent.contains(number) {
                notices.extend(actions.into_iter().filter_map(|action| match action {
                    Action::Notify { to, flows } => Some((*number, to.ip().octets()[3], flows)),
                    _ => None,
                }));
            }
        }
        for (from, to, flows) in notices {
            self.agent(to).notice(from, flows, load(0, 2, 0));
        }
    }

    /// Sends a packet of a flow from the balancer; returns the agents it visited and the final
    /// action. Backend servers return offered packets, except the one that has the flow.
    fn send(&mut self, header: &Header, flow: Flow, holder: Option<u8>) -> (Vec<u8>, Action) {
        let (mut visited, mut header) = (Vec::new(), *header);
        loop {
            let number = target(&header);
            visited.push(number);
            let fixture = self.agent(number);
            let mut action = fixture.packet_action(&header, &data(flow, 900));
            if action == Action::Deliver(Reason::Offer) && holder != Some(number) {
                action = fixture.returned(&data(flow, 900)).remove(0);
            }
            match action {
                Action::Forward(next, _) => header = next,
                last => return (visited, last),
            }
            assert!(
                visited.len() <= 2 * usize::from(MEMBERS),
                "packet loops: {visited:?}"
            );
        }
    }
}

fn members() -> Vec<Member> {
    let centres = ["a", "b", "c", "d", "e"];
    let centre = |n: u8| centres[usize::from(n - 1) * centres.len() / usize::from(MEMBERS)];
    (1..=MEMBERS).map(|n| member(n, centre(n))).collect()
}

/// A balancer's list: home agent 20, and agents of other data centres.
fn list() -> Header {
    header(&[20, 3, 12, 40])
}

/// Backend server that started before its agent.
fn backend_predating_agent() -> Backend {
    Backend {
        predates_agent: true,
        ..backend()
    }
}

/// Guards against a search that ends before it visits the flow's own agent: in the two seconds
/// after all agents were killed, 700 requests waited until their deadlines.
#[test]
fn flow_is_found_at_any_member() {
    for holder in 1..=MEMBERS {
        let mut agents = Agents::new(&backend_predating_agent());
        let (visited, last) = agents.send(&list(), flow(1), Some(holder));
        assert_eq!(
            last,
            Action::Deliver(Reason::Offer),
            "{holder}: {visited:?}"
        );
        assert_eq!(visited.last(), Some(&holder));
    }
}

/// Guards against a search that visits agents twice, or leaves the data centre of the flow's home
/// before it has visited all members there.
#[test]
fn search_visits_every_member_once_starting_at_the_home() {
    let mut agents = Agents::new(&backend());
    // A home that has run for longer than the maximum flow age knows the owners in its data centre.
    agents.agent(20).advance(60_000);
    let (visited, last) = agents.send(&list(), flow(1), None);
    assert_not_held(&last, 2);
    let expected: Vec<u8> = [20, 3, 12, 40]
        .into_iter()
        .chain(21..=39)
        .chain(41..=45)
        .chain([1, 2])
        .chain(4..=11)
        .chain(13..=19)
        .collect();
    assert_eq!(visited, expected);
    // A home that started recently may have lost registrations.
    let mut agents = Agents::new(&backend());
    let (visited, last) = agents.send(&list(), flow(1), None);
    assert_not_held(&last, 2);
    let near: Vec<u8> = (20..=27).chain([19, 3, 12, 40]).collect();
    assert_eq!(visited[..12], near);
    assert_eq!(visited.len(), usize::from(MEMBERS));
    // The balancer presumes agent 7 to be the owner; the home comes second.
    let mut owned = header(&[7, 20]);
    owned.hints.owner_first = true;
    let (visited, last) = agents.send(&owned, flow(1), None);
    assert_not_held(&last, 2);
    assert_eq!(visited[..4], [7, 20, 21, 22]);
    assert_eq!(visited.len(), usize::from(MEMBERS));
}

/// Guards against a search packet that an agent treats as a new flow or redirects to itself.
#[test]
fn search_sets_the_lookup_flag() {
    let mut agents = Agents::new(&backend());
    let mut end = list();
    end.hop = 3;
    let next = agents.agent(40).forwarded_header(&end, &data(flow(1), 900));
    let search = Flags {
        lookup: true,
        accept: false,
    };
    assert_eq!((next.flags, target(&next)), (search, 21));
}

/// Guards against a reset of an open flow when one member can't tell whether it has the flow, or
/// when the table of a visited member, including the last one, lacks a member.
#[test]
fn no_reset_if_a_member_is_uncertain_or_missing() {
    let dropped = Action::Drop(DropReason::Unknown);
    for number in [20, 12, 30, 45, 19] {
        let mut agents = Agents::new(&backend());
        agents.agent(number).event(Event::Backend(None));
        let (visited, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, dropped, "agent {number} without its backend server");
        assert_eq!(visited.len(), usize::from(MEMBERS));
    }
    for number in [41, 30, 18] {
        let mut agents = Agents::new(&backend());
        let without = |number| {
            let all = members().into_iter();
            all.filter(move |member| member.packets != address(number))
        };
        *agents.agent(number) =
            Fixture::for_agent(number, backend(), without(number + 1).collect());
        for other in (1..=MEMBERS).filter(|other| *other != number) {
            agents
                .agent(other)
                .event(Event::Table(&table(3, members())));
        }
        let (_, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, dropped, "agent {number} with an older table");
    }
}

/// Guards against an endless search when tables differ or services are large.
#[test]
fn search_is_bounded() {
    let mut agents = Agents::new(&backend());
    let mut end = list();
    end.hop = 3;
    let mut next = agents.agent(40).forwarded_header(&end, &data(flow(1), 900));
    for _ in 0..127 {
        let mut sweep = next.hints.sweep.unwrap();
        sweep = sweep.visited(address(200));
        next.hints.sweep = Some(sweep);
    }
    let action = agents.agent(21).packet_action(&next, &data(flow(1), 900));
    assert_eq!(action, Action::Drop(DropReason::Unknown));
}

/// Guards against a search that stops at a member which is down but still in the table: after a
/// power failure, searches ended there for 4 s, until the lease expired.
#[test]
fn search_skips_members_that_are_down() {
    let down = [24, 25, 45];
    let mut agents = Agents::new(&backend());
    for _ in 0..4 {
        agents.advance(Duration::from_millis(250), &[]);
    }
    for _ in 0..10 {
        agents.advance(Duration::from_millis(250), &down);
    }
    let (visited, last) = agents.send(&list(), flow(1), None);
    assert_not_held(&last, 2);
    assert!(down.iter().all(|n| !visited.contains(n)), "{visited:?}");
    assert_eq!(visited.len(), usize::from(MEMBERS) - down.len());
}

/// Guards against a reset of a flow at a member that the last agents of a search have not heard yet, as it
/// or they just joined (review/5).
#[test]
fn member_that_was_never_heard_may_have_the_flow() {
    let silent = [24, 25, 45];
    let mut agents = Agents::new(&backend());
    for _ in 0..10 {
        agents.advance(Duration::from_millis(250), &silent);
    }
    let (visited, last) = agents.send(&list(), flow(1), None);
    assert_eq!(last, Action::Drop(DropReason::Unknown));
    // The others are searched all the same.
    assert_eq!(visited.len(), usize::from(MEMBERS) - silent.len());
}

/// Guards against a reset of a flow whose agent takes longer to restart than most.
#[test]
fn member_that_stopped_may_have_the_flow_until_it_is_heard() {
    let mut agents = Agents::new(&backend());
    for _ in 0..4 {
        agents.advance(Duration::from_millis(250), &[]);
    }
    for fixture in agents.0.values_mut() {
        fixture.announce_shutdown(24);
    }
    for _ in 0..16 {
        agents.advance(Duration::from_millis(250), &[24]);
    }
    let (_, last) = agents.send(&list(), flow(1), None);
    assert_eq!(last, Action::Drop(DropReason::Unknown));
}

/// Guards against a reset of a flow at a member that missed only some notices: notices may be lost,
/// and an agent may restart.
#[test]
fn member_that_missed_some_notices_is_visited() {
    let mut agents = Agents::new(&backend());
    for _ in 0..5 {
        agents.advance(Duration::from_millis(250), &[24]);
    }
    let (visited, _) = agents.send(&list(), flow(1), None);
    assert!(visited.contains(&24));
}

/// Guards against wrong resets by an agent that was paused for some seconds and thus has no recent
/// notices of any sibling.
#[test]
fn paused_agent_considers_no_member_down() {
    let mut agents = Agents::new(&backend());
    agents.agent(40).now += Duration::from_secs(6);
    let mut end = list();
    end.hop = 3;
    let next = agents.agent(40).forwarded_header(&end, &data(flow(1), 900));
    assert_eq!(target(&next), 21);
}

/// Guards against a draining agent that gets no notices and considers all others down.
#[test]
fn draining_member_receives_load_notices() {
    let mut agents = Agents::new(&backend());
    let mut drained = members();
    drained[29].state = MemberState::Draining;
    for fixture in agents.0.values_mut() {
        fixture.event(Event::Table(&table(3, drained.clone())));
    }
    for _ in 0..12 {
        agents.advance(Duration::from_millis(250), &[]);
    }
    let (visited, last) = agents.send(&list(), flow(1), None);
    assert_eq!(visited.len(), usize::from(MEMBERS));
    assert_not_held(&last, 3);
}

/// Guards against searches that end at a restarting agent: with three rolling restarts at the same
/// time, six consecutive searches ended at one, and the flow's own agent got no packet for three
/// seconds.
#[test]
fn stopping_agents_are_skipped_until_their_next_process_sends_a_notice() {
    let mut agents = Agents::new(&backend_predating_agent());
    for fixture in agents.0.values_mut() {
        fixture.announce_shutdown(21);
        fixture.announce_shutdown(12);
    }
    let (visited, last) = agents.send(&list(), flow(1), Some(30));
    assert_eq!(last, Action::Deliver(Reason::Offer), "{visited:?}");
    assert!(
        !visited.contains(&21) && !visited.contains(&12),
        "{visited:?}"
    );
    for fixture in agents.0.values_mut() {
        // The last load notice of the stopping process may be delayed.
        fixture.notice(21, vec![], load(0, 2, 0));
        fixture.announce_restart(12);
    }
    let (visited, _) = agents.send(&list(), flow(2), Some(30));
    assert!(
        !visited.contains(&21) && visited.contains(&12),
        "{visited:?}"
    );
}

/// Guards against the reset of a flow whose agent is restarting.
#[test]
fn no_reset_while_a_member_is_skipped() {
    for restarting in [12, 21] {
        let mut agents = Agents::new(&backend());
        for fixture in agents.0.values_mut() {
            fixture.announce_shutdown(restarting);
        }
        let (visited, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, Action::Drop(DropReason::Unknown), "{visited:?}");
        for fixture in agents.0.values_mut() {
            fixture.announce_restart(restarting);
        }
        let (_, last) = agents.send(&list(), flow(1), None);
        assert_not_held(&last, 2);
    }
}

/// Guards against siblings that keep sending to a stopping process, or skip the process that replaced
/// it: every sibling is notified of both immediately.
#[test]
fn every_sibling_is_notified_of_shutdown_and_startup() {
    let notice_count = |actions: Vec<Action>| {
        let notices = actions
            .iter()
            .filter(|action| matches!(action, Action::Notify { .. }));
        notices.count()
    };
    let mut fixture = Fixture::without_backend();
    let first = fixture.event(Event::Table(&table(2, members())));
    assert_eq!(notice_count(first), usize::from(MEMBERS) - 1);
    let next = fixture.event(Event::Table(&table(3, members())));
    assert_eq!(notice_count(next), 0);
    let last = fixture.event(Event::Leave);
    assert!(fixture.forwarder.is_leaving());
    assert_eq!(notice_count(last), usize::from(MEMBERS) - 1);
}
