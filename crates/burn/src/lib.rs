//! Service-level burn rates.
//!
//! Agents send counts per minute. The ledger adds them up at three
//! resolutions, so that the longest window of three days needs 73 buckets
//! instead of 4,320. The report computes the burn rate of each window and
//! names the agents that measured and those that were silent.

mod ledger;
mod report;

pub use ledger::{Ledger, MAX_AGENTS, MAX_BUCKETS};
pub use report::{Expected, SILENT_MS, WINDOWS_MS, service_report};
