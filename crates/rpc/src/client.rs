//! HTTP client with a pool of persistent connections.

use std::error::Error;
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
        let call = self.exchange(peer, path, message);
        let answer = match tokio::time::timeout(limit, call).await {
            Ok(answer) => answer,
            Err(_) => {
                let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
                Err(RpcError::Timeout {
                    path: path.into(),
                    peer,
                    limit_ms,
                })
            }
        };
        self.traffic.record(path, |traffic| {
            traffic.calls += 1;
            traffic.failed += u64::from(answer.is_err());
        });
        answer
    }

    async fn exchange<Q, A>(&self, peer: SocketAddr, path: &str, message: &Q) -> Result<A, RpcError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let invalid = |message: String| RpcError::Invalid {
            path: path.into(),
            peer,
            message: message.into(),
        };
        let body = rmp_serde::to_vec_named(message).map_err(|e| invalid(e.to_string()))?;
        let signed = self.key.sign_body(path, &[], body);
        let sent = signed.len() as u64;
        self.traffic.record(path, |traffic| traffic.sent += sent);
        let tag = signed[signed.len() - crate::TAG_BYTES..].to_vec();
        let found = self.overrides.iter().find(|entry| entry.to == peer);
        let address = found.map_or(peer, |entry| entry.via);
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, crate::CONTENT_TYPE)
            .body(Full::new(Bytes::from(signed)))
            .map_err(|e| invalid(e.to_string()))?;
        let response = self.http.request(request).await.map_err(|e| {
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
        let status = response.status();
        let answer = self
            .read_body(response.into_body(), path)
            .await
            .map_err(|source| RpcError::ConnectionLost {
                path: path.into(),
                peer,
                source,
            })?;
        if !status.is_success() {
            let message = String::from_utf8_lossy(&answer).into();
            return Err(RpcError::Status {
                path: path.into(),
                peer,
                status: status.as_u16(),
                message,
            });
        }
        let Some((body, _)) = self.key.verify_body(path, &tag, &answer) else {
            return Err(invalid(crate::TAG_MISMATCH.into()));
        };
        rmp_serde::from_slice(body).map_err(|e| invalid(e.to_string()))
    }

    async fn read_body(
        &self,
        body: Incoming,
        path: &str,
    ) -> Result<Vec<u8>, Box<dyn Error + Send + Sync>> {
        let mut body = Limited::new(body, MAX_ANSWER_BYTES);
        let mut content = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame?.into_data() else {
                continue;
            };
            self.traffic
                .record(path, |traffic| traffic.received += piece.len() as u64);
            content.extend_from_slice(&piece);
        }
        Ok(content)
    }
}
