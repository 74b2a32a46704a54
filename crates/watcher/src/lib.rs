//! Keeps a node's tables and profiles current.
//!
//! One task sends heartbeats to the control leader, another one keeps a long poll open at any
//! control replica, and a third one makes linearizable reads on request. Versions never decrease: a reply that is older than the node's view is
//! rejected, whichever replica sends it. While control can't be reached the last view stays in
//! force.

mod download;
mod heartbeat;
mod initial;
mod poll;
mod reader;
mod replica_selector;
mod replicas;
mod store;
mod view;

use std::sync::Arc;
use std::time::Duration;

use api::{Announcement, Order, Role, Scope};
use rpc::Client;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use units::{DataCentre, HostName, Incarnation, Region};

pub use initial::hedge;
use reader::ReadTask;
pub use reader::ViewReader;
pub use replica_selector::ReplicaSelector;
pub use replicas::Replicas;
use store::ViewStore;
pub use view::{MAX_EARLIER_TABLES, Tables, View};

/// Identity of the node and addresses of control.
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
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Services to watch.
    pub scope: Scope,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Longest time for which a replica may hold a long poll open.
    pub poll_wait: Duration,
}

impl WatcherSettings {
    /// Settings with the default intervals.
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
            heartbeat_interval: Duration::from_secs(1),
            poll_wait: Duration::from_secs(1),
        }
    }
}

/// Variable part of a heartbeat; the rest comes from the settings and the view.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatPayload {
    /// Open flows.
    pub flows: u64,
    /// Backend server; agents only.
    pub backend: Option<Announcement>,
}

/// Content of control's last reply to a heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlStatus {
    /// Whether the node should serve or drain.
    pub order: Order,
    /// Whether the announced service is declared.
    pub service_known: bool,
    /// Replies received so far.
    pub replies: u64,
}

/// Background tasks of a node; dropping it aborts them.
#[derive(Debug)]
pub struct Watcher {
    view: watch::Receiver<Arc<View>>,
    control_status: watch::Receiver<ControlStatus>,
    confirmed_at: watch::Receiver<Option<Instant>>,
    reader: ViewReader,
    sender: Arc<heartbeat::HeartbeatSender>,
    tasks: Vec<JoinHandle<()>>,
}

impl Watcher {
    /// Starts the tasks; `payload` is called for each heartbeat.
    pub fn start(
        settings: WatcherSettings,
        client: Client,
        log: Logger,
        payload: impl Fn() -> HeartbeatPayload + Send + Sync + 'static,
    ) -> Self {
        let (view_out, view) = watch::channel(Arc::new(View::default()));
        let (status_out, control_status) = watch::channel(ControlStatus::default());
        let (confirmed_out, confirmed_at) = watch::channel(None);
        let settings = Arc::new(settings);
        let sender = Arc::new(heartbeat::HeartbeatSender::new(
            Arc::clone(&settings),
            client.clone(),
            log.clone(),
            view.clone(),
            Box::new(payload),
        ));
        let store = Arc::new(ViewStore::new(Arc::clone(&settings), view_out));
        let replicas = ReplicaSelector::new(Arc::clone(&settings.control), 0);
        let (reads, reader) =
            ReadTask::new(client.clone(), log.clone(), Arc::clone(&store), replicas);
        let tasks = vec![
            tokio::spawn(Arc::clone(&sender).run(status_out)),
            tokio::spawn(poll::run(settings, client, log, store, confirmed_out)),
            tokio::spawn(reads.run()),
        ];
        Self {
            view,
            control_status,
            confirmed_at,
            reader,
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
    pub fn confirmed_at(&self) -> watch::Receiver<Option<Instant>> {
        self.confirmed_at.clone()
    }

    /// Requests linearizable reads of the view.
    #[must_use]
    pub fn reader(&self) -> ViewReader {
        self.reader.clone()
    }

    /// Newest reply to a heartbeat.
    #[must_use]
    pub fn control_status(&self) -> watch::Receiver<ControlStatus> {
        self.control_status.clone()
    }

    /// Sends a heartbeat now instead of at the next interval.
    pub fn send_heartbeat_now(&self) {
        self.sender.wake();
    }

    /// Notifies control that this process ends; waits a bounded time for the reply.
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
