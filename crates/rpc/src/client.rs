//! HTTP client with a pool of persistent connections.

use std::error::Error;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout};

use crate::traffic::{Traffic, TrafficCounters};
use crate::{Key, RpcError};

/// Largest accepted response body in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Limit for establishing a connection: twice the round trip between regions. A host without power
/// does not answer, and the caller has other peers to try.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// TCP user timeout: closes a connection whose data stays unacknowledged, since a peer may vanish
/// without a reset.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection in the pool is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Address to connect to in place of one that is not directly reachable, such as one behind NAT.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressOverride {
    /// Address that the peer is known by.
    pub to: SocketAddr,
    /// Address to connect to instead.
    pub via: SocketAddr,
}

/// Time limits of a call whose answer may be large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LargeAnswerLimits {
    /// Longest wait for the head of the answer.
    pub head: Duration,
    /// Longest wait for further bytes of its body.
    pub stall: Duration,
}

/// Client for the HTTP interfaces between the system's processes.
#[derive(Debug, Clone)]
pub struct Client {
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    key: Key,
    overrides: Arc<[AddressOverride]>,
    traffic: TrafficCounters,
}

impl Client {
    /// Client that authenticates requests and replies with `key`.
    #[must_use]
    pub fn new(key: Key) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            http,
            key,
            overrides: Arc::default(),
            traffic: TrafficCounters::default(),
        }
    }

    /// Replaces the address overrides.
    #[must_use]
    pub fn with_address_overrides(self, overrides: &[AddressOverride]) -> Self {
        Self {
            overrides: overrides.into(),
            ..self
        }
    }

    /// Traffic of this client and its clones with a path.
    #[must_use]
    pub fn traffic(&self, path: &str) -> Traffic {
        self.traffic.read(path)
    }

    /// Sends a message and waits at most `limit` for the verified answer.
    ///
    /// # Errors
    /// See [`RpcError`]; only `Connect` guarantees that the peer did not receive the
    /// request.
    pub async fn post<Q, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, RpcError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let call = Call { peer, path };
        let exchange = async {
            let response = self.send(call, message).await?;
            let (answer, _) = self.receive(call, response, None).await?;
            Ok(answer)
        };
        let answer = match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(call.timed_out(limit)),
        };
        self.record_end(path, answer.is_ok());
        answer
    }

    /// Sends a message whose answer may be large; returns it with the time at which its
    /// head arrived. The call goes on as long as bytes of the answer arrive, however slow the
    /// link is: an answer that is given up has to cross the link again from its start.
    ///
    /// # Errors
    /// See [`RpcError`].
    pub async fn post_for_large<Q, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limits: LargeAnswerLimits,
    ) -> Result<(A, Instant), RpcError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let call = Call { peer, path };
        let exchange = async {
            let response = match timeout(limits.head, self.send(call, message)).await {
                Ok(response) => response?,
                Err(_) => return Err(call.timed_out(limits.head)),
            };
            self.receive(call, response, Some(limits.stall)).await
        };
        let answer = exchange.await;
        self.record_end(path, answer.is_ok());
        answer
    }

    fn record_end(&self, path: &str, succeeded: bool) {
        self.traffic.record(path, |traffic| {
            traffic.calls += 1;
            traffic.failed += u64::from(!succeeded);
        });
    }

    /// Sends a message and waits for the head of the response.
    async fn send<Q: Serialize + Sync>(
        &self,
        call: Call<'_>,
        message: &Q,
    ) -> Result<ResponseHead, RpcError> {
        let Call { peer, path } = call;
        let body = rmp_serde::to_vec_named(message).map_err(|e| call.invalid(&e))?;
        let signed = self.key.sign_body(path, &[], body);
        let sent = signed.len() as u64;
        self.traffic.record(path, |traffic| traffic.sent += sent);
        let tag = signed[signed.len() - crate::TAG_BYTES..].to_vec();
        let found = self.overrides.iter().find(|entry| entry.to == peer);
        let address = found.map_or(peer, |entry| entry.via);
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, crate::CONTENT_TYPE)
            .body(Full::new(Bytes::from(signed)))
            .map_err(|e| call.invalid(&e))?;
        let head = self.http.request(request).await.map_err(|e| {
            let path = path.into();
            if e.is_connect() {
                RpcError::Connect {
                    path,
                    peer,
                    source: e.into(),
                }
            } else {
                RpcError::ConnectionLost {
                    path,
                    peer,
                    source: e.into(),
                }
            }
        })?;
        let arrived = Instant::now();
        Ok(ResponseHead { head, tag, arrived })
    }

    /// Receives, verifies and decodes the body of a response.
    async fn receive<A: DeserializeOwned>(
        &self,
        call: Call<'_>,
        response: ResponseHead,
        stall: Option<Duration>,
    ) -> Result<(A, Instant), RpcError> {
        let Call { peer, path } = call;
        let status = response.head.status();
        let content = self
            .read_body(call, response.head.into_body(), stall)
            .await?;
        if !status.is_success() {
            let message = String::from_utf8_lossy(&content).into();
            return Err(RpcError::Status {
                path: path.into(),
                peer,
                status: status.as_u16(),
                message,
            });
        }
        let Some((body, _)) = self.key.verify_body(path, &response.tag, &content) else {
            return Err(call.invalid(&crate::TAG_MISMATCH));
        };
        let answer = rmp_serde::from_slice(body).map_err(|e| call.invalid(&e))?;
        Ok((answer, response.arrived))
    }

    /// Receives a body; `stall` limits the wait for each piece.
    async fn read_body(
        &self,
        call: Call<'_>,
        body: Incoming,
        stall: Option<Duration>,
    ) -> Result<Vec<u8>, RpcError> {
        let mut body = Limited::new(body, MAX_ANSWER_BYTES);
        let mut content = Vec::new();
        loop {
            let frame = match stall {
                Some(limit) => timeout(limit, body.frame())
                    .await
                    .map_err(|_| call.stalled(limit))?,
                None => body.frame().await,
            };
            let Some(frame) = frame else {
                return Ok(content);
            };
            let Ok(piece) = frame.map_err(|e| call.connection_lost(e))?.into_data() else {
                continue;
            };
            self.traffic
                .record(call.path, |traffic| traffic.received += piece.len() as u64);
            content.extend_from_slice(&piece);
        }
    }
}

/// Target of a call.
#[derive(Debug, Clone, Copy)]
struct Call<'a> {
    peer: SocketAddr,
    path: &'a str,
}

/// Response of which only the head has arrived.
struct ResponseHead {
    head: http::Response<Incoming>,
    /// Tag of the request, which the answer's tag covers.
    tag: Vec<u8>,
    arrived: Instant,
}

impl Call<'_> {
    fn timed_out(self, limit: Duration) -> RpcError {
        RpcError::Timeout {
            path: self.path.into(),
            peer: self.peer,
            limit_ms: millis(limit),
        }
    }

    fn stalled(self, limit: Duration) -> RpcError {
        RpcError::Stalled {
            path: self.path.into(),
            peer: self.peer,
            limit_ms: millis(limit),
        }
    }

    fn connection_lost(self, source: Box<dyn Error + Send + Sync>) -> RpcError {
        RpcError::ConnectionLost {
            path: self.path.into(),
            peer: self.peer,
            source,
        }
    }

    fn invalid(self, message: &impl Display) -> RpcError {
        RpcError::Invalid {
            path: self.path.into(),
            peer: self.peer,
            message: message.to_string().into(),
        }
    }
}

fn millis(limit: Duration) -> u64 {
    u64::try_from(limit.as_millis()).unwrap_or(u64::MAX)
}
