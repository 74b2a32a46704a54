//! HTTP/1.1 requests over caller connections, with a check of every answer.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use netstack::FlowEnd;
use tokio::task::JoinHandle;
use units::Flow;
use xxhash_rust::xxh3::xxh3_64;

use super::Caller;
use crate::backend::content;

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Id; the answer has to carry the content of this id.
    pub id: String,
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: String,
    /// Header `Idempotency-Key`.
    pub key: Option<String>,
    /// Bytes of content wanted.
    pub size: usize,
    /// Service time wanted in ms.
    pub service_ms: Option<u64>,
    /// Header `Jacinthsill-Deadline-Ms`.
    pub deadline_ms: Option<u64>,
    /// Body.
    pub body: Bytes,
    /// Longest wait for the whole answer.
    pub limit: Duration,
}

impl Ask {
    /// `GET` of a path.
    #[must_use]
    pub fn get(id: impl Into<String>, path: &str) -> Self {
        Self {
            id: id.into(),
            method: http::Method::GET,
            path: path.into(),
            key: None,
            size: 0,
            service_ms: None,
            deadline_ms: None,
            body: Bytes::new(),
            limit: Duration::from_secs(20),
        }
    }

    /// `POST` with a body.
    #[must_use]
    pub fn post(id: impl Into<String>, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: http::Method::POST,
            body: body.into(),
            ..Self::get(id, path)
        }
    }
}

/// What the caller knows after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The whole right answer.
    Complete,
    /// An answer that was declared complete and isn't the right one; never allowed.
    Wrong,
    /// Told that the request was not run.
    NotRun,
    /// Told that this attempt was not run.
    AttemptNotRun,
    /// Told that the outcome is unknown.
    Unknown,
    /// Told that another attempt with the same key is in progress.
    InProgress,
    /// Shed by the backend server itself.
    Shed,
    /// Another error status, told without an outcome.
    Status(u16),
    /// The answer broke off visibly.
    Truncated,
    /// The connection broke before an answer.
    Broken,
    /// No whole answer within the limit.
    Late,
}

/// A connection for requests.
#[derive(Debug)]
pub struct HttpFlow {
    sender: SendRequest<Full<Bytes>>,
    flow: Flow,
    end: JoinHandle<FlowEnd>,
    reason: String,
}

impl HttpFlow {
    /// Opens a connection.
    ///
    /// # Errors
    /// When hyper can't use the stream.
    pub async fn open(caller: &Caller, service: SocketAddrV4) -> Result<Self, hyper::Error> {
        let stream = caller.connect(service);
        let (sender, connection) = handshake(TokioIo::new(stream.pipe)).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            flow: stream.flow,
            end: stream.end,
            reason: String::new(),
        })
    }

    /// Flow of the connection.
    #[must_use]
    pub fn flow(&self) -> Flow {
        self.flow
    }

    /// Text of the newest answer that was not a success.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Whether the connection can take another request.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and checks its answer; returns the time it took, too.
    pub async fn ask(&mut self, ask: &Ask) -> (Outcome, Duration) {
        let begin = Instant::now();
        let answer = tokio::time::timeout(ask.limit, self.exchange(ask)).await;
        (answer.unwrap_or(Outcome::Late), begin.elapsed())
    }

    async fn exchange(&mut self, ask: &Ask) -> Outcome {
        let Ok(request) = build(ask) else {
            return Outcome::Broken;
        };
        if self.sender.ready().await.is_err() {
            return Outcome::Broken;
        }
        let Ok(answer) = self.sender.send_request(request).await else {
            return Outcome::Broken;
        };
        let (head, body) = answer.into_parts();
        let Ok(body) = body.collect().await else {
            return Outcome::Truncated;
        };
        let body = body.to_bytes();
        if !head.status.is_success() {
            self.reason = String::from_utf8_lossy(&body).trim().to_owned();
        }
        judge(ask, head.status, &head.headers, &body)
    }

    /// Reads a board of numbered lines; returns how many came in order, and the outcome.
    pub async fn board(&mut self, lines: u64, limit: Duration) -> (u64, Outcome) {
        let mut count = 0;
        let read = self.read_board(lines, &mut count);
        let outcome = tokio::time::timeout(limit, read).await;
        (count, outcome.unwrap_or(Outcome::Late))
    }

    async fn read_board(&mut self, lines: u64, count: &mut u64) -> Outcome {
        let request = Request::get(format!("/board/{lines}")).header("host", "service");
        let Ok(request) = request.body(Full::default()) else {
            return Outcome::Broken;
        };
        let Ok(answer) = self.sender.send_request(request).await else {
            return Outcome::Broken;
        };
        if !answer.status().is_success() {
            return told(answer.status(), answer.headers());
        }
        let mut body = answer.into_body();
        let mut rest = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Outcome::Truncated;
            };
            rest.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = rest.drain(..=end).collect();
                let start = format!("{count} ");
                if !line.starts_with(start.as_bytes()) {
                    return Outcome::Wrong;
                }
                *count += 1;
            }
        }
        if *count == lines && rest.is_empty() {
            Outcome::Complete
        } else {
            Outcome::Wrong
        }
    }

    /// Closes the connection and tells how it ended.
    pub async fn close(self, limit: Duration) -> Option<FlowEnd> {
        drop(self.sender);
        tokio::time::timeout(limit, self.end).await.ok()?.ok()
    }
}

fn build(ask: &Ask) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(ask.method.clone())
        .uri(&ask.path)
        .header("host", "service")
        .header("x-request-id", &ask.id)
        .header("x-size", ask.size);
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(ms) = ask.service_ms {
        request = request.header("x-service-ms", ms);
    }
    if let Some(ms) = ask.deadline_ms {
        request = request.header("jacinthsill-deadline-ms", ms);
    }
    request.body(Full::new(ask.body.clone()))
}

/// What an error answer tells.
fn told(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let outcome = headers
        .get("jacinthsill-outcome")
        .and_then(|value| value.to_str().ok());
    match (outcome, status.as_u16()) {
        (Some("not-run"), _) => Outcome::NotRun,
        (Some("attempt-not-run"), _) => Outcome::AttemptNotRun,
        (Some("unknown"), _) => Outcome::Unknown,
        (Some("in-progress"), _) => Outcome::InProgress,
        (None, 503) => Outcome::Shed,
        (_, status) => Outcome::Status(status),
    }
}

fn judge(ask: &Ask, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Outcome {
    if !status.is_success() {
        return told(status, headers);
    }
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let whole = *body == content(&ask.id, &ask.path, ask.size);
    // A kept answer comes without the headers of the backend server.
    let hash = format!("{:016x}", xxh3_64(&ask.body));
    let taken = text("x-body-hash").is_none_or(|value| value == hash);
    if whole && taken {
        Outcome::Complete
    } else {
        Outcome::Wrong
    }
}
