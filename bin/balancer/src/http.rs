//! HTTP interface for operators: counters and active versions.

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

/// State shared by the endpoint handlers.
#[derive(Debug)]
pub struct Context {
    /// Counters.
    pub stats: Arc<Stats>,
    /// Latest view from control.
    pub view: watch::Receiver<Arc<View>>,
}

/// Response of `/v1/stats`.
#[derive(Debug, Serialize, JsonSchema)]
struct StatsResponse {
    /// Active version of the configuration.
    config: u64,
    /// Table epochs by service name.
    epochs: std::collections::BTreeMap<String, u64>,
    /// Counters.
    stats: serde_json::Value,
}

/// Returns the counters and the active versions.
#[endpoint { method = GET, path = "/v1/stats" }]
async fn stats(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<StatsResponse>, HttpError> {
    let context = request.context();
    let view = Arc::clone(&context.view.borrow());
    let service_name = |id| {
        view.services
            .get(id)
            .map(|s: &Arc<api::ServiceView>| s.service.name.to_string())
    };
    let epochs = view
        .tables
        .iter()
        .filter_map(|(id, tables)| Some((service_name(id)?, tables.current.epoch.0)))
        .collect();
    let stats = serde_json::to_value(context.stats.snapshot())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseOk(StatsResponse {
        config: view.config.0,
        epochs,
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
) -> Result<HttpServer<Context>, BalancerError> {
    let http_error = |message: String| BalancerError::Http {
        address,
        message: message.into(),
    };
    let mut description = ApiDescription::new();
    description
        .register(stats)
        .map_err(|e| http_error(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description, context, log.clone())
        .config(config)
        .start()
        .map_err(|e| http_error(e.to_string()))
}
