//! What is known of a request before it is run.

use std::sync::Arc;

use api::RequestKey;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use hyper::body::{Body, Incoming};
use profile::Class;
use tokio::time::{Duration, Instant};
use units::Millis;

use crate::body::Upload;
use crate::config::Config;
use crate::headers;
use crate::outcome::{DEADLINE_HEADER, KEY_HEADER, Outcome, Refusal};

/// A classified request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) config: Arc<Config>,
    pub(crate) class: Class,
    pub(crate) method: Method,
    pub(crate) target: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) key: Option<RequestKey>,
}

impl Call {
    /// Checks and classifies a caller's request.
    pub(crate) fn parse(
        config: Arc<Config>,
        request: Request<Incoming>,
        conflict: bool,
    ) -> Result<(Self, Upload), (Option<Class>, Refusal)> {
        let arrived = Instant::now();
        let (mut parts, body) = request.into_parts();
        check(&parts, conflict).map_err(|refusal| (None, refusal))?;
        let class = config
            .classify(&parts.method, parts.uri.path())
            .and_then(|index| config.class(index))
            .cloned();
        let Some(class) = class else {
            let refusal = Refusal::new(
                StatusCode::NOT_FOUND,
                Outcome::NotRun,
                "no class of the service's profile matches this request",
            );
            return Err((None, refusal));
        };
        let refuse = |refusal| Err((Some(class.clone()), refusal));
        let limit = class.limit.0;
        if body.size_hint().lower() > limit {
            return refuse(too_large(limit, Outcome::NotRun));
        }
        let wanted = headers::number(&parts.headers, DEADLINE_HEADER);
        let left = wanted.map_or(class.deadline_ms, |ms| Millis(ms).min(class.deadline_ms));
        let key = match key(&parts, &class) {
            Ok(key) => key,
            Err(refusal) => return refuse(refusal),
        };
        set_host(&mut parts);
        headers::clean_request(&mut parts.headers);
        let call = Self {
            target: target(&parts.uri),
            method: parts.method,
            headers: parts.headers,
            arrived,
            deadline: arrived + left.duration(),
            class,
            config,
            key,
        };
        Ok((call, Upload::new(body, limit)))
    }

    /// Request for the backend server.
    pub(crate) fn request(&self, id: u64, body: Upload) -> Result<Request<Upload>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&*self.target)
            .body(body)?;
        *request.headers_mut() = self.headers.clone();
        let left = self.left().as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        headers::set_deadline(request.headers_mut(), left, id);
        Ok(request)
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Outcome of a refusal before the key was claimed.
    pub(crate) fn unclaimed(&self) -> Outcome {
        if self.key.is_some() {
            Outcome::AttemptNotRun
        } else {
            Outcome::NotRun
        }
    }

    /// Hash of the request for its key.
    pub(crate) fn digest(&self, length: Option<u64>, body: Option<&Bytes>) -> u64 {
        let body = body.map_or(&[][..], |body| body);
        idempotency::request_digest(self.method.as_str(), &self.target, length, body)
    }
}

fn check(parts: &Parts, conflict: bool) -> Result<(), Refusal> {
    let refuse = |status, reason: &str| Err(Refusal::new(status, Outcome::NotRun, reason));
    if conflict {
        return refuse(
            StatusCode::BAD_REQUEST,
            "the request has two different lengths",
        );
    }
    if parts.version != Version::HTTP_11 {
        return refuse(
            StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            "HTTP/1.0 can't signal a truncated response; use HTTP/1.1",
        );
    }
    if parts.method == Method::CONNECT {
        return refuse(StatusCode::NOT_IMPLEMENTED, "CONNECT is not supported");
    }
    let hosts = parts.headers.get_all(http::header::HOST).iter().count();
    if hosts != 1 {
        return refuse(
            StatusCode::BAD_REQUEST,
            "the request needs exactly one Host header",
        );
    }
    Ok(())
}

/// Key of a non-idempotent request.
fn key(parts: &Parts, class: &Class) -> Result<Option<RequestKey>, Refusal> {
    if class.idempotent {
        return Ok(None);
    }
    let mut values = parts.headers.get_all(KEY_HEADER).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let parsed = first.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(key) if values.next().is_none() => Ok(Some(key)),
        _ => Err(Refusal::new(
            StatusCode::BAD_REQUEST,
            Outcome::AttemptNotRun,
            "Idempotency-Key must be one <unix ms>-<text> of at most 128 bytes",
        )),
    }
}

/// A target in absolute form names the host that counts.
fn set_host(parts: &mut Parts) {
    let authority = parts.uri.authority().map(|a| a.as_str().parse());
    if let Some(Ok(host)) = authority {
        parts.headers.insert(http::header::HOST, host);
    }
}

fn target(uri: &Uri) -> Box<str> {
    uri.path_and_query().map_or("/", |p| p.as_str()).into()
}

pub(crate) fn too_large(limit: u64, outcome: Outcome) -> Refusal {
    let reason = format!("the request body is larger than {limit} bytes");
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, outcome, reason)
}
