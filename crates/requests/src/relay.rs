//! Requests handed to a sibling agent.

use std::net::SocketAddrV4;
use std::sync::Arc;

use admission::SiblingLoad;
use api::{RelayHead, path};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, Uri};
use profile::Tier;
use rpc::RpcError;
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant, timeout_at};
use units::Millis;

use crate::body::{BodyError, Upload};
use crate::config::SiblingAgent;
use crate::forward::{Failed, Run, UNAVAILABLE, not_admitted};
use crate::outcome::{Outcome, Refusal};
use crate::request::Call;
use crate::shared::Shared;

/// Time beyond the deadline in which a sibling can still tell the outcome.
const GRACE: Duration = Duration::from_millis(250);

/// Largest body of a relayed request in bytes.
pub const MAX_RELAY_BODY: usize = 1 << 20;

/// Largest body of a relayed answer in bytes; below the limit of `rpc`.
pub const MAX_RELAY_ANSWER: usize = 16 << 20;

/// Largest sealed body of `/v1/relay` in bytes: request body, head and tag.
pub const MAX_RELAY_MESSAGE: usize = MAX_RELAY_BODY + (256 << 10);

/// Bytes that are encoded as one MessagePack binary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Binary(pub Bytes);

impl Serialize for Binary {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Binary {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Binary;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Binary, E> {
                Ok(Binary(Bytes::copy_from_slice(bytes)))
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Binary, E> {
                Ok(Binary(bytes.into()))
            }
        }
        input.deserialize_byte_buf(Visitor)
    }
}

/// Body of `/v1/relay`: the head, then the body of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMessage {
    /// Head.
    pub head: RelayHead,
    /// Body, at most [`MAX_RELAY_BODY`].
    pub body: Binary,
}

/// Answer of a sibling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// The backend server's complete response.
    Response {
        /// Status.
        status: u16,
        /// Headers in order.
        headers: Vec<(Box<str>, Binary)>,
        /// Body, at most [`MAX_RELAY_ANSWER`].
        body: Binary,
    },
    /// The request was not run.
    NotRun {
        /// Why.
        reason: Box<str>,
        /// Time after which a new attempt has a chance.
        retry_ms: Millis,
    },
    /// It may have run.
    Unknown {
        /// Whether the deadline passed.
        timed_out: bool,
        /// Why.
        reason: Box<str>,
    },
}

/// What became of a request at a sibling.
pub(crate) enum Relayed {
    Answer((Response<()>, Bytes)),
    NotRun,
    Unknown(Refusal),
}

/// Sibling for a request that would wait here.
pub(crate) fn choose(shared: &Shared, call: &Call, tried: &[SocketAddrV4]) -> Option<SiblingAgent> {
    let now = Instant::now().into_std();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let class = state.classes.find(&call.class.name)?;
    let stays =
        !shared.is_draining() && state.health.is_healthy() && state.admission.can_start(now, class);
    if stays {
        return None;
    }
    let known = state.siblings.choose(now, tried, &mut state.rng);
    let address = match known {
        Some(address) => address,
        // A draining agent asks even siblings that seem busy: they can queue the request.
        None if shared.is_draining() => {
            let mut addresses = state.siblings.addresses();
            addresses.find(|address| !tried.contains(address))?
        }
        None => return None,
    };
    let agents = &call.config.siblings;
    agents.iter().find(|agent| agent.http == address).cloned()
}

/// Hands a request to a sibling.
pub(crate) async fn send(
    shared: &Shared,
    call: &Call,
    sibling: &SiblingAgent,
    body: Bytes,
) -> Relayed {
    let left = call.left();
    let headers = call.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().into(), value.into()))
    });
    let message = RelayMessage {
        head: RelayHead {
            service: call.config.service,
            incarnation: sibling.incarnation,
            class: call.class.name.clone(),
            left_ms: left.into(),
            method: call.method.as_str().into(),
            uri: call.target.clone(),
            headers: headers.collect(),
            leaving: shared.is_draining(),
        },
        body: Binary(body),
    };
    let answer: Result<RelayAnswer, RpcError> = shared
        .client
        .post(sibling.http.into(), path::RELAY, &message, left + GRACE)
        .await;
    match answer {
        Ok(answer) => {
            let siblings = &mut shared.lock().siblings;
            match &answer {
                RelayAnswer::NotRun { .. } => siblings.mark_full(sibling.http),
                _ => siblings.record_answer(sibling.http),
            }
            relayed(answer)
        }
        Err(error) => {
            shared.lock().siblings.mark_unreachable(sibling.http);
            slog::debug!(shared.log, "a relay failed"; "error" => %error);
            match error {
                RpcError::Connect { .. } => Relayed::NotRun,
                // The sibling refused the message itself.
                RpcError::Status { status, .. } if (400..500).contains(&status) => Relayed::NotRun,
                RpcError::Timeout { .. } => Relayed::Unknown(Refusal::timed_out()),
                error => Relayed::Unknown(Refusal::unknown(error.to_string())),
            }
        }
    }
}

fn relayed(answer: RelayAnswer) -> Relayed {
    match answer {
        RelayAnswer::NotRun { .. } => Relayed::NotRun,
        RelayAnswer::Unknown {
            timed_out: true, ..
        } => Relayed::Unknown(Refusal::timed_out()),
        RelayAnswer::Unknown { reason, .. } => Relayed::Unknown(Refusal::unknown(reason)),
        RelayAnswer::Response {
            status,
            headers,
            body,
        } => {
            let mut head = Response::new(());
            let Ok(status) = StatusCode::from_u16(status) else {
                return Relayed::Unknown(Refusal::unknown("a sibling sent no valid status"));
            };
            *head.status_mut() = status;
            for (name, value) in headers {
                let name = name.parse::<HeaderName>();
                let value = HeaderValue::from_maybe_shared(value.0);
                if let (Ok(name), Ok(value)) = (name, value) {
                    head.headers_mut().append(name, value);
                }
            }
            Relayed::Answer((head, body.0))
        }
    }
}

/// Load of this agent for its siblings.
pub(crate) fn load(shared: &Shared, flows: u32) -> api::SiblingLoad {
    let now = Instant::now().into_std();
    let state = shared.lock();
    api::SiblingLoad {
        flows,
        busy: u16::try_from(state.admission.busy()).unwrap_or(u16::MAX),
        slots: state.admission.slots(now),
        waiting: u32::try_from(state.admission.waiting()).unwrap_or(u32::MAX),
        serving: !shared.is_draining() && state.health.is_healthy(),
    }
}

/// Runs a request for a sibling.
pub(crate) async fn serve(shared: &Arc<Shared>, head: RelayHead, body: Bytes) -> RelayAnswer {
    match run(shared, head, body).await {
        Ok(answer) => answer,
        Err(refusal) if refusal.outcome == Outcome::Unknown => RelayAnswer::Unknown {
            timed_out: refusal.status == StatusCode::GATEWAY_TIMEOUT,
            reason: refusal.reason,
        },
        Err(refusal) => RelayAnswer::NotRun {
            reason: refusal.reason,
            retry_ms: refusal.retry_after.unwrap_or(UNAVAILABLE).into(),
        },
    }
}

async fn run(shared: &Arc<Shared>, head: RelayHead, body: Bytes) -> Result<RelayAnswer, Refusal> {
    let refuse = |reason: &str| Refusal::not_run(reason, UNAVAILABLE);
    if shared.is_draining() {
        return Err(refuse("the sibling is leaving"));
    }
    let leaving = head.leaving;
    let call = accept(shared, head, &body)?;
    let class = {
        let now = Instant::now().into_std();
        let state = shared.lock();
        let class = state.classes.find(&call.class.name);
        let class = class.ok_or_else(|| refuse("the sibling does not know the class"))?;
        // A request that only waits here could as well wait where it came from,
        // unless that agent is leaving.
        let short_queue = state.admission.waiting() < usize::from(state.admission.slots(now));
        let takes = leaving
            || state.admission.can_start(now, class)
            || short_queue
            || call.class.tier == Tier::Critical;
        if !takes || !state.health.is_healthy() {
            return Err(refuse("the sibling has no free slot"));
        }
        class
    };
    let slot = shared
        .admit(class, call.deadline)
        .await
        .ok_or_else(|| refuse("the sibling is leaving"))?
        .map_err(not_admitted)?;
    let deadline = call.deadline;
    let mut run = Run {
        call,
        holding: None,
        watch: None,
    };
    let exchanged = run.exchange(shared, Upload::full(body), Some(slot)).await;
    let response = match exchanged {
        Ok(response) => response,
        Err(Failed::NotBegun(_, r) | Failed::Final(r) | Failed::Again(_, r)) => return Err(r),
        Err(Failed::Draining(_)) => return Err(refuse("the sibling is leaving")),
    };
    let (head, body) = response.into_parts();
    let body = match timeout_at(deadline, body.collect(MAX_RELAY_ANSWER)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error @ BodyError::TooLarge { .. })) => {
            let reason = format!("the response can't be relayed: {error}");
            return Err(Refusal::unknown(reason));
        }
        Ok(Err(BodyError::Cut(_))) => {
            return Err(Refusal::unknown("the backend server cut its response"));
        }
        Err(_) => return Err(Refusal::timed_out()),
    };
    let headers = head.headers.iter();
    Ok(RelayAnswer::Response {
        status: head.status.as_u16(),
        headers: headers
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().into(), Binary(value))
            })
            .collect(),
        body: Binary(body),
    })
}

/// Checks a relayed request against the service as it is in force here.
fn accept(shared: &Shared, head: RelayHead, body: &Bytes) -> Result<Call, Refusal> {
    let refuse = |reason: &str| Refusal::not_run(reason, UNAVAILABLE);
    let config = shared
        .config()
        .filter(|config| config.service == head.service)
        .ok_or_else(|| refuse("the sibling does not serve this service"))?;
    if head.incarnation != shared.settings.incarnation {
        return Err(refuse("the sibling was restarted"));
    }
    let class = config.profile.classes.iter().find(|c| c.name == head.class);
    let class = class
        .cloned()
        .ok_or_else(|| refuse("the sibling does not know the class"))?;
    if body.len() as u64 > class.limit.0 || body.len() > MAX_RELAY_BODY {
        return Err(refuse("the body is too large"));
    }
    let invalid = |_| refuse("the relayed request is not valid");
    let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| invalid(()))?;
    head.uri.parse::<Uri>().map_err(|_| invalid(()))?;
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        let name = name.parse::<HeaderName>().map_err(|_| invalid(()))?;
        let value = value.parse::<HeaderValue>().map_err(|_| invalid(()))?;
        headers.append(name, value);
    }
    crate::headers::clean_request(&mut headers);
    let arrived = Instant::now();
    Ok(Call {
        deadline: arrived + head.left_ms.min(class.deadline_ms).duration(),
        config,
        class,
        method,
        target: head.uri,
        headers,
        arrived,
        key: None,
    })
}

/// Takes the load that a sibling told.
pub(crate) fn sibling(load: &api::SiblingLoad) -> SiblingLoad {
    SiblingLoad {
        busy: load.busy,
        slots: load.slots,
        waiting: load.waiting,
        serving: load.serving,
    }
}
