//! Manages connections to the local backend server.
//!
//! A connection is reused only after its request was sent completely and its
//! response was read to the end, so that bytes of one exchange can't be
//! attributed to another. Dropping a connection in use closes it, which
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

use crate::body::RequestBody;

/// Timeout for connecting to the local backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Time after which an idle connection is no longer reused. Backend servers
/// commonly close idle connections after 5 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest response head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Connection to the backend server; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why no response head was received.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request was not sent; the body can be sent again.
    NotSent(Box<RequestBody>),
    /// The connection failed; the backend server may have begun the request.
    ConnectionLost,
}

/// No connection to the backend server could be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unreachable;

/// Pool of connections to the backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendPool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<(Connection, Instant)>>>,
}

impl BackendPool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Returns a connection for one exchange.
    ///
    /// A backend server may close an idle connection just as a request is
    /// written to it, and then it is unknown whether the request began. For
    /// non-idempotent requests, `force_new` avoids this with a new connection.
    pub(crate) async fn connect(&self, force_new: bool) -> Result<Connection, Unreachable> {
        if !force_new && let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| Unreachable)?
            .map_err(|_| Unreachable)?;
        stream.set_nodelay(true).map_err(|_| Unreachable)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Unreachable)?;
        let task = tokio::spawn(async move {
            // The request that uses the connection gets the error.
            let _ = driver.await;
        })
        .abort_handle();
        Ok(Connection { sender, task })
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(connection, idle_since)| {
            connection.sender.is_ready() && now.duration_since(*idle_since) < IDLE_TIMEOUT
        });
        idle.pop().map(|(connection, _)| connection)
    }

    /// Returns a connection to the pool after its exchange is complete.
    pub(crate) fn release(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if connection.sender.is_closed() {
            return;
        }
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        idle.push((connection, Instant::now()));
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(Box::new(request.into_body())));
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request.into_body())),
                None => SendError::ConnectionLost,
            })
    }
}
