//! Audit log.

use std::collections::VecDeque;

use api::{AuditEntry, AuditEvent};
use serde::{Deserialize, Serialize};

/// Maximum number of entries for operator changes and for versions that came into force.
pub const MAX_AUDIT_CHANGES: usize = 32_768;

/// Maximum number of member events. They have a limit of their own so that restarts of members can't
/// evict operator changes.
pub const MAX_MEMBER_EVENTS: usize = 8_192;

/// Bounded lists of entries, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Audit {
    changes: VecDeque<AuditEntry>,
    events: VecDeque<AuditEntry>,
}

impl Audit {
    pub(crate) fn add(&mut self, entry: AuditEntry) {
        let (list, limit) = match entry.event {
            AuditEvent::Member { .. } => (&mut self.events, MAX_MEMBER_EVENTS),
            _ => (&mut self.changes, MAX_AUDIT_CHANGES),
        };
        list.push_back(entry);
        while list.len() > limit {
            list.pop_front();
        }
    }

    /// All entries except member events, oldest first.
    pub(crate) fn changes(&self) -> Vec<AuditEntry> {
        self.changes.iter().cloned().collect()
    }

    /// All entries, oldest first.
    pub(crate) fn all(&self) -> Vec<AuditEntry> {
        let mut all: Vec<_> = self.changes.iter().chain(&self.events).cloned().collect();
        all.sort_by_key(|entry| entry.at);
        all
    }

    /// Author of the newest change to a declaration.
    pub(crate) fn author(&self, kind: &str, name: &str) -> Box<str> {
        let matches = |entry: &&AuditEntry| match &entry.event {
            AuditEvent::Put { kind: k, name: n } | AuditEvent::Retire { kind: k, name: n } => {
                **k == *kind && **n == *name
            }
            _ => false,
        };
        let newest = self.changes.iter().rev().find(matches);
        newest.map(|entry| entry.author.clone()).unwrap_or_default()
    }
}
