//! HTTP requests of one service at an agent.
//!
//! A [`Handler`] serves HTTP/1.1 on any byte stream and forwards each request
//! to the local backend server or a sibling agent. Every response that the
//! handler makes itself carries `Jacinthsill-Outcome`.

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
mod outcome;
mod relay;
mod request;
mod shared;
mod watch;

pub use handler::{Handler, HandlerSettings, ServeEnd};
pub use outcome::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER,
};
pub use relay::{
    Binary, MAX_RELAY_BODY, MAX_RELAY_MESSAGE, MAX_RELAY_RESPONSE, RelayMessage, RelayReply,
};
