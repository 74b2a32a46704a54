//! Paths of operators; JSON.

use std::sync::Arc;

use api::{Announce, PutRequest, Retire};
use dropshot::{Path, RequestContext, UntypedBody, endpoint};
use http::StatusCode;
use replica::Role;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use state::Action;

use super::answer::{Reply, failure, json, outcome, unconfirmed};
use super::describe::describe;
use super::process::not_leading;
use crate::node::{Node, now};

/// Largest request of an operator in bytes; a profile with 32 classes has 8 KB.
const MAX_REQUEST: usize = 256 << 10;

/// A declaration's kind and name.
#[derive(Debug, Deserialize, JsonSchema)]
struct Named {
    kind: String,
    name: String,
}

fn parse<T: DeserializeOwned>(body: &UntypedBody) -> Result<T, Box<Reply>> {
    let bytes = body.as_bytes();
    if bytes.len() > MAX_REQUEST {
        let message = format!(
            "the request has {} bytes; at most {MAX_REQUEST}",
            bytes.len()
        );
        return Err(Box::new(failure(StatusCode::PAYLOAD_TOO_LARGE, message)));
    }
    serde_json::from_slice(bytes).map_err(|e| {
        Box::new(failure(
            StatusCode::BAD_REQUEST,
            format!("invalid request: {e}"),
        ))
    })
}

/// Answers from state that a quorum confirmed to be current.
async fn read<T: serde::Serialize>(
    context: &RequestContext<Arc<Node>>,
    select: impl FnOnce(&Node) -> T,
) -> Reply {
    let node = context.context();
    let replica = match node.replica() {
        Ok(replica) => replica,
        Err(e) => return unconfirmed(&e),
    };
    match replica.confirm_leadership().await {
        Ok(()) => json(StatusCode::OK, &select(node)),
        Err(e) => unconfirmed(&e),
    }
}

/// Every declaration.
#[endpoint { method = GET, path = "/v1/declarations" }]
pub async fn list(context: RequestContext<Arc<Node>>) -> Reply {
    read(&context, |node| node.state().declarations()).await
}

/// One declaration.
#[endpoint { method = GET, path = "/v1/declarations/{kind}/{name}" }]
pub async fn get(context: RequestContext<Arc<Node>>, path: Path<Named>) -> Reply {
    let named = path.into_inner();
    let node = context.context();
    let replica = match node.replica() {
        Ok(replica) => replica,
        Err(e) => return unconfirmed(&e),
    };
    if let Err(e) = replica.confirm_leadership().await {
        return unconfirmed(&e);
    }
    let stored = node.state().stored(&named.kind, &named.name);
    match stored {
        Some(stored) => json(StatusCode::OK, &stored),
        None => failure(
            StatusCode::NOT_FOUND,
            format!("{} {} does not exist", named.kind, named.name),
        ),
    }
}

/// Creates or changes a declaration.
#[endpoint { method = PUT, path = "/v1/declarations/{kind}/{name}" }]
pub async fn put(
    context: RequestContext<Arc<Node>>,
    path: Path<Named>,
    body: UntypedBody,
) -> Reply {
    let named = path.into_inner();
    let request: PutRequest = match parse(&body) {
        Ok(request) => request,
        Err(refused) => return *refused,
    };
    if request.body.kind() != named.kind || request.body.name() != named.name {
        let message = format!(
            "the path names {} {}, the body {} {}; make both equal",
            named.kind,
            named.name,
            request.body.kind(),
            request.body.name()
        );
        return failure(StatusCode::BAD_REQUEST, message);
    }
    let action = Action::Put {
        expected: request.expected,
        key: request.key,
        author: request.author,
        body: request.body,
    };
    outcome(context.context().propose(action).await)
}

/// Retires a declaration.
#[endpoint { method = DELETE, path = "/v1/declarations/{kind}/{name}" }]
pub async fn retire(
    context: RequestContext<Arc<Node>>,
    path: Path<Named>,
    body: UntypedBody,
) -> Reply {
    let named = path.into_inner();
    let request: Retire = match parse(&body) {
        Ok(request) => request,
        Err(refused) => return *refused,
    };
    let action = Action::Retire {
        kind: named.kind.into(),
        name: named.name.into(),
        expected: request.expected,
        key: request.key,
        author: request.author,
    };
    outcome(context.context().propose(action).await)
}

/// Announces a planned change.
#[endpoint { method = POST, path = "/v1/announcements" }]
pub async fn announce(context: RequestContext<Arc<Node>>, body: UntypedBody) -> Reply {
    let request: Announce = match parse(&body) {
        Ok(request) => request,
        Err(refused) => return *refused,
    };
    outcome(context.context().propose(Action::Announce(request)).await)
}

/// State of the system.
#[endpoint { method = GET, path = "/v1/status" }]
pub async fn status(context: RequestContext<Arc<Node>>) -> Reply {
    let node = context.context();
    let leads = node
        .replica()
        .is_ok_and(|replica| replica.status().role == Role::Leader);
    if !leads {
        return not_leading(node);
    }
    read(&context, describe).await
}

/// Report on objectives and changes.
#[endpoint { method = GET, path = "/v1/report" }]
pub async fn report(context: RequestContext<Arc<Node>>) -> Reply {
    read(&context, |node| node.state().report(now().unix)).await
}

/// Audit record.
#[endpoint { method = GET, path = "/v1/audit" }]
pub async fn audit(context: RequestContext<Arc<Node>>) -> Reply {
    read(&context, |node| node.state().audit()).await
}
