//! Membership changes, one voter at a time.

use std::time::Instant;

use units::ReplicaId;

use crate::state::{ReplicaState, Role};
use crate::{Action, Config, Entry, Member, MemberKind, MembershipChange, Payload, RefusalReason};

impl ReplicaState {
    pub(crate) fn on_change(
        &mut self,
        now: Instant,
        token: u64,
        change: MembershipChange,
        out: &mut Vec<Action>,
    ) {
        match self.config_after(now, change) {
            Ok(config) => {
                let (term, index) = (self.vote.term, self.log.last_index() + 1);
                out.push(Action::Proposed { token, term, index });
                self.append_config(now, config, out);
            }
            Err(reason) => out.push(Action::Refused { token, reason }),
        }
    }

    fn append_config(&mut self, now: Instant, config: Config, out: &mut Vec<Action>) {
        let (own_id, last_index) = (self.settings.id, self.log.last_index());
        let Some(leader) = self.as_leader() else {
            return;
        };
        leader
            .progress
            .retain(|id, _| config.members.contains_key(id));
        for id in config.members.keys().filter(|id| **id != own_id) {
            if !leader.progress.contains_key(id) {
                leader.add_follower(now, *id, last_index);
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

    /// Checks whether a membership change may start now.
    fn check_change_allowed(&self) -> Result<(), RefusalReason> {
        let Role::Leader(leader) = &self.role else {
            return Err(RefusalReason::NotLeader);
        };
        if leader.transfer.is_some() {
            return Err(RefusalReason::TransferInProgress);
        }
        // Quorums of two memberships that differ by one voter overlap. With a second
        // uncommitted change, or an uncommitted one of an earlier term, they might not.
        let (_, config_index) = self.config_at(u64::MAX);
        if config_index > self.commit_index || leader.first_index > self.commit_index {
            return Err(RefusalReason::ChangeInProgress);
        }
        Ok(())
    }

    /// Membership after a change, if the change is allowed.
    fn config_after(
        &self,
        now: Instant,
        change: MembershipChange,
    ) -> Result<Config, RefusalReason> {
        self.check_change_allowed()?;
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
                // Replaces the member left by an earlier attempt of this replica, whose
                // reply may have been lost, or by an earlier run of a replica without
                // stable storage.
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

    /// Whether a learner is reachable and has caught up, so that it would not delay
    /// commits as a voter.
    fn is_caught_up(&self, now: Instant, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let limit = self.settings.election_timeout.0;
        let progress = leader.progress.get(&id);
        progress
            .is_some_and(|p| p.match_index >= leader.target_index && now < p.last_contact + limit)
    }

    /// Promotes joining learners that have caught up and removes the voters that they
    /// replace.
    pub(crate) fn update_voters(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.check_change_allowed().is_err() {
            return;
        }
        let change = self.surplus_voter(now).map(MembershipChange::Remove);
        let Some(change) = change.or_else(|| self.joiner_change(now)) else {
            return;
        };
        if let Ok(config) = self.config_after(now, change) {
            self.append_config(now, config, out);
        }
    }

    /// Silent voter to remove because there are more voters than the limit.
    fn surplus_voter(&self, now: Instant) -> Option<ReplicaId> {
        let limit = self.settings.max_voters?;
        (self.config().voters().count() > limit)
            .then(|| self.silent_voter(now))
            .flatten()
    }

    /// Next change towards promoting a joining learner. A voter at the learner's address
    /// is removed first: it ran there before. Otherwise the learner is promoted if there
    /// are fewer voters than the limit, or if a voter is silent. The silent voter is
    /// removed only after the promotion: with two voters left, every commit would need
    /// both of them.
    fn joiner_change(&self, now: Instant) -> Option<MembershipChange> {
        let config = self.config();
        let (id, member) = config
            .members
            .iter()
            .find(|(id, m)| m.kind == MemberKind::Joining && self.is_caught_up(now, **id))?;
        let predecessor = config
            .members
            .iter()
            .find(|(_, m)| m.kind == MemberKind::Voter && m.address == member.address);
        if let Some((old_id, _)) = predecessor {
            return Some(MembershipChange::Remove(*old_id));
        }
        let limit = self.settings.max_voters;
        let below_limit = limit.is_none_or(|limit| config.voters().count() < limit);
        (below_limit || self.silent_voter(now).is_some()).then_some(MembershipChange::Promote(*id))
    }

    /// Voter that has been silent for the longest time, if longer than
    /// [`crate::Settings::voter_silence`].
    fn silent_voter(&self, now: Instant) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.voter_silence;
        let contact = |id: ReplicaId| leader.progress.get(&id).map(|p| (p.last_contact, id));
        let (last_contact, id) = self.config().voters().filter_map(contact).min()?;
        (now >= last_contact + limit).then_some(id)
    }
}
