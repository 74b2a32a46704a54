//! Fault-injecting proxy for UDP and TCP.
//!
//! A proxy stands between a client and a target and treats traffic by a
//! [`Plan`] that can change at run time. Random decisions come from a seeded
//! generator: the same seed gives the same sequence of decisions for the same
//! sequence of datagrams. Every decision is counted.

mod link;
mod plan;
mod schedule;
mod stats;
mod tcp;
mod udp;

pub use link::{Link, Links};
pub use plan::{Fate, Plan, PlanError, Roll, Way};
pub use schedule::Schedule;
pub use stats::Stats;
pub use tcp::TcpProxy;
pub use udp::{MAX_CLIENTS, UdpProxy, bind_udp};
