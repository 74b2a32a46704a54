//! Member table of one service with its recent changes.

use std::collections::{BTreeMap, VecDeque};

use api::{Member, Table, TableDelta, TableUpdate};
use serde::{Deserialize, Serialize};
use units::{Epoch, HostName, Incarnation, Millis, ServiceId};

use crate::TableChange;

/// Changes kept per service for deltas.
pub const MAX_HISTORY: usize = 1_024;

/// Most members of a service; the design size has 28,000 hosts in 2,100 services.
pub const MAX_MEMBERS: usize = 4_096;

/// Hosts whose highest incarnation is remembered per service after they left.
const MAX_KNOWN: usize = 2 * MAX_MEMBERS;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    /// Log index of the change.
    index: u64,
    to: Epoch,
    put: Vec<Member>,
    gone: Vec<(HostName, Incarnation)>,
}

/// Current table, history and known incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableLog {
    pub(crate) table: Table,
    history: VecDeque<Step>,
    known: BTreeMap<HostName, Incarnation>,
    /// Log index of the newest change.
    index: u64,
    /// Log index of the table from which the kept history starts.
    start: u64,
}

impl TableLog {
    /// Table without members at epoch 1.
    pub(crate) fn new(service: ServiceId, now: Millis, index: u64) -> Self {
        Self {
            index,
            start: index,
            table: Table {
                service,
                epoch: Epoch(1),
                changed: now,
                members: Vec::new(),
            },
            history: VecDeque::new(),
            known: BTreeMap::new(),
        }
    }

    /// Highest incarnation that a host ever had here.
    pub(crate) fn known(&self, host: &HostName) -> Option<Incarnation> {
        self.known.get(host).copied()
    }

    fn find(&self, host: &HostName, start: Incarnation) -> Option<&Member> {
        let is = |m: &&Member| m.host == *host && m.incarnation == start;
        self.table.members.iter().find(is)
    }

    /// Applies what is new in a change; returns it, or `None` if nothing is.
    pub(crate) fn apply(
        &mut self,
        now: Millis,
        index: u64,
        change: &TableChange,
    ) -> Option<TableChange> {
        let mut gone = change.gone.clone();
        gone.retain(|(host, start)| self.find(host, *start).is_some());
        gone.dedup();
        let mut put: Vec<Member> = Vec::new();
        let mut count = self.table.members.len() - gone.len();
        for member in &change.put {
            let old = self.find(&member.host, member.incarnation);
            let stale = old.is_none() && self.known(&member.host) > Some(member.incarnation);
            let leaves = gone
                .iter()
                .any(|(host, start)| *host == member.host && *start == member.incarnation);
            let full = old.is_none() && count >= MAX_MEMBERS;
            if stale || leaves || full || old == Some(member) {
                continue;
            }
            count += usize::from(old.is_none());
            put.push(member.clone());
        }
        if put.is_empty() && gone.is_empty() {
            return None;
        }
        self.remember(&put);
        self.index = index;
        let step = Step {
            index,
            to: self.table.epoch.next(),
            put: put.clone(),
            gone: gone.clone(),
        };
        let delta = TableDelta {
            service: self.table.service,
            from: self.table.epoch,
            to: step.to,
            changed: now,
            put: put.clone(),
            gone: gone.clone(),
        };
        self.table.apply(&TableUpdate::Delta(delta));
        self.history.push_back(step);
        if self.history.len() > MAX_HISTORY {
            self.start = self.history.pop_front().map_or(index, |step| step.index);
        }
        Some(TableChange {
            service: change.service,
            put,
            gone,
        })
    }

    fn remember(&mut self, put: &[Member]) {
        for member in put {
            let known = self.known.entry(member.host.clone()).or_default();
            *known = (*known).max(member.incarnation);
        }
        while self.known.len() > MAX_KNOWN {
            let present = |host: &HostName| self.table.members.iter().any(|m| m.host == *host);
            let absent = self.known.iter().filter(|(host, _)| !present(host));
            let Some(oldest) = absent
                .min_by_key(|(_, start)| **start)
                .map(|(host, _)| host.clone())
            else {
                break;
            };
            self.known.remove(&oldest);
        }
    }

    /// What a node lacks whose view reflects a log index; `None` if nothing.
    pub(crate) fn since(&self, index: u64) -> Option<TableUpdate> {
        if index >= self.index {
            return None;
        }
        let newer = self
            .history
            .iter()
            .filter(|step| step.index > index)
            .count();
        let held = Epoch(self.table.epoch.0 - newer as u64);
        // The node holds the table from which the oldest kept step starts, or a newer one.
        let covered = index >= self.start;
        let delta = covered.then(|| self.delta(held));
        match delta {
            Some(delta) if delta.put.len() + delta.gone.len() < self.table.members.len().max(2) => {
                Some(TableUpdate::Delta(delta))
            }
            _ => Some(TableUpdate::Snapshot(self.table.clone())),
        }
    }

    fn delta(&self, from: Epoch) -> TableDelta {
        let mut last: BTreeMap<(&HostName, Incarnation), Option<&Member>> = BTreeMap::new();
        for step in self.history.iter().filter(|step| step.to > from) {
            for (host, start) in &step.gone {
                last.insert((host, *start), None);
            }
            for member in &step.put {
                last.insert((&member.host, member.incarnation), Some(member));
            }
        }
        let gone = last.iter().filter(|(_, member)| member.is_none());
        TableDelta {
            service: self.table.service,
            from,
            to: self.table.epoch,
            changed: self.table.changed,
            put: last.values().filter_map(|member| member.cloned()).collect(),
            gone: gone
                .map(|((host, start), _)| ((*host).clone(), *start))
                .collect(),
        }
    }
}
