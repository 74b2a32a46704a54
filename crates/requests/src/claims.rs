//! Claims of idempotency keys at the replicas.

use std::sync::Arc;
use std::time::Duration;

use api::{Claim, ClaimReply, Done, KeptAnswer, KeyMember, RequestKey, path};
use http::StatusCode;
use idempotency::{Attempt, Decision, SelectError, select_replicas};
use tokio::task::JoinSet;
use units::ServiceId;

use crate::body::Download;
use crate::config::Config;
use crate::counts::unix_now;
use crate::outcome::{Outcome, Refusal};
use crate::shared::Shared;

/// Attempts to tell a replica the outcome.
const DONE_ATTEMPTS: u32 = 4;

/// Longest wait for a replica to take the outcome.
const DONE_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait before the outcome is told again; doubles.
const DONE_BACKOFF: Duration = Duration::from_millis(100);

/// Wait that callers are told when a claim can't be decided.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claim that this attempt holds, or may hold in part.
///
/// Dropping it gives the claim back if the request surely did not begin, and
/// marks the outcome as unknown otherwise.
#[derive(Debug)]
pub(crate) struct Holding {
    shared: Arc<Shared>,
    service: ServiceId,
    key: RequestKey,
    members: Vec<KeyMember>,
    attempt: u128,
    begun: bool,
    told: bool,
}

/// What a claim ended in, other than the permission to begin.
#[derive(Debug)]
pub(crate) enum NotHeld {
    /// Response of an earlier attempt.
    Kept(KeptAnswer),
    /// Refusal.
    Refused(Refusal),
}

impl Holding {
    /// The request may have begun from now on.
    pub(crate) fn begin(&mut self) {
        self.begun = true;
    }

    /// Nothing of the request reached a backend server after all.
    pub(crate) fn not_begun(&mut self) {
        self.begun = false;
    }

    /// Keeps the response at the replicas.
    pub(crate) fn finish(&mut self, answer: Option<KeptAnswer>) {
        self.tell(answer, false);
    }

    fn tell(&mut self, answer: Option<KeptAnswer>, released: bool) {
        if std::mem::replace(&mut self.told, true) {
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
            runtime.spawn(async move { tell(&shared, &member, &done).await });
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.tell(None, !self.begun);
    }
}

async fn tell(shared: &Shared, member: &KeyMember, done: &Done) {
    if is_self(shared, member) {
        shared.lock().replica.complete(unix_now(), done);
        return;
    }
    for attempt in 0..DONE_ATTEMPTS {
        let answer: Result<(), _> = shared
            .client
            .post(member.http.into(), path::DONE, done, DONE_TIMEOUT)
            .await;
        match answer {
            Ok(()) => return,
            Err(error) => {
                slog::debug!(shared.log, "a replica did not take an outcome"; "error" => %error);
            }
        }
        tokio::time::sleep(DONE_BACKOFF * 2_u32.pow(attempt)).await;
    }
}

fn is_self(shared: &Shared, member: &KeyMember) -> bool {
    member.host == shared.settings.host && member.incarnation == shared.settings.incarnation
}

async fn ask(shared: Arc<Shared>, member: KeyMember, claim: Claim) -> ClaimReply {
    if is_self(&shared, &member) {
        return shared.lock().replica.claim(unix_now(), &claim);
    }
    let limit = shared.settings.claim_timeout;
    let asked = shared
        .client
        .post(member.http.into(), path::CLAIM, &claim, limit);
    match asked.await {
        Ok(reply) => reply,
        Err(error) => {
            slog::debug!(shared.log, "a replica did not answer a claim"; "error" => %error);
            ClaimReply::Unknown
        }
    }
}

/// Asks the replicas of a key.
pub(crate) async fn claim(
    shared: &Arc<Shared>,
    config: &Config,
    key: RequestKey,
    digest: u64,
) -> Result<Holding, NotHeld> {
    let window = config.profile.keys.window_ms;
    let members = select_replicas(&key, &config.keys, unix_now(), window, config.horizon)
        .map_err(|error| NotHeld::Refused(unselected(error)))?;
    let id = shared.attempt_id();
    let mut attempt = Attempt::new(id, members.len());
    // Created before the first message, so that grants are given back
    // whenever this attempt ends without beginning.
    let holding = Holding {
        shared: Arc::clone(shared),
        service: config.service,
        key: key.clone(),
        members: members.clone(),
        attempt: id,
        begun: false,
        told: false,
    };
    let mut asked = JoinSet::new();
    for (index, member) in members.into_iter().enumerate() {
        let claim = Claim {
            service: config.service,
            key: key.clone(),
            attempt: id,
            incarnation: member.incarnation,
            digest,
        };
        let shared = Arc::clone(shared);
        asked.spawn(async move { (index, ask(shared, member, claim).await) });
    }
    let mut verdict = Decision::Wait;
    while verdict == Decision::Wait {
        verdict = match asked.join_next().await {
            Some(Ok((index, reply))) => attempt.record_reply(index, reply),
            Some(Err(_)) => Decision::Wait,
            None => attempt.give_up(),
        };
    }
    // Calls in flight go on, so that a replica that is late sees the claim
    // before the outcome.
    asked.detach_all();
    match verdict {
        Decision::Start => Ok(holding),
        other => Err(not_held(other)),
    }
}

fn not_held(verdict: Decision) -> NotHeld {
    let refused = |status, outcome, reason: &str| {
        NotHeld::Refused(Refusal {
            retry_after: (outcome != Outcome::Unknown).then_some(RETRY_AFTER),
            ..Refusal::new(status, outcome, reason)
        })
    };
    match verdict {
        Decision::Answer(answer) => NotHeld::Kept(answer),
        Decision::Running => refused(
            StatusCode::CONFLICT,
            Outcome::InProgress,
            "an earlier attempt with this key is still running",
        ),
        Decision::Finished => refused(
            StatusCode::CONFLICT,
            Outcome::Unknown,
            "an earlier attempt with this key was made; its response is not kept",
        ),
        Decision::RequestMismatch => refused(
            StatusCode::UNPROCESSABLE_ENTITY,
            Outcome::AttemptNotRun,
            "another request was made with this key",
        ),
        Decision::NotStarted | Decision::Start | Decision::Wait => refused(
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::AttemptNotRun,
            "not enough replicas of this key granted it",
        ),
    }
}

fn unselected(error: SelectError) -> Refusal {
    let conflict = |reason: &str| Refusal::new(StatusCode::CONFLICT, Outcome::Unknown, reason);
    let unavailable = |reason: &str| Refusal {
        retry_after: Some(RETRY_AFTER),
        ..Refusal::new(
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

/// Response that replicas kept.
pub(crate) fn kept_response(answer: KeptAnswer) -> http::Response<Download> {
    let mut response = http::Response::new(Download::full(answer.body.0.into()));
    if let Ok(status) = StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    let kind = answer.kind.and_then(|kind| kind.parse().ok());
    if let Some(kind) = kind {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, kind);
    }
    response
}
