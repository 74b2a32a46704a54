//! HTTP server for operators, nodes and the other replicas.

mod counted;
mod internal;
mod operator;
mod response;
mod status;

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ConfigDropshot, HandlerTaskMode, HttpServer,
    ServerBuilder,
};
use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::error::{ControlError, chain};
use crate::node::Node;

/// Running HTTP server.
pub type Server = HttpServer<Arc<Node>>;

/// Endpoints of the server.
pub type Api = ApiDescription<Arc<Node>>;

/// Starts the server; `extend` registers further endpoints.
///
/// # Errors
/// When the address can't be bound.
pub fn start(
    node: Arc<Node>,
    log: &Logger,
    extend: impl FnOnce(&mut Api) -> Result<(), ApiDescriptionRegisterError>,
) -> Result<Server, ControlError> {
    let address = node.settings.listen;
    let failed = |message: String| ControlError::Listen {
        address,
        message: message.into(),
    };
    let mut description = register_endpoints().map_err(|e| failed(e.to_string()))?;
    extend(&mut description).map_err(|e| failed(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: replica::MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The server logs every request; thousands of heartbeats would hide other lines.
    let drain = LevelFilter::new(log.clone(), Level::Warning);
    let server_log = Logger::root(drain.fuse(), o!());
    ServerBuilder::new(description, node, server_log)
        .config(config)
        .start()
        .map_err(|e| failed(chain(&e)))
}

fn register_endpoints() -> Result<Api, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(internal::heartbeat)?;
    api.register(internal::watch)?;
    api.register(internal::read)?;
    api.register(internal::burn)?;
    api.register(internal::replicate)?;
    api.register(operator::list)?;
    api.register(operator::get)?;
    api.register(operator::put)?;
    api.register(operator::retire)?;
    api.register(operator::announce)?;
    api.register(operator::status)?;
    api.register(operator::report)?;
    api.register(operator::audit)?;
    Ok(api)
}
