//! Entries and snapshots from the leader.

use std::sync::Arc;
use std::time::Instant;

use units::ReplicaId;

use crate::log::Log;
use crate::state::{ReplicaState, Role};
use crate::{Action, Body, Config, Entry, Snapshot, Write};

/// Largest snapshot that is accepted, in bytes.
const MAX_SNAPSHOT: u64 = 1 << 30;

/// Entries that follow an entry.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) prev_index: u64,
    pub(crate) prev_term: u64,
    pub(crate) entries: Vec<Entry>,
}

/// Snapshot of which parts have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: u64,
    term: u64,
    config: Config,
    total_bytes: u64,
    data: Vec<u8>,
}

impl Incoming {
    pub(crate) fn new(index: u64, term: u64, config: Config, total_bytes: u64) -> Self {
        let data = Vec::new();
        Self {
            index,
            term,
            config,
            total_bytes,
            data,
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        (self.index, self.term, self.total_bytes) == (other.index, other.term, other.total_bytes)
    }
}

impl ReplicaState {
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
        commit_index: u64,
        out: &mut Vec<Action>,
    ) {
        let consecutive = part
            .entries
            .iter()
            .zip(part.prev_index + 1..)
            .all(|(e, i)| e.index == i);
        if !consecutive {
            return;
        }
        let (prev_index, prev_term) = (part.prev_index, part.prev_term);
        let Some(mut match_index) = self.accept(part, out) else {
            return self.reject(from, prev_index, prev_term, out);
        };
        while let Some(first) = self.early.first_entry()
            && *first.key() <= self.log.last_index()
        {
            let part = first.remove();
            match_index = match_index.max(self.accept(part, out).unwrap_or(0));
        }
        self.send(from, Body::Accepted { match_index }, self.seq, out);
        self.advance(commit_index.min(match_index), out);
    }

    /// Adds entries whose place is known and returns the last index that matches.
    fn accept(&mut self, part: Part, out: &mut Vec<Action>) -> Option<u64> {
        let Part {
            mut prev_index,
            prev_term,
            mut entries,
        } = part;
        let last_index = prev_index + entries.len() as u64;
        if prev_index < self.commit_index {
            // Committed entries match those of every leader; only later ones can be new.
            let known = usize::try_from(self.commit_index - prev_index).unwrap_or(usize::MAX);
            entries.drain(..known.min(entries.len()));
            prev_index = self.commit_index;
        } else if self.log.term(prev_index) != Some(prev_term) {
            if prev_index > self.log.last_index() && self.early.len() < self.settings.max_inflight {
                self.early.insert(
                    prev_index,
                    Part {
                        prev_index,
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
        Some(last_index.max(prev_index))
    }

    fn reject(&self, from: ReplicaId, prev_index: u64, prev_term: u64, out: &mut Vec<Action>) {
        // The whole term of a conflicting entry is skipped at once.
        let mut hint_index = prev_index.min(self.log.last_index());
        while hint_index > self.commit_index
            && self.log.term(hint_index).is_some_and(|t| t > prev_term)
        {
            hint_index -= 1;
        }
        let hint_term = self.log.term(hint_index).unwrap_or(0);
        self.reply(
            from,
            Body::Rejected {
                prev_index,
                hint_index,
                hint_term,
            },
            out,
        );
    }

    fn truncate(&mut self, last_index: u64) {
        self.log.truncate(last_index);
        self.configs.retain(|(i, _)| *i <= last_index);
        self.stored = self.stored.min(last_index);
        for (_, index) in &mut self.writes {
            *index = (*index).min(last_index);
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
        if index <= self.commit_index || self.log.term(index) == Some(head.term) {
            self.incoming = None;
            self.advance(index, out);
            let match_index = self.commit_index;
            return self.send(from, Body::Accepted { match_index }, self.seq, out);
        }
        let total_bytes = head.total_bytes;
        if total_bytes > MAX_SNAPSHOT {
            return;
        }
        let incoming = match &mut self.incoming {
            Some(known) if known.is_same(&head) => known,
            other => other.insert(head),
        };
        let end = offset + data.len() as u64;
        if offset == incoming.data.len() as u64 && end <= total_bytes {
            incoming.data.extend_from_slice(data);
        }
        let offset = incoming.data.len() as u64;
        if offset < total_bytes {
            return self.reply(from, Body::ChunkReply { index, offset }, out);
        }
        if let Some(whole) = self.incoming.take() {
            self.install(whole, out);
        }
        self.send(from, Body::Accepted { match_index: index }, self.seq, out);
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
        self.commit_index = index;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.write(Write::Install(snapshot), out);
    }
}
