//! The path of a request: checks, key claim, admission, backend server or sibling.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use admission::{Completion, HealthSource, RefusalReason, backoff};
use api::KeptAnswer;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use tokio::time::{Duration, Instant, timeout_at};

use crate::backend::SendError;
use crate::body::{BodyError, Download, Upload};
use crate::claims::{self, Holding, NotHeld};
use crate::counts::Counted;
use crate::exchange::Exchange;
use crate::headers;
use crate::outcome::{Outcome, REQUEST_HEADER, Refusal};
use crate::relay::{self, MAX_RELAY_BODY, Relayed};
use crate::request::{Call, too_large};
use crate::shared::{NotAdmitted, Shared, Slot};
use crate::watch::Watch;

/// Body bytes read before a request waits for a slot, so that a slow sender
/// of a small body holds none.
const READ_AHEAD: usize = 64 << 10;

/// Wait that callers are told while this agent can't serve.
pub(crate) const UNAVAILABLE: Duration = Duration::from_secs(1);

/// A request that is run, with what it holds.
pub(crate) struct Run {
    pub(crate) call: Call,
    pub(crate) holding: Option<Holding>,
    pub(crate) watch: Option<Watch>,
}

/// How an attempt at the backend server failed.
pub(crate) enum Failed {
    /// Certainly not begun; the body can be sent again.
    NotBegun(Upload, Refusal),
    /// Not begun: the agent began to drain while the request waited.
    Draining(Upload),
    /// Nothing more can be done; the refusal says what is known.
    Final(Refusal),
    /// It may have begun, but is idempotent and failed before any byte of a response.
    Again(Upload, Refusal),
}

/// Response to a request of a caller.
pub(crate) async fn respond(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    watch: &Watch,
) -> Response<Download> {
    let Some(config) = shared.config() else {
        return Refusal::not_run("the service is not declared here", UNAVAILABLE).response();
    };
    let (call, body) = match Call::parse(config, request, watch.is_conflict()) {
        Ok(parsed) => parsed,
        Err((class, refusal)) => {
            if let Some(class) = class {
                shared.count(&class, Counted::NotRun);
            }
            return refusal.response();
        }
    };
    shared.lock().budget.deposit();
    let class = call.class.clone();
    let mut run = Run {
        call,
        holding: None,
        watch: Some(watch.clone()),
    };
    match run.respond(shared, body).await {
        Ok(response) => response,
        Err(refusal) => {
            let counted = match refusal.outcome {
                Outcome::NotRun | Outcome::AttemptNotRun => Counted::NotRun,
                Outcome::InProgress => Counted::Bad,
                Outcome::Unknown => Counted::Unknown,
            };
            shared.count(&class, counted);
            refusal.response()
        }
    }
}

impl Run {
    async fn respond(
        &mut self,
        shared: &Arc<Shared>,
        mut body: Upload,
    ) -> Result<Response<Download>, Refusal> {
        if self.call.class.stream {
            return self.open_stream(shared, body).await;
        }
        self.check_early(shared)?;
        self.read_ahead(shared, &mut body).await?;
        if let Some(key) = self.call.key.clone() {
            let digest = self.call.digest(body.length(), body.whole());
            let claimed = claims::claim(shared, &self.call.config, key, digest);
            let claimed = timeout_at(self.call.deadline, claimed).await;
            match claimed {
                Ok(Ok(holding)) => self.holding = Some(holding),
                Ok(Err(NotHeld::Kept(answer))) => {
                    shared.count(&self.call.class, Counted::Good);
                    return Ok(claims::kept_response(answer));
                }
                Ok(Err(NotHeld::Refused(refusal))) => return Err(refusal),
                Err(_) => {
                    let reason = "the deadline passed while the key was claimed";
                    return Err(self.refused(Outcome::AttemptNotRun, reason));
                }
            }
        }
        self.attempts(shared, body).await
    }

    /// Refuses before anything is read or claimed for a request that can't finish.
    fn check_early(&self, shared: &Shared) -> Result<(), Refusal> {
        let now = Instant::now().into_std();
        let state = shared.lock();
        let Some(class) = state.classes.find(&self.call.class.name) else {
            return Ok(());
        };
        let reason = state
            .admission
            .refusal_reason(now, class, self.call.deadline.into_std());
        match reason {
            Some(reason) if reason == RefusalReason::Expired || !state.siblings.has_free(now) => {
                let retry_after = state.admission.retry_after(now, class);
                Err(Refusal {
                    outcome: self.call.unclaimed(),
                    ..not_admitted((reason, retry_after))
                })
            }
            _ => Ok(()),
        }
    }

    fn refused(&self, outcome: Outcome, reason: &str) -> Refusal {
        Refusal {
            outcome,
            ..Refusal::not_run(reason, UNAVAILABLE)
        }
    }

    async fn read_ahead(&self, shared: &Shared, body: &mut Upload) -> Result<(), Refusal> {
        let whole = self.call.key.is_some() || shared.is_draining();
        let most = if whole { MAX_RELAY_BODY } else { READ_AHEAD };
        let fits = body.length().is_none_or(|length| length <= most as u64);
        if !fits {
            return Ok(());
        }
        let outcome = self.call.unclaimed();
        match timeout_at(self.call.deadline, body.read_ahead(most)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(BodyError::TooLarge { limit })) => Err(too_large(limit, outcome)),
            Ok(Err(error @ BodyError::Cut(_))) => {
                let status = StatusCode::BAD_REQUEST;
                Err(Refusal::new(status, outcome, error.to_string()))
            }
            Err(_) => {
                let reason = "the request body did not arrive before the deadline";
                Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, outcome, reason))
            }
        }
    }

    /// Runs the request here or at a sibling, again where that is safe.
    async fn attempts(
        &mut self,
        shared: &Arc<Shared>,
        body: Upload,
    ) -> Result<Response<Download>, Refusal> {
        let mut begun = false;
        let result = self.attempt_all(shared, body, &mut begun).await;
        // An earlier attempt began, so a later one that was not run proves nothing.
        result.map_err(|refusal| match refusal.outcome {
            Outcome::NotRun | Outcome::AttemptNotRun if begun => Refusal::unknown(refusal.reason),
            _ => refusal,
        })
    }

    /// Sets `begun` once an attempt may have begun without a response.
    async fn attempt_all(
        &mut self,
        shared: &Arc<Shared>,
        mut body: Upload,
        begun: &mut bool,
    ) -> Result<Response<Download>, Refusal> {
        let retry = self.call.config.profile.retry.clone();
        let mut tried = Vec::new();
        let mut number = 0;
        loop {
            if let Some(answer) = self.try_sibling(shared, &body, &mut tried).await {
                return answer;
            }
            if shared.is_draining() {
                let reason = "the backend server is leaving and no sibling took the request";
                return Err(Refusal::not_run(reason, UNAVAILABLE));
            }
            let failed = match self.run_here(shared, body).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let (again, refusal) = match failed {
                Failed::Final(refusal) => return Err(refusal),
                Failed::Draining(waited) => {
                    body = waited;
                    continue;
                }
                Failed::NotBegun(body, refusal) => (body, refusal),
                Failed::Again(body, refusal) => {
                    *begun = true;
                    (body, refusal)
                }
            };
            number += 1;
            let wait = {
                let mut state = shared.lock();
                let allowed = number < u32::from(retry.attempts) && state.budget.try_withdraw();
                allowed.then(|| backoff(retry.backoff_ms.duration(), number - 1, &mut state.rng))
            };
            let Some(wait) = wait.filter(|wait| *wait < self.call.left()) else {
                return Err(refusal);
            };
            tokio::time::sleep(wait).await;
            body = again;
        }
    }

    /// Hands the request to a sibling when it would wait here; `None` if it
    /// was not run there.
    async fn try_sibling(
        &mut self,
        shared: &Arc<Shared>,
        body: &Upload,
        tried: &mut Vec<std::net::SocketAddrV4>,
    ) -> Option<Result<Response<Download>, Refusal>> {
        let whole = body.whole()?.clone();
        if whole.len() > MAX_RELAY_BODY {
            return None;
        }
        // A draining agent has no other way; otherwise one sibling is enough,
        // since a second refusal costs another round trip.
        let most = if shared.is_draining() { 3 } else { 1 };
        for _ in 0..most {
            let sibling = relay::choose(shared, &self.call, tried)?;
            tried.push(sibling.http);
            if let Some(holding) = &mut self.holding {
                holding.begin();
            }
            match relay::send(shared, &self.call, &sibling, whole.clone()).await {
                Relayed::Answer(response) => {
                    let kept = keep(&response.0, &response.1);
                    if let Some(mut holding) = self.holding.take() {
                        holding.finish(kept);
                    }
                    self.count_answer(shared, response.0.status());
                    let (head, bytes) = response;
                    return Some(Ok(head.map(|()| Download::full(bytes))));
                }
                Relayed::NotRun => {
                    if let Some(holding) = &mut self.holding {
                        holding.not_begun();
                    }
                }
                Relayed::Unknown(refusal) => return Some(Err(refusal)),
            }
        }
        None
    }

    fn count_answer(&self, shared: &Shared, status: StatusCode) {
        let latency = self.call.config.latency(&self.call.class);
        let good = status.as_u16() < 500 && self.call.arrived.elapsed() <= latency;
        let counted = if good { Counted::Good } else { Counted::Bad };
        shared.count(&self.call.class, counted);
    }

    async fn run_here(
        &mut self,
        shared: &Arc<Shared>,
        body: Upload,
    ) -> Result<Response<Download>, Failed> {
        let class = shared.lock().classes.find(&self.call.class.name);
        let Some(class) = class else {
            let refusal = Refusal::not_run("the class was retired", UNAVAILABLE);
            return Err(Failed::Final(refusal));
        };
        let Some(admitted) = shared.admit(class, self.call.deadline).await else {
            return Err(Failed::Draining(body));
        };
        let slot = admitted.map_err(|refused| Failed::Final(not_admitted(refused)))?;
        self.exchange(shared, body, Some(slot)).await
    }

    /// Sends the request to the backend server and waits for the response head.
    pub(crate) async fn exchange(
        &mut self,
        shared: &Arc<Shared>,
        body: Upload,
        mut slot: Option<Slot>,
    ) -> Result<Response<Download>, Failed> {
        let again = body.whole().cloned();
        let oversized = body.oversized();
        let shed = |shared: &Shared, slot: &mut Option<Slot>| {
            shared.observe(HealthSource::Request, false);
            if let Some(slot) = slot {
                slot.ended = Completion::Shed;
            }
        };
        let fresh = !self.call.class.idempotent;
        let Ok(mut connection) = shared.backend.connect(fresh).await else {
            shed(shared, &mut slot);
            return Err(Failed::NotBegun(body, unreachable_backend()));
        };
        let id = shared.next_id();
        let request = match self.call.request(id, body) {
            Ok(request) => request,
            Err(error) => {
                let status = StatusCode::BAD_REQUEST;
                let refusal = Refusal::new(status, Outcome::NotRun, error.to_string());
                return Err(Failed::Final(refusal));
            }
        };
        if let Some(holding) = &mut self.holding {
            holding.begin();
        }
        let sent = timeout_at(self.call.deadline, connection.send(request)).await;
        let response = match sent {
            Err(_) => return Err(Failed::Final(Refusal::timed_out())),
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(body))) => {
                if let Some(holding) = &mut self.holding {
                    holding.not_begun();
                }
                shed(shared, &mut slot);
                return Err(Failed::NotBegun(*body, unreachable_backend()));
            }
            Ok(Err(SendError::Broken)) => {
                if oversized.load(Ordering::Relaxed) {
                    let limit = self.call.class.limit.0;
                    return Err(Failed::Final(too_large(limit, Outcome::Unknown)));
                }
                shed(shared, &mut slot);
                let refusal = Refusal::unknown("the backend server closed the connection");
                return Err(match again {
                    Some(bytes) if self.call.class.idempotent => {
                        Failed::Again(Upload::full(bytes), refusal)
                    }
                    _ => Failed::Final(refusal),
                });
            }
        };
        check_response(&response, id, &self.call.method).map_err(Failed::Final)?;
        let (mut head, stream) = response.into_parts();
        headers::clean_response(&mut head.headers);
        let head = Response::from_parts(head, ());
        if let Some(watch) = &self.watch {
            watch.set_body(Some(self.call.deadline));
        }
        let kept = self.holding.is_some().then(|| keep(&head, &[])).flatten();
        let exchange = Exchange {
            shared: Arc::clone(shared),
            class: self.call.class.clone(),
            latency: self.call.config.latency(&self.call.class),
            arrived: self.call.arrived,
            slot,
            stream: None,
            connection: Some(connection),
            holding: self.holding.take(),
            watch: self.watch.clone(),
            kept,
            status: head.status().as_u16(),
            over: false,
        };
        Ok(head.map(|()| Download::stream(stream, Box::new(exchange))))
    }

    async fn open_stream(
        &mut self,
        shared: &Arc<Shared>,
        body: Upload,
    ) -> Result<Response<Download>, Refusal> {
        if shared.is_draining() {
            let reason = "the backend server is leaving; open the stream again";
            return Err(Refusal::not_run(reason, UNAVAILABLE));
        }
        let most = self.call.config.profile.concurrency.flows;
        let Some(place) = shared.open_stream(most) else {
            let reason = "too many streams are open";
            return Err(Refusal::not_run(reason, UNAVAILABLE));
        };
        match self.exchange(shared, body, None).await {
            Ok(mut response) => {
                if let Download::Stream(_, exchange) = response.body_mut() {
                    exchange.stream = (!exchange.over).then_some(place);
                }
                Ok(response)
            }
            Err(Failed::NotBegun(_, r) | Failed::Final(r) | Failed::Again(_, r)) => Err(r),
            Err(Failed::Draining(_)) => Err(unreachable_backend()),
        }
    }
}

fn unreachable_backend() -> Refusal {
    Refusal::not_run("the backend server can't be reached", UNAVAILABLE)
}

pub(crate) fn not_admitted((reason, retry_after): NotAdmitted) -> Refusal {
    let reason = match reason {
        RefusalReason::TooLate => "the request would wait past its deadline",
        RefusalReason::Full => "too many requests wait",
        RefusalReason::Displaced => "a request of a higher tier took the place of this one",
        RefusalReason::Expired => "the deadline passed while the request waited",
    };
    Refusal::not_run(reason, retry_after)
}

/// Start of a kept answer; `None` if it is too large.
fn keep(head: &Response<()>, body: &[u8]) -> Option<KeptAnswer> {
    let kind = head.headers().get(CONTENT_TYPE);
    (body.len() <= api::MAX_KEPT_ANSWER).then(|| KeptAnswer {
        status: head.status().as_u16(),
        kind: kind
            .and_then(|kind| kind.to_str().ok())
            .map(|kind| kind.into()),
        body: units::Blob(body.to_vec()),
    })
}

/// Refuses a response that may belong to another request or whose end can't be told.
fn check_response(response: &Response<Incoming>, id: u64, method: &Method) -> Result<(), Refusal> {
    let echoed = response.headers().contains_key(REQUEST_HEADER);
    if echoed && headers::number(response.headers(), REQUEST_HEADER) != Some(id) {
        let reason = "the backend server sent the response to another request";
        return Err(Refusal::unknown(reason));
    }
    let status = response.status();
    if status.is_informational() {
        return Err(Refusal::unknown("the backend server switched protocols"));
    }
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let chunked = response
        .headers()
        .contains_key(http::header::TRANSFER_ENCODING);
    let framed = chunked || response.body().size_hint().exact().is_some();
    if !bodiless && !framed {
        let reason = "the backend server's response has no length, so that a cut would not show";
        return Err(Refusal::unknown(reason));
    }
    Ok(())
}
