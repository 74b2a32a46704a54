//! Handle of a running replica.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use replication::{MembershipChange, ReplicaState, Restored};
use slog::{Logger, crit, o, warn};
use tokio::sync::{mpsc, oneshot, watch};
use units::ReplicaId;

use crate::disk::{self, DiskThread};
use crate::files::Files;
use crate::formation::{Formation, FormationOutcome, initial_members};
use crate::input::{Input, ReplySender};
use crate::machine::MachineThread;
use crate::messages::{PeerReply, PeerRequest};
use crate::peers::PeerQueues;
use crate::task::{Progress, RemovedReplica, ReplicaTask};
use crate::{Peer, ProposeError, ReplicaError, ReplicaSettings, ReplicaStatus};

/// Capacity of the queue of requests to the task. Callers wait while it is full.
const MAX_QUEUED_INPUTS: usize = 1024;

/// Applies the command at an index and returns the response to its proposer.
pub type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;

/// Encodes the state for a snapshot.
pub type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;

/// Replaces the state with the one encoded in a snapshot.
pub type RestoreFn = Box<dyn FnMut(&[u8]) -> Result<(), Box<str>> + Send>;

/// State machine; called from a single thread, in log order.
pub struct StateMachine {
    /// Applies the command at an index and returns the response to its proposer.
    pub apply: ApplyFn,
    /// Encodes the state for a snapshot.
    pub snapshot: SnapshotFn,
    /// Replaces the state with the one encoded in a snapshot.
    pub restore: RestoreFn,
}

impl std::fmt::Debug for StateMachine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StateMachine(..)")
    }
}

/// Handle of a running replica; cheap to clone. The replica stops when the last
/// handle is dropped.
#[derive(Debug, Clone)]
pub struct Replica {
    inputs: mpsc::Sender<Input>,
    status: watch::Receiver<ReplicaStatus>,
    propose_timeout: Duration,
    transfer_timeout: Duration,
    max_command_bytes: usize,
}

impl Replica {
    /// Opens the files and starts the replica.
    ///
    /// Returns before the replica takes part: a replica with an empty data folder
    /// first probes its peers, which in turn need replies from this one.
    ///
    /// # Errors
    /// When the files can't be opened or a setting is invalid.
    pub async fn start(
        settings: ReplicaSettings,
        machine: StateMachine,
        client: rpc::Client,
        log: Logger,
    ) -> Result<Self, ReplicaError> {
        settings.validate()?;
        let settings_copy = settings.clone();
        let opened = tokio::task::spawn_blocking(move || open(&settings_copy, machine));
        let opened = opened.await.map_err(|_| ReplicaError::Stopped)??;
        for warning in &opened.warnings {
            warn!(log, "repaired a file"; "detail" => warning.as_ref());
        }
        let id = opened.restored.as_ref().map_or(settings.id, |(id, _)| *id);
        let (input_sender, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
        let (status, receiver) = watch::channel(ReplicaStatus {
            id,
            ..Default::default()
        });
        let replica = Self {
            inputs: input_sender,
            status: receiver,
            propose_timeout: settings.propose_timeout,
            transfer_timeout: settings.election_timeout.1 * 2,
            max_command_bytes: settings.max_command_bytes,
        };
        tokio::spawn(run_replica(settings, opened, client, log, inputs, status));
        Ok(replica)
    }

    /// Commits a command and returns the response of the state machine.
    ///
    /// # Errors
    /// See [`ProposeError`]; the command may still be committed only after `Unknown`.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (size, limit) = (command.len(), self.max_command_bytes);
        if size > limit {
            let reason = format!("the command of {size} bytes exceeds {limit} bytes").into();
            return Err(ProposeError::Refused { reason });
        }
        self.request(self.propose_timeout, |reply| Input::Propose(command, reply))
            .await
    }

    /// Confirms with a quorum that this replica is the leader. State that is read
    /// afterwards includes everything committed before the call.
    ///
    /// # Errors
    /// When this replica is not the leader or reaches no quorum.
    pub async fn confirm_leadership(&self) -> Result<(), ProposeError> {
        self.request(self.propose_timeout, Input::ConfirmLeadership)
            .await
    }

    /// Handles the body of a request to `/v1/replicate`.
    ///
    /// # Errors
    /// When the body can't be decoded or the replica is busy or stopped.
    pub async fn handle(&self, message: &[u8]) -> Result<Vec<u8>, ReplicaError> {
        let request: PeerRequest =
            replication::decode("message", message).map_err(invalid_message)?;
        let reply = if matches!(request, PeerRequest::Batch { .. }) {
            self.inputs
                .try_send(Input::Peer(request, None))
                .map_err(|e| match e {
                    mpsc::error::TrySendError::Full(_) => ReplicaError::Busy,
                    mpsc::error::TrySendError::Closed(_) => ReplicaError::Stopped,
                })?;
            PeerReply::Taken
        } else {
            let (reply_sender, reply) = oneshot::channel();
            let input = Input::Peer(request, Some(reply_sender));
            self.inputs
                .send(input)
                .await
                .map_err(|_| ReplicaError::Stopped)?;
            match tokio::time::timeout(self.propose_timeout, reply).await {
                Ok(reply) => reply.map_err(|_| ReplicaError::Stopped)?,
                Err(_) => PeerReply::Later,
            }
        };
        replication::encode("answer", &reply).map_err(invalid_message)
    }

    /// Current status.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Watches the status; notified of changes of the id, role, leader, applied index
    /// and storage error.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Adds a learner, whose id must not have been used before.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn add_learner(&self, peer: Peer) -> Result<(), ProposeError> {
        let Peer { id, address } = peer;
        self.change(MembershipChange::Learner { id, address }).await
    }

    /// Promotes a learner to a voter.
    ///
    /// # Errors
    /// See [`ProposeError`]; refused until the learner has caught up.
    pub async fn promote(&self, peer: Peer) -> Result<(), ProposeError> {
        self.change(MembershipChange::Promote(peer.id)).await
    }

    /// Removes a voter or learner.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn remove(&self, peer: Peer) -> Result<(), ProposeError> {
        self.change(MembershipChange::Remove(peer.id)).await
    }

    /// Transfers the leadership to the most up-to-date follower.
    ///
    /// # Errors
    /// When this replica is not the leader or no follower takes over in time.
    pub async fn transfer_leadership(&self) -> Result<(), ProposeError> {
        self.request(self.transfer_timeout, Input::TransferLeadership)
            .await
    }

    /// Stops the replica and waits until its files are closed.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        if self.inputs.send(Input::Stop(reply)).await.is_ok() {
            // An error means that the replica has already stopped.
            let _ = stopped.await;
        }
    }

    async fn change(&self, change: MembershipChange) -> Result<(), ProposeError> {
        self.request(self.propose_timeout, |reply| Input::Change(change, reply))
            .await
    }

    /// Sends a request to the task and waits for its outcome.
    async fn request<T>(
        &self,
        timeout: Duration,
        input: impl FnOnce(ReplySender<T>) -> Input,
    ) -> Result<T, ProposeError> {
        let (reply, outcome) = oneshot::channel();
        let unknown = |reason: &str| ProposeError::Unknown {
            reason: reason.into(),
        };
        let request = async {
            if self.inputs.send(input(reply)).await.is_err() {
                let reason = "the replica has stopped".into();
                return Err(ProposeError::Refused { reason });
            }
            outcome
                .await
                .unwrap_or_else(|_| Err(unknown("the replica stopped")))
        };
        match tokio::time::timeout(timeout, request).await {
            Ok(outcome) => outcome,
            Err(_) => Err(unknown(&format!(
                "no outcome within {} ms",
                timeout.as_millis()
            ))),
        }
    }
}

fn invalid_message(error: replication::CodecError) -> ReplicaError {
    let message = error.to_string().into();
    ReplicaError::Message { message }
}

/// Opened files, and the state machine restored from them.
struct Opened {
    files: Files,
    machine: StateMachine,
    restored: Option<(ReplicaId, Restored)>,
    warnings: Vec<Box<str>>,
}

fn open(settings: &ReplicaSettings, mut machine: StateMachine) -> Result<Opened, ReplicaError> {
    let (files, mut contents) = if settings.observer {
        Files::in_memory()
    } else {
        Files::open(&settings.folder, settings.segment_bytes)?
    };
    let warnings = std::mem::take(&mut contents.warnings);
    let restored = disk::restore(contents)?;
    if let Some(snapshot) = restored.as_ref().and_then(|(_, r)| r.snapshot.as_ref()) {
        let index = snapshot.index;
        (machine.restore)(&snapshot.data.0)
            .map_err(|message| ReplicaError::Restore { index, message })?;
    }
    Ok(Opened {
        files,
        machine,
        restored,
        warnings,
    })
}

/// Forms or joins the group if necessary, then takes part until stopped. A replica that
/// its group has removed discards its files and joins again under a new id.
async fn run_replica(
    mut settings: ReplicaSettings,
    mut opened: Opened,
    client: rpc::Client,
    log: Logger,
    mut inputs: mpsc::Receiver<Input>,
    mut status: watch::Sender<ReplicaStatus>,
) {
    let mut applied_index = 0;
    loop {
        let channels = (inputs, status);
        let membership = run_member(&settings, opened, applied_index, &client, &log, channels);
        let Some(removed) = membership.await else {
            return;
        };
        applied_index = removed.applied_index;
        settings.join = true;
        (inputs, status) = (removed.inputs, removed.status);
        let settings_copy = settings.clone();
        let (files, machine) = (removed.files, removed.machine);
        let reopened = tokio::task::spawn_blocking(move || {
            files.discard()?;
            open(&settings_copy, machine)
        });
        opened = match reopened.await {
            Ok(Ok(opened)) => opened,
            Ok(Err(cause)) => {
                crit!(log, "cannot discard the files of the removed replica; the replica stops";
                    "error" => %cause);
                return;
            }
            // The panic hook has reported the panic.
            Err(_) => return,
        };
    }
}

/// Takes part in the group under one id, with a state machine that has applied the
/// entries up to `applied_index`. Returns when the replica is stopped or removed.
async fn run_member(
    settings: &ReplicaSettings,
    opened: Opened,
    applied_index: u64,
    client: &rpc::Client,
    log: &Logger,
    (mut inputs, status): (mpsc::Receiver<Input>, watch::Sender<ReplicaStatus>),
) -> Option<RemovedReplica> {
    let Opened {
        mut files,
        machine,
        restored,
        ..
    } = opened;
    let formation = Formation {
        settings,
        client,
        log,
        inputs: &mut inputs,
        files: &mut files,
        peers: initial_members(settings),
    };
    let (id, restored) = match formation.run(restored).await {
        FormationOutcome::Run(id, restored) => (id, restored),
        FormationOutcome::Stop(reply) => {
            drop(files);
            // The caller of `stop` may have given up.
            let _ = reply.send(());
            return None;
        }
        FormationOutcome::Dropped => return None,
    };
    let log = &log.new(o!("replica" => id.0));
    let snapshot_index = restored.snapshot.as_ref().map_or(0, |s| s.index);
    let rng = settings
        .seed
        .map_or_else(rand::make_rng, StdRng::seed_from_u64);
    let now = tokio::time::Instant::now().into_std();
    let state = ReplicaState::new(settings.replication(id), restored, rng, now);
    let (report_sender, reports) = mpsc::unbounded_channel();
    let local = Peer {
        id,
        address: settings.address,
    };
    let task = ReplicaTask {
        state,
        inputs,
        reports,
        disk: DiskThread::start(files, id, report_sender.clone(), log.clone()),
        machine: MachineThread::start(machine, report_sender),
        peers: PeerQueues::new(local, client.clone(), log.clone()),
        status,
        progress: Progress::new(snapshot_index, applied_index.max(snapshot_index)),
        settings: settings.clone(),
        log: log.clone(),
    };
    task.run().await
}
