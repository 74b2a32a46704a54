//! Reads a backend server's own paths past the load balancer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::error::LoadError;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(5);

/// Reads JSON from a path such as `/_record`.
///
/// # Errors
/// When the server can't be reached or answers with something else.
pub async fn fetch<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<T, LoadError> {
    let error = |message: String| LoadError::Fetch {
        step: path.into(),
        peer,
        message: message.into(),
    };
    let get = async {
        let stream = TcpStream::connect(peer)
            .await
            .map_err(|e| error(e.to_string()))?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| error(e.to_string()))?;
        tokio::spawn(connection);
        let request = Request::get(path)
            .header("host", "record")
            .body(Full::<Bytes>::default())
            .map_err(|e| error(e.to_string()))?;
        let answer = sender
            .send_request(request)
            .await
            .map_err(|e| error(e.to_string()))?;
        let body = answer
            .into_body()
            .collect()
            .await
            .map_err(|e| error(e.to_string()))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|e| error(e.to_string()))
    };
    match tokio::time::timeout(LIMIT, get).await {
        Ok(result) => result,
        Err(_) => Err(error("no answer".into())),
    }
}
