//! Runs the agent for opaque flows.

mod backend_tracker;
mod outcome;
mod packet_loop;
mod report;
mod settings;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use api::{Announcement, MemberState, Role, Scope};
use forwarding::{ForwardSettings, Forwarder};
use rpc::{Client, Key};
use slog::{Logger, info, warn};
use startup::Telemetry;
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::{Slots, Weight};
use watcher::{HeartbeatPayload, Replicas, Watcher};
use wire::{Candidate, Codec};

use crate::identity::unix_time;
use crate::telemetry::LoopTelemetry;
use crate::{OpaqueError, new_incarnation, socket};
pub use backend_tracker::{
    BackendReport, BackendState, BackendTracker, ReportError, ReportOutcome,
};
use packet_loop::PacketLoop;
pub use settings::AgentSettings;

/// Capacity of the queue of changes for the packet loop.
const CHANGE_QUEUE_CAPACITY: usize = 64;

/// State shared by the packet loop, the watcher and the adapter.
#[derive(Debug)]
struct Shared {
    backend: Mutex<BackendTracker>,
}

impl Shared {
    fn backend(&self) -> std::sync::MutexGuard<'_, BackendTracker> {
        self.backend.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    watcher: Watcher,
    replicas: Arc<Replicas>,
    shared: Arc<Shared>,
    changes: mpsc::Sender<packet_loop::Change>,
    log: Logger,
}

impl Agent {
    /// Opens the sockets and starts the agent.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub fn start(
        settings: &AgentSettings,
        codec: Codec,
        telemetry: &Telemetry,
    ) -> Result<Self, OpaqueError> {
        let key = Key::from_public_name(&settings.identity.deployment);
        let fabric_socket = socket::open(settings.packets, "packets")?;
        let backend_socket = socket::open(settings.outbound, "packets from the backend server")?;
        let incarnation = new_incarnation();
        let shared = Arc::new(Shared {
            backend: Mutex::new(BackendTracker::new(
                settings.service.clone(),
                settings.silence_ms.duration(),
            )),
        });
        let replicas = Arc::new(Replicas::new(settings.identity.control.clone()));
        let scope = Scope::Service(settings.service.clone());
        let watcher_settings =
            settings
                .identity
                .watcher(Role::Agent, scope, incarnation, Arc::clone(&replicas));
        let (beat_shared, beat_settings) = (Arc::clone(&shared), settings.clone());
        let log = &telemetry.log;
        let watcher = Watcher::start(
            watcher_settings,
            Client::new(key.clone()),
            log.clone(),
            move || HeartbeatPayload {
                flows: 0,
                backend: announcement(&beat_settings, &beat_shared),
            },
        );
        let this_agent = Candidate {
            address: settings.packets,
            incarnation,
        };
        let (changes, receiver) = mpsc::channel(CHANGE_QUEUE_CAPACITY);
        let forward = ForwardSettings {
            full_segment_bytes: codec.full_segment_bytes,
            ..ForwardSettings::default()
        };
        let packet_loop = PacketLoop {
            codec,
            key,
            this_agent,
            centre: settings.identity.centre.clone(),
            fabric_socket,
            backend_socket,
            backend_address: settings.backend.into(),
            caller_port: settings.packets.port(),
            forwarder: Forwarder::new(forward, this_agent, Instant::now()),
            shared: Arc::clone(&shared),
            service: None,
            backend: None,
            logged_silent: false,
            logged_failing: false,
            telemetry: LoopTelemetry::new(telemetry, Instant::now()),
        };
        tokio::spawn(packet_loop.run(watcher.view(), receiver));
        Ok(Self {
            watcher,
            replicas,
            shared,
            changes,
            log: log.clone(),
        })
    }

    /// Control replicas; a settings reload updates their addresses here.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Handles a report of the backend server; the packet loop has applied it when this returns.
    ///
    /// # Errors
    /// If the report isn't from this agent's backend server.
    pub async fn report(&self, report: BackendReport) -> Result<(), ReportError> {
        let recorded = self
            .shared
            .backend()
            .record(Instant::now(), unix_time(), report.clone());
        let outcome = match recorded {
            Ok(outcome) => outcome,
            Err(error) => {
                warn!(self.log, "backend server report rejected"; "error" => %error);
                return Err(error);
            }
        };
        if outcome != ReportOutcome::Same {
            info!(self.log, "backend server report received"; "outcome" => %outcome,
                "id" => report.id.as_ref(), "started" => report.started.0,
                "number" => report.sequence, "state" => %report.state, "slots" => report.slots);
        }
        self.apply(outcome).await;
        Ok(())
    }

    /// Handles the departure of the backend server; the packet loop has applied it when this returns.
    pub async fn remove_backend(&self, id: &str) {
        let outcome = self.shared.backend().remove(id);
        info!(self.log, "backend server deregistered"; "outcome" => %outcome, "id" => id);
        self.apply(outcome).await;
    }

    async fn apply(&self, outcome: ReportOutcome) {
        self.notify_packet_loop(false).await;
        if outcome == ReportOutcome::Changed {
            self.watcher.send_heartbeat_now();
        }
    }

    /// Sends a change to the packet loop and waits until it is applied.
    async fn notify_packet_loop(&self, stopping: bool) {
        let (done, applied) = tokio::sync::oneshot::channel();
        let change = packet_loop::Change { stopping, done };
        // The packet loop ends only with the process.
        if self.changes.send(change).await.is_ok() {
            let _ = applied.await;
        }
    }

    /// Whether a backend server has reported within the report timeout.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.backend().current(Instant::now()).is_some()
    }

    /// Stops the agent: tells the other agents of the service that this process stops, and control that
    /// this member leaves if its backend server has ended.
    ///
    /// Waits at most `limit` for control. Otherwise the next agent process here takes over the flows, and
    /// other agents must not treat them as lost: a member that left the table counts as one without any.
    pub async fn stop(&self, limit: Duration) {
        self.notify_packet_loop(true).await;
        let ended = self.shared.backend().has_ended(Instant::now());
        if ended {
            // Without an answer the lease expires.
            let _ = tokio::time::timeout(limit, self.watcher.leave()).await;
        }
    }
}

/// Announcement of the backend server to control.
fn announcement(settings: &AgentSettings, shared: &Shared) -> Option<Announcement> {
    let backend = shared.backend().current(Instant::now())?;
    let state = if backend.accepting {
        MemberState::Serving
    } else {
        MemberState::Draining
    };
    Some(Announcement {
        service: settings.service.clone(),
        packets: settings.packets,
        http: settings.packets,
        slots: Slots(backend.slots),
        weight: Weight::default(),
        state: Some(state),
    })
}
