//! Start and stop of a control replica.

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
use crate::{burn, http, lead};

/// Longest wait for requests in progress and the hand-over at a graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Runs until a stop request.
///
/// # Errors
/// When the settings are invalid or a resource can't be opened.
pub fn run(options: &cli::Control) -> Result<(), ControlError> {
    let settings = settings::load(&options.settings)?;
    let key = settings.key()?;
    if options.check {
        return Ok(());
    }
    settings::prepare(&settings.folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(ControlError::Runtime)?;
    let result = runtime.block_on(serve(settings, key));
    // Tasks of clients that still wait must not delay the end.
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
    /// Opens the files and starts; `extend` adds calls to the server.
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
        let (sender, queue) = mpsc::channel(burn::QUEUE);
        let node = Arc::new(Node::new(settings, key.clone(), telemetry, sender));
        // The replica asks its peers while it starts, so the server comes first.
        let server = http::start(Arc::clone(&node), log, extend)?;
        let replica = Replica::start(
            node.settings.replica(),
            node.machine(),
            Client::new(key).with_address_overrides(&node.settings.routes),
            log.clone(),
        )
        .await?;
        node.attach(replica.clone());
        tokio::spawn(burn::run(Arc::clone(&node), queue));
        tokio::spawn(lead::run(Arc::clone(&node), log.clone()));
        info!(log, "ready"; "listen" => %node.settings.listen, "id" => replica.status().id.0);
        Ok(Self {
            node,
            replica,
            server,
            log: log.clone(),
        })
    }

    /// Hands leadership over, then ends the server and the replica.
    pub async fn stop(self) {
        let Self {
            node,
            replica,
            server,
            log,
        } = self;
        node.stop();
        let status = replica.status();
        if status.role == Role::Leader && !status.peers.is_empty() {
            match timeout(STOP_LIMIT, replica.transfer_leadership()).await {
                Ok(Ok(())) => info!(log, "handed leadership over"),
                Ok(Err(e)) => warn!(log, "cannot hand leadership over"; "error" => %e),
                Err(_) => warn!(log, "cannot hand leadership over in time"),
            }
        }
        if timeout(STOP_LIMIT, server.close()).await.is_err() {
            warn!(log, "requests in progress were ended");
        }
        replica.stop().await;
    }
}
