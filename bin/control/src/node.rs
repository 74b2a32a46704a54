//! State shared by the request handlers and tasks of a control replica.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use api::ReplaceReply;
use cadence::{CountedExt, Timed};
use membership::{Membership, Now};
use profile::Deployment;
use replica::{ProposeError, Replica, StateMachine};
use rpc::Key;
use slog::{Logger, info, warn};
use startup::{Metrics, Telemetry};
use state::{Action, Command, Outcome, State};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use units::{Blob, Millis};

use crate::burn_queue::QueuedBatch;
use crate::settings::Settings;
use crate::summary;

/// Shared state of a control replica.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Shared key.
    pub key: Key,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Queue of batches that are not proposed yet.
    pub burn_queue: mpsc::Sender<QueuedBatch>,
    state: RwLock<State>,
    changed: watch::Sender<u64>,
    membership: Mutex<Membership>,
    replica: OnceLock<Replica>,
    stopping: AtomicBool,
    abandoned: AtomicU64,
}

impl Node {
    /// Creates the shared state before the replica starts.
    #[must_use]
    pub fn new(
        settings: Settings,
        key: Key,
        telemetry: &Telemetry,
        burn_queue: mpsc::Sender<QueuedBatch>,
    ) -> Self {
        Self {
            settings,
            key,
            log: telemetry.log.clone(),
            metrics: telemetry.metrics.clone(),
            burn_queue,
            state: RwLock::default(),
            changed: watch::Sender::new(0),
            membership: Mutex::default(),
            replica: OnceLock::new(),
            stopping: AtomicBool::new(false),
            abandoned: AtomicU64::new(0),
        }
    }

    /// State machine to which the replica applies committed commands.
    #[must_use]
    pub fn state_machine(self: &Arc<Self>) -> StateMachine {
        let (apply, snapshot, restore) = (Arc::clone(self), Arc::clone(self), Arc::clone(self));
        StateMachine {
            apply: Box::new(move |index, command| {
                let mut state = apply.state.write().unwrap_or_else(PoisonError::into_inner);
                let outcome = state.apply(index, command);
                let change_index = state.change_index();
                drop(state);
                apply.changed.send_if_modified(|last| {
                    let newer = change_index > *last;
                    *last = change_index;
                    newer
                });
                outcome
            }),
            snapshot: Box::new(move || snapshot.state().snapshot()),
            restore: Box::new(move |raw| {
                let mut state = restore
                    .state
                    .write()
                    .unwrap_or_else(PoisonError::into_inner);
                state.restore(raw).map_err(|e| Box::from(e.to_string()))?;
                let change_index = state.change_index();
                drop(state);
                restore.changed.send_replace(change_index);
                Ok(())
            }),
        }
    }

    /// Makes the started replica available to the request handlers.
    pub fn set_replica(&self, replica: Replica) {
        // Only the first call has an effect, and the replica is started once.
        let _first = self.replica.set(replica);
    }

    /// Returns the replica.
    ///
    /// # Errors
    /// [`ProposeError::Refused`] until the replica has started.
    pub fn replica(&self) -> Result<&Replica, ProposeError> {
        self.replica.get().ok_or_else(|| ProposeError::Refused {
            reason: "the replica is starting; ask again".into(),
        })
    }

    /// Addresses of the control replicas, the own one first.
    #[must_use]
    pub fn replica_addresses(&self) -> Vec<SocketAddr> {
        let status = self.replica().map(Replica::status).unwrap_or_default();
        let others = status.peers.iter().map(|peer| peer.address);
        std::iter::once(self.settings.listen)
            .chain(others)
            .collect()
    }

    /// Locks the applied state for reading.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the node leases, which only the leader tracks.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the log index of the newest change that nodes may need.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Ends the long polls, so that they don't delay the shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.changed.send_modify(|_| {});
    }

    /// Whether the replica is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Proposes an action with the current time and waits until it is committed.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn propose(&self, action: Action) -> Result<Outcome, ProposeError> {
        let encode_error = |e: state::StateError| ProposeError::Refused {
            reason: e.to_string().into(),
        };
        let description = summary::action(&action);
        let command = Command {
            proposed_at: now().unix,
            action,
        };
        let raw = command.encode().map_err(encode_error)?;
        let start = Instant::now();
        let result = self.replica()?.propose(raw).await;
        let elapsed = start.elapsed();
        self.record_time("proposal", elapsed);
        self.increment(if result.is_ok() {
            "proposal.committed"
        } else {
            "proposal.failed"
        });
        let outcome = result.and_then(|raw| {
            Outcome::decode(&raw).map_err(|e| ProposeError::Unknown {
                reason: e.to_string().into(),
            })
        });
        let ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        match &outcome {
            Ok(outcome) => {
                let outcome = summary::outcome(outcome);
                info!(self.log, "proposal committed"; "what" => description, "outcome" => outcome, "ms" => ms);
            }
            Err(error) => {
                warn!(self.log, "proposal failed"; "what" => description, "error" => %error, "ms" => ms);
            }
        }
        outcome
    }

    /// Replaces the complete configuration, unless the applied revision is as new.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn replace_configuration(
        &self,
        author: &str,
        deployment: Deployment,
    ) -> Result<Outcome, ProposeError> {
        // A proposal would make a quorum store a configuration that changes nothing.
        if deployment.revision <= self.state().revision() {
            self.replica()?.confirm_leadership().await?;
            info!(self.log, "configuration is not newer, nothing to commit";
                "revision" => deployment.revision.0, "held" => self.state().revision().0);
            return Ok(Outcome::Replaced(ReplaceReply {
                revision: self.state().revision(),
                changed: false,
            }));
        }
        let deployment = Box::new(deployment);
        let author = author.into();
        self.propose(Action::Replace { author, deployment }).await
    }

    /// Returns the operator's document of the newest complete configuration, after a quorum
    /// confirmed that this replica still leads.
    ///
    /// # Errors
    /// When this replica is not the leader or reaches no quorum.
    pub async fn configuration_source(&self) -> Result<Option<Blob>, ProposeError> {
        self.replica()?.confirm_leadership().await?;
        Ok(self.state().source().cloned())
    }

    fn record_time(&self, name: &str, time: Duration) {
        // Metrics are best effort; a full queue must not fail a request.
        let _sent = self.metrics.time(name, time);
    }

    /// Counts a reply to a watch that its client did not take to the end.
    pub fn count_abandoned(&self) {
        self.abandoned.fetch_add(1, Ordering::Relaxed);
        self.increment("watch.abandoned");
    }

    /// Replies to watches that were abandoned since the last call.
    pub fn take_abandoned(&self) -> u64 {
        self.abandoned.swap(0, Ordering::Relaxed)
    }

    /// Increments a counter in the metrics.
    pub fn increment(&self, name: &str) {
        // Metrics are best effort; a full queue must not fail a request.
        let _sent = self.metrics.incr(name);
    }
}

/// Reads the monotonic clock and the wall clock.
#[must_use]
pub fn now() -> Now {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        mono: Instant::now(),
        unix: Millis::from(unix),
    }
}
