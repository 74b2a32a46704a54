//! Pre-vote, votes and the start of leadership.

use std::collections::BTreeSet;
use std::time::Instant;

use units::ReplicaId;

use crate::leader::Leader;
use crate::state::{Ballot, ReplicaState, Role};
use crate::{Action, Body, Entry, Message, Payload, Vote, Write};

impl ReplicaState {
    /// Asks the voters whether an election could succeed; the term stays.
    pub(crate) fn start_pre_vote(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.follow(now, self.vote.term, None, out);
        let votes = BTreeSet::from([self.settings.id]);
        if self.config().is_quorum(|id| votes.contains(&id)) {
            return self.start_election(now, false, out);
        }
        self.role = Role::PreCandidate(votes);
        self.election_at = now + self.pre_vote_wait() * 2;
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

    /// Starts a term and asks the voters for their votes.
    pub(crate) fn start_election(&mut self, now: Instant, transfer: bool, out: &mut Vec<Action>) {
        let id = self.settings.id;
        self.follow(now, self.vote.term, None, out);
        self.vote = Vote {
            term: self.vote.term + 1,
            voted_for: Some(id),
        };
        self.write(Write::Vote(self.vote), out);
        let votes = BTreeSet::from([id]);
        if self.config().is_quorum(|id| votes.contains(&id)) {
            return self.lead(now, out);
        }
        self.role = Role::Candidate(Ballot {
            granted: votes,
            ..Ballot::default()
        });
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            // The own vote counts with the first answer, so it is synced before the request.
            let body = Body::Vote {
                last_index,
                last_term,
                transfer,
            };
            self.send(to, body, self.seq, out);
        }
    }

    fn lead(&mut self, now: Instant, out: &mut Vec<Action>) {
        let (term, last_index) = (self.vote.term, self.log.last_index());
        let mut leader = Leader::new(now, last_index + 1);
        for id in self
            .config()
            .members
            .keys()
            .filter(|id| **id != self.settings.id)
        {
            leader.add(now, *id, last_index);
        }
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.settings.id);
        let entry = Entry {
            term,
            index: last_index + 1,
            payload: Payload::Empty,
        };
        self.append(now, vec![entry], out);
        self.beat(now, out);
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        last_index: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        if let Some(index) = self.removed_at(from, last_index.1) {
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
            && self.disk_ok
            && !self.hears_leader(now)
            && self.is_current(last_index);
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

    /// Index of the committed membership that lacks a replica whose log ends before it.
    fn removed_at(&self, id: ReplicaId, last_index: u64) -> Option<u64> {
        let (config, index) = self.config_at(self.commit_index);
        let lacks = !config.members.contains_key(&id) && !config.members.is_empty();
        (lacks && index > last_index).then_some(index)
    }

    /// Another replica says that this one was removed. It asks for votes, so it believes to be a
    /// voter; a later membership than its log holds can only come from the group.
    pub(crate) fn on_removed(&mut self, index: u64, out: &mut Vec<Action>) {
        let asks = matches!(self.role, Role::PreCandidate(_));
        if asks && index > self.log.last_index() {
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
        let Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if term != self.vote.term + 1 {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.config().is_quorum(|id| votes.contains(&id)) {
            self.start_election(now, false, out);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        last_index: (u64, u64),
        out: &mut Vec<Action>,
    ) {
        let free = self.vote.voted_for.is_none() && self.leader.is_none();
        let granted = (free && self.is_current(last_index)) || self.vote.voted_for == Some(from);
        if granted && self.vote.voted_for.is_none() {
            self.vote.voted_for = Some(from);
            self.role = Role::Follower;
            self.write(Write::Vote(self.vote), out);
            self.reset_election(now);
        }
        self.send(from, Body::VoteReply { granted }, self.seq, out);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Role::Candidate(ballot) = &mut self.role else {
            return;
        };
        if granted {
            ballot.granted.insert(from);
        } else {
            ballot.denied.insert(from);
        }
        let (granted, denied) = (ballot.granted.clone(), ballot.denied.clone());
        let config = self.config();
        if config.is_quorum(|id| granted.contains(&id)) {
            self.lead(now, out);
        } else if !config.is_quorum(|id| !denied.contains(&id)) {
            // Another candidate may have the vote. It is asked again soon, in a pre-vote, which is
            // denied if that one leads; a whole election timeout would be lost if nobody does. Soon
            // only once: candidates that go on taking each other's votes need to come apart.
            self.follow(now, self.vote.term, None, out);
            if !std::mem::replace(&mut self.denied, true) {
                self.election_at = now + self.pre_vote_wait();
            }
        }
    }

    pub(crate) fn on_take_over(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Action>) {
        let voter = self.config().is_voter(self.settings.id);
        if voter && self.disk_ok && self.leader == Some(from) {
            self.start_election(now, true, out);
        }
    }

    /// Whether a log ends at or after the own one.
    fn is_current(&self, last_index: (u64, u64)) -> bool {
        last_index >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.settings.id;
        self.config().voters().filter(|id| *id != own).collect()
    }
}
