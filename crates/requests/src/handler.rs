//! The public interface.

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

use crate::body::Download;
use crate::config::Config;
use crate::counts::unix_now;
use crate::forward;
use crate::relay::{self, RelayAnswer};
use crate::shared::Shared;
use crate::watch::{Watch, Watched};

/// Smallest buffer that hyper accepts.
const MIN_HEAD: usize = 8 << 10;

/// Settings of a handler.
#[derive(Debug, Clone)]
pub struct HandlerSettings {
    /// Service.
    pub service: ServiceName,
    /// Host of this agent.
    pub host: HostName,
    /// Start of this agent.
    pub incarnation: Incarnation,
    /// Local backend server.
    pub backend: SocketAddr,
    /// Requests that the backend server runs at the same time.
    pub slots: Slots,
    /// Seed of random choices.
    pub seed: u64,
    /// Longest time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Longest time for which a caller may accept no byte of a response.
    pub write_timeout: Duration,
    /// Longest wait for the replicas of a key.
    pub claim_timeout: Duration,
    /// Largest request head in bytes.
    pub max_head: usize,
}

impl HandlerSettings {
    /// Settings with the usual limits.
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
            max_head: 16 << 10,
        }
    }
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServeEnd {
    /// Closed between requests or after a complete response.
    Closed,
    /// The caller left during a request, or its connection failed.
    CallerLeft,
    /// The caller sent no valid request.
    Invalid,
    /// A response was cut, because the backend server failed or a deadline passed.
    Cut,
}

/// HTTP requests of one service; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handler {
    shared: Arc<Shared>,
}

impl Handler {
    /// Handler that refuses requests until [`Handler::update`]; call it within
    /// a runtime. `client` seals with `key`, and siblings hold the same one.
    #[must_use]
    pub fn new(settings: HandlerSettings, client: Client, key: Key, log: Logger) -> Self {
        Self {
            shared: Shared::start(settings, client, key, log),
        }
    }

    /// Serves one connection until it is closed.
    pub async fn serve<T>(&self, io: T, caller: SocketAddrV4) -> ServeEnd
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let settings = &self.shared.settings;
        let watch = Watch::new(settings);
        let io = TokioIo::new(Watched::new(io, watch.clone()));
        let service = service_fn(|request| {
            let (shared, watch) = (Arc::clone(&self.shared), watch.clone());
            async move { Ok::<_, Infallible>(answer(&shared, request, &watch).await) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(settings.max_head.max(MIN_HEAD))
            .serve_connection(io, service);
        let mut connection = Box::pin(connection);
        let served = tokio::select! {
            served = &mut connection => Some(served),
            () = watch.expired() => None,
        };
        let end = match served {
            _ if watch.is_cut() => ServeEnd::Cut,
            Some(Ok(())) => ServeEnd::Closed,
            Some(Err(error)) if error.is_parse() => ServeEnd::Invalid,
            Some(Err(_)) => ServeEnd::CallerLeft,
            None if watch.is_busy() => {
                // Told before the connection is dropped, so that the
                // response counts as cut.
                watch.set_cut();
                ServeEnd::Cut
            }
            None => ServeEnd::Invalid,
        };
        drop(connection);
        if end != ServeEnd::Closed {
            slog::debug!(self.shared.log, "a connection ended";
                "caller" => %caller, "end" => ?end);
        }
        end
    }

    /// Takes profile, siblings, key sets and horizon of the service from a new view.
    pub fn update(&self, view: &View) {
        let config = Config::from_view(&self.shared.settings, view);
        self.shared.configure(config);
    }

    /// Relays all new requests from now on.
    pub fn drain(&self) {
        self.set_draining(true);
    }

    /// Relays all new requests, or runs them here again after a planned change.
    pub fn set_draining(&self, draining: bool) {
        self.shared.set_draining(draining);
    }

    /// Answers `/v1/claim`.
    #[must_use]
    pub fn claim(&self, claim: &Claim) -> ClaimReply {
        if !self.serves(claim.service) {
            return ClaimReply::Unknown;
        }
        self.shared.lock().replica.claim(unix_now(), claim)
    }

    /// Answers `/v1/done`, with nothing.
    pub fn done(&self, done: &Done) {
        if self.serves(done.service) {
            self.shared.lock().replica.complete(unix_now(), done);
        }
    }

    /// Answers `/v1/lookup`.
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

    /// Answers `/v1/load`, whose message is `()`; the agent knows its open flows.
    #[must_use]
    pub fn load(&self, flows: u32) -> SiblingLoad {
        relay::load(&self.shared, flows)
    }

    /// Answers `/v1/relay`, whose message is a [`RelayMessage`](crate::RelayMessage).
    pub async fn relay(&self, head: RelayHead, body: Bytes) -> RelayAnswer {
        relay::serve(&self.shared, head, body).await
    }

    /// Last loads that siblings told, polled once per second.
    #[must_use]
    pub fn siblings(&self) -> Vec<(SocketAddrV4, SiblingLoad)> {
        let state = self.shared.lock();
        state.loads.iter().map(|(a, load)| (*a, *load)).collect()
    }

    /// Takes the result of a health probe.
    pub fn probed(&self, good: bool) {
        self.shared.observe(HealthSource::Probe, good);
    }

    /// Whether the backend server takes work, by requests and probes.
    #[must_use]
    pub fn healthy(&self) -> bool {
        self.shared.lock().health.is_healthy()
    }

    /// Counts per class and minute since the last call.
    #[must_use]
    pub fn counts(&self) -> Vec<Bucket> {
        self.shared.lock().meter.take()
    }

    /// Requests in progress or waiting, and open streams.
    #[must_use]
    pub fn busy(&self) -> usize {
        let state = self.shared.lock();
        let requests = state.admission.busy() + state.admission.waiting();
        drop(state);
        requests + self.shared.streams()
    }
}

async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    watch: &Watch,
) -> Response<Download> {
    watch.set_busy(true);
    watch.set_body(None);
    let mut response = forward::respond(shared, request, watch).await;
    if !matches!(response.body(), Download::Stream(..)) {
        watch.set_busy(false);
    }
    if watch.is_conflict() {
        // Whatever follows can't be told from the body.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
