//! Health probes of the backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admission::HealthSource;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slog::{Logger, info, warn};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use watcher::Watcher;

use crate::shared::SharedState;

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes the backend server until the task is dropped. A change of whether the agent accepts new
/// flows triggers a heartbeat.
pub async fn run(shared: Arc<SharedState>, watcher: Arc<Watcher>, log: Logger) {
    let mut was_accepting = false;
    loop {
        let health = shared
            .service
            .borrow()
            .as_ref()
            .map(|service| service.profile.health.clone())
            .unwrap_or_default();
        let backend = shared.settings.backend;
        let result = probe(backend, health.path.as_deref());
        let succeeded = timeout(PROBE_TIMEOUT, result).await.unwrap_or(false);
        shared.record_health(HealthSource::Probe, succeeded);
        let accepting = shared.is_accepting();
        if accepting != was_accepting {
            was_accepting = accepting;
            if accepting {
                info!(log, "accepting new flows");
            } else {
                warn!(log, "not accepting new flows"; "probe" => succeeded);
            }
            watcher.send_heartbeat_now();
        }
        sleep(health.interval_ms.duration()).await;
    }
}

/// Connects to the backend server and, if `path` is set, requires a successful response for it.
async fn probe(backend: SocketAddr, path: Option<&str>) -> bool {
    let Ok(stream) = TcpStream::connect(backend).await else {
        return false;
    };
    let Some(path) = path else { return true };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    let request = hyper::Request::get(path)
        .header(hyper::header::HOST, backend.to_string())
        .body(Empty::<Bytes>::new());
    let Ok(request) = request else { return false };
    tokio::select! {
        response = sender.send_request(request) => {
            response.is_ok_and(|response| response.status().is_success())
        }
        _ = connection => false,
    }
}
