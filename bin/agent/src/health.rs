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

use crate::shared::Shared;

/// Longest probe.
const LIMIT: Duration = Duration::from_secs(1);

/// Probes until the task is dropped; a change is announced at once.
pub async fn run(shared: Arc<Shared>, watcher: Arc<Watcher>, log: Logger) {
    let mut before = false;
    loop {
        let health = shared
            .service
            .borrow()
            .as_ref()
            .map(|s| s.profile.health.clone())
            .unwrap_or_default();
        let backend = shared.settings.backend;
        let probe = probe(backend, health.path.as_deref());
        let good = timeout(LIMIT, probe).await.unwrap_or(false);
        shared.observe(HealthSource::Probe, good);
        let accepting = shared.accepting();
        if accepting != before {
            before = accepting;
            if accepting {
                info!(log, "taking new flows");
            } else {
                warn!(log, "taking no new flows"; "probe" => good);
            }
            watcher.send_heartbeat_now();
        }
        sleep(health.interval_ms.duration()).await;
    }
}

/// Connects, and asks for the path if there is one.
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
