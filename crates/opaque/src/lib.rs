//! Balancers and agents for opaque flows, independent of the platform they run on.
//!
//! `dispatch` and `forwarding` make the decisions; this crate contains the
//! sockets, timers, logs and metrics. An adapter for a platform supplies the
//! packet format as a [`wire::Codec`] and the reports of the backend server, and
//! serves the platform's endpoints, such as readiness probes.

pub mod agent;
pub mod balancer;
mod error;
mod identity;
mod socket;
mod telemetry;

pub use error::OpaqueError;
pub use identity::{Identity, new_incarnation};
