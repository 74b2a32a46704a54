//! Defines the public interface of the crate.

use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use admission::HealthSource;
use api::{Bucket, Claim, ClaimReply, Done, Lookup, RelayHead, SiblingLoad};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rpc::{Client, Key};
use slog::Logger;
use tokio::io::{AsyncRead, AsyncWrite};
use units::{HostName, Incarnation, ServiceId, ServiceName, Slots};
use watcher::View;

use crate::body::ResponseBody;
use crate::config::ServiceConfig;
use crate::counts::unix_now;
use crate::forward;
use crate::monitor::{ConnectionMonitor, MonitoredIo};
use crate::relay::{self, RelayReply};
use crate::shared::Shared;

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Addresses, limits and timeouts of the request handler of one agent.
#[derive(Debug, Clone)]
pub struct HandlerSettings {
    /// Name of the service that the backend server belongs to.
    pub service: ServiceName,
    /// Host of this agent.
    pub host: HostName,
    /// Incarnation of this agent, which changes with each start.
    pub incarnation: Incarnation,
    /// Address of the local backend server.
    pub backend: SocketAddr,
    /// Largest number of requests that the backend server runs concurrently.
    pub slots: Slots,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timeout from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Timeout for writes to a caller that accepts no data.
    pub write_timeout: Duration,
    /// Timeout for the replies of the replicas of a key.
    pub claim_timeout: Duration,
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
}

impl HandlerSettings {
    /// Creates settings with default limits.
    #[must_use]
    pub fn new(service: ServiceName, host: HostName, backend: SocketAddr) -> Self {
        Self {
            service,
            host,
            incarnation: Incarnation(0),
            backend,
            slots: Slots(2),
            seed: 0,
            head_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            claim_timeout: Duration::from_millis(500),
            max_head_bytes: 16 << 10,
        }
    }
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServeEnd {
    /// Closed between requests or after a complete response.
    Closed,
    /// The caller disconnected during a request, or its connection failed.
    CallerLeft,
    /// The caller sent an invalid or incomplete request.
    Invalid,
    /// A response was truncated because the backend server failed or a timeout expired.
    Cut,
}

/// Handler for the HTTP requests of one service; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handler {
    shared: Arc<Shared>,
}

impl Handler {
    /// Creates a handler, which rejects requests until [`Handler::update`] is
    /// called. Must be called within a Tokio runtime. `client` must use `key`,
    /// which all siblings share.
    #[must_use]
    pub fn new(settings: HandlerSettings, client: Client, key: Key, log: Logger) -> Self {
        Self {
            shared: Shared::start(settings, client, key, log),
        }
    }

    /// Serves one connection until it ends.
    pub async fn serve<T>(&self, io: T, caller: SocketAddrV4) -> ServeEnd
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let settings = &self.shared.settings;
        let monitor = ConnectionMonitor::new(settings);
        let io = TokioIo::new(MonitoredIo::new(io, monitor.clone()));
        let service = service_fn(|request| {
            let (shared, monitor) = (Arc::clone(&self.shared), monitor.clone());
            async move { Ok::<_, Infallible>(respond(&shared, request, &monitor).await) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service);
        let mut connection = Box::pin(connection);
        let served = tokio::select! {
            served = &mut connection => Some(served),
            () = monitor.expired() => None,
        };
        let end = match served {
            _ if monitor.is_truncated() => ServeEnd::Cut,
            Some(Ok(())) => ServeEnd::Closed,
            Some(Err(error)) if error.is_parse() => ServeEnd::Invalid,
            Some(Err(_)) => ServeEnd::CallerLeft,
            None if monitor.is_busy() => {
                // Set before the connection is dropped, so that the response
                // counts as truncated.
                monitor.set_truncated();
                ServeEnd::Cut
            }
            None => ServeEnd::Invalid,
        };
        drop(connection);
        if end != ServeEnd::Closed {
            slog::debug!(self.shared.log, "a caller connection ended early";
                "caller" => %caller, "end" => ?end);
        }
        end
    }

    /// Applies the profile, siblings, key sets and horizon of the service from a new view.
    pub fn update(&self, view: &View) {
        let config = ServiceConfig::from_view(&self.shared.settings, view);
        self.shared.configure(config);
    }

    /// Starts draining: all new requests are relayed to siblings.
    pub fn drain(&self) {
        self.set_draining(true);
    }

    /// Starts or stops draining. A draining handler relays all new requests to siblings.
    pub fn set_draining(&self, draining: bool) {
        self.shared.set_draining(draining);
    }

    /// Handles `/v1/claim`.
    #[must_use]
    pub fn claim(&self, claim: &Claim) -> ClaimReply {
        if !self.serves(claim.service) {
            return ClaimReply::Unknown;
        }
        self.shared.lock().replica.claim(unix_now(), claim)
    }

    /// Handles `/v1/done`, whose reply is `()`.
    pub fn done(&self, done: &Done) {
        if self.serves(done.service) {
            self.shared.lock().replica.complete(unix_now(), done);
        }
    }

    /// Handles `/v1/lookup`.
    #[must_use]
    pub fn lookup(&self, lookup: &Lookup) -> ClaimReply {
        if !self.serves(lookup.service) {
            return ClaimReply::Unknown;
        }
        self.shared.lock().replica.lookup(unix_now(), lookup)
    }

    fn serves(&self, service: ServiceId) -> bool {
        self.shared
            .config()
            .is_some_and(|config| config.service == service)
    }

    /// Handles `/v1/load`, whose message is `()`; `flows` is the number of open flows
    /// of the agent.
    #[must_use]
    pub fn load(&self, flows: u32) -> SiblingLoad {
        relay::local_load(&self.shared, flows)
    }

    /// Handles `/v1/relay`, whose message is a [`RelayMessage`](crate::RelayMessage).
    pub async fn relay(&self, head: RelayHead, body: Bytes) -> RelayReply {
        relay::handle(&self.shared, head, body).await
    }

    /// Returns the latest loads of the siblings that answered their last poll.
    #[must_use]
    pub fn sibling_loads(&self) -> Vec<(SocketAddrV4, SiblingLoad)> {
        let state = self.shared.lock();
        state.loads.iter().map(|(a, load)| (*a, *load)).collect()
    }

    /// Records the result of a health probe.
    pub fn record_probe(&self, success: bool) {
        self.shared.record_health(HealthSource::Probe, success);
    }

    /// Whether the backend server is healthy according to requests and probes.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.shared.lock().health.is_healthy()
    }

    /// Returns the request counts per class and minute since the last call.
    #[must_use]
    pub fn take_counts(&self) -> Vec<Bucket> {
        self.shared.lock().request_counts.take()
    }

    /// Returns the number of running and queued requests and open streams.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        let state = self.shared.lock();
        let requests = state.admission.busy() + state.admission.waiting();
        drop(state);
        requests + self.shared.open_streams()
    }
}

async fn respond(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    monitor: &ConnectionMonitor,
) -> Response<ResponseBody> {
    monitor.set_busy(true);
    monitor.set_body_deadline(None);
    let mut response = forward::respond(shared, request, monitor).await;
    if !matches!(response.body(), ResponseBody::Stream(..)) {
        monitor.set_busy(false);
    }
    if monitor.has_conflicting_lengths() {
        // It is unknown where the next request starts.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
