//! State of a replica, and dispatch of its events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use units::ReplicaId;

use crate::follower::{EntryBatch, IncomingSnapshot};
use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Action, Body, Config, Entry, Event, MemberKind, Message, Payload, RefusalReason, Restored,
    Settings, Snapshot, StorageWrite, Vote,
};

/// Replies to a candidate's vote requests.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) denied: BTreeSet<ReplicaId>,
}

/// Role and its state.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Sends pre-vote requests; holds the voters that granted one.
    PreCandidate(BTreeSet<ReplicaId>),
    /// Requests votes.
    Candidate(VoteTally),
    /// Leads the group.
    Leader(Box<Leader>),
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Receives the log without voting.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes or votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Replication progress of another member, as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// Id of the member.
    pub id: ReplicaId,
    /// Highest index up to which the member's log matches and is synced.
    pub match_index: u64,
    /// When the last reply arrived.
    pub last_contact: Instant,
}

/// Consensus state of a replica.
#[derive(Debug)]
pub struct ReplicaState {
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) vote: Vote,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Memberships with the index of their entry; the last one is in effect.
    pub(crate) configs: Vec<(u64, Config)>,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When the last message of the leader arrived.
    pub(crate) leader_contact: Option<Instant>,
    /// When the next pre-vote starts, unless a leader is heard before.
    pub(crate) election_deadline: Instant,
    /// Whether this replica lost an election since it last heard from a leader.
    pub(crate) vote_denied: bool,
    pub(crate) commit_index: u64,
    /// Last index of this replica's log that is synced.
    pub(crate) synced_index: u64,
    /// Unsynced writes of entries or snapshots: sequence number and last index.
    pub(crate) unsynced_writes: VecDeque<(u64, u64)>,
    /// Sequence number of the last write.
    pub(crate) write_seq: u64,
    /// Sequence number of the last write of a term and vote.
    pub(crate) vote_seq: u64,
    pub(crate) disk_writable: bool,
    /// Snapshot that is being received.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Entries of the current leader that arrived before their predecessors, by the index
    /// of the entry before them.
    pub(crate) early_batches: BTreeMap<u64, EntryBatch>,
}

impl ReplicaState {
    /// Creates the state from what was read from storage; `rng` only randomizes election
    /// timeouts and pre-vote delays.
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
        // Storage keeps entries before the snapshot for followers that lag. The term before
        // the first of them is unknown, so that entry becomes the base of the log.
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
        let synced_index = log.last_index();
        let mut state = Self {
            settings,
            rng,
            vote,
            log,
            snapshot,
            configs,
            role: Role::Follower,
            leader: None,
            leader_contact: None,
            election_deadline: now,
            vote_denied: false,
            commit_index: commit_index.min(synced_index).max(index),
            synced_index,
            unsynced_writes: VecDeque::new(),
            write_seq: 0,
            vote_seq: 0,
            disk_writable: true,
            incoming_snapshot: None,
            early_batches: BTreeMap::new(),
        };
        // Voters that hear from a leader deny a pre-vote, so there is no need to wait a whole
        // election timeout before the first one.
        state.election_deadline = now + state.pre_vote_delay();
        state
    }

    /// Handles an event and appends actions, which the caller must carry out in order.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(now, out),
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::Propose(commands) => self.on_propose(now, commands, out),
            Event::Read { token } => self.on_read(now, token, out),
            Event::Change { token, change } => self.on_change(now, token, change, out),
            Event::Transfer { token } => self.on_transfer(now, token, out),
            Event::Stored { seq } => self.on_stored(now, seq, out),
            Event::Snapshot(snapshot) => self.on_snapshot(snapshot),
            Event::Disk { ok } => self.on_disk(now, ok, out),
        }
    }

    /// Current term and the vote in it.
    #[must_use]
    pub fn vote(&self) -> Vote {
        self.vote
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_deadline,
            _ => self.election_deadline,
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.deadline() {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.on_heartbeat_due(now, out);
        } else if self.disk_writable && self.config().is_voter(self.settings.id) {
            self.start_pre_vote(now, out);
        } else {
            self.reset_election_timer(now);
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: ReplicaId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
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
            // A replica that lost contact must not depose a leader that this one still hears
            // from.
            Body::Vote {
                transfer: false, ..
            } if self.has_recent_leader(now) => return,
            _ => {}
        }
        if term > self.vote.term {
            self.become_follower(now, term, None, out);
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
                if self.record_leader_contact(now, from, out) {
                    let batch = EntryBatch {
                        prev_index,
                        prev_term,
                        entries,
                    };
                    self.on_append(from, batch, commit_index, out);
                }
            }
            Body::Heartbeat {
                round,
                commit_index,
            } => {
                if self.record_leader_contact(now, from, out) {
                    self.advance_commit(commit_index.min(self.log.last_index()), out);
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
                if self.record_leader_contact(now, from, out) {
                    let header = IncomingSnapshot::new(index, index_term, config, total_bytes);
                    self.on_chunk(from, header, offset, &data.0, out);
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

    /// Becomes a follower in the given term, which is written if it is new. Reads that a
    /// deposed leader has not confirmed are refused.
    pub(crate) fn become_follower(
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
            self.submit_write(StorageWrite::Vote(self.vote), out);
        }
        if self.leader != leader {
            self.incoming_snapshot = None;
            self.early_batches.clear();
            self.leader_contact = None;
        }
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            for read in leader.reads {
                let (token, reason) = (read.token, RefusalReason::NotLeader);
                out.push(Action::Refused { token, reason });
            }
        }
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Raises the committed index; never lowers it.
    pub(crate) fn advance_commit(&mut self, index: u64, out: &mut Vec<Action>) {
        if index > self.commit_index {
            self.commit_index = index;
            out.push(Action::Commit { index });
        }
    }

    /// Appends an entry to the log in memory, and its membership if it holds one.
    pub(crate) fn push_entry(&mut self, entry: Entry) {
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.log.push(entry);
    }

    /// Assigns a sequence number to a write and emits it.
    pub(crate) fn submit_write(&mut self, write: StorageWrite, out: &mut Vec<Action>) {
        self.write_seq += 1;
        let seq = self.write_seq;
        let last_index = match &write {
            StorageWrite::Append(entries) => entries.last().map(|e| e.index),
            StorageWrite::Install(snapshot) => Some(snapshot.index),
            StorageWrite::Vote(_) => {
                self.vote_seq = seq;
                None
            }
        };
        if let Some(last_index) = last_index {
            self.unsynced_writes.push_back((seq, last_index));
        }
        out.push(Action::Store { seq, write });
    }

    fn on_stored(&mut self, now: Instant, seq: u64, out: &mut Vec<Action>) {
        while let Some((_, last_index)) = self
            .unsynced_writes
            .pop_front_if(|(write, _)| *write <= seq)
        {
            self.synced_index = self.synced_index.max(last_index);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.commit_quorum(now, out);
        }
    }

    fn on_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        if self
            .snapshot
            .as_ref()
            .is_some_and(|s| s.index >= snapshot.index)
        {
            return;
        }
        let index = snapshot
            .index
            .saturating_sub(self.settings.retained_entries);
        self.log.compact(index);
        let covered = self.configs.iter().filter(|(i, _)| *i <= snapshot.index);
        let count = covered.count().saturating_sub(1);
        self.configs.drain(..count);
        self.snapshot = Some(snapshot);
    }

    fn on_disk(&mut self, now: Instant, ok: bool, out: &mut Vec<Action>) {
        self.disk_writable = ok;
        if !ok && matches!(self.role, Role::Leader(_)) {
            if let Some(target) = self.successor(now) {
                self.send(target, Body::TakeOver, 0, out);
            }
            self.become_follower(now, self.vote.term, None, out);
        }
    }

    /// Sends a message of the current term.
    pub(crate) fn send(&self, to: ReplicaId, body: Body, after: u64, out: &mut Vec<Action>) {
        let term = self.vote.term;
        let message = Message { term, body };
        out.push(Action::Send { to, message, after });
    }

    /// Sends a message that does not depend on a write.
    pub(crate) fn reply(&self, to: ReplicaId, body: Body, out: &mut Vec<Action>) {
        self.send(to, body, 0, out);
    }

    /// Random delay before the first pre-vote; it is doubled between unanswered ones. Pre-votes
    /// don't disturb a leader, so the delay only has to be long enough that two replicas
    /// rarely ask at the same time.
    pub(crate) fn pre_vote_delay(&mut self) -> Duration {
        let heartbeat = self.settings.heartbeat_interval;
        self.rng.random_range(heartbeat / 8..heartbeat)
    }

    /// Restarts the election timer with a new random timeout.
    pub(crate) fn reset_election_timer(&mut self, now: Instant) {
        let (min, max) = self.settings.election_timeout;
        let timeout = if min < max {
            self.rng.random_range(min..max)
        } else {
            min
        };
        self.election_deadline = now + timeout;
    }

    /// Whether this replica leads, or has heard from a leader within the minimum election
    /// timeout.
    pub(crate) fn has_recent_leader(&self, now: Instant) -> bool {
        matches!(self.role, Role::Leader(_))
            || self.leader.is_some()
                && self
                    .leader_contact
                    .is_some_and(|at| now < at + self.settings.election_timeout.0)
    }

    /// Membership in effect, committed or not.
    #[must_use]
    pub fn config(&self) -> &Config {
        self.config_at(u64::MAX).0
    }

    /// Membership as of an index, and the index of its entry.
    pub(crate) fn config_at(&self, index: u64) -> (&Config, u64) {
        static EMPTY: Config = Config {
            members: BTreeMap::new(),
            next_id: 0,
        };
        let known = self.configs.iter().rev().find(|(i, _)| *i <= index);
        known.map_or((&EMPTY, 0), |(i, config)| (config, *i))
    }

    /// Term and membership for a snapshot that ends with the given committed entry.
    #[must_use]
    pub fn snapshot_metadata(&self, index: u64) -> Option<(u64, Config)> {
        let term = self.log.term(index)?;
        (index <= self.commit_index).then(|| (term, self.config_at(index).0.clone()))
    }

    /// Entry at an index, if it is committed and not compacted.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index).filter(|_| index <= self.commit_index)
    }

    /// Id of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Current role.
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

    /// Leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Address of a member.
    #[must_use]
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.config().members.get(&id).map(|m| m.address)
    }

    /// Current term.
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

    /// Replication progress of the other members; empty unless this replica leads.
    #[must_use]
    pub fn peers(&self) -> Vec<PeerState> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let peer = |(id, p): (&ReplicaId, &crate::progress::Progress)| PeerState {
            id: *id,
            match_index: p.match_index,
            last_contact: p.last_contact,
        };
        leader.progress.iter().map(peer).collect()
    }
}
