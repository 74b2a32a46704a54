//! Handling of entries and snapshots from the leader.

use std::sync::Arc;
use std::time::Instant;

use units::ReplicaId;

use crate::log::Log;
use crate::state::{ReplicaState, Role};
use crate::{Action, Body, Config, Entry, Snapshot, StorageWrite};

/// Maximum size of a received snapshot; larger ones are ignored.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Consecutive entries and the position of the entry before them.
#[derive(Debug)]
pub(crate) struct EntryBatch {
    pub(crate) prev_index: u64,
    pub(crate) prev_term: u64,
    pub(crate) entries: Vec<Entry>,
}

/// Partially received snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: u64,
    term: u64,
    config: Config,
    total_bytes: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
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
    /// Records a message from the leader of the current term; returns false if this
    /// replica is the leader itself, so that the sender can't be.
    pub(crate) fn record_leader_contact(
        &mut self,
        now: Instant,
        from: ReplicaId,
        out: &mut Vec<Action>,
    ) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            return false;
        }
        if self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.become_follower(now, self.vote.term, Some(from), out);
        }
        self.leader_contact = Some(now);
        self.vote_denied = false;
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        batch: EntryBatch,
        commit_index: u64,
        out: &mut Vec<Action>,
    ) {
        let consecutive = batch
            .entries
            .iter()
            .zip(batch.prev_index + 1..)
            .all(|(e, i)| e.index == i);
        if !consecutive {
            return;
        }
        let (prev_index, prev_term) = (batch.prev_index, batch.prev_term);
        let Some(mut match_index) = self.try_append(batch, out) else {
            return self.send_rejected(from, prev_index, prev_term, out);
        };
        while let Some(first) = self.early_batches.first_entry()
            && *first.key() <= self.log.last_index()
        {
            let batch = first.remove();
            match_index = match_index.max(self.try_append(batch, out).unwrap_or(0));
        }
        self.send(from, Body::Accepted { match_index }, self.write_seq, out);
        self.advance_commit(commit_index.min(match_index), out);
    }

    /// Appends entries if the log holds the entry before them, and returns the last
    /// index that matches the leader's log. Entries that arrive before their
    /// predecessors are kept until those arrive.
    fn try_append(&mut self, batch: EntryBatch, out: &mut Vec<Action>) -> Option<u64> {
        let EntryBatch {
            mut prev_index,
            prev_term,
            mut entries,
        } = batch;
        let last_index = prev_index + entries.len() as u64;
        if prev_index < self.commit_index {
            // Committed entries are the same in every leader's log and may be compacted
            // here; only the entries after them can be new.
            let committed = usize::try_from(self.commit_index - prev_index).unwrap_or(usize::MAX);
            entries.drain(..committed.min(entries.len()));
            prev_index = self.commit_index;
        } else if self.log.term(prev_index) != Some(prev_term) {
            if prev_index > self.log.last_index()
                && self.early_batches.len() < self.settings.max_inflight
            {
                self.early_batches.insert(
                    prev_index,
                    EntryBatch {
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
                self.push_entry(entry.clone());
            }
            self.submit_write(StorageWrite::Append(entries), out);
        }
        Some(last_index.max(prev_index))
    }

    fn send_rejected(
        &self,
        from: ReplicaId,
        prev_index: u64,
        prev_term: u64,
        out: &mut Vec<Action>,
    ) {
        // Entries of terms after `prev_term` can't match. Skipping them all at once saves
        // a round trip per entry.
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

    /// Removes the entries after an index, with the memberships and sync state that
    /// depend on them.
    fn truncate(&mut self, last_index: u64) {
        self.log.truncate(last_index);
        self.configs.retain(|(i, _)| *i <= last_index);
        self.synced_index = self.synced_index.min(last_index);
        for (_, index) in &mut self.unsynced_writes {
            *index = (*index).min(last_index);
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: ReplicaId,
        header: IncomingSnapshot,
        offset: u64,
        data: &[u8],
        out: &mut Vec<Action>,
    ) {
        let index = header.index;
        if index <= self.commit_index || self.log.term(index) == Some(header.term) {
            self.incoming_snapshot = None;
            self.advance_commit(index, out);
            let match_index = self.commit_index;
            return self.send(from, Body::Accepted { match_index }, self.write_seq, out);
        }
        let total_bytes = header.total_bytes;
        if total_bytes > MAX_SNAPSHOT_BYTES {
            return;
        }
        let incoming = match &mut self.incoming_snapshot {
            Some(current) if current.is_same(&header) => current,
            other => other.insert(header),
        };
        let end = offset + data.len() as u64;
        if offset == incoming.data.len() as u64 && end <= total_bytes {
            incoming.data.extend_from_slice(data);
        }
        let offset = incoming.data.len() as u64;
        if offset < total_bytes {
            return self.reply(from, Body::ChunkReply { index, offset }, out);
        }
        if let Some(complete) = self.incoming_snapshot.take() {
            self.install(complete, out);
        }
        self.send(
            from,
            Body::Accepted { match_index: index },
            self.write_seq,
            out,
        );
    }

    /// Replaces the log and the state machine by a snapshot.
    fn install(&mut self, incoming: IncomingSnapshot, out: &mut Vec<Action>) {
        let IncomingSnapshot {
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
        self.submit_write(StorageWrite::Install(snapshot), out);
    }
}
