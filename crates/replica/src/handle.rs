//! Handle of a running replica.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use replication::{MembershipChange, ReplicaState, Restored};
use slog::{Logger, crit, o, warn};
use tokio::sync::{mpsc, oneshot, watch};
use units::ReplicaId;

use crate::core::{Core, Progress, Removed};
use crate::disk::{self, Disk};
use crate::files::Files;
use crate::form::{Forming, Start, first_members};
use crate::input::{Input, Reply};
use crate::peers::Peers;
use crate::wire::{Answer, Wire};
use crate::work::Worker;
use crate::{Peer, ProposeError, ReplicaError, ReplicaSettings, ReplicaStatus};

/// Requests that may wait for the task; callers wait for a place.
const QUEUE: usize = 1024;

/// Applies the command at an index and returns the answer to its proposer.
pub type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;

/// Encodes the state.
pub type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;

/// Replaces the state by an encoded one.
pub type RestoreFn = Box<dyn FnMut(&[u8]) -> Result<(), Box<str>> + Send>;

/// The state machine; called from one thread, in log order.
pub struct StateMachine {
    /// Applies a command at an index and returns the answer to its proposer.
    pub apply: ApplyFn,
    /// Encodes the state.
    pub snapshot: SnapshotFn,
    /// Replaces the state.
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
    /// Returns before the replica takes part: a replica with an empty folder
    /// first asks its peers, which need this one to answer them.
    ///
    /// # Errors
    /// When the files can't be used or a setting is invalid.
    pub async fn start(
        settings: ReplicaSettings,
        machine: StateMachine,
        client: rpc::Client,
        log: Logger,
    ) -> Result<Self, ReplicaError> {
        settings.validate()?;
        let opening = settings.clone();
        let opened = tokio::task::spawn_blocking(move || open(&opening, machine));
        let opened = opened.await.map_err(|_| ReplicaError::Stopped)??;
        for warning in &opened.warnings {
            warn!(log, "repaired a file"; "detail" => warning.as_ref());
        }
        let id = opened.restored.as_ref().map_or(settings.id, |(id, _)| *id);
        let (sender, inputs) = mpsc::channel(QUEUE);
        let (status, receiver) = watch::channel(ReplicaStatus {
            id,
            ..Default::default()
        });
        let replica = Self {
            inputs: sender,
            status: receiver,
            propose_timeout: settings.propose_timeout,
            transfer_timeout: settings.election_timeout.1 * 2,
            max_command_bytes: settings.max_command_bytes,
        };
        tokio::spawn(run(settings, opened, client, log, inputs, status));
        Ok(replica)
    }

    /// Commits a command and returns the state machine's answer.
    ///
    /// # Errors
    /// See [`ProposeError`]; only `Unknown` leaves the outcome open.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (size, limit) = (command.len(), self.max_command_bytes);
        if size > limit {
            let reason = format!("the command of {size} bytes exceeds {limit} bytes").into();
            return Err(ProposeError::Refused { reason });
        }
        self.ask(self.propose_timeout, |reply| Input::Propose(command, reply))
            .await
    }

    /// Confirms with a quorum that this replica leads; state read afterwards is current.
    ///
    /// # Errors
    /// When this replica does not lead or reaches no quorum.
    pub async fn confirm_leadership(&self) -> Result<(), ProposeError> {
        self.ask(self.propose_timeout, Input::Confirm).await
    }

    /// Handles the body of a request to `/v1/replicate`.
    ///
    /// # Errors
    /// When the body can't be decoded or the replica is busy or stopped.
    pub async fn handle(&self, message: &[u8]) -> Result<Vec<u8>, ReplicaError> {
        let wire: Wire = replication::decode("message", message).map_err(invalid)?;
        let answer = if matches!(wire, Wire::Batch { .. }) {
            self.inputs
                .try_send(Input::Wire(wire, None))
                .map_err(|e| match e {
                    mpsc::error::TrySendError::Full(_) => ReplicaError::Busy,
                    mpsc::error::TrySendError::Closed(_) => ReplicaError::Stopped,
                })?;
            Answer::Taken
        } else {
            let (reply, answer) = oneshot::channel();
            let input = Input::Wire(wire, Some(reply));
            self.inputs
                .send(input)
                .await
                .map_err(|_| ReplicaError::Stopped)?;
            match tokio::time::timeout(self.propose_timeout, answer).await {
                Ok(answer) => answer.map_err(|_| ReplicaError::Stopped)?,
                Err(_) => Answer::Later,
            }
        };
        replication::encode("answer", &answer).map_err(invalid)
    }

    /// State of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Changes of role, leader and applied index.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Adds a replica that receives the log but does not vote; its id must be new.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn add_learner(&self, peer: Peer) -> Result<(), ProposeError> {
        let Peer { id, address } = peer;
        self.change(MembershipChange::Learner { id, address }).await
    }

    /// Makes a learner that has caught up a voter.
    ///
    /// # Errors
    /// See [`ProposeError`]; refused while the learner lags.
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

    /// Hands leadership to the follower that is furthest ahead.
    ///
    /// # Errors
    /// When this replica does not lead or no follower took over in time.
    pub async fn transfer_leadership(&self) -> Result<(), ProposeError> {
        self.ask(self.transfer_timeout, Input::Transfer).await
    }

    /// Stops the replica; waits until its files are closed.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        if self.inputs.send(Input::Stop(reply)).await.is_ok() {
            // An error means that the replica has stopped already.
            let _ = stopped.await;
        }
    }

    async fn change(&self, change: MembershipChange) -> Result<(), ProposeError> {
        self.ask(self.propose_timeout, |reply| Input::Change(change, reply))
            .await
    }

    /// Sends a request to the task and waits for its outcome.
    async fn ask<T>(
        &self,
        limit: Duration,
        input: impl FnOnce(Reply<T>) -> Input,
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
        match tokio::time::timeout(limit, request).await {
            Ok(outcome) => outcome,
            Err(_) => Err(unknown(&format!(
                "no outcome within {} ms",
                limit.as_millis()
            ))),
        }
    }
}

fn invalid(error: replication::CodecError) -> ReplicaError {
    let message = error.to_string().into();
    ReplicaError::Message { message }
}

/// Files and state machine after a start.
struct Opened {
    files: Files,
    machine: StateMachine,
    restored: Option<(ReplicaId, Restored)>,
    warnings: Vec<Box<str>>,
}

fn open(settings: &ReplicaSettings, mut machine: StateMachine) -> Result<Opened, ReplicaError> {
    let (files, mut contents) = if settings.observer {
        Files::none()
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

/// Forms or joins the group if necessary, then takes part until stopped. A replica that its group
/// has removed joins it again, with nothing of before.
async fn run(
    mut settings: ReplicaSettings,
    mut opened: Opened,
    client: rpc::Client,
    log: Logger,
    mut inputs: mpsc::Receiver<Input>,
    mut status: watch::Sender<ReplicaStatus>,
) {
    let mut applied = 0;
    loop {
        let channels = (inputs, status);
        let taken = take_part(&settings, opened, applied, &client, &log, channels);
        let Some(removed) = taken.await else { return };
        applied = removed.applied;
        settings.join = true;
        (inputs, status) = (removed.inputs, removed.status);
        let opening = settings.clone();
        let (files, machine) = (removed.files, removed.machine);
        let reopened = tokio::task::spawn_blocking(move || {
            files.discard()?;
            open(&opening, machine)
        });
        opened = match reopened.await {
            Ok(Ok(opened)) => opened,
            Ok(Err(cause)) => {
                crit!(log, "cannot discard the files of the removed replica; it stops";
                    "error" => %cause);
                return;
            }
            // The panic was reported when it happened.
            Err(_) => return,
        };
    }
}

/// Runs under one id, with a state machine that has applied entries up to an index already.
async fn take_part(
    settings: &ReplicaSettings,
    opened: Opened,
    applied: u64,
    client: &rpc::Client,
    log: &Logger,
    (mut inputs, status): (mpsc::Receiver<Input>, watch::Sender<ReplicaStatus>),
) -> Option<Removed> {
    let Opened {
        mut files,
        machine,
        restored,
        ..
    } = opened;
    let forming = Forming {
        settings,
        client,
        log,
        inputs: &mut inputs,
        files: &mut files,
        peers: first_members(settings),
    };
    let (id, restored) = match forming.run(restored).await {
        Start::Run(id, restored) => (id, restored),
        Start::Stop(reply) => {
            drop(files);
            // The caller of `stop` may have gone away.
            let _ = reply.send(());
            return None;
        }
        Start::Dropped => return None,
    };
    let log = &log.new(o!("replica" => id.0));
    let snapshot = restored.snapshot.as_ref().map_or(0, |s| s.index);
    let rng = settings
        .seed
        .map_or_else(rand::make_rng, StdRng::seed_from_u64);
    let now = tokio::time::Instant::now().into_std();
    let state = ReplicaState::new(settings.replication(id), restored, rng, now);
    let (report, done) = mpsc::unbounded_channel();
    let own = Peer {
        id,
        address: settings.address,
    };
    let core = Core {
        state,
        inputs,
        done,
        disk: Disk::start(files, id, report.clone(), log.clone()),
        worker: Worker::start(machine, report),
        peers: Peers::new(own, client.clone(), log.clone()),
        status,
        progress: Progress::after(snapshot, applied.max(snapshot)),
        settings: settings.clone(),
        log: log.clone(),
    };
    core.run().await
}
