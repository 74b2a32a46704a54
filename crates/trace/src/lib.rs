//! Search for one id in the logs of several processes.
//!
//! A prefix in front of the JSON object of a log line is ignored. The result
//! contains the lines that mention the id, and the lines of the same processes
//! around that time that show their state. The clocks of VMs may differ by
//! seconds; because a balancer sends a packet before the agent receives it,
//! the offset is estimated from the flows that both log.

mod clocks;
mod line;
mod search;

pub use clocks::Offsets;
pub use line::Line;
pub use search::{Found, Search, Trace};
