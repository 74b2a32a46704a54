//! Responses of the HTTP server.

use std::net::SocketAddr;

use api::Failure;
use dropshot::{Body, HttpError};
use http::{Response, StatusCode};
use replica::ProposeError;
use serde::Serialize;
use state::{Outcome, Refusal};

/// Result of a handler.
pub type Reply = Result<Response<Body>, HttpError>;

/// JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let body =
        serde_json::to_vec(body).map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    rpc::response(status, "application/json", body)
}

/// Refusal with a message.
pub fn failure(status: StatusCode, message: impl Into<Box<str>>) -> Reply {
    let body = Failure {
        message: message.into(),
        leader: None,
    };
    json(status, &body)
}

/// Reference to the leader, or status 503 if none is known.
pub fn elsewhere(leader: Option<SocketAddr>) -> Reply {
    let Some(leader) = leader else {
        let message = "no control leader is known at the moment; ask again";
        return failure(StatusCode::SERVICE_UNAVAILABLE, message);
    };
    let body = Failure {
        message: format!("this replica is not the leader; ask {leader}").into(),
        leader: Some(leader.to_string().into()),
    };
    json(StatusCode::MISDIRECTED_REQUEST, &body)
}

/// A proposal or read that was not confirmed.
pub fn unconfirmed(error: &ProposeError) -> Reply {
    match error {
        ProposeError::NotLeader { leader } => elsewhere(*leader),
        ProposeError::Unknown { .. } => {
            let message = format!("{error}; send the same request with the same key again");
            failure(StatusCode::GATEWAY_TIMEOUT, message)
        }
        ProposeError::Refused { .. } => failure(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

/// Outcome of an operator's request.
pub fn outcome(result: Result<Outcome, ProposeError>) -> Reply {
    match result {
        Ok(Outcome::Put(reply)) => json(StatusCode::OK, &reply),
        Ok(Outcome::Replaced(reply)) => json(StatusCode::OK, &reply),
        Ok(Outcome::Announced(reply)) => json(StatusCode::OK, &reply),
        Ok(Outcome::Conflict(conflict)) => json(StatusCode::CONFLICT, &conflict),
        Ok(Outcome::Refused(refusal)) => match refusal {
            Refusal::Invalid(message) => failure(StatusCode::BAD_REQUEST, message),
            Refusal::Unknown(message) => failure(StatusCode::NOT_FOUND, message),
            Refusal::KeyTooOld(message) => failure(StatusCode::GONE, message),
            Refusal::Full(message) => failure(StatusCode::INSUFFICIENT_STORAGE, message),
        },
        Ok(other) => failure(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("unexpected outcome {other:?}"),
        ),
        Err(e) => unconfirmed(&e),
    }
}
