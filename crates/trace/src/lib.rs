//! Finds what the logs of several processes say about one id.
//!
//! Lines are read from the programs' logs, whatever stands in front of the
//! JSON object. Lines that name the id are kept, and those that tell what the
//! same processes believed around that time. Clocks of VMs may differ by
//! seconds: a balancer sends a packet before the agent has it, so the flows
//! that both log show how far their clocks are apart.

mod clocks;
mod line;
mod search;

pub use clocks::Offsets;
pub use line::Line;
pub use search::{Found, Search, Trace};
