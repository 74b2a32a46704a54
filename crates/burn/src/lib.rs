//! Service-level burn rates.
//!
//! Agents send request counts per minute. The ledger aggregates them at three
//! resolutions, so that the longest window of three days needs 73 buckets
//! instead of 4,320. The report computes the burn rate of each window and
//! lists the agents that reported and those that did not.

mod ledger;
mod report;

pub use ledger::{Ledger, MAX_AGENTS, MAX_BUCKETS};
pub use report::{ExpectedAgent, REPORT_TIMEOUT_MS, WINDOWS_MS, service_report};
