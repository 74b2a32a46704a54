//! The public interface.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use api::{Bucket, Claim, ClaimReply, Done, Lookup, RelayHead, SiblingLoad};
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rpc::{Client, Key};
use slog::Logger;
use tokio::io::{AsyncRead, AsyncWrite};
use units::{HostName, Incarnation, Millis, ServiceName, Slots};
use watcher::View;

use crate::backend::Backend;
use crate::body::{Download, Upload};
use crate::outcome::Refusal;
use crate::relay::RelayAnswer;

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

#[derive(Debug)]
struct Shared {
    backend: Backend,
    settings: HandlerSettings,
}

impl Handler {
    /// Handler that knows no service until [`Handler::update`]; call it within a runtime.
    #[must_use]
    pub fn new(settings: HandlerSettings, _client: Client, _key: Key, _log: Logger) -> Self {
        let backend = Backend::new(settings.backend);
        Self {
            shared: Arc::new(Shared { backend, settings }),
        }
    }

    /// Serves one connection until it is closed.
    pub async fn serve<T>(&self, io: T, _caller: SocketAddrV4) -> ServeEnd
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let service = service_fn(|request| async {
            Ok::<_, std::convert::Infallible>(self.forward(request).await)
        });
        let served = http1::Builder::new()
            .max_buf_size(self.shared.settings.max_head.max(8 << 10))
            .serve_connection(TokioIo::new(io), service)
            .await;
        match served {
            Ok(()) => ServeEnd::Closed,
            Err(_) => ServeEnd::CallerLeft,
        }
    }

    async fn forward(&self, request: Request<Incoming>) -> Response<Download> {
        let Ok(mut connection) = self.shared.backend.connect(true).await else {
            return Refusal::not_run("no connection", Duration::from_secs(1)).response();
        };
        match connection.send(request.map(Upload::new)).await {
            Ok(response) => {
                self.shared.backend.give_back(connection);
                response.map(Download::stream)
            }
            Err(_) => Refusal::unknown("the backend server failed").response(),
        }
    }

    /// Takes profile, siblings, key sets and horizon of the service from a new view.
    pub fn update(&self, _view: &View) {}

    /// Relays all new requests from now on.
    pub fn drain(&self) {}

    /// Answers `/v1/claim`.
    #[must_use]
    pub fn claim(&self, _claim: &Claim) -> ClaimReply {
        ClaimReply::Unknown
    }

    /// Answers `/v1/done`.
    pub fn done(&self, _done: &Done) {}

    /// Answers `/v1/lookup`.
    #[must_use]
    pub fn lookup(&self, _lookup: &Lookup) -> ClaimReply {
        ClaimReply::Unknown
    }

    /// Answers `/v1/load`; the agent knows its open flows.
    #[must_use]
    pub fn load(&self, flows: u32) -> SiblingLoad {
        SiblingLoad {
            flows,
            ..SiblingLoad::default()
        }
    }

    /// Answers `/v1/relay`.
    pub async fn relay(&self, _head: RelayHead, _body: Bytes) -> RelayAnswer {
        RelayAnswer::NotRun {
            reason: "not serving".into(),
            retry_ms: Millis(1_000),
        }
    }

    /// Last loads that siblings told, polled once per second.
    #[must_use]
    pub fn siblings(&self) -> Vec<(SocketAddrV4, SiblingLoad)> {
        Vec::new()
    }

    /// Takes the result of a health probe.
    pub fn probed(&self, _good: bool) {}

    /// Whether the backend server takes work, by requests and probes.
    #[must_use]
    pub fn healthy(&self) -> bool {
        true
    }

    /// Counts per class and minute since the last call.
    #[must_use]
    pub fn counts(&self) -> Vec<Bucket> {
        Vec::new()
    }

    /// Requests in progress or waiting.
    #[must_use]
    pub fn busy(&self) -> usize {
        0
    }
}
