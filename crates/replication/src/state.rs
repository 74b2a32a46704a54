//! State of one replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use units::ReplicaId;

use crate::follower::{Incoming, Part};
use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Action, Body, Config, Entry, Event, MemberKind, Message, Payload, RefusalReason, Restored,
    Settings, Snapshot, Vote, Write,
};

/// Answers to a request for votes.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) denied: BTreeSet<ReplicaId>,
}

/// Role with what it needs.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows, or waits for a leader.
    Follower,
    /// Asks whether others would vote for it.
    PreCandidate(BTreeSet<ReplicaId>),
    /// Asks for votes.
    Candidate(Ballot),
    /// Leads.
    Leader(Box<Leader>),
}

/// Role without details.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Does not vote.
    Learner,
    /// Follows, or waits for a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// Id.
    pub id: ReplicaId,
    /// Last index that is synced there.
    pub match_index: u64,
    /// When the last answer arrived.
    pub contact: Instant,
}

/// State of one replica.
#[derive(Debug)]
pub struct ReplicaState {
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) vote: Vote,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Memberships by the index of their entry; the last is in effect.
    pub(crate) configs: Vec<(u64, Config)>,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When the leader was last heard.
    pub(crate) contact: Option<Instant>,
    pub(crate) election_at: Instant,
    /// Whether a vote was denied to this replica since it last heard a leader.
    pub(crate) denied: bool,
    pub(crate) commit_index: u64,
    /// Last index of the own log that is synced.
    pub(crate) stored: u64,
    /// Unsynced writes of entries: number and last index.
    pub(crate) writes: VecDeque<(u64, u64)>,
    /// Number of the last write.
    pub(crate) seq: u64,
    /// Number of the last write of a vote.
    pub(crate) vote_seq: u64,
    pub(crate) disk_ok: bool,
    pub(crate) incoming: Option<Incoming>,
    /// Entries of the current leader that arrived before those in front of
    /// them, by the index that they follow.
    pub(crate) early: BTreeMap<u64, Part>,
}

impl ReplicaState {
    /// State from what was read from files; random numbers only set election timeouts.
    #[must_use]
    pub fn new(settings: Settings, restored: Restored, rng: StdRng, now: Instant) -> Self {
        let Restored {
            vote,
            snapshot,
            entries,
            commit_index,
        } = restored;
        let (index, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let first = entries.first().map_or(index + 1, |e| e.index);
        let mut configs = vec![match &snapshot {
            Some(s) => (s.index, s.config.clone()),
            None => (0, Config::default()),
        }];
        // Entries before the snapshot are kept for followers that lag; the
        // term before the first one is not known, so it serves as the base.
        let mut entries = entries.into_iter();
        let mut log = Log::after(index, term);
        if first <= index
            && let Some(entry) = entries.next()
        {
            log = Log::after(entry.index, entry.term);
        }
        for entry in entries {
            if entry.index > index
                && let Payload::Config(config) = &entry.payload
            {
                configs.push((entry.index, config.clone()));
            }
            log.push(entry);
        }
        let stored = log.last_index();
        let mut state = Self {
            settings,
            rng,
            vote,
            log,
            snapshot,
            configs,
            role: Role::Follower,
            leader: None,
            contact: None,
            election_at: now,
            denied: false,
            commit_index: commit_index.min(stored).max(index),
            stored,
            writes: VecDeque::new(),
            seq: 0,
            vote_seq: 0,
            disk_ok: true,
            incoming: None,
            early: BTreeMap::new(),
        };
        // A pre-vote is denied if a leader is heard elsewhere, so there is no need to wait for a whole
        // election timeout.
        state.election_at = now + state.pre_vote_wait();
        state
    }

    /// Handles an event; the caller carries the actions out in order.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message { from, message } => self.receive(now, from, message, out),
            Event::Propose(commands) => self.propose(now, commands, out),
            Event::Read { token } => self.read(now, token, out),
            Event::Change { token, change } => self.change(now, token, change, out),
            Event::Transfer { token } => self.transfer(now, token, out),
            Event::Stored { seq } => self.synced(now, seq, out),
            Event::Snapshot(snapshot) => self.compact(snapshot),
            Event::Disk { ok } => self.disk(now, ok, out),
        }
    }

    /// Term, and who got the vote in it.
    #[must_use]
    pub fn vote(&self) -> Vote {
        self.vote
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.beat_at,
            _ => self.election_at,
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.deadline() {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.beat(now, out);
        } else if self.disk_ok && self.config().is_voter(self.settings.id) {
            self.start_pre_vote(now, out);
        } else {
            self.reset_election(now);
        }
    }

    fn receive(&mut self, now: Instant, from: ReplicaId, message: Message, out: &mut Vec<Action>) {
        if from == self.settings.id {
            return;
        }
        let Message { term, body } = message;
        match body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                return self.on_pre_vote(now, from, term, (last_term, last_index), out);
            }
            Body::PreVoteReply { granted: true } => {
                return self.on_pre_vote_granted(now, from, term, out);
            }
            Body::Removed { index } => return self.on_removed(index, out),
            // A replica that lost contact must not depose a leader that others hear.
            Body::Vote {
                transfer: false, ..
            } if self.hears_leader(now) => return,
            _ => {}
        }
        if term > self.vote.term {
            self.follow(now, term, None, out);
        }
        if term < self.vote.term {
            let body = match body {
                Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. } => Body::Stale,
                Body::Vote { .. } => Body::VoteReply { granted: false },
                _ => return,
            };
            return self.reply(from, body, out);
        }
        self.dispatch(now, from, body, out);
    }

    /// Handles a message of the current term.
    fn dispatch(&mut self, now: Instant, from: ReplicaId, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::PreVote { .. }
            | Body::PreVoteReply { .. }
            | Body::Stale
            | Body::Removed { .. } => {}
            Body::Vote {
                last_index,
                last_term,
                ..
            } => {
                self.on_vote(now, from, (last_term, last_index), out);
            }
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted, out),
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit_index,
            } => {
                if self.hear(now, from, out) {
                    let part = Part {
                        prev_index,
                        prev_term,
                        entries,
                    };
                    self.on_append(from, part, commit_index, out);
                }
            }
            Body::Heartbeat {
                round,
                commit_index,
            } => {
                if self.hear(now, from, out) {
                    self.advance(commit_index.min(self.log.last_index()), out);
                    self.reply(from, Body::HeartbeatReply { round }, out);
                }
            }
            Body::Chunk {
                index,
                index_term,
                config,
                total_bytes,
                offset,
                data,
            } => {
                if self.hear(now, from, out) {
                    let incoming = Incoming::new(index, index_term, config, total_bytes);
                    self.on_chunk(from, incoming, offset, &data.0, out);
                }
            }
            Body::Accepted { match_index } => self.on_accepted(now, from, match_index, out),
            Body::Rejected {
                prev_index,
                hint_index,
                hint_term,
            } => {
                self.on_rejected(now, from, prev_index, (hint_index, hint_term), out);
            }
            Body::HeartbeatReply { round } => self.on_heartbeat_reply(now, from, round, out),
            Body::ChunkReply { index, offset } => {
                self.on_chunk_reply(now, from, index, offset, out);
            }
            Body::TakeOver => self.on_take_over(now, from, out),
        }
    }

    /// Becomes a follower.
    pub(crate) fn follow(
        &mut self,
        now: Instant,
        term: u64,
        leader: Option<ReplicaId>,
        out: &mut Vec<Action>,
    ) {
        if term > self.vote.term {
            self.vote = Vote {
                term,
                voted_for: None,
            };
            self.write(Write::Vote(self.vote), out);
        }
        if self.leader != leader {
            self.incoming = None;
            self.early.clear();
            self.contact = None;
        }
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            for read in leader.reads {
                let (token, reason) = (read.token, RefusalReason::NotLeader);
                out.push(Action::Refused { token, reason });
            }
        }
        self.leader = leader;
        self.reset_election(now);
    }

    /// Moves the commit index forward.
    pub(crate) fn advance(&mut self, index: u64, out: &mut Vec<Action>) {
        if index > self.commit_index {
            self.commit_index = index;
            out.push(Action::Commit { index });
        }
    }

    /// Appends an entry to the log in memory.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.log.push(entry);
    }

    /// Numbers a write.
    pub(crate) fn write(&mut self, write: Write, out: &mut Vec<Action>) {
        self.seq += 1;
        let seq = self.seq;
        let last_index = match &write {
            Write::Append(entries) => entries.last().map(|e| e.index),
            Write::Install(snapshot) => Some(snapshot.index),
            Write::Vote(_) => {
                self.vote_seq = seq;
                None
            }
        };
        if let Some(last_index) = last_index {
            self.writes.push_back((seq, last_index));
        }
        out.push(Action::Store { seq, write });
    }

    fn synced(&mut self, now: Instant, seq: u64, out: &mut Vec<Action>) {
        while let Some((_, last_index)) = self.writes.pop_front_if(|(number, _)| *number <= seq) {
            self.stored = self.stored.max(last_index);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.commit_quorum(now, out);
        }
    }

    fn compact(&mut self, snapshot: Arc<Snapshot>) {
        if self
            .snapshot
            .as_ref()
            .is_some_and(|s| s.index >= snapshot.index)
        {
            return;
        }
        let upto = snapshot
            .index
            .saturating_sub(self.settings.retained_entries);
        self.log.compact(upto);
        let covered = self.configs.iter().filter(|(i, _)| *i <= snapshot.index);
        let count = covered.count().saturating_sub(1);
        self.configs.drain(..count);
        self.snapshot = Some(snapshot);
    }

    fn disk(&mut self, now: Instant, ok: bool, out: &mut Vec<Action>) {
        self.disk_ok = ok;
        if !ok && matches!(self.role, Role::Leader(_)) {
            if let Some(target) = self.successor(now) {
                self.send(target, Body::TakeOver, 0, out);
            }
            self.follow(now, self.vote.term, None, out);
        }
    }

    /// Sends a message of the current term.
    pub(crate) fn send(&self, to: ReplicaId, body: Body, after: u64, out: &mut Vec<Action>) {
        let term = self.vote.term;
        let message = Message { term, body };
        out.push(Action::Send { to, message, after });
    }

    /// Sends a message that needs no write.
    pub(crate) fn reply(&self, to: ReplicaId, body: Body, out: &mut Vec<Action>) {
        self.send(to, body, 0, out);
    }

    /// Wait before the first pre-vote; twice as long between unanswered ones; they disturb no
    /// leader. Long enough apart that two replicas rarely ask at the same time.
    pub(crate) fn pre_vote_wait(&mut self) -> Duration {
        let beat = self.settings.heartbeat_interval;
        self.rng.random_range(beat / 8..beat)
    }

    /// Sets a new random election timeout.
    pub(crate) fn reset_election(&mut self, now: Instant) {
        let (low, high) = self.settings.election_timeout;
        let wait = if low < high {
            self.rng.random_range(low..high)
        } else {
            low
        };
        self.election_at = now + wait;
    }

    /// Whether a leader has been heard within the shortest election timeout.
    pub(crate) fn hears_leader(&self, now: Instant) -> bool {
        matches!(self.role, Role::Leader(_))
            || self.leader.is_some()
                && self
                    .contact
                    .is_some_and(|at| now < at + self.settings.election_timeout.0)
    }

    /// Membership in effect.
    #[must_use]
    pub fn config(&self) -> &Config {
        self.config_at(u64::MAX).0
    }

    /// Membership at an index, and the index of its entry.
    pub(crate) fn config_at(&self, index: u64) -> (&Config, u64) {
        static NONE: Config = Config {
            members: BTreeMap::new(),
            next_id: 0,
        };
        let known = self.configs.iter().rev().find(|(i, _)| *i <= index);
        known.map_or((&NONE, 0), |(i, config)| (config, *i))
    }

    /// Term and membership for a snapshot after a committed entry.
    #[must_use]
    pub fn snapshot_metadata(&self, index: u64) -> Option<(u64, Config)> {
        let term = self.log.term(index)?;
        (index <= self.commit_index).then(|| (term, self.config_at(index).0.clone()))
    }

    /// Committed entry.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index).filter(|_| index <= self.commit_index)
    }

    /// Own id.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Role.
    #[must_use]
    pub fn role(&self) -> RoleName {
        match &self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::Candidate(_) | Role::PreCandidate(_) => RoleName::Candidate,
            Role::Follower => match self.config().members.get(&self.settings.id).map(|m| m.kind) {
                Some(MemberKind::Voter) => RoleName::Follower,
                _ => RoleName::Learner,
            },
        }
    }

    /// Leader if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Address of a member.
    #[must_use]
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.config().members.get(&id).map(|m| m.address)
    }

    /// Term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Last committed index.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last index of the log.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// What a leader knows of the other members; empty otherwise.
    #[must_use]
    pub fn peers(&self) -> Vec<PeerState> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let peer = |(id, p): (&ReplicaId, &crate::progress::Progress)| PeerState {
            id: *id,
            match_index: p.match_index,
            contact: p.contact,
        };
        leader.progress.iter().map(peer).collect()
    }
}
