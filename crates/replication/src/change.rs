//! Membership changes, one at a time.

use std::time::Instant;

use units::ReplicaId;

use crate::state::{ReplicaState, Role};
use crate::{Action, Config, Entry, Member, MemberKind, MembershipChange, Payload, RefusalReason};

impl ReplicaState {
    pub(crate) fn change(
        &mut self,
        now: Instant,
        token: u64,
        change: MembershipChange,
        out: &mut Vec<Action>,
    ) {
        match self.changed(now, change) {
            Ok(config) => {
                let (term, index) = (self.vote.term, self.log.last_index() + 1);
                out.push(Action::Proposed { token, term, index });
                self.append_config(now, config, out);
            }
            Err(reason) => out.push(Action::Refused { token, reason }),
        }
    }

    fn append_config(&mut self, now: Instant, config: Config, out: &mut Vec<Action>) {
        let (own, last_index) = (self.settings.id, self.log.last_index());
        let Some(leader) = self.as_leader() else {
            return;
        };
        leader
            .progress
            .retain(|id, _| config.members.contains_key(id));
        for id in config.members.keys().filter(|id| **id != own) {
            if !leader.progress.contains_key(id) {
                leader.add(now, *id, last_index);
            }
        }
        let (term, index) = (self.vote.term, last_index + 1);
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
    fn may_change(&self) -> Result<(), RefusalReason> {
        let Role::Leader(leader) = &self.role else {
            return Err(RefusalReason::NotLeader);
        };
        if leader.transfer.is_some() {
            return Err(RefusalReason::TransferInProgress);
        }
        // Two memberships that differ by one voter share a quorum member; two
        // uncommitted changes, or one of an earlier term, would break this.
        if self.config_at(u64::MAX).1 > self.commit_index || leader.first > self.commit_index {
            return Err(RefusalReason::ChangeInProgress);
        }
        Ok(())
    }

    fn changed(&self, now: Instant, change: MembershipChange) -> Result<Config, RefusalReason> {
        self.may_change()?;
        let mut config = self.config().clone();
        match change {
            MembershipChange::Learner { id, address } => {
                if id.0 < config.next_id {
                    return Err(RefusalReason::InvalidMember);
                }
                config.next_id = id.0 + 1;
                let kind = MemberKind::Learner;
                config.members.insert(id, Member { address, kind });
            }
            MembershipChange::Join { address, votes } => {
                let kind = if votes {
                    MemberKind::Joining
                } else {
                    MemberKind::Learner
                };
                // An earlier attempt of the same replica, whose answer may have been lost, or an
                // earlier start of one that keeps nothing.
                config
                    .members
                    .retain(|_, m| m.kind != kind || m.address != address);
                let id = ReplicaId(config.next_id);
                config.next_id += 1;
                config.members.insert(id, Member { address, kind });
            }
            MembershipChange::Promote(id) => {
                let member = config
                    .members
                    .get_mut(&id)
                    .ok_or(RefusalReason::InvalidMember)?;
                if member.kind == MemberKind::Voter {
                    return Err(RefusalReason::InvalidMember);
                }
                if !self.is_caught_up(now, id) {
                    return Err(RefusalReason::LearnerBehind);
                }
                member.kind = MemberKind::Voter;
            }
            MembershipChange::Remove(id) => {
                config
                    .members
                    .remove(&id)
                    .ok_or(RefusalReason::InvalidMember)?;
                if config.voters().next().is_none() {
                    return Err(RefusalReason::NoOtherVoter);
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
        let limit = self.settings.election_timeout.0;
        let progress = leader.progress.get(&id);
        progress.is_some_and(|p| p.match_index >= leader.goal && now < p.contact + limit)
    }

    /// Gives seats to joining learners that have caught up, and takes them from silent voters.
    pub(crate) fn settle_learners(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.may_change().is_err() {
            return;
        }
        let change = self.surplus(now).map(MembershipChange::Remove);
        let Some(change) = change.or_else(|| self.seat(now)) else {
            return;
        };
        if let Ok(config) = self.changed(now, change) {
            self.append_config(now, config, out);
        }
    }

    /// Silent voter whose seat another replica has taken.
    fn surplus(&self, now: Instant) -> Option<ReplicaId> {
        let limit = self.settings.max_voters?;
        (self.config().voters().count() > limit)
            .then(|| self.silent_voter(now))
            .flatten()
    }

    /// MembershipChange that brings a joining learner nearer to a seat: its own at the address of a voter
    /// that ran there before, a free one, or that of a silent voter. The last one gives up its seat
    /// only after the learner has it, so that no commit needs both of two remaining voters.
    fn seat(&self, now: Instant) -> Option<MembershipChange> {
        let config = self.config();
        let (id, member) = config
            .members
            .iter()
            .find(|(id, m)| m.kind == MemberKind::Joining && self.is_caught_up(now, **id))?;
        let before = config
            .members
            .iter()
            .find(|(_, m)| m.kind == MemberKind::Voter && m.address == member.address);
        if let Some((old, _)) = before {
            return Some(MembershipChange::Remove(*old));
        }
        let limit = self.settings.max_voters;
        let free = limit.is_none_or(|limit| config.voters().count() < limit);
        (free || self.silent_voter(now).is_some()).then_some(MembershipChange::Promote(*id))
    }

    /// Voter that has not answered for the longest time, if that is too long.
    fn silent_voter(&self, now: Instant) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.voter_silence;
        let contact = |id: ReplicaId| leader.progress.get(&id).map(|p| (p.contact, id));
        let longest = self.config().voters().filter_map(contact).min()?;
        (now >= longest.0 + limit).then_some(longest.1)
    }
}
