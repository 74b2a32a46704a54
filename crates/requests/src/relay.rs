//! Relays requests to a sibling agent and runs relayed ones.

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

use crate::body::{BodyError, RequestBody};
use crate::config::SiblingAgent;
use crate::forward::{AttemptError, Forwarder, UNAVAILABLE_RETRY_AFTER, admission_error};
use crate::outcome::{Outcome, RequestError};
use crate::request::ParsedRequest;
use crate::shared::Shared;

/// Time after the deadline in which a sibling can still report the outcome.
const RELAY_GRACE: Duration = Duration::from_millis(250);

/// Largest body of a relayed request in bytes.
pub const MAX_RELAY_BODY: usize = 1 << 20;

/// Largest body of a relayed response in bytes; below the message limit of `rpc`.
pub const MAX_RELAY_RESPONSE: usize = 16 << 20;

/// Largest sealed body of `/v1/relay` in bytes: request body, head and authentication tag.
pub const MAX_RELAY_MESSAGE: usize = MAX_RELAY_BODY + (256 << 10);

/// Bytes that are encoded as a MessagePack binary.
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
    /// Request head and metadata.
    pub head: RelayHead,
    /// Request body of at most [`MAX_RELAY_BODY`] bytes.
    pub body: Binary,
}

/// Reply of a sibling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The backend server's complete response.
    Response {
        /// Status code.
        status: u16,
        /// Headers in their original order.
        headers: Vec<(Box<str>, Binary)>,
        /// Response body of at most [`MAX_RELAY_RESPONSE`] bytes.
        body: Binary,
    },
    /// The request was not run.
    NotRun {
        /// Reason for the caller.
        reason: Box<str>,
        /// Time after which the request may be retried.
        retry_ms: Millis,
    },
    /// The request may have run.
    Unknown {
        /// Whether the deadline was exceeded.
        timed_out: bool,
        /// Reason for the caller.
        reason: Box<str>,
    },
}

/// Result of a relayed request.
pub(crate) enum RelayResult {
    Response(Response<()>, Bytes),
    NotRun,
    Unknown(RequestError),
}

/// Chooses a sibling for a request that would have to wait at this agent.
pub(crate) fn choose_sibling(
    shared: &Shared,
    request: &ParsedRequest,
    tried: &[SocketAddrV4],
) -> Option<SiblingAgent> {
    let now = Instant::now().into_std();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let class = state.classes.find(&request.class.name)?;
    let runs_locally =
        !shared.is_draining() && state.health.is_healthy() && state.admission.can_start(now, class);
    if runs_locally {
        return None;
    }
    let available = state.siblings.choose(now, tried, &mut state.rng);
    let address = match available {
        Some(address) => address,
        // A draining agent tries even siblings that seem busy, since they can queue the request.
        None if shared.is_draining() => {
            let mut addresses = state.siblings.addresses();
            addresses.find(|address| !tried.contains(address))?
        }
        None => return None,
    };
    let agents = &request.config.siblings;
    agents.iter().find(|agent| agent.http == address).cloned()
}

/// Relays a request to a sibling.
pub(crate) async fn send(
    shared: &Shared,
    request: &ParsedRequest,
    sibling: &SiblingAgent,
    body: Bytes,
) -> RelayResult {
    let remaining = request.remaining();
    let headers = request.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().into(), value.into()))
    });
    let message = RelayMessage {
        head: RelayHead {
            service: request.config.service,
            incarnation: sibling.incarnation,
            class: request.class.name.clone(),
            left_ms: remaining.into(),
            method: request.method.as_str().into(),
            uri: request.target.clone(),
            headers: headers.collect(),
            leaving: shared.is_draining(),
        },
        body: Binary(body),
    };
    let reply: Result<RelayReply, RpcError> = shared
        .client
        .post(
            sibling.http.into(),
            path::RELAY,
            &message,
            remaining + RELAY_GRACE,
        )
        .await;
    match reply {
        Ok(reply) => {
            let siblings = &mut shared.lock().siblings;
            match &reply {
                RelayReply::NotRun { .. } => siblings.mark_full(sibling.http),
                _ => siblings.record_answer(sibling.http),
            }
            convert_reply(reply)
        }
        Err(error) => {
            shared.lock().siblings.mark_unreachable(sibling.http);
            slog::debug!(shared.log, "failed to relay a request"; "error" => %error);
            match error {
                RpcError::Connect { .. } => RelayResult::NotRun,
                // The sibling rejected the message itself.
                RpcError::Status { status, .. } if (400..500).contains(&status) => {
                    RelayResult::NotRun
                }
                RpcError::Timeout { .. } => RelayResult::Unknown(RequestError::timed_out()),
                error => RelayResult::Unknown(RequestError::unknown(error.to_string())),
            }
        }
    }
}

fn convert_reply(reply: RelayReply) -> RelayResult {
    match reply {
        RelayReply::NotRun { .. } => RelayResult::NotRun,
        RelayReply::Unknown {
            timed_out: true, ..
        } => RelayResult::Unknown(RequestError::timed_out()),
        RelayReply::Unknown { reason, .. } => RelayResult::Unknown(RequestError::unknown(reason)),
        RelayReply::Response {
            status,
            headers,
            body,
        } => {
            let mut head = Response::new(());
            let Ok(status) = StatusCode::from_u16(status) else {
                return RelayResult::Unknown(RequestError::unknown(
                    "a sibling sent no valid status",
                ));
            };
            *head.status_mut() = status;
            for (name, value) in headers {
                let name = name.parse::<HeaderName>();
                let value = HeaderValue::from_maybe_shared(value.0);
                if let (Ok(name), Ok(value)) = (name, value) {
                    head.headers_mut().append(name, value);
                }
            }
            RelayResult::Response(head, body.0)
        }
    }
}

/// Returns the load of this agent for its siblings.
pub(crate) fn local_load(shared: &Shared, flows: u32) -> api::SiblingLoad {
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

/// Runs a request that a sibling relayed.
pub(crate) async fn handle(shared: &Arc<Shared>, head: RelayHead, body: Bytes) -> RelayReply {
    match run(shared, head, body).await {
        Ok(reply) => reply,
        Err(error) if error.outcome == Outcome::Unknown => RelayReply::Unknown {
            timed_out: error.status == StatusCode::GATEWAY_TIMEOUT,
            reason: error.reason,
        },
        Err(error) => RelayReply::NotRun {
            reason: error.reason,
            retry_ms: error.retry_after.unwrap_or(UNAVAILABLE_RETRY_AFTER).into(),
        },
    }
}

async fn run(
    shared: &Arc<Shared>,
    head: RelayHead,
    body: Bytes,
) -> Result<RelayReply, RequestError> {
    let reject = |reason: &str| RequestError::not_run(reason, UNAVAILABLE_RETRY_AFTER);
    if shared.is_draining() {
        return Err(reject("the sibling is leaving"));
    }
    let sender_is_draining = head.leaving;
    let request = parse(shared, head, &body)?;
    let class = {
        let now = Instant::now().into_std();
        let state = shared.lock();
        let class = state.classes.find(&request.class.name);
        let class = class.ok_or_else(|| reject("the sibling does not know the class"))?;
        // A request that would have to wait here can wait at the agent that
        // received it, unless that agent is draining.
        let short_queue = state.admission.waiting() < usize::from(state.admission.slots(now));
        let accepts = sender_is_draining
            || state.admission.can_start(now, class)
            || short_queue
            || request.class.tier == Tier::Critical;
        if !accepts || !state.health.is_healthy() {
            return Err(reject("the sibling has no free slot"));
        }
        class
    };
    let slot = shared
        .admit(class, request.deadline)
        .await
        .ok_or_else(|| reject("the sibling is leaving"))?
        .map_err(admission_error)?;
    let deadline = request.deadline;
    let mut forwarder = Forwarder {
        request,
        key_claim: None,
        monitor: None,
    };
    let result = forwarder
        .exchange(shared, RequestBody::full(body), Some(slot))
        .await;
    let response = match result {
        Ok(response) => response,
        Err(
            AttemptError::NotRun(_, error)
            | AttemptError::Final(error)
            | AttemptError::MaybeRun(_, error),
        ) => return Err(error),
        Err(AttemptError::Draining(_)) => return Err(reject("the sibling is leaving")),
    };
    let (head, body) = response.into_parts();
    let body = match timeout_at(deadline, body.collect(MAX_RELAY_RESPONSE)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error @ BodyError::TooLarge { .. })) => {
            let reason = format!("the response can't be relayed: {error}");
            return Err(RequestError::unknown(reason));
        }
        Ok(Err(BodyError::Read(_))) => {
            return Err(RequestError::unknown("the backend server cut its response"));
        }
        Err(_) => return Err(RequestError::timed_out()),
    };
    let headers = head.headers.iter();
    Ok(RelayReply::Response {
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

/// Validates a relayed request against the service configuration of this agent.
fn parse(shared: &Shared, head: RelayHead, body: &Bytes) -> Result<ParsedRequest, RequestError> {
    let reject = |reason: &str| RequestError::not_run(reason, UNAVAILABLE_RETRY_AFTER);
    let config = shared
        .config()
        .filter(|config| config.service == head.service)
        .ok_or_else(|| reject("the sibling does not serve this service"))?;
    if head.incarnation != shared.settings.incarnation {
        return Err(reject("the sibling was restarted"));
    }
    let class = config.profile.classes.iter().find(|c| c.name == head.class);
    let class = class
        .cloned()
        .ok_or_else(|| reject("the sibling does not know the class"))?;
    if body.len() as u64 > class.limit.0 || body.len() > MAX_RELAY_BODY {
        return Err(reject("the body is too large"));
    }
    let invalid = |_| reject("the relayed request is not valid");
    let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| invalid(()))?;
    head.uri.parse::<Uri>().map_err(|_| invalid(()))?;
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        let name = name.parse::<HeaderName>().map_err(|_| invalid(()))?;
        let value = value.parse::<HeaderValue>().map_err(|_| invalid(()))?;
        headers.append(name, value);
    }
    crate::headers::filter_request(&mut headers);
    let received_at = Instant::now();
    Ok(ParsedRequest {
        deadline: received_at + head.left_ms.min(class.deadline_ms).duration(),
        config,
        class,
        method,
        target: head.uri,
        headers,
        received_at,
        key: None,
    })
}

/// Converts the load that a sibling reported.
pub(crate) fn to_sibling(load: &api::SiblingLoad) -> SiblingLoad {
    SiblingLoad {
        busy: load.busy,
        slots: load.slots,
        waiting: load.waiting,
        serving: load.serving,
    }
}
