//! Responses that the handler makes itself.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};

use crate::body::Download;

/// Response header with the [`Outcome`].
pub const OUTCOME_HEADER: &str = "jacinthsill-outcome";

/// Request header with the time left in ms.
pub const DEADLINE_HEADER: &str = "jacinthsill-deadline-ms";

/// Request header with the id of an exchange. A backend server that sends it
/// back lets the agent detect a response that belongs to another request.
pub const REQUEST_ID_HEADER: &str = "jacinthsill-request";

/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// What is known of a request that got no response of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was not run, by this attempt or an earlier one with its key.
    NotRun,
    /// This attempt was not run; an earlier one with the same key may have been.
    AttemptNotRun,
    /// An earlier attempt with the same key is still running.
    InProgress,
    /// It may have run, in whole or in part.
    Unknown,
}

/// Refusal or failure.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Box<str>,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, outcome: Outcome, reason: impl Into<Box<str>>) -> Self {
        Self {
            status,
            outcome,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Status 503, not run.
    pub(crate) fn not_run(reason: impl Into<Box<str>>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason)
        }
    }

    /// Status 502, unknown.
    pub(crate) fn unknown(reason: impl Into<Box<str>>) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, reason)
    }

    /// Status 504, unknown.
    pub(crate) fn timed_out() -> Self {
        let reason = "the deadline passed while the backend server ran the request";
        Self::new(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, reason)
    }

    /// The response for the caller.
    pub(crate) fn response(&self) -> Response<Download> {
        let mut response = Response::new(Download::full(Bytes::from(format!("{}\n", self.reason))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Ok(value) = HeaderValue::from_str(&self.outcome.to_string()) {
            headers.insert(OUTCOME_HEADER, value);
        }
        if let Some(wait) = self.retry_after {
            // The header counts in whole seconds.
            let seconds = wait.as_secs_f64().ceil() as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
