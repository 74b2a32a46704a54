//! HTTP/1.1 answers.
//!
//! Paths: `/board` streams numbered lines, `/_record`, `/_summary` and
//! `/_behaviour` serve tests, `/health` and `/load` serve the agent; any other
//! path answers with content that belongs to the request, after its service
//! time. Headers: `X-Request-Id`, `X-Size` (bytes of content), `X-Service-Ms`.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use super::body::{Pieces, content};
use super::record::{End, Entry, unix_ms};
use super::{Behaviour, Claim, Shared};

type Answer = Response<BoxBody<Bytes, io::Error>>;

/// Longest service time in ms.
const MAX_SERVICE_MS: u64 = 600_000;

/// Largest content in bytes.
const MAX_SIZE: usize = 64 << 20;

/// Lines of a board when the path names no number.
const BOARD_LINES: u64 = 100;

pub(super) async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    shared.record.connected();
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(&shared, request).await) }
    });
    // Errors are broken connections, which the record shows as cancelled.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let behaviour = shared.behaviour.borrow().clone();
    match request.uri().path() {
        "/health" => health(shared, &behaviour).await,
        "/load" => load(shared, &behaviour).await,
        "/_record" => json(&shared.record.entries()),
        "/_summary" => json(&shared.record.summary()),
        "/_behaviour" => change(shared, request).await,
        path if path.starts_with("/board") => board(shared, &behaviour, path),
        _ => work(shared, &behaviour, request).await,
    }
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed());
    *answer.status_mut() = status;
    answer
}

fn json(value: &impl serde::Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => reply(StatusCode::OK, body),
        Err(e) => reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

async fn change(shared: &Shared, request: Request<Incoming>) -> Answer {
    let Ok(body) = request.into_body().collect().await else {
        return reply(StatusCode::BAD_REQUEST, "incomplete body");
    };
    match serde_json::from_slice::<Behaviour>(&body.to_bytes()) {
        Ok(behaviour) => {
            shared.behaviour.send_replace(behaviour);
            reply(StatusCode::NO_CONTENT, "")
        }
        Err(e) => reply(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

async fn health(shared: &Shared, behaviour: &Behaviour) -> Answer {
    let truth = behaviour.healthy;
    lag(behaviour).await;
    let healthy = match behaviour.health {
        Claim::Honest => truth,
        Claim::Good => true,
        Claim::Bad => false,
    };
    let status = if healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, format!("{}\n", shared.host))
}

async fn load(shared: &Shared, behaviour: &Behaviour) -> Answer {
    let truth = shared.record.summary().busy;
    lag(behaviour).await;
    let busy = match behaviour.load {
        Claim::Honest => truth,
        Claim::Good => 0,
        Claim::Bad => shared.slots as u64,
    };
    reply(
        StatusCode::OK,
        format!("{{\"busy\":{busy},\"slots\":{}}}", shared.slots),
    )
}

async fn lag(behaviour: &Behaviour) {
    let lag = behaviour.lag_ms.min(MAX_SERVICE_MS);
    tokio::time::sleep(Duration::from_millis(lag)).await;
}

/// `/board/N` streams N lines and ends, `/board` streams the usual number.
fn board(shared: &Arc<Shared>, behaviour: &Behaviour, path: &str) -> Answer {
    let lines = path
        .rsplit('/')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(BOARD_LINES);
    let pause = Duration::from_millis(behaviour.board_ms);
    let host = shared.host.clone();
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        for number in 0..lines {
            let line = Bytes::from(format!("{number} {host}\n"));
            if sender.send(Ok(line)).await.is_err() {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    });
    Response::new(Pieces::new(receiver, None).boxed())
}

/// Ends the entry as cancelled when the connection is closed before the work is done.
struct Running<'a> {
    shared: &'a Shared,
    number: usize,
    ended: bool,
}

impl Running<'_> {
    fn end(&mut self, end: End) {
        self.shared.record.end(self.number, end);
        self.ended = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(End::Cancelled);
        }
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<Box<str>> {
    Some(headers.get(name)?.to_str().ok()?.into())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

async fn work(shared: &Arc<Shared>, behaviour: &Behaviour, request: Request<Incoming>) -> Answer {
    if behaviour.shed > 0.0 && shared.chance(behaviour.shed) {
        shared.record.shed();
        let mut answer = reply(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
        let after = http::HeaderValue::from_static("1");
        answer
            .headers_mut()
            .insert(http::header::RETRY_AFTER, after);
        return answer;
    }
    let headers = request.headers().clone();
    let path: Box<str> = request.uri().path().into();
    let id = text(&headers, "x-request-id").unwrap_or_else(|| "none".into());
    let number_of_entry = shared.record.begin(Entry {
        id: id.clone(),
        key: text(&headers, "idempotency-key"),
        method: request.method().as_str().into(),
        path: path.clone(),
        begun: unix_ms(),
        ended: None,
        end: End::Running,
    });
    let mut running = Running {
        shared,
        number: number_of_entry,
        ended: false,
    };
    let Ok(_slot) = shared.free.acquire().await else {
        return reply(StatusCode::INTERNAL_SERVER_ERROR, "closed\n");
    };
    let Ok((taken, hash)) = consume(request.into_body()).await else {
        return reply(StatusCode::BAD_REQUEST, "incomplete body\n");
    };
    let time = service_time(shared, behaviour, &headers, &path);
    tokio::time::sleep(time).await;
    let dies = take_death(shared);
    running.end(if dies.is_some() { End::Died } else { End::Done });
    let size = number(&headers, "x-size").and_then(|n| usize::try_from(n).ok());
    let body = content(&id, &path, size.unwrap_or(0).min(MAX_SIZE));
    let mut answer = match dies {
        Some(left) => broken(body, left.is_multiple_of(2)),
        None => reply(StatusCode::OK, body),
    };
    let mut put = |name, value: &str| {
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(name, value);
        }
    };
    put("x-request-id", &id);
    put("x-host", &shared.host);
    put("x-body-bytes", &taken.to_string());
    put("x-body-hash", &format!("{hash:016x}"));
    answer
}

/// Reads the request body; returns its size and hash.
async fn consume(mut body: Incoming) -> Result<(u64, u64), hyper::Error> {
    let mut hash = Xxh3::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            size += data.len() as u64;
            hash.update(&data);
        }
    }
    Ok((size, hash.digest()))
}

fn service_time(
    shared: &Shared,
    behaviour: &Behaviour,
    headers: &HeaderMap,
    path: &str,
) -> Duration {
    let base = number(headers, "x-service-ms").unwrap_or_else(|| behaviour.time(path));
    let mut factor = behaviour.slow;
    if behaviour.straggle.share > 0.0 && shared.chance(behaviour.straggle.share) {
        factor *= behaviour.straggle.factor;
    }
    if shared.start.elapsed() < Duration::from_millis(behaviour.cold_ms) {
        factor *= behaviour.cold_factor;
    }
    let ms = (base.min(MAX_SERVICE_MS) as f64 * factor).clamp(0.0, MAX_SERVICE_MS as f64);
    Duration::from_micros((ms * 1_000.0) as u64)
}

/// Number of deaths left if this answer breaks off; counts down.
fn take_death(shared: &Shared) -> Option<u32> {
    let mut left = None;
    shared.behaviour.send_if_modified(|behaviour| {
        left = behaviour.die.checked_sub(1);
        behaviour.die = left.unwrap_or(0);
        left.is_some()
    });
    left
}

/// Sends half and breaks the connection. An answer that declares its size is short; a chunked one
/// only lacks the terminating chunk.
fn broken(body: Bytes, chunked: bool) -> Answer {
    let size = (!chunked).then_some(body.len() as u64);
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        if sender.send(Ok(body.slice(..body.len() / 2))).await.is_ok() {
            let error = io::Error::other("broken off on purpose");
            let _ = sender.send(Err(error)).await;
        }
    });
    Response::new(Pieces::new(receiver, size).boxed())
}
