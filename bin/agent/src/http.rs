//! HTTP interface: idempotency keys, relayed requests and load for siblings,
//! counters for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use api::{Claim, Done, Lookup};
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, RequestContext,
    ServerBuilder, UntypedBody, endpoint,
};
use http::Response;
use requests::{MAX_RELAY_MESSAGE, RelayMessage};
use rpc::{Key, Request};
use schemars::JsonSchema;
use serde::Serialize;
use serde::de::IgnoredAny;
use slog::Logger;
use tokio::sync::watch;
use watcher::View;

use crate::error::AgentError;
use crate::shared::Shared;

/// Largest body of the other messages in bytes; a kept answer and its key fit.
const MAX_MESSAGE: usize = 16 << 10;

/// State of the handlers.
#[derive(Debug)]
pub struct Context {
    /// State of the agent.
    pub shared: Arc<Shared>,
    /// Shared secret.
    pub key: Key,
    /// Newest view.
    pub view: watch::Receiver<Arc<View>>,
}

type Sealed = Result<Response<Body>, HttpError>;

/// Claims an idempotency key.
#[endpoint { method = POST, path = "/v1/claim", request_body_max_bytes = MAX_MESSAGE }]
async fn claim(request: RequestContext<Context>, body: UntypedBody) -> Sealed {
    let context = request.context();
    let request = Request::<Claim>::verify(&context.key, api::path::CLAIM, &body)?;
    let answer = context.shared.handler.claim(&request.message);
    request.reply(&context.key, &answer)
}

/// Takes the outcome of a claimed key.
#[endpoint { method = POST, path = "/v1/done", request_body_max_bytes = MAX_MESSAGE }]
async fn done(request: RequestContext<Context>, body: UntypedBody) -> Sealed {
    let context = request.context();
    let request = Request::<Done>::verify(&context.key, api::path::DONE, &body)?;
    context.shared.handler.done(&request.message);
    request.reply(&context.key, &())
}

/// Tells what is known of a key.
#[endpoint { method = POST, path = "/v1/lookup", request_body_max_bytes = MAX_MESSAGE }]
async fn lookup(request: RequestContext<Context>, body: UntypedBody) -> Sealed {
    let context = request.context();
    let request = Request::<Lookup>::verify(&context.key, api::path::LOOKUP, &body)?;
    let answer = context.shared.handler.lookup(&request.message);
    request.reply(&context.key, &answer)
}

/// Runs a request for a sibling.
#[endpoint { method = POST, path = "/v1/relay", request_body_max_bytes = MAX_RELAY_MESSAGE }]
async fn relay(request: RequestContext<Context>, body: UntypedBody) -> Sealed {
    let context = request.context();
    let mut request = Request::<RelayMessage>::verify(&context.key, api::path::RELAY, &body)?;
    let body = std::mem::take(&mut request.message.body.0);
    let head = request.message.head.clone();
    let answer = context.shared.handler.relay(head, body).await;
    request.reply(&context.key, &answer)
}

/// Tells the load.
#[endpoint { method = POST, path = "/v1/load", request_body_max_bytes = MAX_MESSAGE }]
async fn load(request: RequestContext<Context>, body: UntypedBody) -> Sealed {
    let context = request.context();
    let request = Request::<IgnoredAny>::verify(&context.key, api::path::LOAD, &body)?;
    request.reply(&context.key, &context.shared.load())
}

/// Counters and versions.
#[derive(Debug, Serialize, JsonSchema)]
struct Stated {
    /// Configuration version in force.
    config: u64,
    /// Table versions by service name.
    epochs: BTreeMap<String, u64>,
    /// Takes new flows.
    accepting: bool,
    /// Open flows, half-open ones included.
    open: usize,
    /// Flows known to be owned by other agents.
    redirects: usize,
    /// Counters.
    stats: serde_json::Value,
}

/// Counters and versions in force.
#[endpoint { method = GET, path = "/v1/stats" }]
async fn stats(request: RequestContext<Context>) -> Result<HttpResponseOk<Stated>, HttpError> {
    let context = request.context();
    let shared = &context.shared;
    let view = Arc::clone(&context.view.borrow());
    let epochs = view
        .tables
        .iter()
        .filter_map(|(id, tables)| {
            let name = view.services.get(id)?.service.name.to_string();
            Some((name, tables.current.epoch.0))
        })
        .collect();
    let stats = serde_json::to_value(shared.stats.snapshot())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseOk(Stated {
        config: view.config.0,
        epochs,
        accepting: shared.accepting(),
        open: shared.open.load(Ordering::Relaxed),
        redirects: shared.redirects.load(Ordering::Relaxed),
        stats,
    }))
}

/// Starts the interface.
///
/// # Errors
/// When the address can't be bound.
pub fn start(
    address: SocketAddr,
    context: Context,
    log: &Logger,
) -> Result<HttpServer<Context>, AgentError> {
    let failed = |message: String| AgentError::Http {
        address,
        message: message.into(),
    };
    let mut description = ApiDescription::new();
    let registered = description
        .register(claim)
        .and_then(|()| description.register(done))
        .and_then(|()| description.register(lookup))
        .and_then(|()| description.register(relay))
        .and_then(|()| description.register(load))
        .and_then(|()| description.register(stats));
    registered.map_err(|e| failed(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description, context, log.clone())
        .config(config)
        .start()
        .map_err(|e| failed(e.to_string()))
}
