//! Control's state machine, driven by the replicated log.
//!
//! Applying a command is deterministic: the command carries the leader's time, and no clock, file or
//! random number is read. Each declaration is validated again against the current state, because the
//! checks at the operator and at the leader may have used an older one. Versions never decrease.

mod audit;
mod command;
mod declare;
mod error;
mod key_log;
mod outcomes;
mod plan;
mod report;
mod routes;
mod state;
mod table_log;
mod watch;

pub use audit::{MAX_AUDIT_CHANGES, MAX_MEMBER_EVENTS};
pub use command::{Action, Command, MAX_MESSAGE_BYTES, Outcome, Refusal, TableChange};
pub use declare::{MAX_AUTHOR_BYTES, MAX_PROFILES, MAX_RETIRED, MAX_SERVICES, ServiceEntry};
pub use error::StateError;
pub use key_log::MAX_KEY_SETS;
pub use outcomes::{MAX_KEY_SKEW_MS, MAX_OUTCOMES};
pub use plan::{MAX_PLAN_MS, MAX_PLANS, Plan};
pub use routes::{MAX_FORMER_SERVICES, MAX_ROUTES};
pub use state::State;
pub use table_log::{MAX_HISTORY, MAX_MEMBERS};
