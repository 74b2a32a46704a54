//! Entries and snapshots to the followers, commit and leadership transfer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use units::ReplicaId;

use crate::progress::{Flow, Progress};
use crate::reads::PendingRead;
use crate::state::{ReplicaState, Role};
use crate::{Action, Body, Command, Entry, Payload, RefusalReason, Write};

/// What a leader keeps.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of the own term.
    pub(crate) first: u64,
    /// Committed index at the last heartbeat; a learner that has it lags by
    /// less than a heartbeat interval, whatever the load.
    pub(crate) goal: u64,
    /// Last heartbeat round.
    pub(crate) round: u64,
    /// When the next heartbeat is due.
    pub(crate) beat_at: Instant,
    pub(crate) reads: Vec<PendingRead>,
    /// Voter that takes over, and when the attempt ends.
    pub(crate) transfer: Option<(ReplicaId, Instant)>,
}

impl Leader {
    pub(crate) fn new(now: Instant, first: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            first,
            goal: first,
            round: 0,
            beat_at: now,
            reads: Vec::new(),
            transfer: None,
        }
    }

    pub(crate) fn add(&mut self, now: Instant, id: ReplicaId, last_index: u64) {
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

    /// Sends heartbeats, checks for contact with a quorum, and looks after learners.
    pub(crate) fn beat(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (own, limit) = (self.settings.id, self.settings.election_timeout.1);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.beat_at = now + self.settings.heartbeat_interval;
        leader.transfer.take_if(|(_, end)| *end <= now);
        let heard = |id: ReplicaId| {
            let progress = leader.progress.get(&id);
            id == own || progress.is_some_and(|p| now < p.contact + limit)
        };
        if !self.configs.last().is_none_or(|(_, c)| c.is_quorum(heard)) {
            return self.follow(now, self.vote.term, None, out);
        }
        self.new_round(out);
        self.settle_learners(now, out);
        let commit_index = self.commit_index;
        if let Some(leader) = self.as_leader() {
            leader.goal = leader.first.max(commit_index);
        }
    }

    /// Sends a message of the leader, once its term is synced: the only voter of a
    /// group leads without an answer from others, and must not lead the same term again.
    fn lead_message(&self, to: ReplicaId, body: Body, out: &mut Vec<Action>) {
        self.send(to, body, self.vote_seq, out);
    }

    /// Starts a heartbeat round.
    pub(crate) fn new_round(&mut self, out: &mut Vec<Action>) {
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
            self.lead_message(
                *to,
                Body::Heartbeat {
                    round,
                    commit_index,
                },
                out,
            );
        }
    }

    pub(crate) fn propose(
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

    /// Appends entries of the own term and sends them.
    pub(crate) fn append(&mut self, now: Instant, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            self.push(entry.clone());
        }
        self.write(Write::Append(entries), out);
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

    /// Sends a follower what it lacks, as far as its window allows.
    fn send_entries(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let (batch, window, resend) = (
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
            let ready = match &progress.flow {
                Flow::Probe { sent } => {
                    sent.is_none_or(|at| at + resend <= now) && progress.match_index < last_index
                }
                Flow::Pipeline { unanswered, .. } => {
                    unanswered.len() < window && progress.next <= last_index
                }
                Flow::Snapshot { .. } => false,
            };
            if !ready {
                return;
            }
            let prev_index = progress.next - 1;
            let Some(prev_term) = self.log.term(prev_index) else {
                return self.start_snapshot(now, to, out);
            };
            let entries = self.log.slice(prev_index + 1, batch);
            let end = prev_index + entries.len() as u64;
            match &mut progress.flow {
                Flow::Probe { sent } => *sent = Some(now),
                Flow::Pipeline { unanswered, .. } => {
                    unanswered.push_back((end, now));
                    progress.next = end + 1;
                }
                Flow::Snapshot { .. } => {}
            }
            let body = Body::Append {
                prev_index,
                prev_term,
                entries,
                commit_index,
            };
            self.lead_message(to, body, out);
        }
    }

    fn start_snapshot(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let snapshot = Arc::clone(snapshot);
        if let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&to)) {
            progress.flow = Flow::Snapshot {
                snapshot,
                offset: 0,
                sent: now,
            };
            self.send_chunk(now, to, out);
        }
    }

    fn send_chunk(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let size = self.settings.chunk_bytes;
        let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&to)) else {
            return;
        };
        let Flow::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.flow
        else {
            return;
        };
        *sent = now;
        let whole = &snapshot.data.0;
        let from = (*offset).min(whole.len());
        let part = &whole[from..whole.len().min(from + size)];
        let body = Body::Chunk {
            index: snapshot.index,
            index_term: snapshot.term,
            config: snapshot.config.clone(),
            total_bytes: whole.len() as u64,
            offset: from as u64,
            data: Command(part.into()),
        };
        self.lead_message(to, body, out);
    }

    /// Notes an answer of a follower.
    fn contact(&mut self, now: Instant, from: ReplicaId) -> Option<&mut Progress> {
        let progress = self.as_leader()?.progress.get_mut(&from)?;
        progress.contact = now;
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
        let Some(progress) = self.contact(now, from) else {
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
        hint_index: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        let (hint_index, hint_term) = hint_index;
        let same = self.log.term(hint_index) == Some(hint_term);
        let Some(progress) = self.contact(now, from) else {
            return;
        };
        let expected = match &mut progress.flow {
            Flow::Probe { .. } => prev_index == progress.next - 1,
            Flow::Pipeline { filled, .. }
                if same && hint_index < prev_index && hint_index >= progress.match_index =>
            {
                // Entries overtook others; the rest is on its way or kept there.
                if *filled < hint_index {
                    *filled = hint_index;
                    self.fill(from, hint_index, hint_term, out);
                }
                return;
            }
            Flow::Pipeline { .. } => prev_index > progress.match_index,
            Flow::Snapshot { .. } => false,
        };
        if !expected {
            return;
        }
        let mut index = hint_index.min(self.log.last_index());
        while index > 0 && self.log.term(index).is_some_and(|term| term > hint_term) {
            index -= 1;
        }
        if let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&from)) {
            progress.probe(index + 1);
        }
        self.send_entries(now, from, out);
    }

    /// Repeats the entries after an index once.
    fn fill(&self, to: ReplicaId, prev_index: u64, prev_term: u64, out: &mut Vec<Action>) {
        let entries = self.log.slice(prev_index + 1, self.settings.batch_bytes);
        let commit_index = self.commit_index;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit_index,
        };
        self.lead_message(to, body, out);
    }

    pub(crate) fn on_heartbeat_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        round: u64,
        out: &mut Vec<Action>,
    ) {
        let resend = self.settings.resend_timeout;
        let Some(progress) = self.contact(now, from) else {
            return;
        };
        progress.round = progress.round.max(round);
        let late = |at: &Instant| *at + resend <= now;
        match &progress.flow {
            Flow::Pipeline { unanswered, .. }
                if unanswered.front().is_some_and(|(_, at)| late(at)) =>
            {
                progress.probe(progress.match_index + 1);
            }
            Flow::Snapshot { sent, .. } if late(sent) => self.send_chunk(now, from, out),
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
        next: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(progress) = self.contact(now, from) else {
            return;
        };
        let Flow::Snapshot {
            snapshot, offset, ..
        } = &mut progress.flow
        else {
            return;
        };
        let next = usize::try_from(next).unwrap_or(usize::MAX);
        // A repeated answer would otherwise send the same chunk twice.
        if snapshot.index == index && next != *offset && next <= snapshot.data.0.len() {
            *offset = next;
            self.send_chunk(now, from, out);
        }
    }

    /// Commits what a quorum has synced.
    pub(crate) fn commit_quorum(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (own, stored) = (self.settings.id, self.stored);
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let match_index = |id: ReplicaId| match leader.progress.get(&id) {
            Some(progress) => progress.match_index,
            None if id == own => stored,
            None => 0,
        };
        let index = self.config().quorum_value(match_index);
        // An entry of an earlier term could still be replaced, even on a quorum.
        if index > self.commit_index && self.log.term(index) == Some(self.vote.term) {
            self.advance(index, out);
            let (config, at) = self.config_at(u64::MAX);
            if at <= index && !config.is_voter(own) {
                self.new_round(out);
                return self.follow(now, self.vote.term, None, out);
            }
        }
        self.release_reads(out);
    }

    pub(crate) fn transfer(&mut self, now: Instant, token: u64, out: &mut Vec<Action>) {
        let reason = match &self.role {
            Role::Leader(_) => RefusalReason::NoOtherVoter,
            _ => RefusalReason::NotLeader,
        };
        let end = now + self.settings.election_timeout.1;
        let last_index = self.log.last_index();
        let Some(target) = self.successor(now) else {
            return out.push(Action::Refused { token, reason });
        };
        let Some(leader) = self.as_leader() else {
            return;
        };
        leader.transfer = Some((target, end));
        if leader
            .progress
            .get(&target)
            .is_some_and(|p| p.match_index == last_index)
        {
            self.reply(target, Body::TakeOver, out);
        }
    }

    /// The voter that is furthest ahead among those heard lately.
    pub(crate) fn successor(&self, now: Instant) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.election_timeout.0;
        let voters = leader
            .progress
            .iter()
            .filter(|(id, p)| self.config().is_voter(**id) && now < p.contact + limit);
        voters.max_by_key(|(_, p)| p.match_index).map(|(id, _)| *id)
    }
}
