//! Routing decisions of a balancer for opaque flows.
//!
//! A route has one or more services, and a service has agents. A balancer sends
//! the packets of a flow to the owner named by a notice, or to the agents that
//! may know the owner. It keeps each SYN until a notice names the owner. After a
//! timeout it sends the SYN to the next candidate, so a failed agent delays a
//! new flow only by that timeout. It refuses a SYN only once every copy of it
//! has come back from the agents undelivered. A flow may belong to any service
//! of its route, and the agents of one service don't know the others: the
//! balancer resets the flow once each of them was searched without finding it,
//! and a linearizable read of its view has shown that there is no other.
//! Balancers share none of this state; if it is lost, packets take one more hop,
//! and attempts to open a flow are not refused.

mod absences;
mod attempts;
mod directory;
mod dispatch;
mod link;
mod pending_syns;
mod settings;
mod suspects;

pub use directory::Directory;
pub use dispatch::{Action, Dispatcher, DropReason};
pub use link::LinkSettings;
pub use settings::DispatchSettings;
