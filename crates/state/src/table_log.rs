//! Member table of one service and its change history.

use std::collections::{BTreeMap, VecDeque};

use api::{Member, Table, TableDelta, TableUpdate};
use serde::{Deserialize, Serialize};
use units::{Epoch, HostName, Incarnation, Millis, ServiceId};

use crate::TableChange;

/// Changes kept per service to compute deltas.
pub const MAX_HISTORY: usize = 1_024;

/// Maximum number of members of a service; the design size has 28,000 hosts in 2,100 services.
pub const MAX_MEMBERS: usize = 4_096;

/// Maximum number of hosts per service whose highest incarnation is stored, including hosts that left.
const MAX_KNOWN_HOSTS: usize = 2 * MAX_MEMBERS;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct HistoryEntry {
    /// Log index of the change.
    index: u64,
    to: Epoch,
    put: Vec<Member>,
    gone: Vec<(HostName, Incarnation)>,
}

/// Current table, its history and the known incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableLog {
    pub(crate) table: Table,
    history: VecDeque<HistoryEntry>,
    /// Highest incarnation per host.
    known: BTreeMap<HostName, Incarnation>,
    /// Log index of the newest change.
    index: u64,
    /// Log index of the table that the kept history starts from.
    start: u64,
}

impl TableLog {
    /// Creates a table without members at epoch 1.
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

    /// Highest known incarnation of a host.
    pub(crate) fn highest_incarnation(&self, host: &HostName) -> Option<Incarnation> {
        self.known.get(host).copied()
    }

    fn find(&self, host: &HostName, incarnation: Incarnation) -> Option<&Member> {
        let matches = |m: &&Member| m.host == *host && m.incarnation == incarnation;
        self.table.members.iter().find(matches)
    }

    /// Applies a change and returns the part of it that was new, or `None` if nothing was.
    pub(crate) fn apply(
        &mut self,
        now: Millis,
        index: u64,
        change: &TableChange,
    ) -> Option<TableChange> {
        let mut gone = change.gone.clone();
        gone.retain(|(host, incarnation)| self.find(host, *incarnation).is_some());
        gone.dedup();
        let mut put: Vec<Member> = Vec::new();
        let mut count = self.table.members.len() - gone.len();
        for member in &change.put {
            let old = self.find(&member.host, member.incarnation);
            let stale =
                old.is_none() && self.highest_incarnation(&member.host) > Some(member.incarnation);
            let leaving = gone.iter().any(|(host, incarnation)| {
                *host == member.host && *incarnation == member.incarnation
            });
            let full = old.is_none() && count >= MAX_MEMBERS;
            if stale || leaving || full || old == Some(member) {
                continue;
            }
            count += usize::from(old.is_none());
            put.push(member.clone());
        }
        if put.is_empty() && gone.is_empty() {
            return None;
        }
        self.record_incarnations(&put);
        self.index = index;
        let entry = HistoryEntry {
            index,
            to: self.table.epoch.next(),
            put: put.clone(),
            gone: gone.clone(),
        };
        let delta = TableDelta {
            service: self.table.service,
            from: self.table.epoch,
            to: entry.to,
            changed: now,
            put: put.clone(),
            gone: gone.clone(),
        };
        self.table.apply(&TableUpdate::Delta(delta));
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY {
            self.start = self.history.pop_front().map_or(index, |entry| entry.index);
        }
        Some(TableChange {
            service: change.service,
            put,
            gone,
        })
    }

    fn record_incarnations(&mut self, put: &[Member]) {
        for member in put {
            let known = self.known.entry(member.host.clone()).or_default();
            *known = (*known).max(member.incarnation);
        }
        while self.known.len() > MAX_KNOWN_HOSTS {
            let present = |host: &HostName| self.table.members.iter().any(|m| m.host == *host);
            let absent = self.known.iter().filter(|(host, _)| !present(host));
            let Some(oldest) = absent
                .min_by_key(|(_, incarnation)| **incarnation)
                .map(|(host, _)| host.clone())
            else {
                break;
            };
            self.known.remove(&oldest);
        }
    }

    /// Update for a node whose view reflects a log index; `None` if the node is up to date.
    pub(crate) fn update_since(&self, index: u64) -> Option<TableUpdate> {
        if index >= self.index {
            return None;
        }
        let newer = self
            .history
            .iter()
            .filter(|entry| entry.index > index)
            .count();
        let node_epoch = Epoch(self.table.epoch.0 - newer as u64);
        // The node has the table that the kept history starts from, or a newer one.
        let covered = index >= self.start;
        let delta = covered.then(|| self.delta(node_epoch));
        match delta {
            Some(delta) if delta.put.len() + delta.gone.len() < self.table.members.len().max(2) => {
                Some(TableUpdate::Delta(delta))
            }
            _ => Some(TableUpdate::Snapshot(self.table.clone())),
        }
    }

    fn delta(&self, from: Epoch) -> TableDelta {
        let mut last: BTreeMap<(&HostName, Incarnation), Option<&Member>> = BTreeMap::new();
        for entry in self.history.iter().filter(|entry| entry.to > from) {
            for (host, incarnation) in &entry.gone {
                last.insert((host, *incarnation), None);
            }
            for member in &entry.put {
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
                .map(|((host, incarnation), _)| ((*host).clone(), *incarnation))
                .collect(),
        }
    }
}
