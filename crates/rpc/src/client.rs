//! HTTP client with kept-alive connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Key, RpcError};

/// Largest accepted answer in bytes.
const MAX_ANSWER: usize = 32 << 20;

/// Longest wait for a connection; twice the round trip between regions. A machine without power does
/// not answer, and the caller has others to ask.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an acknowledgement after which a connection counts as broken; it may go silent
/// without a reset.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Way to an address that can't be reached directly, such as one behind a translation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Address as others know it.
    pub to: SocketAddr,
    /// Address to connect to instead.
    pub via: SocketAddr,
}

/// Client of the system's own HTTP interfaces.
#[derive(Debug, Clone)]
pub struct Client {
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    key: Key,
    routes: Arc<[Route]>,
}

impl Client {
    /// Client that seals requests with `key`.
    #[must_use]
    pub fn new(key: Key) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            http,
            key,
            routes: Arc::default(),
        }
    }

    /// Same client that connects to some peers at other addresses.
    #[must_use]
    pub fn with_routes(self, routes: &[Route]) -> Self {
        Self {
            routes: routes.into(),
            ..self
        }
    }

    /// Sends a sealed message and waits for the sealed answer.
    ///
    /// # Errors
    /// See [`RpcError`]; only `Connect` proves that the peer did not see the request.
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
        match tokio::time::timeout(limit, call).await {
            Ok(answer) => answer,
            Err(_) => {
                let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
                Err(RpcError::Timeout {
                    step: path.into(),
                    peer,
                    limit_ms,
                })
            }
        }
    }

    async fn exchange<Q, A>(&self, peer: SocketAddr, path: &str, message: &Q) -> Result<A, RpcError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let invalid = |message: String| RpcError::Invalid {
            step: path.into(),
            peer,
            message: message.into(),
        };
        let body = rmp_serde::to_vec_named(message).map_err(|e| invalid(e.to_string()))?;
        let sealed = self.key.seal(path, &[], body);
        let tag = sealed[sealed.len() - crate::TAG_BYTES..].to_vec();
        let route = self.routes.iter().find(|route| route.to == peer);
        let address = route.map_or(peer, |route| route.via);
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/octet-stream")
            .body(Full::new(Bytes::from(sealed)))
            .map_err(|e| invalid(e.to_string()))?;
        let response = self.http.request(request).await.map_err(|e| {
            let step = path.into();
            if e.is_connect() {
                RpcError::Connect {
                    step,
                    peer,
                    source: e.into(),
                }
            } else {
                RpcError::Broken {
                    step,
                    peer,
                    source: e.into(),
                }
            }
        })?;
        let status = response.status();
        let answer = Limited::new(response.into_body(), MAX_ANSWER)
            .collect()
            .await
            .map_err(|source| RpcError::Broken {
                step: path.into(),
                peer,
                source,
            })?
            .to_bytes();
        if !status.is_success() {
            let message = String::from_utf8_lossy(&answer).into();
            return Err(RpcError::Status {
                step: path.into(),
                peer,
                status: status.as_u16(),
                message,
            });
        }
        let Some((body, _)) = self.key.open(path, &tag, &answer) else {
            return Err(invalid(
                "wrong tag; do both processes use the same key file?".into(),
            ));
        };
        rmp_serde::from_slice(body).map_err(|e| invalid(e.to_string()))
    }
}
