//! HTTP server for operators, nodes and the other replicas.

mod answer;
mod describe;
mod operator;
mod process;

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ConfigDropshot, HandlerTaskMode, HttpServer,
    ServerBuilder,
};
use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::error::{ControlError, chain};
use crate::node::Node;

/// Running server.
pub type Server = HttpServer<Arc<Node>>;

/// Calls of the server.
pub type Api = ApiDescription<Arc<Node>>;

/// Starts the server.
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
    let mut description = describe().map_err(|e| failed(e.to_string()))?;
    extend(&mut description).map_err(|e| failed(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: replica::MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    // The server logs each request; thousands of heartbeats would hide the rest.
    let drain = LevelFilter::new(log.clone(), Level::Warning);
    let quiet = Logger::root(drain.fuse(), o!());
    ServerBuilder::new(description, node, quiet)
        .config(config)
        .start()
        .map_err(|e| failed(chain(&e)))
}

fn describe() -> Result<Api, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(process::heartbeat)?;
    api.register(process::watch)?;
    api.register(process::burn)?;
    api.register(process::replicate)?;
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
