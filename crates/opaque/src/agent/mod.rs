//! Agent for opaque flows.

mod backend;
mod outcome;
mod packets;
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
use watcher::{Beat, Replicas, Watcher};
use wire::{Candidate, Codec};

use crate::identity::time_of_day;
use crate::tally::Tally;
use crate::{OpaqueError, incarnation, socket};
pub use backend::{BackendReport, BackendState, ReportError, Reported, Reports};
use packets::Packets;
pub use settings::AgentSettings;

/// Changes of the backend server that wait for the packet loop.
const CHANGES: usize = 64;

/// State that the packet loop, the watcher and the adapter share.
#[derive(Debug)]
struct Shared {
    reports: Mutex<Reports>,
}

impl Shared {
    fn reports(&self) -> std::sync::MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    watcher: Watcher,
    replicas: Arc<Replicas>,
    shared: Arc<Shared>,
    changes: mpsc::Sender<packets::Change>,
    log: Logger,
}

impl Agent {
    /// Opens the sockets and starts.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn start(
        settings: &AgentSettings,
        codec: Codec,
        telemetry: &Telemetry,
    ) -> Result<Self, OpaqueError> {
        let key = Key::from_public_name(&settings.identity.deployment);
        let packets = socket::open(settings.packets, "packets")?;
        let outbound = socket::open(settings.outbound, "packets of the backend server")?;
        let incarnation = incarnation();
        let shared = Arc::new(Shared {
            reports: Mutex::new(Reports::new(
                settings.service.clone(),
                settings.silence_ms.duration(),
            )),
        });
        let replicas = Arc::new(Replicas::new(settings.identity.control.clone()));
        let scope = Scope::Service(settings.service.clone());
        let watched =
            settings
                .identity
                .watcher(Role::Agent, scope, incarnation, Arc::clone(&replicas));
        let (for_beat, announced) = (Arc::clone(&shared), settings.clone());
        let log = &telemetry.log;
        let watcher = Watcher::start(watched, Client::new(key.clone()), log.clone(), move || {
            Beat {
                flows: 0,
                backend: announcement(&announced, &for_beat),
            }
        });
        let me = Candidate {
            address: settings.packets,
            incarnation,
        };
        let (changes, receiver) = mpsc::channel(CHANGES);
        let forward = ForwardSettings {
            full: codec.full,
            ..ForwardSettings::default()
        };
        let worker = Packets {
            codec,
            key,
            me,
            centre: settings.identity.centre.clone(),
            packets,
            outbound,
            backend: settings.backend.into(),
            callers: settings.packets.port(),
            forwarder: Forwarder::new(forward, me, Instant::now()),
            shared: Arc::clone(&shared),
            service: None,
            known: None,
            silent: false,
            failing: false,
            tally: Tally::new(telemetry, Instant::now()),
        };
        tokio::spawn(worker.run(watcher.view(), receiver));
        Ok(Self {
            watcher,
            replicas,
            shared,
            changes,
            log: log.clone(),
        })
    }

    /// Control replicas; changed settings go there.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Takes a report of the backend server; it is in force when this returns.
    ///
    /// # Errors
    /// When the report is not of this agent's backend server.
    pub async fn report(&self, report: BackendReport) -> Result<(), ReportError> {
        let taken = self
            .shared
            .reports()
            .take(Instant::now(), time_of_day(), report.clone());
        let taken = match taken {
            Ok(taken) => taken,
            Err(error) => {
                warn!(self.log, "report of a backend server ignored"; "error" => %error);
                return Err(error);
            }
        };
        if taken != Reported::Same {
            info!(self.log, "report of the backend server"; "outcome" => %taken,
                "id" => report.id.as_ref(), "started" => report.started.0,
                "number" => report.number, "state" => %report.state, "slots" => report.slots);
        }
        self.apply(taken).await;
        Ok(())
    }

    /// The backend server left; it is in force when this returns.
    pub async fn left(&self, id: &str) {
        let left = self.shared.reports().left(id);
        info!(self.log, "the backend server left"; "outcome" => %left, "id" => id);
        self.apply(left).await;
    }

    async fn apply(&self, reported: Reported) {
        self.tell(false).await;
        if reported == Reported::Changed {
            self.watcher.beat_now();
        }
    }

    /// Lets the packet loop take a change.
    async fn tell(&self, leaves: bool) {
        let (done, applied) = tokio::sync::oneshot::channel();
        let change = packets::Change { leaves, done };
        // The packet loop only ends with the process.
        if self.changes.send(change).await.is_ok() {
            let _ = applied.await;
        }
    }

    /// Whether a backend server reported lately.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.reports().current(Instant::now()).is_some()
    }

    /// Tells siblings that this process stops, and control that this member leaves, at most for `limit`, unless its backend server goes
    /// on: then the next process here finds its flows, and siblings must not take them for lost.
    pub async fn stop(&self, limit: Duration) {
        self.tell(true).await;
        let current = self.shared.reports().current(Instant::now());
        if current.is_none_or(|backend| !backend.accepts) {
            // Without an answer the lease ends by itself.
            let _ = tokio::time::timeout(limit, self.watcher.leave()).await;
        }
    }
}

/// What control is told of the backend server.
fn announcement(settings: &AgentSettings, shared: &Shared) -> Option<Announcement> {
    let backend = shared.reports().current(Instant::now())?;
    let state = if backend.accepts {
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
