//! HTTP requests of one service at an agent.
//!
//! A [`Handler`] serves HTTP/1.1 on any byte stream and forwards each request
//! to the local backend server or a sibling agent. Every response that the
//! handler makes itself carries `Jacinthsill-Outcome`.

mod backend;
mod body;
mod handler;
mod outcome;
mod relay;

pub use handler::{Handler, HandlerSettings, ServeEnd};
pub use outcome::{DEADLINE_HEADER, KEY_HEADER, OUTCOME_HEADER, Outcome, REQUEST_HEADER};
pub use relay::{MAX_RELAY_ANSWER, MAX_RELAY_BODY, MAX_RELAY_MESSAGE, RelayAnswer, RelayMessage};
