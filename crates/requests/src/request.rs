//! Validates and classifies requests.

use std::sync::Arc;

use api::RequestKey;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use hyper::body::{Body, Incoming};
use profile::Class;
use tokio::time::{Duration, Instant};
use units::Millis;

use crate::body::RequestBody;
use crate::config::ServiceConfig;
use crate::headers;
use crate::outcome::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, Outcome, RequestError};

/// Request that was validated and assigned to a class.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) config: Arc<ServiceConfig>,
    pub(crate) class: Class,
    pub(crate) method: Method,
    pub(crate) target: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) received_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) key: Option<RequestKey>,
}

impl ParsedRequest {
    /// Validates and classifies a caller's request.
    pub(crate) fn parse(
        config: Arc<ServiceConfig>,
        request: Request<Incoming>,
        has_conflicting_lengths: bool,
    ) -> Result<(Self, RequestBody), (Option<Class>, RequestError)> {
        let received_at = Instant::now();
        let (mut parts, body) = request.into_parts();
        validate(&parts, has_conflicting_lengths).map_err(|error| (None, error))?;
        let class = config
            .classify(&parts.method, parts.uri.path())
            .and_then(|index| config.class(index))
            .cloned();
        let Some(class) = class else {
            let error = RequestError::new(
                StatusCode::NOT_FOUND,
                Outcome::NotRun,
                "no class of the service's profile matches this request",
            );
            return Err((None, error));
        };
        let reject = |error| Err((Some(class.clone()), error));
        let limit = class.limit.0;
        if body.size_hint().lower() > limit {
            return reject(body_too_large(limit, Outcome::NotRun));
        }
        let requested_ms = headers::parse_number(&parts.headers, DEADLINE_HEADER);
        let timeout =
            requested_ms.map_or(class.deadline_ms, |ms| Millis(ms).min(class.deadline_ms));
        let key = match parse_key(&parts, &class) {
            Ok(key) => key,
            Err(error) => return reject(error),
        };
        override_host(&mut parts);
        headers::filter_request(&mut parts.headers);
        let call = Self {
            target: target(&parts.uri),
            method: parts.method,
            headers: parts.headers,
            received_at,
            deadline: received_at + timeout.duration(),
            class,
            config,
            key,
        };
        Ok((call, RequestBody::new(body, limit)))
    }

    /// Builds the request for the backend server.
    pub(crate) fn backend_request(
        &self,
        id: u64,
        body: RequestBody,
    ) -> Result<Request<RequestBody>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&*self.target)
            .body(body)?;
        *request.headers_mut() = self.headers.clone();
        let remaining_ms = self.remaining().as_millis();
        let remaining_ms = u64::try_from(remaining_ms).unwrap_or(u64::MAX);
        headers::set_exchange_headers(request.headers_mut(), remaining_ms, id);
        Ok(request)
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Outcome of an error that occurs before the key is claimed.
    pub(crate) fn outcome_before_claim(&self) -> Outcome {
        if self.key.is_some() {
            Outcome::AttemptNotRun
        } else {
            Outcome::NotRun
        }
    }

    /// Hash that detects a different request with the same key.
    pub(crate) fn digest(&self, length: Option<u64>, body: Option<&Bytes>) -> u64 {
        let body = body.map_or(&[][..], |body| body);
        idempotency::request_digest(self.method.as_str(), &self.target, length, body)
    }
}

fn validate(parts: &Parts, has_conflicting_lengths: bool) -> Result<(), RequestError> {
    let reject = |status, reason: &str| Err(RequestError::new(status, Outcome::NotRun, reason));
    if has_conflicting_lengths {
        return reject(
            StatusCode::BAD_REQUEST,
            "the request has two different lengths",
        );
    }
    if parts.version != Version::HTTP_11 {
        return reject(
            StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            "HTTP/1.0 can't signal a truncated response; use HTTP/1.1",
        );
    }
    if parts.method == Method::CONNECT {
        return reject(StatusCode::NOT_IMPLEMENTED, "CONNECT is not supported");
    }
    let hosts = parts.headers.get_all(http::header::HOST).iter().count();
    if hosts != 1 {
        return reject(
            StatusCode::BAD_REQUEST,
            "the request needs exactly one Host header",
        );
    }
    Ok(())
}

/// Reads the idempotency key of a non-idempotent request.
fn parse_key(parts: &Parts, class: &Class) -> Result<Option<RequestKey>, RequestError> {
    if class.idempotent {
        return Ok(None);
    }
    let mut values = parts.headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let parsed = first.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(key) if values.next().is_none() => Ok(Some(key)),
        _ => Err(RequestError::new(
            StatusCode::BAD_REQUEST,
            Outcome::AttemptNotRun,
            "Idempotency-Key must be one <unix ms>-<text> of at most 128 bytes",
        )),
    }
}

/// Takes the host from a target in absolute form, which overrides the `Host` header.
fn override_host(parts: &mut Parts) {
    let authority = parts.uri.authority().map(|a| a.as_str().parse());
    if let Some(Ok(host)) = authority {
        parts.headers.insert(http::header::HOST, host);
    }
}

fn target(uri: &Uri) -> Box<str> {
    uri.path_and_query().map_or("/", |p| p.as_str()).into()
}

pub(crate) fn body_too_large(limit: u64, outcome: Outcome) -> RequestError {
    let reason = format!("the request body is larger than {limit} bytes");
    RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, outcome, reason)
}
