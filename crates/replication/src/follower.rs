//! Entries and snapshots from the leader.

use std::sync::Arc;
use std::time::Instant;

use units::ReplicaId;

use crate::log::Log;
use crate::state::{Role, State};
use crate::{Action, Body, Config, Entry, Snapshot, Write};

/// Largest snapshot that is accepted, in bytes.
const MAX_SNAPSHOT: u64 = 1 << 30;

/// Entries that follow an entry.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) prev: u64,
    pub(crate) prev_term: u64,
    pub(crate) entries: Vec<Entry>,
}

/// Snapshot of which parts have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: u64,
    term: u64,
    config: Config,
    total: u64,
    data: Vec<u8>,
}

impl Incoming {
    pub(crate) fn new(index: u64, term: u64, config: Config, total: u64) -> Self {
        let data = Vec::new();
        Self {
            index,
            term,
            config,
            total,
            data,
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        (self.index, self.term, self.total) == (other.index, other.term, other.total)
    }
}

impl State {
    /// Notes a message of the leader of this term; false if the sender can't be it.
    pub(crate) fn hear(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Action>) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            return false;
        }
        if self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.follow(now, self.vote.term, Some(from), out);
        }
        self.contact = Some(now);
        self.denied = false;
        self.reset_election(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        part: Part,
        commit: u64,
        out: &mut Vec<Action>,
    ) {
        let consecutive = part
            .entries
            .iter()
            .zip(part.prev + 1..)
            .all(|(e, i)| e.index == i);
        if !consecutive {
            return;
        }
        let (prev, prev_term) = (part.prev, part.prev_term);
        let Some(mut matched) = self.accept(part, out) else {
            return self.reject(from, prev, prev_term, out);
        };
        while let Some(first) = self.early.first_entry()
            && *first.key() <= self.log.last()
        {
            let part = first.remove();
            matched = matched.max(self.accept(part, out).unwrap_or(0));
        }
        self.send(from, Body::Accepted { matched }, self.seq, out);
        self.advance(commit.min(matched), out);
    }

    /// Adds entries whose place is known and returns the last index that matches.
    fn accept(&mut self, part: Part, out: &mut Vec<Action>) -> Option<u64> {
        let Part {
            mut prev,
            prev_term,
            mut entries,
        } = part;
        let last = prev + entries.len() as u64;
        if prev < self.commit {
            // Committed entries match those of every leader; only later ones can be new.
            let known = usize::try_from(self.commit - prev).unwrap_or(usize::MAX);
            entries.drain(..known.min(entries.len()));
            prev = self.commit;
        } else if self.log.term(prev) != Some(prev_term) {
            if prev > self.log.last() && self.early.len() < self.settings.window {
                self.early.insert(
                    prev,
                    Part {
                        prev,
                        prev_term,
                        entries,
                    },
                );
            }
            return None;
        }
        let known = entries
            .iter()
            .take_while(|e| self.log.term(e.index) == Some(e.term));
        entries.drain(..known.count());
        if let Some(first) = entries.first() {
            self.truncate(first.index - 1);
            for entry in &entries {
                self.push(entry.clone());
            }
            self.write(Write::Append(entries), out);
        }
        Some(last.max(prev))
    }

    fn reject(&self, from: ReplicaId, prev: u64, prev_term: u64, out: &mut Vec<Action>) {
        // The whole term of a conflicting entry is skipped at once.
        let mut hint = prev.min(self.log.last());
        while hint > self.commit && self.log.term(hint).is_some_and(|t| t > prev_term) {
            hint -= 1;
        }
        let hint_term = self.log.term(hint).unwrap_or(0);
        self.reply(
            from,
            Body::Rejected {
                prev,
                hint,
                hint_term,
            },
            out,
        );
    }

    fn truncate(&mut self, last: u64) {
        self.log.truncate(last);
        self.configs.retain(|(i, _)| *i <= last);
        self.stored = self.stored.min(last);
        for (_, index) in &mut self.writes {
            *index = (*index).min(last);
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: ReplicaId,
        head: Incoming,
        offset: u64,
        data: &[u8],
        out: &mut Vec<Action>,
    ) {
        let index = head.index;
        if index <= self.commit || self.log.term(index) == Some(head.term) {
            self.incoming = None;
            self.advance(index, out);
            let matched = self.commit;
            return self.send(from, Body::Accepted { matched }, self.seq, out);
        }
        let total = head.total;
        if total > MAX_SNAPSHOT {
            return;
        }
        let incoming = match &mut self.incoming {
            Some(known) if known.is_same(&head) => known,
            other => other.insert(head),
        };
        let end = offset + data.len() as u64;
        if offset == incoming.data.len() as u64 && end <= total {
            incoming.data.extend_from_slice(data);
        }
        let offset = incoming.data.len() as u64;
        if offset < total {
            return self.reply(from, Body::ChunkReply { index, offset }, out);
        }
        if let Some(whole) = self.incoming.take() {
            self.install(whole, out);
        }
        self.send(from, Body::Accepted { matched: index }, self.seq, out);
    }

    fn install(&mut self, incoming: Incoming, out: &mut Vec<Action>) {
        let Incoming {
            index,
            term,
            config,
            data,
            ..
        } = incoming;
        let data = data.into();
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            config: config.clone(),
            data,
        });
        self.truncate(0);
        self.log = Log::after(index, term);
        self.configs = vec![(index, config)];
        self.commit = index;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.write(Write::Install(snapshot), out);
    }
}
