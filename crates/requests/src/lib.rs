//! HTTP request handling for one service at an agent.
//!
//! A [`Handler`] serves HTTP/1.1 on any byte stream and forwards each request
//! to the local backend server or to a sibling, that is, another agent of the
//! same service. Every error response that the handler generates itself has the
//! header `Jacinthsill-Outcome`.

mod backend;
mod body;
mod claims;
mod config;
mod counts;
mod exchange;
mod forward;
mod framing;
mod handler;
mod headers;
mod monitor;
mod outcome;
mod relay;
mod request;
mod shared;

pub use handler::{Handler, HandlerSettings, ServeEnd};
pub use outcome::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER,
};
pub use relay::{
    Binary, MAX_RELAY_BODY, MAX_RELAY_MESSAGE, MAX_RELAY_RESPONSE, RelayMessage, RelayReply,
};
