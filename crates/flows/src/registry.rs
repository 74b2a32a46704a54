//! Tells the first choices of held flows who owns them.
//!
//! Notices travel in datagrams that may be lost, so each registration is
//! repeated while unknown flows are still dropped instead of reset.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::Flow;
use wire::{Candidate, MAX_NOTICE_FLOWS};

use crate::{Action, Flows};

/// Repeats after a table change; all fall into the time in which unknown flows are dropped.
const REPEATS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(5),
];

/// Flows registered by the last table change, and the times of the repeats.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    flows: Vec<Flow>,
    due: Vec<Instant>,
}

impl Flows {
    /// Registers flows whose first choice moved.
    pub(crate) fn register(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(ranker) = &self.ranker else { return };
        let mut moved = Vec::new();
        for (flow, held) in self.held.iter_mut().filter(|(_, held)| held.established) {
            let first = ranker
                .first(flow.hash())
                .map(|index| ranker.members()[index].candidate)
                .filter(|first| *first != self.me);
            if first.is_some() && first != held.registered {
                moved.push(*flow);
            }
            held.registered = first;
        }
        // The map's order is random.
        moved.sort_unstable();
        self.registry = Registry {
            due: REPEATS.iter().rev().map(|wait| now + *wait).collect(),
            flows: moved,
        };
        self.announce(out);
    }

    /// Repeats the registrations that are due.
    pub(crate) fn repeat(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut due = false;
        while self.registry.due.last().is_some_and(|at| *at <= now) {
            self.registry.due.pop();
            due = true;
        }
        if due {
            self.announce(out);
        }
        if self.registry.due.is_empty() {
            self.registry.flows = Vec::new();
        }
    }

    fn announce(&self, out: &mut Vec<Action>) {
        let mut lists: BTreeMap<_, (Candidate, Vec<Flow>)> = BTreeMap::new();
        for flow in &self.registry.flows {
            let registered = self.held.get(flow).and_then(|held| held.registered);
            if let Some(to) = registered {
                let key = (to.address, to.incarnation);
                lists.entry(key).or_insert((to, Vec::new())).1.push(*flow);
            }
        }
        for (to, flows) in lists.into_values() {
            for part in flows.chunks(MAX_NOTICE_FLOWS) {
                let flows = part.to_vec();
                out.push(Action::Notify { to, flows });
            }
        }
    }
}
