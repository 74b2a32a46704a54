//! Searches over all members of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use api::{Member, MemberState};
use forwarding::{Action, Backend, DropReason, Event, Reason};
use units::Flow;
use wire::{Flags, Header};

use crate::common::{Rig, address, backend, data, flow, header, load, member, table, target};

/// Members of a service, a fifth in each of five data centres.
const MEMBERS: u8 = 45;

/// A service with an agent for each member.
struct Agents(BTreeMap<u8, Rig>);

impl Agents {
    fn new(backend: &Backend) -> Self {
        let rig = |n| (n, Rig::at(n, *backend, members()));
        Self((1..=MEMBERS).map(rig).collect())
    }

    fn at(&mut self, number: u8) -> &mut Rig {
        self.0.get_mut(&number).unwrap()
    }

    /// Lets time pass and delivers the notices that are due, but those of some agents.
    fn wait(&mut self, time: Duration, silent: &[u8]) {
        let ms = u64::try_from(time.as_millis()).unwrap();
        let mut notices = Vec::new();
        for (number, rig) in &mut self.0 {
            let actions = rig.after(ms);
            if !silent.contains(number) {
                notices.extend(actions.into_iter().filter_map(|action| match action {
                    Action::Notify { to, flows } => Some((*number, to.ip().octets()[3], flows)),
                    _ => None,
                }));
            }
        }
        for (from, to, flows) in notices {
            self.at(to).notice(from, flows, load(0, 2, 0));
        }
    }

    /// Sends a packet of a flow from the balancer; the agents that saw it, and what ended its way.
    /// Backend servers return what they are offered, but for the one that holds the flow.
    fn send(&mut self, header: &Header, flow: Flow, holder: Option<u8>) -> (Vec<u8>, Action) {
        let (mut seen, mut header) = (Vec::new(), *header);
        loop {
            let number = target(&header);
            seen.push(number);
            let rig = self.at(number);
            let mut action = rig.first(&header, &data(flow, 900));
            if action == Action::Deliver(Reason::Offer) && holder != Some(number) {
                action = rig.returned(&data(flow, 900)).remove(0);
            }
            match action {
                Action::Forward(next, _) => header = next,
                last => return (seen, last),
            }
            assert!(
                seen.len() <= 2 * usize::from(MEMBERS),
                "goes round: {seen:?}"
            );
        }
    }
}

fn members() -> Vec<Member> {
    let places = ["a", "b", "c", "d", "e"];
    let place = |n: u8| places[usize::from(n - 1) * places.len() / usize::from(MEMBERS)];
    (1..=MEMBERS).map(|n| member(n, place(n))).collect()
}

/// A balancer's list: the home 20, and agents of other data centres.
fn list() -> Header {
    header(&[20, 3, 12, 40])
}

fn not_held(flow: Flow) -> Action {
    Action::Reset {
        flow,
        seq: 901,
        reason: Reason::NotHeld,
    }
}

/// Backend server that started before its agent.
fn older() -> Backend {
    Backend {
        older: true,
        ..backend()
    }
}

/// Guards against a search that ends before the flow's own agent is asked: after all agents were
/// killed, 700 requests waited for their deadlines within two seconds.
#[test]
fn a_flow_is_found_at_any_member() {
    for holder in 1..=MEMBERS {
        let mut agents = Agents::new(&older());
        let (seen, last) = agents.send(&list(), flow(1), Some(holder));
        assert_eq!(last, Action::Deliver(Reason::Offer), "{holder}: {seen:?}");
        assert_eq!(seen.last(), Some(&holder));
    }
}

/// Guards against agents that see a packet twice, and against a search that leaves the data centre
/// of the flow's home before it is over there.
#[test]
fn a_search_visits_every_member_once_from_the_home_on() {
    let mut agents = Agents::new(&backend());
    // A home that has been up for long enough knows the owners near it.
    agents.at(20).after(60_000);
    let (seen, last) = agents.send(&list(), flow(1), None);
    assert_eq!(last, not_held(flow(1)));
    let expected: Vec<u8> = [20, 3, 12, 40]
        .into_iter()
        .chain(21..=39)
        .chain(41..=45)
        .chain([1, 2])
        .chain(4..=11)
        .chain(13..=19)
        .collect();
    assert_eq!(seen, expected);
    // One that started lately may have lost them.
    let mut agents = Agents::new(&backend());
    let (seen, last) = agents.send(&list(), flow(1), None);
    assert_eq!(last, not_held(flow(1)));
    let near: Vec<u8> = (20..=27).chain([19, 3, 12, 40]).collect();
    assert_eq!(seen[..12], near);
    assert_eq!(seen.len(), usize::from(MEMBERS));
    // The balancer took agent 7 for the owner; the home stands behind it.
    let mut owned = header(&[7, 20]);
    owned.hints.owner_first = true;
    let (seen, last) = agents.send(&owned, flow(1), None);
    assert_eq!(last, not_held(flow(1)));
    assert_eq!(seen[..4], [7, 20, 21, 22]);
    assert_eq!(seen.len(), usize::from(MEMBERS));
}

/// Guards against a search that an agent takes for a new flow, or redirects to itself.
#[test]
fn a_search_is_marked() {
    let mut agents = Agents::new(&backend());
    let mut end = list();
    end.hop = 3;
    let next = agents.at(40).passed(&end, &data(flow(1), 900));
    let search = Flags {
        lookup: true,
        accept: false,
    };
    assert_eq!((next.flags, target(&next)), (search, 21));
}

/// Guards against a reset of a flow that lives: one member can't say whether it holds it, its table
/// lacks a member, or the last one's does.
#[test]
fn doubt_and_missing_members_keep_a_flow() {
    let dropped = Action::Drop(DropReason::Unknown);
    for number in [20, 12, 30, 45, 19] {
        let mut agents = Agents::new(&backend());
        agents.at(number).event(Event::Backend(None));
        let (seen, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, dropped, "agent {number} without its backend server");
        assert_eq!(seen.len(), usize::from(MEMBERS));
    }
    for number in [41, 30, 18] {
        let mut agents = Agents::new(&backend());
        let without = |number| {
            let all = members().into_iter();
            all.filter(move |member| member.packets != address(number))
        };
        *agents.at(number) = Rig::at(number, backend(), without(number + 1).collect());
        for other in (1..=MEMBERS).filter(|other| *other != number) {
            agents.at(other).event(Event::Table(&table(3, members())));
        }
        let (_, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, dropped, "agent {number} with an older table");
    }
}

/// Guards against a search without end where tables differ or services are large.
#[test]
fn a_search_is_bounded() {
    let mut agents = Agents::new(&backend());
    let mut end = list();
    end.hop = 3;
    let mut next = agents.at(40).passed(&end, &data(flow(1), 900));
    for _ in 0..127 {
        let mut sweep = next.hints.sweep.unwrap();
        sweep = sweep.visited(address(200));
        next.hints.sweep = Some(sweep);
    }
    let action = agents.at(21).first(&next, &data(flow(1), 900));
    assert_eq!(action, Action::Drop(DropReason::Unknown));
}

/// Guards against callers that wait while a member that is gone is still in the table: a search
/// stopped there until the lease ended, 4 s after a loss of power.
#[test]
fn a_search_passes_over_members_that_are_gone() {
    let gone = [24, 25, 45];
    let mut agents = Agents::new(&backend());
    for _ in 0..10 {
        agents.wait(Duration::from_millis(250), &gone);
    }
    let (seen, last) = agents.send(&list(), flow(1), None);
    assert_eq!(last, not_held(flow(1)));
    assert!(gone.iter().all(|n| !seen.contains(n)), "{seen:?}");
    assert_eq!(seen.len(), usize::from(MEMBERS) - gone.len());
}

/// Guards against a reset of a flow at a member that is only late: a notice may be lost, and an agent
/// may start anew.
#[test]
fn a_member_that_missed_some_notices_is_visited() {
    let mut agents = Agents::new(&backend());
    for _ in 0..5 {
        agents.wait(Duration::from_millis(250), &[24]);
    }
    let (seen, _) = agents.send(&list(), flow(1), None);
    assert!(seen.contains(&24));
}

/// Guards against resets by an agent that stood still for some seconds: it has heard nobody.
#[test]
fn an_agent_that_stood_still_takes_nobody_for_gone() {
    let mut agents = Agents::new(&backend());
    agents.at(40).now += Duration::from_secs(6);
    let mut end = list();
    end.hop = 3;
    let next = agents.at(40).passed(&end, &data(flow(1), 900));
    assert_eq!(target(&next), 21);
}

/// Guards against an agent that takes all others for gone because it is draining itself.
#[test]
fn a_draining_member_hears_the_others() {
    let mut agents = Agents::new(&backend());
    let mut drained = members();
    drained[29].state = MemberState::Draining;
    for rig in agents.0.values_mut() {
        rig.event(Event::Table(&table(3, drained.clone())));
    }
    for _ in 0..12 {
        agents.wait(Duration::from_millis(250), &[]);
    }
    let (seen, last) = agents.send(&list(), flow(1), None);
    assert_eq!(
        (seen.len(), last),
        (usize::from(MEMBERS), not_held(flow(1)))
    );
}

/// Guards against searches that end at an agent which is being restarted: with three rolling
/// restarts at once, six searches in a row came upon one, and the flow's own agent was not asked for
/// three seconds.
#[test]
fn agents_that_stop_are_passed_over_until_the_next_process_is_heard() {
    let mut agents = Agents::new(&older());
    for rig in agents.0.values_mut() {
        rig.leaves(21);
        rig.leaves(12);
    }
    let (seen, last) = agents.send(&list(), flow(1), Some(30));
    assert_eq!(last, Action::Deliver(Reason::Offer), "{seen:?}");
    assert!(!seen.contains(&21) && !seen.contains(&12), "{seen:?}");
    for rig in agents.0.values_mut() {
        // The last load notice of the process may come late.
        rig.notice(21, vec![], load(0, 2, 0));
        rig.follows(12);
    }
    let (seen, _) = agents.send(&list(), flow(2), Some(30));
    assert!(!seen.contains(&21) && seen.contains(&12), "{seen:?}");
}

/// Guards against the reset of a flow whose agent is being restarted.
#[test]
fn no_reset_while_a_member_is_passed_over() {
    for away in [12, 21] {
        let mut agents = Agents::new(&backend());
        for rig in agents.0.values_mut() {
            rig.leaves(away);
        }
        let (seen, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, Action::Drop(DropReason::Unknown), "{seen:?}");
        for rig in agents.0.values_mut() {
            rig.follows(away);
        }
        let (_, last) = agents.send(&list(), flow(1), None);
        assert_eq!(last, not_held(flow(1)));
    }
}

/// Guards against siblings that go on sending to a process that stops, or that pass over the one
/// which took its place: both are told to each sibling at once.
#[test]
fn every_sibling_hears_of_a_stop_and_of_a_start() {
    let told = |actions: Vec<Action>| {
        let notices = actions
            .iter()
            .filter(|action| matches!(action, Action::Notify { .. }));
        notices.count()
    };
    let mut rig = Rig::bare();
    let first = rig.event(Event::Table(&table(2, members())));
    assert_eq!(told(first), usize::from(MEMBERS) - 1);
    let next = rig.event(Event::Table(&table(3, members())));
    assert_eq!(told(next), 0);
    let last = rig.event(Event::Leave);
    assert!(rig.agent.is_leaving());
    assert_eq!(told(last), usize::from(MEMBERS) - 1);
}
