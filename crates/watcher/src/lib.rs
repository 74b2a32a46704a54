//! Keeps a node's tables and profiles current.
//!
//! One task sends heartbeats to the control leader, another one holds a long
//! poll at any control replica. Versions only rise: what is older than what
//! the node holds is refused, whichever replica sends it. When control is out
//! of reach the last view stays in force for as long as that lasts.

mod beat;
mod first;
mod peers;
mod poll;
mod replicas;
mod view;

use std::sync::Arc;
use std::time::Duration;

use api::{Announcement, Heartbeat, Order, Role, Scope};
use rpc::Client;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use units::{DataCentre, HostName, Incarnation, Region};

pub use first::hedge;
pub use peers::Peers;
pub use replicas::Replicas;
pub use view::{EARLIER_TABLES, Tables, View};

/// Who the node is and where control is.
#[derive(Debug, Clone)]
pub struct WatcherSettings {
    /// Control replicas.
    pub control: Arc<Replicas>,
    /// Host of this node.
    pub host: HostName,
    /// Role of this node.
    pub role: Role,
    /// Region of this node.
    pub region: Region,
    /// Data centre of this node.
    pub centre: DataCentre,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// Services wanted.
    pub scope: Scope,
    /// Time between heartbeats.
    pub interval: Duration,
    /// Longest wait of a long poll.
    pub wait: Duration,
}

impl WatcherSettings {
    /// Settings with the usual intervals.
    #[must_use]
    pub fn new(host: HostName, role: Role, centre: DataCentre, scope: Scope) -> Self {
        Self {
            control: Arc::default(),
            host,
            role,
            region: Region(0),
            centre,
            incarnation: Incarnation(0),
            scope,
            interval: Duration::from_secs(1),
            wait: Duration::from_secs(1),
        }
    }
}

/// What a heartbeat carries besides the settings.
#[derive(Debug, Clone, Default)]
pub struct Beat {
    /// Open flows.
    pub flows: u64,
    /// Backend server; agents only.
    pub backend: Option<Announcement>,
}

/// What control last answered to a heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    /// What control wants.
    pub order: Order,
    /// The service of the announcement is declared.
    pub known: bool,
    /// Heartbeats answered so far.
    pub answers: u64,
}

/// Running tasks of a node; they end when it is dropped.
#[derive(Debug)]
pub struct Watcher {
    view: watch::Receiver<Arc<View>>,
    contact: watch::Receiver<Contact>,
    heard: watch::Receiver<Option<Instant>>,
    sender: Arc<beat::Sender>,
    tasks: Vec<JoinHandle<()>>,
}

impl Watcher {
    /// Starts the tasks; `beat` is called for each heartbeat.
    pub fn start(
        settings: WatcherSettings,
        client: Client,
        log: Logger,
        beat: impl Fn() -> Beat + Send + Sync + 'static,
    ) -> Self {
        let (view_out, view) = watch::channel(Arc::new(View::default()));
        let (contact_out, contact) = watch::channel(Contact::default());
        let (heard_out, heard) = watch::channel(None);
        let settings = Arc::new(settings);
        let sender = Arc::new(beat::Sender::new(
            Arc::clone(&settings),
            client.clone(),
            log.clone(),
            view.clone(),
            Box::new(beat),
        ));
        let tasks = vec![
            tokio::spawn(Arc::clone(&sender).run(contact_out)),
            tokio::spawn(poll::run(settings, client, log, view_out, heard_out)),
        ];
        Self {
            view,
            contact,
            heard,
            sender,
            tasks,
        }
    }

    /// Newest view.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// When a replica last confirmed that the view is current.
    #[must_use]
    pub fn heard(&self) -> watch::Receiver<Option<Instant>> {
        self.heard.clone()
    }

    /// Newest answer to a heartbeat.
    #[must_use]
    pub fn contact(&self) -> watch::Receiver<Contact> {
        self.contact.clone()
    }

    /// Sends a heartbeat now instead of at the next interval.
    pub fn beat_now(&self) {
        self.sender.wake();
    }

    /// Tells control that this process ends; waits for the answer for a bounded time.
    pub async fn leave(&self) {
        self.sender.leave().await;
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn heartbeat(settings: &WatcherSettings, beat: Beat, view: &View, leaving: bool) -> Heartbeat {
    Heartbeat {
        host: settings.host.clone(),
        role: settings.role,
        region: settings.region,
        centre: settings.centre.clone(),
        incarnation: settings.incarnation,
        config: view.config,
        flows: beat.flows,
        backend: beat.backend,
        leaving,
    }
}
