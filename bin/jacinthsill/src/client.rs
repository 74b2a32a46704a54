//! Requests to control: finds the leader and repeats lost requests.
//!
//! Every change carries an operator key, and control gives the first answer
//! again for a key that it has seen. A request whose answer was lost is
//! therefore sent again with the same key and applied once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use api::{Conflict, Failure};
use reqwest::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// Longest wait for the answer to one attempt; control itself gives up after 5 s.
const ATTEMPT: Duration = Duration::from_secs(6);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Wait between attempts; an election takes up to 600 ms.
const PAUSE: Duration = Duration::from_millis(150);

/// Largest answer in bytes; a full audit record has about 8 MB.
const MAX_ANSWER: usize = 64 << 20;

/// Client of one deployment.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    control: Vec<SocketAddr>,
    limit: Duration,
}

/// One request.
#[derive(Debug)]
pub struct Call<'a> {
    /// What it does, for messages.
    pub step: &'a str,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'a str,
    /// Operator key; reads have none.
    pub key: Option<&'a str>,
}

/// Result of one attempt.
enum Attempt {
    Answer(StatusCode, Vec<u8>),
    /// Surely not accepted: not delivered, or refused for the moment.
    Again(Box<str>),
    /// Another replica leads.
    Elsewhere(SocketAddr),
    /// Sent, but the answer is lost.
    Lost(Box<str>),
}

impl Client {
    /// Client of some replicas.
    ///
    /// # Errors
    /// When the HTTP client can't be set up.
    pub fn new(control: Vec<SocketAddr>, limit: Duration) -> Result<Self, CliError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT)
            .timeout(ATTEMPT.min(limit))
            .build()
            .map_err(|e| CliError::Local(e.to_string().into()))?;
        Ok(Self {
            http,
            control,
            limit,
        })
    }

    /// Reads an answer from the leader.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn get<A: DeserializeOwned>(&self, step: &str, path: &str) -> Result<A, CliError> {
        let call = Call {
            step,
            method: Method::GET,
            path,
            key: None,
        };
        self.send(&call, &()).await
    }

    /// Sends a request until it is answered or the time is up.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn send<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: &Call<'_>,
        body: &Q,
    ) -> Result<A, CliError> {
        let local = |e: serde_json::Error| CliError::Local(e.to_string().into());
        let body = serde_json::to_vec(body).map_err(local)?;
        let deadline = Instant::now() + self.limit;
        let mut turn = 0;
        let mut leader = None;
        let mut lost = false;
        loop {
            let peer = leader
                .take()
                .or_else(|| self.control.get(turn % self.control.len()).copied());
            let Some(peer) = peer else {
                return Err(CliError::Usage("no control replica is named".into()));
            };
            let last = match self.attempt(peer, call, &body).await {
                Attempt::Answer(status, body) => return answer(call, status, &body),
                Attempt::Elsewhere(address) => {
                    leader = Some(address);
                    format!("{peer} is not the leader").into()
                }
                Attempt::Again(message) => message,
                Attempt::Lost(message) => {
                    lost = true;
                    message
                }
            };
            if leader.is_none() {
                turn += 1;
            }
            if Instant::now() + PAUSE >= deadline {
                return Err(given_up(call, lost, last));
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn attempt(&self, peer: SocketAddr, call: &Call<'_>, body: &[u8]) -> Attempt {
        let url = format!("http://{peer}{}", call.path);
        let mut request = self.http.request(call.method.clone(), url);
        if call.method != Method::GET {
            request = request
                .header("content-type", "application/json")
                .body(body.to_vec());
        }
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(e) if e.is_connect() => return Attempt::Again(reason(peer, &e)),
            Err(e) => return Attempt::Lost(reason(peer, &e)),
        };
        let status = response.status();
        let mut raw = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if raw.len() + chunk.len() <= MAX_ANSWER => raw.extend(&chunk),
                Ok(Some(_)) => return Attempt::Lost(format!("{peer}: answer too large").into()),
                Ok(None) => break,
                Err(e) => return Attempt::Lost(reason(peer, &e)),
            }
        }
        classify(peer, status, raw)
    }
}

fn classify(peer: SocketAddr, status: StatusCode, raw: Vec<u8>) -> Attempt {
    let text = || -> Box<str> { format!("{peer}: {}", message(&raw)).into() };
    match status {
        StatusCode::MISDIRECTED_REQUEST => {
            let failure = serde_json::from_slice::<Failure>(&raw).ok();
            let leader = failure.and_then(|failure| failure.leader?.parse().ok());
            leader.map_or_else(|| Attempt::Again(text()), Attempt::Elsewhere)
        }
        StatusCode::SERVICE_UNAVAILABLE => Attempt::Again(text()),
        StatusCode::GATEWAY_TIMEOUT => Attempt::Lost(text()),
        _ => Attempt::Answer(status, raw),
    }
}

fn given_up(call: &Call<'_>, lost: bool, message: Box<str>) -> CliError {
    let step = call.step.into();
    match call.key.filter(|_| lost) {
        Some(key) => CliError::Unknown {
            step,
            message,
            key: key.into(),
        },
        None => CliError::Unreachable { step, message },
    }
}

fn answer<A: DeserializeOwned>(
    call: &Call<'_>,
    status: StatusCode,
    raw: &[u8],
) -> Result<A, CliError> {
    let step = call.step.into();
    let failed = |message| CliError::Failed {
        step: call.step.into(),
        status: status.as_u16(),
        message,
    };
    match status {
        StatusCode::OK => serde_json::from_slice(raw).map_err(|e| failed(e.to_string().into())),
        StatusCode::CONFLICT => match serde_json::from_slice::<Conflict>(raw) {
            Ok(found) => Err(CliError::Conflict { step, found }),
            Err(_) => Err(failed(message(raw))),
        },
        StatusCode::BAD_REQUEST => Err(CliError::Invalid {
            step,
            message: message(raw),
        }),
        _ => Err(failed(message(raw))),
    }
}

fn message(raw: &[u8]) -> Box<str> {
    match serde_json::from_slice::<Failure>(raw) {
        Ok(failure) => failure.message,
        Err(_) => String::from_utf8_lossy(raw).trim().into(),
    }
}

/// Innermost cause; the outer ones only repeat the URL.
fn reason(peer: SocketAddr, error: &reqwest::Error) -> Box<str> {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    format!("{peer}: {cause}").into()
}
