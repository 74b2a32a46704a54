//! Reads that a quorum confirms.

use std::time::Instant;

use units::ReplicaId;

use crate::state::{ReplicaState, Role};
use crate::{Action, RefusalReason};

/// Read that waits for a heartbeat round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// First round that began after the read arrived.
    round: u64,
    /// Index that must be applied.
    index: u64,
}

impl ReplicaState {
    pub(crate) fn read(&mut self, _now: Instant, token: u64, out: &mut Vec<Action>) {
        let commit_index = self.commit_index;
        let Some(leader) = self.as_leader() else {
            let reason = RefusalReason::NotLeader;
            return out.push(Action::Refused { token, reason });
        };
        // Entries of earlier terms may be committed without this leader knowing
        // until its own first entry is.
        let index = commit_index.max(leader.first);
        let round = leader.round + 1;
        leader.reads.push(PendingRead {
            token,
            round,
            index,
        });
        self.new_round(out);
        self.release_reads(out);
    }

    /// Releases the reads that a quorum has confirmed.
    pub(crate) fn release_reads(&mut self, out: &mut Vec<Action>) {
        let own = self.settings.id;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader.reads.is_empty() {
            return;
        }
        let answered = |id: ReplicaId| match leader.progress.get(&id) {
            Some(progress) => progress.round,
            None if id == own => leader.round,
            None => 0,
        };
        let confirmed = self.config().quorum_value(answered);
        let Some(leader) = self.as_leader() else {
            return;
        };
        for read in leader.reads.extract_if(.., |read| read.round <= confirmed) {
            let PendingRead { token, index, .. } = read;
            out.push(Action::Read { token, index });
        }
    }
}
