//! What the handlers and tasks of a control replica share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
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

use crate::burn::Waiting;
use crate::settings::Settings;
use crate::summary;

/// One control replica.
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
    /// Batches that wait for a proposal.
    pub batches: mpsc::Sender<Waiting>,
    state: RwLock<State>,
    changed: watch::Sender<u64>,
    membership: Mutex<Membership>,
    replica: OnceLock<Replica>,
    stopping: AtomicBool,
}

impl Node {
    /// Node whose replica is not started yet.
    #[must_use]
    pub fn new(
        settings: Settings,
        key: Key,
        telemetry: &Telemetry,
        batches: mpsc::Sender<Waiting>,
    ) -> Self {
        Self {
            settings,
            key,
            log: telemetry.log.clone(),
            metrics: telemetry.metrics.clone(),
            batches,
            state: RwLock::default(),
            changed: watch::Sender::new(0),
            membership: Mutex::default(),
            replica: OnceLock::new(),
            stopping: AtomicBool::new(false),
        }
    }

    /// State machine that the replica drives.
    #[must_use]
    pub fn machine(self: &Arc<Self>) -> StateMachine {
        let (apply, snapshot, restore) = (Arc::clone(self), Arc::clone(self), Arc::clone(self));
        StateMachine {
            apply: Box::new(move |index, command| {
                let mut state = apply.state.write().unwrap_or_else(PoisonError::into_inner);
                let outcome = state.apply(index, command);
                let news = state.change_index();
                drop(state);
                apply.changed.send_if_modified(|last| {
                    let newer = news > *last;
                    *last = news;
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
                let news = state.change_index();
                drop(state);
                restore.changed.send_replace(news);
                Ok(())
            }),
        }
    }

    /// Makes the started replica known to the handlers.
    pub fn attach(&self, replica: Replica) {
        // A second call can't happen: the replica is started once.
        let _first = self.replica.set(replica);
    }

    /// The replica, once it is started.
    ///
    /// # Errors
    /// [`ProposeError::Refused`] before that.
    pub fn replica(&self) -> Result<&Replica, ProposeError> {
        self.replica.get().ok_or_else(|| ProposeError::Refused {
            reason: "the replica is starting; ask again".into(),
        })
    }

    /// Addresses of the control replicas, this one first.
    #[must_use]
    pub fn replicas(&self) -> Vec<SocketAddr> {
        let status = self.replica().map(Replica::status).unwrap_or_default();
        let others = status.peers.iter().map(|peer| peer.address);
        std::iter::once(self.settings.listen)
            .chain(others)
            .collect()
    }

    /// The applied state.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leases of the leader.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes that nodes may need, by log index.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Ends the long polls, so that they don't delay the stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.changed.send_modify(|_| {});
    }

    /// Whether a stop was asked for.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Commits an action with the current time.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn propose(&self, action: Action) -> Result<Outcome, ProposeError> {
        let refused = |e: state::StateError| ProposeError::Refused {
            reason: e.to_string().into(),
        };
        let what = summary::of(&action);
        let command = Command {
            proposed_at: now().unix,
            action,
        };
        let raw = command.encode().map_err(refused)?;
        let start = Instant::now();
        let answer = self.replica()?.propose(raw).await;
        let took = start.elapsed();
        self.time("proposal", took);
        self.count(if answer.is_ok() {
            "proposal.committed"
        } else {
            "proposal.failed"
        });
        let outcome = answer.and_then(|answer| {
            Outcome::decode(&answer).map_err(|e| ProposeError::Unknown {
                reason: e.to_string().into(),
            })
        });
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        match &outcome {
            Ok(outcome) => {
                let outcome = summary::of_outcome(outcome);
                info!(self.log, "proposal committed"; "what" => what, "outcome" => outcome, "ms" => ms);
            }
            Err(error) => {
                warn!(self.log, "proposal failed"; "what" => what, "error" => %error, "ms" => ms);
            }
        }
        outcome
    }

    /// Commits a whole configuration.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn replace(
        &self,
        author: &str,
        deployment: Deployment,
    ) -> Result<Outcome, ProposeError> {
        // A quorum would have to store it only to learn that it changes nothing.
        if deployment.revision <= self.state().revision() {
            self.replica()?.confirm_leadership().await?;
            info!(self.log, "configuration acknowledged without change";
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

    /// The operator's document of the newest whole configuration, confirmed by a quorum.
    ///
    /// # Errors
    /// When this replica does not lead or reaches no quorum.
    pub async fn newest(&self) -> Result<Option<Blob>, ProposeError> {
        self.replica()?.confirm_leadership().await?;
        Ok(self.state().source().cloned())
    }

    fn time(&self, name: &str, time: Duration) {
        // Metrics are best effort; a full queue must not fail a request.
        let _sent = self.metrics.time(name, time);
    }

    /// Counts an event in the metrics.
    pub fn count(&self, name: &str) {
        // Metrics are best effort; a full queue must not fail a request.
        let _sent = self.metrics.incr(name);
    }
}

/// Current time.
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
