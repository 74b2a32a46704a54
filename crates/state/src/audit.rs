//! The audit record.

use std::collections::VecDeque;

use api::{AuditEntry, AuditEvent};
use serde::{Deserialize, Serialize};

/// Changes by operators and their coming into force that are kept.
pub const MAX_CHANGES: usize = 32_768;

/// Member events that are kept; separate, so that restarts can't push out changes.
pub const MAX_EVENTS: usize = 8_192;

/// Two bounded lists, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Audit {
    changes: VecDeque<AuditEntry>,
    events: VecDeque<AuditEntry>,
}

impl Audit {
    pub(crate) fn add(&mut self, entry: AuditEntry) {
        let (list, limit) = match entry.event {
            AuditEvent::Member { .. } => (&mut self.events, MAX_EVENTS),
            _ => (&mut self.changes, MAX_CHANGES),
        };
        list.push_back(entry);
        while list.len() > limit {
            list.pop_front();
        }
    }

    /// Changes by operators, oldest first.
    pub(crate) fn changes(&self) -> Vec<AuditEntry> {
        self.changes.iter().cloned().collect()
    }

    /// Everything, oldest first.
    pub(crate) fn all(&self) -> Vec<AuditEntry> {
        let mut all: Vec<_> = self.changes.iter().chain(&self.events).cloned().collect();
        all.sort_by_key(|entry| entry.at);
        all
    }

    /// Author of the newest change to a declaration.
    pub(crate) fn author(&self, kind: &str, name: &str) -> Box<str> {
        let concerns = |entry: &&AuditEntry| match &entry.event {
            AuditEvent::Put { kind: k, name: n } | AuditEvent::Retire { kind: k, name: n } => {
                **k == *kind && **n == *name
            }
            _ => false,
        };
        let newest = self.changes.iter().rev().find(concerns);
        newest.map(|entry| entry.author.clone()).unwrap_or_default()
    }
}
