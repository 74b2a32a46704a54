//! Processing of a request: validation, key claim, admission, and forwarding to the
//! backend server or a sibling.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use admission::{Completion, HealthSource, RefusalReason, backoff};
use api::StoredResponse;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use tokio::time::{Duration, Instant, timeout_at};

use crate::backend::SendError;
use crate::body::{BodyError, RequestBody, ResponseBody};
use crate::claims::{self, ClaimDenied, KeyClaim};
use crate::counts::RequestResult;
use crate::exchange::Exchange;
use crate::headers;
use crate::monitor::ConnectionMonitor;
use crate::outcome::{Outcome, REQUEST_ID_HEADER, RequestError};
use crate::relay::{self, MAX_RELAY_BODY, RelayResult};
use crate::request::{ParsedRequest, body_too_large};
use crate::shared::{NotAdmitted, Shared, Slot};

/// Bytes of the body that are read before a request waits for a slot, so that a
/// slow sender of a small body occupies no slot.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// `Retry-After` sent while this agent can't serve requests.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Forwards one request; holds its key claim.
pub(crate) struct Forwarder {
    pub(crate) request: ParsedRequest,
    pub(crate) key_claim: Option<KeyClaim>,
    pub(crate) monitor: Option<ConnectionMonitor>,
}

/// Why an attempt at the backend server failed.
pub(crate) enum AttemptError {
    /// The request was not run; the body can be sent again.
    NotRun(RequestBody, RequestError),
    /// The request was not run because the agent started draining while it waited.
    Draining(RequestBody),
    /// The request can't be retried; the error has its outcome.
    Final(RequestError),
    /// The request may have run, but is idempotent and failed before any byte of a response.
    MaybeRun(RequestBody, RequestError),
}

/// Returns the response to a caller's request.
pub(crate) async fn respond(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    monitor: &ConnectionMonitor,
) -> Response<ResponseBody> {
    let Some(config) = shared.config() else {
        return RequestError::not_run("the service is not declared here", UNAVAILABLE_RETRY_AFTER)
            .to_response();
    };
    let (request, body) =
        match ParsedRequest::parse(config, request, monitor.has_conflicting_lengths()) {
            Ok(parsed) => parsed,
            Err((class, error)) => {
                if let Some(class) = class {
                    shared.record_result(&class, RequestResult::NotRun);
                }
                return error.to_response();
            }
        };
    shared.lock().budget.deposit();
    let class = request.class.clone();
    let mut forwarder = Forwarder {
        request,
        key_claim: None,
        monitor: Some(monitor.clone()),
    };
    match forwarder.respond(shared, body).await {
        Ok(response) => response,
        Err(error) => {
            let result = match error.outcome {
                Outcome::NotRun | Outcome::AttemptNotRun => RequestResult::NotRun,
                Outcome::InProgress => RequestResult::Bad,
                Outcome::Unknown => RequestResult::Unknown,
            };
            shared.record_result(&class, result);
            error.to_response()
        }
    }
}

impl Forwarder {
    async fn respond(
        &mut self,
        shared: &Arc<Shared>,
        mut body: RequestBody,
    ) -> Result<Response<ResponseBody>, RequestError> {
        if self.request.class.stream {
            return self.open_stream(shared, body).await;
        }
        self.reject_early(shared)?;
        self.buffer_body(shared, &mut body).await?;
        if let Some(key) = self.request.key.clone() {
            let digest = self.request.digest(body.length(), body.fully_buffered());
            let claim = claims::claim(shared, &self.request.config, key, digest);
            let result = timeout_at(self.request.deadline, claim).await;
            match result {
                Ok(Ok(key_claim)) => self.key_claim = Some(key_claim),
                Ok(Err(ClaimDenied::Answered(answer))) => {
                    shared.record_result(&self.request.class, RequestResult::Good);
                    return Ok(claims::stored_response(answer));
                }
                Ok(Err(ClaimDenied::Rejected(error))) => return Err(error),
                Err(_) => {
                    let reason = "the deadline passed while the key was claimed";
                    return Err(self.unavailable(Outcome::AttemptNotRun, reason));
                }
            }
        }
        self.run_with_retries(shared, body).await
    }

    /// Rejects a request that can't be completed in time, before its body is read or its
    /// key claimed.
    fn reject_early(&self, shared: &Shared) -> Result<(), RequestError> {
        let now = Instant::now().into_std();
        let state = shared.lock();
        let Some(class) = state.classes.find(&self.request.class.name) else {
            return Ok(());
        };
        let reason = state
            .admission
            .refusal_reason(now, class, self.request.deadline.into_std());
        match reason {
            Some(reason) if reason == RefusalReason::Expired || !state.siblings.has_free(now) => {
                let retry_after = state.admission.retry_after(now, class);
                Err(RequestError {
                    outcome: self.request.outcome_before_claim(),
                    ..admission_error((reason, retry_after))
                })
            }
            _ => Ok(()),
        }
    }

    /// Status 503 with `outcome`.
    fn unavailable(&self, outcome: Outcome, reason: &str) -> RequestError {
        RequestError {
            outcome,
            ..RequestError::not_run(reason, UNAVAILABLE_RETRY_AFTER)
        }
    }

    /// Buffers a body of limited size, so that it can be hashed, relayed or sent again.
    async fn buffer_body(
        &self,
        shared: &Shared,
        body: &mut RequestBody,
    ) -> Result<(), RequestError> {
        let buffer_whole = self.request.key.is_some() || shared.is_draining();
        let limit = if buffer_whole {
            MAX_RELAY_BODY
        } else {
            READ_AHEAD_BYTES
        };
        let fits = body.length().is_none_or(|length| length <= limit as u64);
        if !fits {
            return Ok(());
        }
        let outcome = self.request.outcome_before_claim();
        match timeout_at(self.request.deadline, body.buffer(limit)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(BodyError::TooLarge { limit })) => Err(body_too_large(limit, outcome)),
            Ok(Err(error @ BodyError::Read(_))) => {
                let status = StatusCode::BAD_REQUEST;
                Err(RequestError::new(status, outcome, error.to_string()))
            }
            Err(_) => {
                let reason = "the request body did not arrive before the deadline";
                Err(RequestError::new(
                    StatusCode::REQUEST_TIMEOUT,
                    outcome,
                    reason,
                ))
            }
        }
    }

    /// Runs the request at the backend server or a sibling, with retries where they are safe.
    async fn run_with_retries(
        &mut self,
        shared: &Arc<Shared>,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let mut maybe_run = false;
        let result = self.run_attempts(shared, body, &mut maybe_run).await;
        // If an earlier attempt may have run, the outcome stays unknown although the
        // last one was not run.
        result.map_err(|error| match error.outcome {
            Outcome::NotRun | Outcome::AttemptNotRun if maybe_run => {
                RequestError::unknown(error.reason)
            }
            _ => error,
        })
    }

    /// Makes attempts until one succeeds or no retry is left; sets `maybe_run` once
    /// an attempt without a response may have run.
    async fn run_attempts(
        &mut self,
        shared: &Arc<Shared>,
        mut body: RequestBody,
        maybe_run: &mut bool,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let retry = self.request.config.profile.retry.clone();
        let mut tried = Vec::new();
        let mut attempts = 0;
        loop {
            if let Some(result) = self.try_siblings(shared, &body, &mut tried).await {
                return result;
            }
            if shared.is_draining() {
                let reason = "the backend server is leaving and no sibling took the request";
                return Err(RequestError::not_run(reason, UNAVAILABLE_RETRY_AFTER));
            }
            let error = match self.run_locally(shared, body).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let (retry_body, error) = match error {
                AttemptError::Final(error) => return Err(error),
                AttemptError::Draining(unsent) => {
                    body = unsent;
                    continue;
                }
                AttemptError::NotRun(body, error) => (body, error),
                AttemptError::MaybeRun(body, error) => {
                    *maybe_run = true;
                    (body, error)
                }
            };
            attempts += 1;
            let delay = {
                let mut state = shared.lock();
                let allowed = attempts < u32::from(retry.attempts) && state.budget.try_withdraw();
                allowed.then(|| backoff(retry.backoff_ms.duration(), attempts - 1, &mut state.rng))
            };
            let Some(delay) = delay.filter(|delay| *delay < self.request.remaining()) else {
                return Err(error);
            };
            tokio::time::sleep(delay).await;
            body = retry_body;
        }
    }

    /// Relays the request to a sibling if it would have to wait at this agent;
    /// `None` if no sibling ran it.
    async fn try_siblings(
        &mut self,
        shared: &Arc<Shared>,
        body: &RequestBody,
        tried: &mut Vec<std::net::SocketAddrV4>,
    ) -> Option<Result<Response<ResponseBody>, RequestError>> {
        let bytes = body.fully_buffered()?.clone();
        if bytes.len() > MAX_RELAY_BODY {
            return None;
        }
        // A draining agent can't run the request itself. Otherwise one sibling is
        // tried, since a second rejection would cost another round trip.
        let max_siblings = if shared.is_draining() { 3 } else { 1 };
        for _ in 0..max_siblings {
            let sibling = relay::choose_sibling(shared, &self.request, tried)?;
            tried.push(sibling.http);
            if let Some(key_claim) = &mut self.key_claim {
                key_claim.mark_begun();
            }
            match relay::send(shared, &self.request, &sibling, bytes.clone()).await {
                RelayResult::Response(head, bytes) => {
                    let stored = to_stored_response(&head, &bytes);
                    if let Some(mut key_claim) = self.key_claim.take() {
                        key_claim.finish(stored);
                    }
                    self.record_response(shared, head.status());
                    return Some(Ok(head.map(|()| ResponseBody::full(bytes))));
                }
                RelayResult::NotRun => {
                    if let Some(key_claim) = &mut self.key_claim {
                        key_claim.mark_not_begun();
                    }
                }
                RelayResult::Unknown(error) => return Some(Err(error)),
            }
        }
        None
    }

    fn record_response(&self, shared: &Shared, status: StatusCode) {
        let latency_objective = self.request.config.latency_objective(&self.request.class);
        let good = status.as_u16() < 500 && self.request.received_at.elapsed() <= latency_objective;
        let result = if good {
            RequestResult::Good
        } else {
            RequestResult::Bad
        };
        shared.record_result(&self.request.class, result);
    }

    async fn run_locally(
        &mut self,
        shared: &Arc<Shared>,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let class = shared.lock().classes.find(&self.request.class.name);
        let Some(class) = class else {
            let error = RequestError::not_run("the class was retired", UNAVAILABLE_RETRY_AFTER);
            return Err(AttemptError::Final(error));
        };
        let Some(admitted) = shared.admit(class, self.request.deadline).await else {
            return Err(AttemptError::Draining(body));
        };
        let slot = admitted.map_err(|rejection| AttemptError::Final(admission_error(rejection)))?;
        self.exchange(shared, body, Some(slot)).await
    }

    /// Sends the request to the backend server and waits for the head of the response.
    pub(crate) async fn exchange(
        &mut self,
        shared: &Arc<Shared>,
        body: RequestBody,
        mut slot: Option<Slot>,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let retry_bytes = body.fully_buffered().cloned();
        let oversized = body.oversized();
        let record_failure = |shared: &Shared, slot: &mut Option<Slot>| {
            shared.record_health(HealthSource::Request, false);
            if let Some(slot) = slot {
                slot.ended = Completion::Shed;
            }
        };
        let force_new = !self.request.class.idempotent;
        let Ok(mut connection) = shared.backend.connect(force_new).await else {
            record_failure(shared, &mut slot);
            return Err(AttemptError::NotRun(body, unreachable_backend_error()));
        };
        let id = shared.next_id();
        let backend_request = match self.request.backend_request(id, body) {
            Ok(backend_request) => backend_request,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                let error = RequestError::new(status, Outcome::NotRun, error.to_string());
                return Err(AttemptError::Final(error));
            }
        };
        if let Some(key_claim) = &mut self.key_claim {
            key_claim.mark_begun();
        }
        let sent = timeout_at(self.request.deadline, connection.send(backend_request)).await;
        let response = match sent {
            Err(_) => return Err(AttemptError::Final(RequestError::timed_out())),
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(body))) => {
                if let Some(key_claim) = &mut self.key_claim {
                    key_claim.mark_not_begun();
                }
                record_failure(shared, &mut slot);
                return Err(AttemptError::NotRun(*body, unreachable_backend_error()));
            }
            Ok(Err(SendError::ConnectionLost)) => {
                if oversized.load(Ordering::Relaxed) {
                    let limit = self.request.class.limit.0;
                    return Err(AttemptError::Final(body_too_large(limit, Outcome::Unknown)));
                }
                record_failure(shared, &mut slot);
                let error = RequestError::unknown("the backend server closed the connection");
                return Err(match retry_bytes {
                    Some(bytes) if self.request.class.idempotent => {
                        AttemptError::MaybeRun(RequestBody::full(bytes), error)
                    }
                    _ => AttemptError::Final(error),
                });
            }
        };
        check_response(&response, id, &self.request.method).map_err(AttemptError::Final)?;
        let (mut head, body) = response.into_parts();
        headers::filter_response(&mut head.headers);
        let head = Response::from_parts(head, ());
        if let Some(monitor) = &self.monitor {
            monitor.set_body_deadline(Some(self.request.deadline));
        }
        let stored_response = self
            .key_claim
            .is_some()
            .then(|| to_stored_response(&head, &[]))
            .flatten();
        let exchange = Exchange {
            shared: Arc::clone(shared),
            class: self.request.class.clone(),
            latency_objective: self.request.config.latency_objective(&self.request.class),
            received_at: self.request.received_at,
            slot,
            stream: None,
            connection: Some(connection),
            key_claim: self.key_claim.take(),
            monitor: self.monitor.clone(),
            stored_response,
            status: head.status().as_u16(),
            finished: false,
        };
        Ok(head.map(|()| ResponseBody::stream(body, Box::new(exchange))))
    }

    async fn open_stream(
        &mut self,
        shared: &Arc<Shared>,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, RequestError> {
        if shared.is_draining() {
            let reason = "the backend server is leaving; open the stream again";
            return Err(RequestError::not_run(reason, UNAVAILABLE_RETRY_AFTER));
        }
        let max_streams = self.request.config.profile.concurrency.flows;
        let Some(permit) = shared.try_open_stream(max_streams) else {
            let reason = "too many streams are open";
            return Err(RequestError::not_run(reason, UNAVAILABLE_RETRY_AFTER));
        };
        match self.exchange(shared, body, None).await {
            Ok(mut response) => {
                if let ResponseBody::Stream(_, exchange) = response.body_mut() {
                    exchange.stream = (!exchange.finished).then_some(permit);
                }
                Ok(response)
            }
            Err(
                AttemptError::NotRun(_, error)
                | AttemptError::Final(error)
                | AttemptError::MaybeRun(_, error),
            ) => Err(error),
            Err(AttemptError::Draining(_)) => Err(unreachable_backend_error()),
        }
    }
}

fn unreachable_backend_error() -> RequestError {
    RequestError::not_run(
        "the backend server can't be reached",
        UNAVAILABLE_RETRY_AFTER,
    )
}

pub(crate) fn admission_error((reason, retry_after): NotAdmitted) -> RequestError {
    let reason = match reason {
        RefusalReason::TooLate => "the request would wait past its deadline",
        RefusalReason::Full => "too many requests wait",
        RefusalReason::Displaced => "a request of a higher tier took the place of this one",
        RefusalReason::Expired => "the deadline passed while the request waited",
    };
    RequestError::not_run(reason, retry_after)
}

/// Converts a response to the form in which replicas store it; `None` if it is too large.
fn to_stored_response(head: &Response<()>, body: &[u8]) -> Option<StoredResponse> {
    let content_type = head.headers().get(CONTENT_TYPE);
    (body.len() <= api::MAX_STORED_RESPONSE_BYTES).then(|| StoredResponse {
        status: head.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(|value| value.into()),
        body: units::Blob(body.to_vec()),
    })
}

/// Rejects a response that may belong to another request or whose end can't be detected.
fn check_response(
    response: &Response<Incoming>,
    id: u64,
    method: &Method,
) -> Result<(), RequestError> {
    let echoed = response.headers().contains_key(REQUEST_ID_HEADER);
    if echoed && headers::parse_number(response.headers(), REQUEST_ID_HEADER) != Some(id) {
        let reason = "the backend server sent the response to another request";
        return Err(RequestError::unknown(reason));
    }
    let status = response.status();
    if status.is_informational() {
        return Err(RequestError::unknown(
            "the backend server switched protocols",
        ));
    }
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let chunked = response
        .headers()
        .contains_key(http::header::TRANSFER_ENCODING);
    let is_framed = chunked || response.body().size_hint().exact().is_some();
    if !has_no_body && !is_framed {
        let reason = "the backend server's response has no length, so that a cut would not show";
        return Err(RequestError::unknown(reason));
    }
    Ok(())
}
