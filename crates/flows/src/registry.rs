//! Tells the first choices of held flows who owns them.
//!
//! Notices travel in datagrams that may be lost, or arrive before the table
//! that names their owner, so each registration is repeated until a packet
//! shows that the first choice sends the flow straight here. Half-open flows
//! are registered too: their first acknowledgement may come through a balancer
//! whose table does not lead here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use tokio::time::Instant;
use units::Flow;
use wire::{Candidate, MAX_NOTICE_FLOWS};

use crate::{Action, Flows};

/// Wait before the first repeat; doubles with each one. Five repeats fall into
/// the time in which unknown flows are dropped instead of reset.
const FIRST_WAIT: Duration = Duration::from_millis(250);

/// Doublings until the longest wait of 64 s; idle flows may stay unconfirmed for long.
const MAX_DOUBLINGS: u8 = 8;

/// Registrations to repeat, by time; stale entries differ from the due time of their flow.
pub(crate) type Repeats = BinaryHeap<Reverse<(Instant, Flow)>>;

/// Flows to tell each agent about, in the order of addresses.
type Lists = BTreeMap<(std::net::SocketAddrV4, u64), (Candidate, Vec<Flow>)>;

impl Flows {
    /// Registers every flow whose first choice moved.
    pub(crate) fn register_moved(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut moved: Vec<Flow> = self
            .held
            .iter()
            .filter(|(flow, held)| self.first_elsewhere(flow) != held.registered)
            .map(|(flow, _)| *flow)
            .collect();
        // The map's order is random.
        moved.sort_unstable();
        self.register(now, moved, out);
    }

    /// Registers flows with their first choices.
    pub(crate) fn register(&mut self, now: Instant, flows: Vec<Flow>, out: &mut Vec<Action>) {
        let mut lists = Lists::new();
        for flow in flows {
            let first = self.first_elsewhere(&flow);
            if let Some(held) = self.held.get_mut(&flow) {
                held.registered = first;
                held.repeats = 0;
                held.due = first.map(|_| now + FIRST_WAIT);
            }
            if let Some(first) = first {
                self.repeats.push(Reverse((now + FIRST_WAIT, flow)));
                add(&mut lists, first, flow);
            }
        }
        notify(lists, out);
    }

    /// Repeats the registrations that are due.
    pub(crate) fn repeat(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut lists = Lists::new();
        while let Some(Reverse((due, flow))) = self.repeats.peek().copied()
            && due <= now
        {
            self.repeats.pop();
            let Some(held) = self.held.get_mut(&flow).filter(|h| h.due == Some(due)) else {
                continue;
            };
            let Some(to) = held.registered else { continue };
            held.repeats = (held.repeats + 1).min(MAX_DOUBLINGS);
            let next = now + FIRST_WAIT * (1 << held.repeats);
            held.due = Some(next);
            self.repeats.push(Reverse((next, flow)));
            add(&mut lists, to, flow);
        }
        notify(lists, out);
    }

    /// First choice of a flow by the current table, if that is another agent.
    fn first_elsewhere(&self, flow: &Flow) -> Option<Candidate> {
        let ranker = self.ranker.as_ref()?;
        let first = ranker.first(flow.hash())?;
        Some(ranker.members()[first].candidate).filter(|first| *first != self.me)
    }
}

fn add(lists: &mut Lists, to: Candidate, flow: Flow) {
    let key = (to.address, to.incarnation.0);
    lists.entry(key).or_insert((to, Vec::new())).1.push(flow);
}

fn notify(lists: Lists, out: &mut Vec<Action>) {
    for (to, flows) in lists.into_values() {
        for part in flows.chunks(MAX_NOTICE_FLOWS) {
            let flows = part.to_vec();
            out.push(Action::Notify { to, flows });
        }
    }
}
