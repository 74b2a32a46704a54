//! HTTP interface: idempotency keys, relayed requests and load for siblings, and counters for
//! operators.

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
use crate::shared::SharedState;

/// Maximum body of messages other than relayed requests; a stored response and its key fit.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// State shared by the endpoint handlers.
#[derive(Debug)]
pub struct Context {
    /// State shared by the tasks of the agent.
    pub shared: Arc<SharedState>,
    /// Shared key, which authenticates messages.
    pub key: Key,
    /// Latest view from control.
    pub view: watch::Receiver<Arc<View>>,
}

type SignedReply = Result<Response<Body>, HttpError>;

/// Claims an idempotency key.
#[endpoint { method = POST, path = "/v1/claim", request_body_max_bytes = MAX_MESSAGE_BYTES }]
async fn claim(request: RequestContext<Context>, body: UntypedBody) -> SignedReply {
    let context = request.context();
    let request = Request::<Claim>::verify(&context.key, api::path::CLAIM, &body)?;
    let reply = context.shared.handler.claim(&request.message);
    request.reply(&context.key, &reply)
}

/// Records the outcome of the request that claimed an idempotency key.
#[endpoint { method = POST, path = "/v1/done", request_body_max_bytes = MAX_MESSAGE_BYTES }]
async fn done(request: RequestContext<Context>, body: UntypedBody) -> SignedReply {
    let context = request.context();
    let request = Request::<Done>::verify(&context.key, api::path::DONE, &body)?;
    context.shared.handler.done(&request.message);
    request.reply(&context.key, &())
}

/// Returns what this agent knows about an idempotency key.
#[endpoint { method = POST, path = "/v1/lookup", request_body_max_bytes = MAX_MESSAGE_BYTES }]
async fn lookup(request: RequestContext<Context>, body: UntypedBody) -> SignedReply {
    let context = request.context();
    let request = Request::<Lookup>::verify(&context.key, api::path::LOOKUP, &body)?;
    let reply = context.shared.handler.lookup(&request.message);
    request.reply(&context.key, &reply)
}

/// Runs a request that a sibling relays.
#[endpoint { method = POST, path = "/v1/relay", request_body_max_bytes = MAX_RELAY_MESSAGE }]
async fn relay(request: RequestContext<Context>, body: UntypedBody) -> SignedReply {
    let context = request.context();
    let mut request = Request::<RelayMessage>::verify(&context.key, api::path::RELAY, &body)?;
    let body = std::mem::take(&mut request.message.body.0);
    let head = request.message.head.clone();
    let reply = context.shared.handler.relay(head, body).await;
    request.reply(&context.key, &reply)
}

/// Returns the load of this agent.
#[endpoint { method = POST, path = "/v1/load", request_body_max_bytes = MAX_MESSAGE_BYTES }]
async fn load(request: RequestContext<Context>, body: UntypedBody) -> SignedReply {
    let context = request.context();
    let request = Request::<IgnoredAny>::verify(&context.key, api::path::LOAD, &body)?;
    request.reply(&context.key, &context.shared.load())
}

/// Response of `/v1/stats`.
#[derive(Debug, Serialize, JsonSchema)]
struct StatsResponse {
    /// Active version of the configuration.
    config: u64,
    /// Table epochs by service name.
    epochs: BTreeMap<String, u64>,
    /// Whether the agent accepts new flows.
    accepting: bool,
    /// Open flows, half-open ones included.
    open: usize,
    /// Flows that are known to be owned by other agents.
    redirects: usize,
    /// Counters.
    stats: serde_json::Value,
}

/// Returns the counters and the active versions.
#[endpoint { method = GET, path = "/v1/stats" }]
async fn stats(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<StatsResponse>, HttpError> {
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
    Ok(HttpResponseOk(StatsResponse {
        config: view.config.0,
        epochs,
        accepting: shared.is_accepting(),
        open: shared.open_flows.load(Ordering::Relaxed),
        redirects: shared.redirects.load(Ordering::Relaxed),
        stats,
    }))
}

/// Starts the HTTP server.
///
/// # Errors
/// When the address can't be bound.
pub fn start(
    address: SocketAddr,
    context: Context,
    log: &Logger,
) -> Result<HttpServer<Context>, AgentError> {
    let http_error = |message: String| AgentError::Http {
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
    registered.map_err(|e| http_error(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description, context, log.clone())
        .config(config)
        .start()
        .map_err(|e| http_error(e.to_string()))
}
