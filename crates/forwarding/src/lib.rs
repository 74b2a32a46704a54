//! Decisions of an agent about opaque flows.
//!
//! The backend server ends the flows itself; the agent passes packets on
//! unchanged and follows each flow by its segments. [`Forwarder::handle`]
//! decides for each packet from a balancer whether the backend server gets it,
//! another agent does, or it ends here, and learns from each packet of the
//! backend server. There are no sockets, tasks or random numbers: equal inputs
//! give equal outputs.
//!
//! The backend server has the last word on which flows it holds: it returns
//! packets of others. An agent that started after its backend server therefore
//! offers it packets of flows it doesn't know, each flow once. A reset is sent
//! only for a flow that was held here, or that an agent knew to be held here,
//! and that the backend server doesn't hold any more.
//!
//! A SYN visits candidates until one accepts: the first whose backend server
//! has a free slot and no more open flows than its siblings. If none has, the
//! lightest one visited gets it, and keeps it while its backend server has as
//! many requests as it can serve soon. A backend server that ends requests
//! without an answer counts as the heaviest.

mod balance;
mod event;
mod failures;
mod forwarder;
mod held;
mod homes;
mod occupancy;
mod outbound;
mod packet;
mod pending;
mod placing;
mod search;
mod settings;
mod sweep;
mod waitlist;

pub use event::{Action, Backend, DropReason, Event, Reason, Timing};
pub use forwarder::Forwarder;
pub use settings::ForwardSettings;
