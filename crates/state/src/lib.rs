//! Control's state machine, applied from the replicated log.
//!
//! Applying is deterministic: the command carries the leader's time, and no
//! clock, file or random number is read. Every declaration is checked again
//! against the current state, because the check at the operator and the one at
//! the leader may have seen an older one. Versions only rise.

mod answers;
mod audit;
mod command;
mod declare;
mod error;
mod key_log;
mod plan;
mod report;
mod routes;
mod state;
mod table_log;
mod watch;

pub use answers::{KEY_AHEAD_MS, MAX_ANSWERS};
pub use audit::{MAX_CHANGES, MAX_EVENTS};
pub use command::{Action, Command, MAX_MESSAGE, Outcome, Refusal, TableChange};
pub use declare::{MAX_AUTHOR, MAX_PROFILES, MAX_RETIRED, MAX_SERVICES, ServiceEntry};
pub use error::StateError;
pub use key_log::MAX_SETS;
pub use plan::{MAX_PLAN_MS, MAX_PLANS, Plan};
pub use routes::{MAX_FORMER, MAX_ROUTES};
pub use state::State;
pub use table_log::{MAX_HISTORY, MAX_MEMBERS};
