//! Pre-votes, elections and the start of leadership.

use std::collections::BTreeSet;
use std::time::Instant;

use units::ReplicaId;

use crate::leader::Leader;
use crate::state::{ReplicaState, Role, VoteTally};
use crate::{Action, Body, Entry, Message, Payload, StorageWrite, Vote};

impl ReplicaState {
    /// Asks the voters whether they would grant a vote; does not change the term.
    pub(crate) fn start_pre_vote(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.become_follower(now, self.vote.term, None, out);
        let granted = BTreeSet::from([self.settings.id]);
        if self.config().is_quorum(|id| granted.contains(&id)) {
            return self.start_election(now, false, out);
        }
        self.role = Role::PreCandidate(granted);
        self.election_deadline = now + self.pre_vote_delay() * 2;
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.vote.term + 1;
        let body = Body::PreVote {
            last_index,
            last_term,
        };
        for to in self.other_voters() {
            let message = Message {
                term,
                body: body.clone(),
            };
            out.push(Action::Send {
                to,
                message,
                after: 0,
            });
        }
    }

    /// Starts a new term and requests votes from the other voters.
    pub(crate) fn start_election(&mut self, now: Instant, transfer: bool, out: &mut Vec<Action>) {
        let id = self.settings.id;
        self.become_follower(now, self.vote.term, None, out);
        self.vote = Vote {
            term: self.vote.term + 1,
            voted_for: Some(id),
        };
        self.submit_write(StorageWrite::Vote(self.vote), out);
        let granted = BTreeSet::from([id]);
        if self.config().is_quorum(|id| granted.contains(&id)) {
            return self.become_leader(now, out);
        }
        self.role = Role::Candidate(VoteTally {
            granted,
            ..VoteTally::default()
        });
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            // This replica's own vote is counted as soon as the first reply arrives, so
            // it must be synced before the request is sent.
            let body = Body::Vote {
                last_index,
                last_term,
                transfer,
            };
            self.send(to, body, self.write_seq, out);
        }
    }

    fn become_leader(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (term, last_index) = (self.vote.term, self.log.last_index());
        let mut leader = Leader::new(now, last_index + 1);
        for id in self
            .config()
            .members
            .keys()
            .filter(|id| **id != self.settings.id)
        {
            leader.add_follower(now, *id, last_index);
        }
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.settings.id);
        let entry = Entry {
            term,
            index: last_index + 1,
            payload: Payload::Empty,
        };
        self.append(now, vec![entry], out);
        self.on_heartbeat_due(now, out);
    }

    /// Handles a pre-vote request; `last_log` is the term and index of the sender's last
    /// entry.
    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        last_log: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        if let Some(index) = self.removal_index(from, last_log.1) {
            let term = self.vote.term;
            let body = Body::Removed { index };
            let message = Message { term, body };
            return out.push(Action::Send {
                to: from,
                message,
                after: 0,
            });
        }
        let granted = term > self.vote.term
            && self.disk_writable
            && !self.has_recent_leader(now)
            && self.is_up_to_date(last_log);
        let term = if granted { term } else { self.vote.term };
        let message = Message {
            term,
            body: Body::PreVoteReply { granted },
        };
        out.push(Action::Send {
            to: from,
            message,
            after: 0,
        });
    }

    /// Index of the committed membership, if it lacks a replica whose log ends before it.
    fn removal_index(&self, id: ReplicaId, last_index: u64) -> Option<u64> {
        let (config, index) = self.config_at(self.commit_index);
        let lacks = !config.members.contains_key(&id) && !config.members.is_empty();
        (lacks && index > last_index).then_some(index)
    }

    /// Handles the notice that this replica was removed. As a pre-candidate it takes
    /// itself for a voter. A membership with a higher index than its last entry must come
    /// from the group.
    pub(crate) fn on_removed(&mut self, index: u64, out: &mut Vec<Action>) {
        let is_pre_candidate = matches!(self.role, Role::PreCandidate(_));
        if is_pre_candidate && index > self.log.last_index() {
            out.push(Action::Removed);
        }
    }

    pub(crate) fn on_pre_vote_granted(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        out: &mut Vec<Action>,
    ) {
        let Role::PreCandidate(granted) = &mut self.role else {
            return;
        };
        if term != self.vote.term + 1 {
            return;
        }
        granted.insert(from);
        let granted = granted.clone();
        if self.config().is_quorum(|id| granted.contains(&id)) {
            self.start_election(now, false, out);
        }
    }

    /// Handles a vote request; `last_log` is the term and index of the sender's last entry.
    pub(crate) fn on_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        last_log: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        let may_vote = self.vote.voted_for.is_none() && self.leader.is_none();
        let granted =
            (may_vote && self.is_up_to_date(last_log)) || self.vote.voted_for == Some(from);
        if granted && self.vote.voted_for.is_none() {
            self.vote.voted_for = Some(from);
            self.role = Role::Follower;
            self.submit_write(StorageWrite::Vote(self.vote), out);
            self.reset_election_timer(now);
        }
        self.send(from, Body::VoteReply { granted }, self.write_seq, out);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Role::Candidate(tally) = &mut self.role else {
            return;
        };
        if granted {
            tally.granted.insert(from);
        } else {
            tally.denied.insert(from);
        }
        let (granted, denied) = (tally.granted.clone(), tally.denied.clone());
        let config = self.config();
        if config.is_quorum(|id| granted.contains(&id)) {
            self.become_leader(now, out);
        } else if !config.is_quorum(|id| !denied.contains(&id)) {
            // Another candidate may have the votes. A prompt pre-vote finds out: it is
            // denied if that candidate leads, and saves an election timeout if nobody
            // does. Only the first denial is followed by a prompt pre-vote: candidates
            // that keep splitting the vote need a random election timeout to separate.
            self.become_follower(now, self.vote.term, None, out);
            if !std::mem::replace(&mut self.vote_denied, true) {
                self.election_deadline = now + self.pre_vote_delay();
            }
        }
    }

    pub(crate) fn on_take_over(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Action>) {
        let voter = self.config().is_voter(self.settings.id);
        if voter && self.disk_writable && self.leader == Some(from) {
            self.start_election(now, true, out);
        }
    }

    /// Whether a log with this last term and index is at least as up to date as the own one.
    fn is_up_to_date(&self, last_log: (u64, u64)) -> bool {
        last_log >= (self.log.last_term(), self.log.last_index())
    }

    /// Voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let own_id = self.settings.id;
        self.config().voters().filter(|id| *id != own_id).collect()
    }
}
