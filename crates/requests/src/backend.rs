//! Connections to the local backend server.
//!
//! A connection is used again only after its response was read to the end and
//! its request was sent completely, so that no byte of one exchange can be
//! taken for part of another. Dropping a connection in use closes it, which
//! tells the backend server to cancel the request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::body::Upload;

/// Longest wait for a connection to the local backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept.
const MAX_IDLE: usize = 64;

/// Time after which an idle connection is not used again. Backend servers
/// commonly close idle connections after 5 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest response head in bytes.
const MAX_HEAD: usize = 64 << 10;

/// One connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Upload>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why there is no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The backend server did not see the request; its body is whole.
    NotSent(Box<Upload>),
    /// The backend server may have begun it.
    Broken,
}

/// No connection could be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unreachable;

/// Pool of idle connections.
#[derive(Debug, Clone)]
pub(crate) struct Backend {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<(Connection, Instant)>>>,
}

impl Backend {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Connection for one exchange. A backend server may close an idle
    /// connection just when a request is written to it, which leaves unknown
    /// whether it began; `fresh` avoids this for non-idempotent requests.
    pub(crate) async fn connect(&self, fresh: bool) -> Result<Connection, Unreachable> {
        if !fresh && let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| Unreachable)?
            .map_err(|_| Unreachable)?;
        stream.set_nodelay(true).map_err(|_| Unreachable)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Unreachable)?;
        let task = tokio::spawn(async move {
            // Errors reach the request that uses the connection.
            let _ = driver.await;
        })
        .abort_handle();
        Ok(Connection { sender, task })
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(connection, since)| {
            connection.sender.is_ready() && now.duration_since(*since) < IDLE_TIMEOUT
        });
        idle.pop().map(|(connection, _)| connection)
    }

    /// Keeps a connection whose exchange is complete.
    pub(crate) fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if connection.sender.is_closed() {
            return;
        }
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push((connection, Instant::now()));
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(Box::new(request.into_body())));
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request.into_body())),
                None => SendError::Broken,
            })
    }
}
