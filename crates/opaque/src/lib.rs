//! Balancers and agents for opaque flows, without the edge to an environment.
//!
//! The decisions are in `dispatch` and `forwarding`; here are their sockets,
//! timers and logs. An adapter supplies the packet format as a [`wire::Codec`]
//! and what it hears of the backend server, and serves what its environment
//! asks for.

pub mod agent;
pub mod balancer;
mod error;
mod identity;
mod socket;
mod tally;

pub use error::OpaqueError;
pub use identity::{Identity, new_incarnation};
