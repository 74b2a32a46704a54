//! Linearizable reads, confirmed by a heartbeat round.

use std::time::Instant;

use units::ReplicaId;

use crate::state::{ReplicaState, Role};
use crate::{Action, RefusalReason};

/// Read that waits for a heartbeat round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// First heartbeat round that started after the read arrived.
    round: u64,
    /// Index that must be applied before the read is served.
    index: u64,
}

impl ReplicaState {
    pub(crate) fn on_read(&mut self, _now: Instant, token: u64, out: &mut Vec<Action>) {
        let commit_index = self.commit_index;
        let Some(leader) = self.as_leader() else {
            let reason = RefusalReason::NotLeader;
            return out.push(Action::Refused { token, reason });
        };
        // A new leader knows which entries of earlier terms are committed only once
        // its own first entry is committed.
        let index = commit_index.max(leader.first_index);
        let round = leader.round + 1;
        leader.reads.push(PendingRead {
            token,
            round,
            index,
        });
        self.start_heartbeat_round(out);
        self.release_reads(out);
    }

    /// Releases the reads whose heartbeat round a quorum has answered.
    pub(crate) fn release_reads(&mut self, out: &mut Vec<Action>) {
        let own_id = self.settings.id;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader.reads.is_empty() {
            return;
        }
        let acked_round = |id: ReplicaId| match leader.progress.get(&id) {
            Some(progress) => progress.acked_round,
            None if id == own_id => leader.round,
            None => 0,
        };
        let confirmed = self.config().quorum_value(acked_round);
        let Some(leader) = self.as_leader() else {
            return;
        };
        for read in leader.reads.extract_if(.., |read| read.round <= confirmed) {
            let PendingRead { token, index, .. } = read;
            out.push(Action::Read { token, index });
        }
    }
}
