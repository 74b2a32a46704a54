//! Leader: replication to the followers, commit and leadership transfer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use units::ReplicaId;

use crate::progress::{Progress, SendMode};
use crate::reads::PendingRead;
use crate::state::{ReplicaState, Role};
use crate::{Action, Body, Command, Entry, Payload, RefusalReason, StorageWrite};

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Replication progress of every other member.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this leader's term.
    pub(crate) first_index: u64,
    /// Index that a learner must reach to count as caught up: the committed index at the
    /// last heartbeat, but at least `first_index`. A learner that has reached it lags by
    /// less than a heartbeat interval, whatever the load.
    pub(crate) target_index: u64,
    /// Number of the last heartbeat round.
    pub(crate) round: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_deadline: Instant,
    /// Reads that wait for a heartbeat round.
    pub(crate) reads: Vec<PendingRead>,
    /// Target of a leadership transfer, and when the attempt times out.
    pub(crate) transfer: Option<(ReplicaId, Instant)>,
}

impl Leader {
    pub(crate) fn new(now: Instant, first_index: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            first_index,
            target_index: first_index,
            round: 0,
            heartbeat_deadline: now,
            reads: Vec::new(),
            transfer: None,
        }
    }

    pub(crate) fn add_follower(&mut self, now: Instant, id: ReplicaId, last_index: u64) {
        self.progress.insert(id, Progress::new(now, last_index));
    }
}

impl ReplicaState {
    pub(crate) fn as_leader(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Sends heartbeats and updates the voters; steps down without contact to a quorum.
    pub(crate) fn on_heartbeat_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (own_id, limit) = (self.settings.id, self.settings.election_timeout.1);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.heartbeat_deadline = now + self.settings.heartbeat_interval;
        leader.transfer.take_if(|(_, deadline)| *deadline <= now);
        let is_reachable = |id: ReplicaId| {
            let progress = leader.progress.get(&id);
            id == own_id || progress.is_some_and(|p| now < p.last_contact + limit)
        };
        if !self
            .configs
            .last()
            .is_none_or(|(_, c)| c.is_quorum(is_reachable))
        {
            return self.become_follower(now, self.vote.term, None, out);
        }
        self.start_heartbeat_round(out);
        self.update_voters(now, out);
        let commit_index = self.commit_index;
        if let Some(leader) = self.as_leader() {
            leader.target_index = leader.first_index.max(commit_index);
        }
    }

    /// Sends a message once the leader's term is synced. The only voter of a group
    /// becomes leader without a reply from others; if it crashed before the sync, it could
    /// lead the same term a second time.
    fn send_as_leader(&self, to: ReplicaId, body: Body, out: &mut Vec<Action>) {
        self.send(to, body, self.vote_seq, out);
    }

    /// Starts a heartbeat round: sends a heartbeat to every other member.
    pub(crate) fn start_heartbeat_round(&mut self, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        let round = leader.round;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        for (to, progress) in &leader.progress {
            let commit_index = self.commit_index.min(progress.match_index);
            self.send_as_leader(
                *to,
                Body::Heartbeat {
                    round,
                    commit_index,
                },
                out,
            );
        }
    }

    pub(crate) fn on_propose(
        &mut self,
        now: Instant,
        commands: Vec<(u64, Command)>,
        out: &mut Vec<Action>,
    ) {
        let reason = match &self.role {
            Role::Leader(leader) if leader.transfer.is_none() => None,
            Role::Leader(_) => Some(RefusalReason::TransferInProgress),
            _ => Some(RefusalReason::NotLeader),
        };
        let (term, mut index) = (self.vote.term, self.log.last_index());
        let mut entries = Vec::with_capacity(commands.len());
        for (token, command) in commands {
            if let Some(reason) = reason {
                out.push(Action::Refused { token, reason });
                continue;
            }
            index += 1;
            out.push(Action::Proposed { token, term, index });
            let payload = Payload::Command(command);
            entries.push(Entry {
                term,
                index,
                payload,
            });
        }
        self.append(now, entries, out);
    }

    /// Appends entries of the current term to the log and sends them to the followers.
    pub(crate) fn append(&mut self, now: Instant, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            self.push_entry(entry.clone());
        }
        self.submit_write(StorageWrite::Append(entries), out);
        self.send_all(now, out);
    }

    pub(crate) fn send_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(leader) = self.as_leader() else {
            return;
        };
        let followers: Vec<_> = leader.progress.keys().copied().collect();
        for to in followers {
            self.send_entries(now, to, out);
        }
    }

    /// Sends a follower the entries that it lacks, up to the limit of unanswered messages,
    /// or a snapshot if those entries are compacted.
    fn send_entries(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let (batch_bytes, max_inflight, resend_timeout) = (
            self.settings.batch_bytes,
            self.settings.max_inflight,
            self.settings.resend_timeout,
        );
        let (last_index, commit_index) = (self.log.last_index(), self.commit_index);
        loop {
            let Role::Leader(leader) = &mut self.role else {
                return;
            };
            let Some(progress) = leader.progress.get_mut(&to) else {
                return;
            };
            let ready = match &progress.mode {
                SendMode::Probe { sent } => {
                    sent.is_none_or(|at| at + resend_timeout <= now)
                        && progress.match_index < last_index
                }
                SendMode::Pipeline { unanswered, .. } => {
                    unanswered.len() < max_inflight && progress.next_index <= last_index
                }
                SendMode::Snapshot { .. } => false,
            };
            if !ready {
                return;
            }
            let prev_index = progress.next_index - 1;
            let Some(prev_term) = self.log.term(prev_index) else {
                return self.start_snapshot(now, to, out);
            };
            let entries = self.log.slice(prev_index + 1, batch_bytes);
            let end = prev_index + entries.len() as u64;
            match &mut progress.mode {
                SendMode::Probe { sent } => *sent = Some(now),
                SendMode::Pipeline { unanswered, .. } => {
                    unanswered.push_back((end, now));
                    progress.next_index = end + 1;
                }
                SendMode::Snapshot { .. } => {}
            }
            let body = Body::Append {
                prev_index,
                prev_term,
                entries,
                commit_index,
            };
            self.send_as_leader(to, body, out);
        }
    }

    fn start_snapshot(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let snapshot = Arc::clone(snapshot);
        if let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&to)) {
            progress.mode = SendMode::Snapshot {
                snapshot,
                offset: 0,
                sent: now,
            };
            self.send_chunk(now, to, out);
        }
    }

    fn send_chunk(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let chunk_bytes = self.settings.chunk_bytes;
        let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&to)) else {
            return;
        };
        let SendMode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        *sent = now;
        let data = &snapshot.data.0;
        let start = (*offset).min(data.len());
        let chunk = &data[start..data.len().min(start + chunk_bytes)];
        let body = Body::Chunk {
            index: snapshot.index,
            index_term: snapshot.term,
            config: snapshot.config.clone(),
            total_bytes: data.len() as u64,
            offset: start as u64,
            data: Command(chunk.into()),
        };
        self.send_as_leader(to, body, out);
    }

    /// Records that a follower replied and returns its progress.
    fn record_contact(&mut self, now: Instant, from: ReplicaId) -> Option<&mut Progress> {
        let progress = self.as_leader()?.progress.get_mut(&from)?;
        progress.last_contact = now;
        Some(progress)
    }

    pub(crate) fn on_accepted(
        &mut self,
        now: Instant,
        from: ReplicaId,
        match_index: u64,
        out: &mut Vec<Action>,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        progress.accept(match_index.min(last_index));
        let caught_up = progress.match_index == last_index;
        self.commit_quorum(now, out);
        let target = self.as_leader().and_then(|l| l.transfer);
        if caught_up && target.is_some_and(|(id, _)| id == from) {
            self.reply(from, Body::TakeOver, out);
        }
        self.send_entries(now, from, out);
    }

    pub(crate) fn on_rejected(
        &mut self,
        now: Instant,
        from: ReplicaId,
        prev_index: u64,
        hint: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        let (hint_index, hint_term) = hint;
        let hint_matches = self.log.term(hint_index) == Some(hint_term);
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        let expected = match &mut progress.mode {
            SendMode::Probe { .. } => prev_index == progress.next_index - 1,
            SendMode::Pipeline { resent_after, .. }
                if hint_matches
                    && hint_index < prev_index
                    && hint_index >= progress.match_index =>
            {
                // Messages were reordered or lost. The follower keeps entries that arrived
                // early, so only the missing ones are sent again, once per index.
                if *resent_after < hint_index {
                    *resent_after = hint_index;
                    self.resend_entries(from, hint_index, hint_term, out);
                }
                return;
            }
            SendMode::Pipeline { .. } => prev_index > progress.match_index,
            SendMode::Snapshot { .. } => false,
        };
        if !expected {
            return;
        }
        let mut index = hint_index.min(self.log.last_index());
        while index > 0 && self.log.term(index).is_some_and(|term| term > hint_term) {
            index -= 1;
        }
        if let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&from)) {
            progress.start_probe(index + 1);
        }
        self.send_entries(now, from, out);
    }

    /// Sends one message with the entries after an index again.
    fn resend_entries(
        &self,
        to: ReplicaId,
        prev_index: u64,
        prev_term: u64,
        out: &mut Vec<Action>,
    ) {
        let entries = self.log.slice(prev_index + 1, self.settings.batch_bytes);
        let commit_index = self.commit_index;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit_index,
        };
        self.send_as_leader(to, body, out);
    }

    pub(crate) fn on_heartbeat_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        round: u64,
        out: &mut Vec<Action>,
    ) {
        let resend_timeout = self.settings.resend_timeout;
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        progress.acked_round = progress.acked_round.max(round);
        let timed_out = |at: &Instant| *at + resend_timeout <= now;
        match &progress.mode {
            SendMode::Pipeline { unanswered, .. }
                if unanswered.front().is_some_and(|(_, at)| timed_out(at)) =>
            {
                progress.start_probe(progress.match_index + 1);
            }
            SendMode::Snapshot { sent, .. } if timed_out(sent) => self.send_chunk(now, from, out),
            _ => {}
        }
        self.send_entries(now, from, out);
        self.release_reads(out);
    }

    pub(crate) fn on_chunk_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        index: u64,
        next_offset: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        let SendMode::Snapshot {
            snapshot, offset, ..
        } = &mut progress.mode
        else {
            return;
        };
        let next_offset = usize::try_from(next_offset).unwrap_or(usize::MAX);
        // A duplicated reply must not send the same chunk again.
        let is_new = next_offset != *offset;
        if snapshot.index == index && is_new && next_offset <= snapshot.data.0.len() {
            *offset = next_offset;
            self.send_chunk(now, from, out);
        }
    }

    /// Commits the entries that a quorum has synced. A leader that is no longer a voter in
    /// the committed membership steps down.
    pub(crate) fn commit_quorum(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (own_id, synced_index) = (self.settings.id, self.synced_index);
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let match_index = |id: ReplicaId| match leader.progress.get(&id) {
            Some(progress) => progress.match_index,
            None if id == own_id => synced_index,
            None => 0,
        };
        let index = self.config().quorum_value(match_index);
        // An entry of an earlier term may still be replaced although a quorum holds it.
        if index > self.commit_index && self.log.term(index) == Some(self.vote.term) {
            self.advance_commit(index, out);
            let (config, config_index) = self.config_at(u64::MAX);
            if config_index <= index && !config.is_voter(own_id) {
                self.start_heartbeat_round(out);
                return self.become_follower(now, self.vote.term, None, out);
            }
        }
        self.release_reads(out);
    }

    pub(crate) fn on_transfer(&mut self, now: Instant, token: u64, out: &mut Vec<Action>) {
        let reason = match &self.role {
            Role::Leader(_) => RefusalReason::NoOtherVoter,
            _ => RefusalReason::NotLeader,
        };
        let deadline = now + self.settings.election_timeout.1;
        let last_index = self.log.last_index();
        let Some(target) = self.successor(now) else {
            return out.push(Action::Refused { token, reason });
        };
        let Some(leader) = self.as_leader() else {
            return;
        };
        leader.transfer = Some((target, deadline));
        if leader
            .progress
            .get(&target)
            .is_some_and(|p| p.match_index == last_index)
        {
            self.reply(target, Body::TakeOver, out);
        }
    }

    /// Most up-to-date voter among those that replied within the minimum election timeout.
    pub(crate) fn successor(&self, now: Instant) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.election_timeout.0;
        let voters = leader
            .progress
            .iter()
            .filter(|(id, p)| self.config().is_voter(**id) && now < p.last_contact + limit);
        voters.max_by_key(|(_, p)| p.match_index).map(|(id, _)| *id)
    }
}
