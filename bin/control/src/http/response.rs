//! HTTP responses with JSON bodies.

use std::net::SocketAddr;

use api::Failure;
use dropshot::{Body, HttpError};
use http::{Response, StatusCode};
use replica::ProposeError;
use serde::Serialize;
use state::{Outcome, Refusal};

/// Result of a request handler.
pub type HandlerResult = Result<Response<Body>, HttpError>;

/// JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> HandlerResult {
    let body =
        serde_json::to_vec(body).map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    rpc::response(status, "application/json", body)
}

/// JSON error response with a message for the client.
pub fn error_response(status: StatusCode, message: impl Into<Box<str>>) -> HandlerResult {
    let body = Failure {
        message: message.into(),
        leader: None,
    };
    json_response(status, &body)
}

/// Error response with the address of the leader, or status 503 if no leader is known.
pub fn redirect_to_leader(leader: Option<SocketAddr>) -> HandlerResult {
    let Some(leader) = leader else {
        let message = "no control leader is known at the moment; ask again";
        return error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    };
    let body = Failure {
        message: format!("this replica is not the leader; ask {leader}").into(),
        leader: Some(leader.to_string().into()),
    };
    json_response(StatusCode::MISDIRECTED_REQUEST, &body)
}

/// Error response for a proposal or read that no quorum confirmed.
pub fn propose_error_response(error: &ProposeError) -> HandlerResult {
    match error {
        ProposeError::NotLeader { leader } => redirect_to_leader(*leader),
        ProposeError::Unknown { .. } => {
            let message = format!("{error}; send the same request with the same key again");
            error_response(StatusCode::GATEWAY_TIMEOUT, message)
        }
        ProposeError::Refused { .. } => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
        }
    }
}

/// Response with the outcome of an operator's request.
pub fn outcome_response(result: Result<Outcome, ProposeError>) -> HandlerResult {
    match result {
        Ok(Outcome::Put(reply)) => json_response(StatusCode::OK, &reply),
        Ok(Outcome::Replaced(reply)) => json_response(StatusCode::OK, &reply),
        Ok(Outcome::Announced(reply)) => json_response(StatusCode::OK, &reply),
        Ok(Outcome::Conflict(conflict)) => json_response(StatusCode::CONFLICT, &conflict),
        Ok(Outcome::Refused(refusal)) => match refusal {
            Refusal::Invalid(message) => error_response(StatusCode::BAD_REQUEST, message),
            Refusal::Unknown(message) => error_response(StatusCode::NOT_FOUND, message),
            Refusal::KeyTooOld(message) => error_response(StatusCode::GONE, message),
            Refusal::Full(message) => error_response(StatusCode::INSUFFICIENT_STORAGE, message),
        },
        Ok(other) => error_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("unexpected outcome {other:?}"),
        ),
        Err(e) => propose_error_response(&e),
    }
}
