//! Registration of owned flows with their first choices.
//!
//! Notices are datagrams that may be lost, or arrive before the table that
//! contains their owner, so each registration is retried until a packet shows
//! that the first choice redirects the flow to this agent. Half-open flows are
//! registered too: their first acknowledgement may come through a balancer
//! whose table does not lead to this agent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use tokio::time::Instant;
use units::Flow;
use wire::{Candidate, MAX_NOTICE_FLOWS};

use crate::{Action, Flows};

/// Delay before the first retry; doubles with each retry. Five retries fit into the time in which
/// packets of unknown flows are dropped instead of reset.
const FIRST_DELAY: Duration = Duration::from_millis(250);

/// Doublings up to the longest delay of 64 s; idle flows may stay unconfirmed for a long time.
const MAX_DOUBLINGS: u8 = 8;

/// Registrations to retry, by time. An entry is stale if its time differs from the flow's
/// `retry_at`.
pub(crate) type Retries = BinaryHeap<Reverse<(Instant, Flow)>>;

/// Flows to register with each agent, in the order of agent addresses.
type FlowsByAgent = BTreeMap<(std::net::SocketAddrV4, u64), (Candidate, Vec<Flow>)>;

impl Flows {
    /// Registers every flow whose first choice changed.
    pub(crate) fn register_moved(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut moved: Vec<Flow> = self
            .owned
            .iter()
            .filter(|(flow, owned)| self.remote_first_choice(flow) != owned.registered_with)
            .map(|(flow, _)| *flow)
            .collect();
        // The iteration order of the map is random.
        moved.sort_unstable();
        self.register(now, moved, out);
    }

    /// Registers flows with their first choices.
    pub(crate) fn register(&mut self, now: Instant, flows: Vec<Flow>, out: &mut Vec<Action>) {
        let mut flows_by_agent = FlowsByAgent::new();
        for flow in flows {
            let first = self.remote_first_choice(&flow);
            if let Some(owned) = self.owned.get_mut(&flow) {
                owned.registered_with = first;
                owned.retries = 0;
                owned.retry_at = first.map(|_| now + FIRST_DELAY);
            }
            if let Some(first) = first {
                self.retries.push(Reverse((now + FIRST_DELAY, flow)));
                add(&mut flows_by_agent, first, flow);
            }
        }
        notify(flows_by_agent, out);
    }

    /// Retries the registrations that are due.
    pub(crate) fn retry_registrations(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut flows_by_agent = FlowsByAgent::new();
        while let Some(Reverse((due, flow))) = self.retries.peek().copied()
            && due <= now
        {
            self.retries.pop();
            let Some(owned) = self
                .owned
                .get_mut(&flow)
                .filter(|o| o.retry_at == Some(due))
            else {
                continue;
            };
            let Some(to) = owned.registered_with else {
                continue;
            };
            owned.retries = (owned.retries + 1).min(MAX_DOUBLINGS);
            let next = now + FIRST_DELAY * (1 << owned.retries);
            owned.retry_at = Some(next);
            self.retries.push(Reverse((next, flow)));
            add(&mut flows_by_agent, to, flow);
        }
        notify(flows_by_agent, out);
    }

    /// First choice of a flow in the current table, if that is another agent.
    fn remote_first_choice(&self, flow: &Flow) -> Option<Candidate> {
        let ranker = self.ranker.as_ref()?;
        let first = ranker.first(flow.hash())?;
        Some(ranker.members()[first].candidate).filter(|first| *first != self.local)
    }
}

fn add(flows_by_agent: &mut FlowsByAgent, to: Candidate, flow: Flow) {
    let key = (to.address, to.incarnation.0);
    flows_by_agent
        .entry(key)
        .or_insert((to, Vec::new()))
        .1
        .push(flow);
}

fn notify(flows_by_agent: FlowsByAgent, out: &mut Vec<Action>) {
    for (to, flows) in flows_by_agent.into_values() {
        for part in flows.chunks(MAX_NOTICE_FLOWS) {
            let flows = part.to_vec();
            out.push(Action::Notify { to, flows });
        }
    }
}
