//! Start and stop of a control replica.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use replica::{Replica, Role};
use rpc::{Client, Key};
use slog::{Logger, info, warn};
use startup::Stop;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::cli::Control;
use crate::error::ControlError;
use crate::node::Node;
use crate::settings::{self, Settings};
use crate::{burn, http, lead};

/// Longest wait for requests in progress and the hand-over at a graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Runs until a stop request.
///
/// # Errors
/// When the settings are invalid or a resource can't be opened.
pub fn run(options: &Control) -> Result<(), ControlError> {
    let settings = settings::load(&options.settings)?;
    let key = Key::read(&settings.key_file)?;
    if options.check {
        return Ok(());
    }
    prepare(&settings.folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(ControlError::Runtime)?;
    let result = runtime.block_on(serve(settings, key));
    // Tasks of clients that still wait must not delay the end.
    runtime.shutdown_background();
    result
}

/// Makes the data folder and checks that it can be written to.
fn prepare(folder: &Path) -> Result<(), ControlError> {
    let probe = folder.join(".probe");
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&probe, b""))
        .and_then(|()| std::fs::remove_file(&probe))
        .map_err(|source| ControlError::Folder {
            folder: folder.display().to_string().into(),
            source,
        })
}

async fn serve(settings: Settings, key: Key) -> Result<(), ControlError> {
    let log = startup::logger(&settings.log, "control", settings.host.as_str());
    let metrics = startup::metrics(&settings.metrics, "control")?;
    let mut stop = Stop::listen()?;
    let (sender, queue) = mpsc::channel(burn::QUEUE);
    let node = Arc::new(Node::new(settings, key.clone(), metrics, sender));
    // The replica asks its peers while it starts, so the server comes first.
    let server = http::start(Arc::clone(&node), &log)?;
    let started = Replica::start(
        node.settings.replica(),
        node.machine(),
        Client::new(key).with_routes(&node.settings.routes),
        log.clone(),
    );
    let replica = tokio::select! {
        replica = started => replica?,
        () = stop.graceful() => return Ok(()),
    };
    node.attach(replica.clone());
    tokio::spawn(burn::run(Arc::clone(&node), queue));
    tokio::spawn(lead::run(Arc::clone(&node), log.clone()));
    info!(log, "ready"; "listen" => %node.settings.listen, "id" => replica.status().id.0);

    stop.graceful().await;
    info!(log, "stopping");
    tokio::select! {
        () = stop_gracefully(&node, &replica, server, &log) => info!(log, "stopped"),
        () = stop.immediate() => info!(log, "stopped at once"),
    }
    Ok(())
}

/// Hands leadership over, then ends the server and the replica.
async fn stop_gracefully(node: &Node, replica: &Replica, server: http::Server, log: &Logger) {
    node.stop();
    let status = replica.status();
    if status.role == Role::Leader && !status.peers.is_empty() {
        match timeout(STOP_LIMIT, replica.transfer()).await {
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
