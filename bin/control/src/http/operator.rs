//! JSON endpoints for operators.

use std::sync::Arc;

use api::{Announce, PutRequest, Retire};
use dropshot::{Path, RequestContext, UntypedBody, endpoint};
use http::StatusCode;
use replica::Role;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use state::Action;

use super::internal::not_leader_response;
use super::response::{
    HandlerResult, error_response, json_response, outcome_response, propose_error_response,
};
use crate::node::{Node, now};

/// Largest request body of an operator; a profile with 32 classes takes 8 KB.
const MAX_REQUEST_BYTES: usize = 256 << 10;

/// Kind and name of a declaration, from the request path.
#[derive(Debug, Deserialize, JsonSchema)]
struct DeclarationPath {
    kind: String,
    name: String,
}

fn parse<T: DeserializeOwned>(body: &UntypedBody) -> Result<T, Box<HandlerResult>> {
    let bytes = body.as_bytes();
    if bytes.len() > MAX_REQUEST_BYTES {
        let message = format!(
            "the request has {} bytes; at most {MAX_REQUEST_BYTES}",
            bytes.len()
        );
        return Err(Box::new(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            message,
        )));
    }
    serde_json::from_slice(bytes).map_err(|e| {
        Box::new(error_response(
            StatusCode::BAD_REQUEST,
            format!("invalid request: {e}"),
        ))
    })
}

/// Responds with state that a quorum confirmed to be current.
async fn read<T: serde::Serialize>(
    context: &RequestContext<Arc<Node>>,
    select: impl FnOnce(&Node) -> T,
) -> HandlerResult {
    let node = context.context();
    let replica = match node.replica() {
        Ok(replica) => replica,
        Err(e) => return propose_error_response(&e),
    };
    match replica.confirm_leadership().await {
        Ok(()) => json_response(StatusCode::OK, &select(node)),
        Err(e) => propose_error_response(&e),
    }
}

/// Returns every declaration.
#[endpoint { method = GET, path = "/v1/declarations" }]
pub async fn list(context: RequestContext<Arc<Node>>) -> HandlerResult {
    read(&context, |node| node.state().declarations()).await
}

/// Returns one declaration.
#[endpoint { method = GET, path = "/v1/declarations/{kind}/{name}" }]
pub async fn get(context: RequestContext<Arc<Node>>, path: Path<DeclarationPath>) -> HandlerResult {
    let declaration = path.into_inner();
    let node = context.context();
    let replica = match node.replica() {
        Ok(replica) => replica,
        Err(e) => return propose_error_response(&e),
    };
    if let Err(e) = replica.confirm_leadership().await {
        return propose_error_response(&e);
    }
    let stored = node.state().stored(&declaration.kind, &declaration.name);
    match stored {
        Some(stored) => json_response(StatusCode::OK, &stored),
        None => error_response(
            StatusCode::NOT_FOUND,
            format!("{} {} does not exist", declaration.kind, declaration.name),
        ),
    }
}

/// Creates or changes a declaration.
#[endpoint { method = PUT, path = "/v1/declarations/{kind}/{name}" }]
pub async fn put(
    context: RequestContext<Arc<Node>>,
    path: Path<DeclarationPath>,
    body: UntypedBody,
) -> HandlerResult {
    let declaration = path.into_inner();
    let request: PutRequest = match parse(&body) {
        Ok(request) => request,
        Err(rejection) => return *rejection,
    };
    if request.body.kind() != declaration.kind || request.body.name() != declaration.name {
        let message = format!(
            "the path names {} {}, the body {} {}; make both equal",
            declaration.kind,
            declaration.name,
            request.body.kind(),
            request.body.name()
        );
        return error_response(StatusCode::BAD_REQUEST, message);
    }
    let action = Action::Put {
        expected: request.expected,
        key: request.key,
        author: request.author,
        body: request.body,
    };
    outcome_response(context.context().propose(action).await)
}

/// Retires a declaration.
#[endpoint { method = DELETE, path = "/v1/declarations/{kind}/{name}" }]
pub async fn retire(
    context: RequestContext<Arc<Node>>,
    path: Path<DeclarationPath>,
    body: UntypedBody,
) -> HandlerResult {
    let declaration = path.into_inner();
    let request: Retire = match parse(&body) {
        Ok(request) => request,
        Err(rejection) => return *rejection,
    };
    let action = Action::Retire {
        kind: declaration.kind.into(),
        name: declaration.name.into(),
        expected: request.expected,
        key: request.key,
        author: request.author,
    };
    outcome_response(context.context().propose(action).await)
}

/// Announces a planned change.
#[endpoint { method = POST, path = "/v1/announcements" }]
pub async fn announce(context: RequestContext<Arc<Node>>, body: UntypedBody) -> HandlerResult {
    let request: Announce = match parse(&body) {
        Ok(request) => request,
        Err(rejection) => return *rejection,
    };
    outcome_response(context.context().propose(Action::Announce(request)).await)
}

/// Returns the status of the replicas and nodes; only the leader knows the nodes.
#[endpoint { method = GET, path = "/v1/status" }]
pub async fn status(context: RequestContext<Arc<Node>>) -> HandlerResult {
    let node = context.context();
    let is_leader = node
        .replica()
        .is_ok_and(|replica| replica.status().role == Role::Leader);
    if !is_leader {
        return not_leader_response(node);
    }
    read(&context, super::status::status).await
}

/// Returns the report on objectives and changes.
#[endpoint { method = GET, path = "/v1/report" }]
pub async fn report(context: RequestContext<Arc<Node>>) -> HandlerResult {
    read(&context, |node| node.state().report(now().unix)).await
}

/// Returns the audit log.
#[endpoint { method = GET, path = "/v1/audit" }]
pub async fn audit(context: RequestContext<Arc<Node>>) -> HandlerResult {
    read(&context, |node| node.state().audit()).await
}
