//! HTTP interface for operators: counters and the versions in force.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, RequestContext,
    ServerBuilder, endpoint,
};
use schemars::JsonSchema;
use serde::Serialize;
use slog::Logger;
use tokio::sync::watch;
use watcher::View;

use crate::error::BalancerError;
use crate::stats::Stats;

/// State of the handlers.
#[derive(Debug)]
pub struct Context {
    /// Counters.
    pub stats: Arc<Stats>,
    /// Newest view.
    pub view: watch::Receiver<Arc<View>>,
}

/// Counters and versions.
#[derive(Debug, Serialize, JsonSchema)]
struct Stated {
    /// Configuration version in force.
    config: u64,
    /// Table versions by service name.
    epochs: std::collections::BTreeMap<String, u64>,
    /// Counters.
    stats: serde_json::Value,
}

/// Counters and versions in force.
#[endpoint { method = GET, path = "/v1/stats" }]
async fn stats(request: RequestContext<Context>) -> Result<HttpResponseOk<Stated>, HttpError> {
    let context = request.context();
    let view = Arc::clone(&context.view.borrow());
    let name = |id| {
        view.services
            .get(id)
            .map(|s: &Arc<api::ServiceView>| s.service.name.to_string())
    };
    let epochs = view
        .tables
        .iter()
        .filter_map(|(id, t)| Some((name(id)?, t.current.epoch.0)))
        .collect();
    let stats = serde_json::to_value(context.stats.snapshot())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseOk(Stated {
        config: view.config.0,
        epochs,
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
) -> Result<HttpServer<Context>, BalancerError> {
    let failed = |message: String| BalancerError::Http {
        address,
        message: message.into(),
    };
    let mut description = ApiDescription::new();
    description
        .register(stats)
        .map_err(|e| failed(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description, context, log.clone())
        .config(config)
        .start()
        .map_err(|e| failed(e.to_string()))
}
