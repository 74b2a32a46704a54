//! Decisions of a balancer about opaque flows.
//!
//! A route leads to services, a service to agents. A balancer sends the packets
//! of a flow to the owner that a notice named, or to the agents that may know
//! it. It keeps each SYN until it hears of an owner, and sends it to the next
//! candidate if it doesn't, so that a lost agent costs a flow no more than that
//! time. Nothing here is needed by another balancer, and losing it costs a hop.

mod directory;
mod dispatch;
mod link;
mod openings;
mod settings;
mod suspects;

pub use directory::Directory;
pub use dispatch::{Action, Dispatcher, DropReason};
pub use link::LinkSettings;
pub use settings::DispatchSettings;
