//! Membership changes, one at a time.

use std::time::Instant;

use units::ReplicaId;

use crate::state::{Role, State};
use crate::{Action, Cause, Change, Config, Entry, Kind, Member, Payload};

impl State {
    pub(crate) fn change(
        &mut self,
        now: Instant,
        token: u64,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        match self.changed(now, change) {
            Ok(config) => {
                let (term, index) = (self.vote.term, self.log.last() + 1);
                out.push(Action::Proposed { token, term, index });
                self.append_config(now, config, out);
            }
            Err(cause) => out.push(Action::Refused { token, cause }),
        }
    }

    fn append_config(&mut self, now: Instant, config: Config, out: &mut Vec<Action>) {
        let (own, last) = (self.settings.id, self.log.last());
        let Some(leader) = self.as_leader() else {
            return;
        };
        leader
            .progress
            .retain(|id, _| config.members.contains_key(id));
        for id in config.members.keys().filter(|id| **id != own) {
            if !leader.progress.contains_key(id) {
                leader.add(now, *id, last);
            }
        }
        let (term, index) = (self.vote.term, last + 1);
        let payload = Payload::Config(config);
        self.append(
            now,
            vec![Entry {
                term,
                index,
                payload,
            }],
            out,
        );
        self.commit_quorum(now, out);
    }

    /// Whether a change may begin now.
    fn may_change(&self) -> Result<(), Cause> {
        let Role::Leader(leader) = &self.role else {
            return Err(Cause::NotLeader);
        };
        if leader.transfer.is_some() {
            return Err(Cause::Transfer);
        }
        // Two memberships that differ by one voter share a quorum member; two
        // uncommitted changes, or one of an earlier term, would break this.
        if self.config_at(u64::MAX).1 > self.commit || leader.first > self.commit {
            return Err(Cause::Pending);
        }
        Ok(())
    }

    fn changed(&self, now: Instant, change: Change) -> Result<Config, Cause> {
        self.may_change()?;
        let mut config = self.config().clone();
        match change {
            Change::Learner { id, address } => {
                if id.0 < config.next {
                    return Err(Cause::Member);
                }
                config.next = id.0 + 1;
                let kind = Kind::Learner;
                config.members.insert(id, Member { address, kind });
            }
            Change::Join { address, votes } => {
                let kind = if votes { Kind::Joining } else { Kind::Learner };
                // An earlier attempt of the same replica, whose answer may have been lost, or an
                // earlier start of one that keeps nothing.
                config
                    .members
                    .retain(|_, m| m.kind != kind || m.address != address);
                let id = ReplicaId(config.next);
                config.next += 1;
                config.members.insert(id, Member { address, kind });
            }
            Change::Promote(id) => {
                let member = config.members.get_mut(&id).ok_or(Cause::Member)?;
                if member.kind == Kind::Voter {
                    return Err(Cause::Member);
                }
                if !self.is_caught_up(now, id) {
                    return Err(Cause::Lagging);
                }
                member.kind = Kind::Voter;
            }
            Change::Remove(id) => {
                config.members.remove(&id).ok_or(Cause::Member)?;
                if config.voters().next().is_none() {
                    return Err(Cause::Alone);
                }
            }
        }
        Ok(config)
    }

    /// Whether a learner would not delay commits as a voter.
    fn is_caught_up(&self, now: Instant, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let limit = self.settings.election.0;
        let progress = leader.progress.get(&id);
        progress.is_some_and(|p| p.matched >= leader.goal && now < p.contact + limit)
    }

    /// Gives seats to joining learners that have caught up, and takes them from silent voters.
    pub(crate) fn settle_learners(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.may_change().is_err() {
            return;
        }
        let change = self.surplus(now).map(Change::Remove);
        let Some(change) = change.or_else(|| self.seat(now)) else {
            return;
        };
        if let Ok(config) = self.changed(now, change) {
            self.append_config(now, config, out);
        }
    }

    /// Silent voter whose seat another replica has taken.
    fn surplus(&self, now: Instant) -> Option<ReplicaId> {
        let limit = self.settings.voters?;
        (self.config().voters().count() > limit)
            .then(|| self.silent_voter(now))
            .flatten()
    }

    /// Change that brings a joining learner nearer to a seat: its own at the address of a voter
    /// that ran there before, a free one, or that of a silent voter. The last one gives up its seat
    /// only after the learner has it, so that no commit needs both of two remaining voters.
    fn seat(&self, now: Instant) -> Option<Change> {
        let config = self.config();
        let (id, member) = config
            .members
            .iter()
            .find(|(id, m)| m.kind == Kind::Joining && self.is_caught_up(now, **id))?;
        let before = config
            .members
            .iter()
            .find(|(_, m)| m.kind == Kind::Voter && m.address == member.address);
        if let Some((old, _)) = before {
            return Some(Change::Remove(*old));
        }
        let limit = self.settings.voters;
        let free = limit.is_none_or(|limit| config.voters().count() < limit);
        (free || self.silent_voter(now).is_some()).then_some(Change::Promote(*id))
    }

    /// Voter that has not answered for the longest time, if that is too long.
    fn silent_voter(&self, now: Instant) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.silence;
        let contact = |id: ReplicaId| leader.progress.get(&id).map(|p| (p.contact, id));
        let longest = self.config().voters().filter_map(contact).min()?;
        (now >= longest.0 + limit).then_some(longest.1)
    }
}
