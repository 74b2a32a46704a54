//! Startup and shutdown of a control replica.

use std::sync::Arc;
use std::time::Duration;

use dropshot::ApiDescriptionRegisterError;
use replica::{Replica, Role};
use rpc::{Client, Key};
use slog::{Logger, info, warn};
use startup::{Stop, Telemetry};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::cli;
use crate::error::ControlError;
use crate::http::Api;
use crate::node::Node;
use crate::settings::{self, Settings};
use crate::{burn_queue, http, leader, traffic};

/// Timeout of each step of a graceful shutdown: the transfer of leadership, and the requests in
/// progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a control replica until the process is asked to stop.
///
/// # Errors
/// When the settings are invalid or a resource can't be opened.
pub fn run(options: &cli::Control) -> Result<(), ControlError> {
    let settings = settings::load(&options.settings)?;
    let key = settings.key()?;
    if options.check {
        return Ok(());
    }
    settings::prepare_data_folder(&settings.folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(ControlError::Runtime)?;
    let result = runtime.block_on(serve(settings, key));
    // Don't wait for tasks whose clients still have open requests.
    runtime.shutdown_background();
    result
}

async fn serve(settings: Settings, key: Key) -> Result<(), ControlError> {
    let host = settings.host.as_str();
    let telemetry = Telemetry::start(&settings.log, &settings.metrics, "control", host)?;
    let log = &telemetry.log;
    let mut stop = Stop::listen()?;
    let control = Control::start(settings, key, &telemetry, |_| Ok(())).await?;
    stop.graceful().await;
    info!(log, "stopping");
    tokio::select! {
        () = control.stop() => info!(log, "stopped"),
        () = stop.immediate() => info!(log, "stopped at once"),
    }
    Ok(())
}

/// A running control replica.
pub struct Control {
    node: Arc<Node>,
    replica: Replica,
    server: http::Server,
    log: Logger,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let listen = self.node.settings.listen;
        f.debug_struct("Control")
            .field("listen", &listen)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Opens the data folder and starts the replica; `extend` registers further endpoints.
    ///
    /// # Errors
    /// When a resource can't be opened.
    pub async fn start(
        settings: Settings,
        key: Key,
        telemetry: &Telemetry,
        extend: impl FnOnce(&mut Api) -> Result<(), ApiDescriptionRegisterError>,
    ) -> Result<Self, ControlError> {
        let log = &telemetry.log;
        let (sender, queue) = mpsc::channel(burn_queue::QUEUE_CAPACITY);
        let node = Arc::new(Node::new(settings, key.clone(), telemetry, sender));
        // A starting replica exchanges requests with its peers, so the server starts first.
        let server = http::start(Arc::clone(&node), log, extend)?;
        let client = Client::new(key).with_address_overrides(&node.settings.routes);
        let replica = Replica::start(
            node.settings.replica(),
            node.state_machine(),
            client.clone(),
            log.clone(),
        )
        .await?;
        node.set_replica(replica.clone());
        tokio::spawn(burn_queue::run(Arc::clone(&node), queue));
        tokio::spawn(leader::run(Arc::clone(&node), log.clone()));
        tokio::spawn(traffic::run(Arc::clone(&node), client, log.clone()));
        info!(log, "ready"; "listen" => %node.settings.listen, "id" => replica.status().id.0);
        Ok(Self {
            node,
            replica,
            server,
            log: log.clone(),
        })
    }

    /// Transfers leadership, then stops the server and the replica.
    pub async fn stop(self) {
        let Self {
            node,
            replica,
            server,
            log,
        } = self;
        node.begin_stop();
        let status = replica.status();
        if status.role == Role::Leader && !status.peers.is_empty() {
            match timeout(SHUTDOWN_TIMEOUT, replica.transfer_leadership()).await {
                Ok(Ok(())) => info!(log, "transferred leadership"),
                Ok(Err(e)) => warn!(log, "cannot transfer leadership"; "error" => %e),
                Err(_) => warn!(log, "leadership transfer timed out"),
            }
        }
        if timeout(SHUTDOWN_TIMEOUT, server.close()).await.is_err() {
            warn!(log, "shutdown timed out; aborting requests in progress");
        }
        replica.stop().await;
    }
}
