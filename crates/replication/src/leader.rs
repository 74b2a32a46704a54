//! Entries and snapshots to the followers, commit and leadership transfer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use units::ReplicaId;

use crate::progress::{Flow, Progress};
use crate::reads::PendingRead;
use crate::state::{Role, State};
use crate::{Action, Body, Cause, Command, Entry, Payload, Write};

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

    pub(crate) fn add(&mut self, now: Instant, id: ReplicaId, last: u64) {
        self.progress.insert(id, Progress::new(now, last));
    }
}

impl State {
    pub(crate) fn as_leader(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Sends heartbeats, checks for contact with a quorum, and looks after learners.
    pub(crate) fn beat(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (own, limit) = (self.settings.id, self.settings.election.1);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.beat_at = now + self.settings.heartbeat;
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
        let commit = self.commit;
        if let Some(leader) = self.as_leader() {
            leader.goal = leader.first.max(commit);
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
            let commit = self.commit.min(progress.matched);
            self.lead_message(*to, Body::Heartbeat { round, commit }, out);
        }
    }

    pub(crate) fn propose(
        &mut self,
        now: Instant,
        commands: Vec<(u64, Command)>,
        out: &mut Vec<Action>,
    ) {
        let cause = match &self.role {
            Role::Leader(leader) if leader.transfer.is_none() => None,
            Role::Leader(_) => Some(Cause::Transfer),
            _ => Some(Cause::NotLeader),
        };
        let (term, mut index) = (self.vote.term, self.log.last());
        let mut entries = Vec::with_capacity(commands.len());
        for (token, command) in commands {
            if let Some(cause) = cause {
                out.push(Action::Refused { token, cause });
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
            self.settings.batch,
            self.settings.window,
            self.settings.resend,
        );
        let (last, commit) = (self.log.last(), self.commit);
        loop {
            let Role::Leader(leader) = &mut self.role else {
                return;
            };
            let Some(progress) = leader.progress.get_mut(&to) else {
                return;
            };
            let ready = match &progress.flow {
                Flow::Probe { sent } => {
                    sent.is_none_or(|at| at + resend <= now) && progress.matched < last
                }
                Flow::Pipeline { unanswered, .. } => {
                    unanswered.len() < window && progress.next <= last
                }
                Flow::Snapshot { .. } => false,
            };
            if !ready {
                return;
            }
            let prev = progress.next - 1;
            let Some(prev_term) = self.log.term(prev) else {
                return self.start_snapshot(now, to, out);
            };
            let entries = self.log.slice(prev + 1, batch);
            let end = prev + entries.len() as u64;
            match &mut progress.flow {
                Flow::Probe { sent } => *sent = Some(now),
                Flow::Pipeline { unanswered, .. } => {
                    unanswered.push_back((end, now));
                    progress.next = end + 1;
                }
                Flow::Snapshot { .. } => {}
            }
            let body = Body::Append {
                prev,
                prev_term,
                entries,
                commit,
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
        let size = self.settings.chunk;
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
            total: whole.len() as u64,
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
        matched: u64,
        out: &mut Vec<Action>,
    ) {
        let last = self.log.last();
        let Some(progress) = self.contact(now, from) else {
            return;
        };
        progress.accept(matched.min(last));
        let caught_up = progress.matched == last;
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
        prev: u64,
        hint: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        let (hint, hint_term) = hint;
        let same = self.log.term(hint) == Some(hint_term);
        let Some(progress) = self.contact(now, from) else {
            return;
        };
        let expected = match &mut progress.flow {
            Flow::Probe { .. } => prev == progress.next - 1,
            Flow::Pipeline { filled, .. } if same && hint < prev && hint >= progress.matched => {
                // Entries overtook others; the rest is on its way or kept there.
                if *filled < hint {
                    *filled = hint;
                    self.fill(from, hint, hint_term, out);
                }
                return;
            }
            Flow::Pipeline { .. } => prev > progress.matched,
            Flow::Snapshot { .. } => false,
        };
        if !expected {
            return;
        }
        let mut index = hint.min(self.log.last());
        while index > 0 && self.log.term(index).is_some_and(|term| term > hint_term) {
            index -= 1;
        }
        if let Some(progress) = self.as_leader().and_then(|l| l.progress.get_mut(&from)) {
            progress.probe(index + 1);
        }
        self.send_entries(now, from, out);
    }

    /// Repeats the entries after an index once.
    fn fill(&self, to: ReplicaId, prev: u64, prev_term: u64, out: &mut Vec<Action>) {
        let entries = self.log.slice(prev + 1, self.settings.batch);
        let commit = self.commit;
        let body = Body::Append {
            prev,
            prev_term,
            entries,
            commit,
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
        let resend = self.settings.resend;
        let Some(progress) = self.contact(now, from) else {
            return;
        };
        progress.round = progress.round.max(round);
        let late = |at: &Instant| *at + resend <= now;
        match &progress.flow {
            Flow::Pipeline { unanswered, .. }
                if unanswered.front().is_some_and(|(_, at)| late(at)) =>
            {
                progress.probe(progress.matched + 1);
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
        let matched = |id: ReplicaId| match leader.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == own => stored,
            None => 0,
        };
        let index = self.config().quorum_value(matched);
        // An entry of an earlier term could still be replaced, even on a quorum.
        if index > self.commit && self.log.term(index) == Some(self.vote.term) {
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
        let cause = match &self.role {
            Role::Leader(_) => Cause::Alone,
            _ => Cause::NotLeader,
        };
        let end = now + self.settings.election.1;
        let last = self.log.last();
        let Some(target) = self.successor(now) else {
            return out.push(Action::Refused { token, cause });
        };
        let Some(leader) = self.as_leader() else {
            return;
        };
        leader.transfer = Some((target, end));
        if leader
            .progress
            .get(&target)
            .is_some_and(|p| p.matched == last)
        {
            self.reply(target, Body::TakeOver, out);
        }
    }

    /// The voter that is furthest ahead among those heard lately.
    pub(crate) fn successor(&self, now: Instant) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.election.0;
        let voters = leader
            .progress
            .iter()
            .filter(|(id, p)| self.config().is_voter(**id) && now < p.contact + limit);
        voters.max_by_key(|(_, p)| p.matched).map(|(id, _)| *id)
    }
}
