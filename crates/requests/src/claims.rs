//! Claims of idempotency keys at their replicas.

use std::sync::Arc;
use std::time::Duration;

use api::{Claim, ClaimReply, Done, KeyMember, RequestKey, StoredResponse, path};
use http::StatusCode;
use idempotency::{Attempt, Decision, SelectError, select_members};
use tokio::task::JoinSet;
use units::ServiceId;

use crate::body::ResponseBody;
use crate::config::ServiceConfig;
use crate::counts::unix_now;
use crate::outcome::{Outcome, RequestError};
use crate::shared::Shared;

/// Attempts to report the outcome to a replica.
const DONE_ATTEMPTS: u32 = 4;

/// Timeout of one attempt to report the outcome.
const DONE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the second attempt to report the outcome; doubles per attempt.
const DONE_BACKOFF: Duration = Duration::from_millis(100);

/// `Retry-After` sent to callers when a claim can't be decided.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claim of an idempotency key, granted by all or some of its replicas.
///
/// Dropping it releases the claim if the request certainly did not begin, and
/// reports the outcome as unknown otherwise.
#[derive(Debug)]
pub(crate) struct KeyClaim {
    shared: Arc<Shared>,
    service: ServiceId,
    key: RequestKey,
    members: Vec<KeyMember>,
    attempt: u128,
    begun: bool,
    reported: bool,
}

/// Why a claim doesn't permit the request to begin.
#[derive(Debug)]
pub(crate) enum ClaimDenied {
    /// An earlier attempt stored its response.
    Answered(StoredResponse),
    /// The request is rejected.
    Rejected(RequestError),
}

impl KeyClaim {
    /// Records that the request may have begun.
    pub(crate) fn mark_begun(&mut self) {
        self.begun = true;
    }

    /// Records that no part of the request reached a backend server.
    pub(crate) fn mark_not_begun(&mut self) {
        self.begun = false;
    }

    /// Stores the response at the replicas. If there is none, later attempts get an
    /// unknown outcome.
    pub(crate) fn finish(&mut self, answer: Option<StoredResponse>) {
        self.report(answer, false);
    }

    fn report(&mut self, answer: Option<StoredResponse>, released: bool) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        for member in self.members.drain(..) {
            let done = Done {
                service: self.service,
                key: self.key.clone(),
                attempt: self.attempt,
                incarnation: member.incarnation,
                answer: answer.clone(),
                released,
            };
            let shared = Arc::clone(&self.shared);
            runtime.spawn(async move { report_outcome(&shared, &member, &done).await });
        }
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        self.report(None, !self.begun);
    }
}

/// Reports the outcome of a request to a replica, with retries.
async fn report_outcome(shared: &Shared, member: &KeyMember, done: &Done) {
    if is_self(shared, member) {
        shared.lock().replica.complete(unix_now(), done);
        return;
    }
    for attempt in 0..DONE_ATTEMPTS {
        let reply: Result<(), _> = shared
            .client
            .post(member.http.into(), path::DONE, done, DONE_TIMEOUT)
            .await;
        match reply {
            Ok(()) => return,
            Err(error) => {
                slog::debug!(shared.log, "failed to report an outcome to a replica"; "error" => %error);
            }
        }
        tokio::time::sleep(DONE_BACKOFF * 2_u32.pow(attempt)).await;
    }
}

fn is_self(shared: &Shared, member: &KeyMember) -> bool {
    member.host == shared.settings.host && member.incarnation == shared.settings.incarnation
}

async fn claim_at(shared: Arc<Shared>, member: KeyMember, claim: Claim) -> ClaimReply {
    if is_self(&shared, &member) {
        return shared.lock().replica.claim(unix_now(), &claim);
    }
    let timeout = shared.settings.claim_timeout;
    let reply = shared
        .client
        .post(member.http.into(), path::CLAIM, &claim, timeout);
    match reply.await {
        Ok(reply) => reply,
        Err(error) => {
            slog::debug!(shared.log, "failed to claim a key at a replica"; "error" => %error);
            ClaimReply::Unknown
        }
    }
}

/// Claims a key at its replicas.
pub(crate) async fn claim(
    shared: &Arc<Shared>,
    config: &ServiceConfig,
    key: RequestKey,
    digest: u64,
) -> Result<KeyClaim, ClaimDenied> {
    let window = config.profile.keys.window_ms;
    let members = select_members(&key, &config.keys, unix_now(), window, config.horizon)
        .map_err(|error| ClaimDenied::Rejected(selection_error(error)))?;
    let id = shared.next_attempt_id();
    let mut attempt = Attempt::new(id, members.len());
    // Created before the first message, so that granted claims are released
    // whenever this attempt ends before the request begins.
    let key_claim = KeyClaim {
        shared: Arc::clone(shared),
        service: config.service,
        key: key.clone(),
        members: members.clone(),
        attempt: id,
        begun: false,
        reported: false,
    };
    let mut pending = JoinSet::new();
    for (index, member) in members.into_iter().enumerate() {
        let claim = Claim {
            service: config.service,
            key: key.clone(),
            attempt: id,
            incarnation: member.incarnation,
            digest,
        };
        let shared = Arc::clone(shared);
        pending.spawn(async move { (index, claim_at(shared, member, claim).await) });
    }
    let mut verdict = Decision::Wait;
    while verdict == Decision::Wait {
        verdict = match pending.join_next().await {
            Some(Ok((index, reply))) => attempt.record_reply(index, reply),
            Some(Err(_)) => Decision::Wait,
            None => attempt.give_up(),
        };
    }
    // Pending calls continue, so that a slow replica receives the claim before
    // the outcome.
    pending.detach_all();
    match verdict {
        Decision::Start => Ok(key_claim),
        other => Err(claim_denied(other)),
    }
}

fn claim_denied(verdict: Decision) -> ClaimDenied {
    let rejected = |status, outcome, reason: &str| {
        ClaimDenied::Rejected(RequestError {
            retry_after: (outcome != Outcome::Unknown).then_some(RETRY_AFTER),
            ..RequestError::new(status, outcome, reason)
        })
    };
    match verdict {
        Decision::Answer(answer) => ClaimDenied::Answered(answer),
        Decision::Running => rejected(
            StatusCode::CONFLICT,
            Outcome::InProgress,
            "an earlier attempt with this key is still running",
        ),
        Decision::Finished => rejected(
            StatusCode::CONFLICT,
            Outcome::Unknown,
            "an earlier attempt with this key was made; its response is not kept",
        ),
        Decision::RequestMismatch => rejected(
            StatusCode::UNPROCESSABLE_ENTITY,
            Outcome::AttemptNotRun,
            "another request was made with this key",
        ),
        Decision::NotStarted | Decision::Start | Decision::Wait => rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::AttemptNotRun,
            "not enough replicas of this key granted it",
        ),
    }
}

fn selection_error(error: SelectError) -> RequestError {
    let conflict = |reason: &str| RequestError::new(StatusCode::CONFLICT, Outcome::Unknown, reason);
    let unavailable = |reason: &str| RequestError {
        retry_after: Some(RETRY_AFTER),
        ..RequestError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::AttemptNotRun,
            reason,
        )
    };
    match error {
        SelectError::InFuture => conflict("the time of the key is too far in the future"),
        SelectError::Expired => conflict("the key is older than keys are remembered"),
        SelectError::PastHorizon => unavailable("the replicas of this key are not known yet"),
        SelectError::NoKeySet => unavailable("no replicas for this key"),
    }
}

/// Converts a response that the replicas stored.
pub(crate) fn stored_response(answer: StoredResponse) -> http::Response<ResponseBody> {
    let mut response = http::Response::new(ResponseBody::full(answer.body.0.into()));
    if let Ok(status) = StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    let content_type = answer.content_type.and_then(|text| text.parse().ok());
    if let Some(content_type) = content_type {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
    }
    response
}
