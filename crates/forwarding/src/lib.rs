//! Forwarding decisions of an agent for opaque TCP flows.
//!
//! The backend server terminates the TCP connections itself; the agent forwards
//! packets unchanged and tracks each flow by its segments. For each packet from
//! a balancer, [`Forwarder::handle`] decides whether to deliver it to the
//! backend server, forward it to another agent, drop it or answer it with a
//! reset, and it updates its state from each packet of the backend server. It
//! uses no sockets, tasks or random numbers: equal inputs give equal outputs.
//!
//! The backend server is authoritative for the flows that it has open: it
//! returns packets of other flows. An agent that started after its backend
//! server therefore offers it packets of unknown flows, each flow once. An
//! established flow is reset only if the backend server was known to have it and
//! lost it, or if every member was visited and none has it. If the route has
//! several services, the balancer resets it once this holds for all of them.
//!
//! A SYN visits candidates until one accepts it: the first whose backend server
//! has a free slot and not many more open flows than its siblings. If there is
//! none, the visited candidate with the lowest load gets the SYN, and queues it
//! while its backend server has as many requests as it can serve soon. A SYN that
//! no agent accepts goes back to the balancer, which knows of its copies. A
//! backend server that resets requests instead of answering them counts as
//! having the highest load.

mod admission;
mod event;
mod failures;
mod flow;
mod forwarder;
mod occupancy;
mod outbound;
mod packet;
mod pending;
mod placement;
mod registration;
mod search;
mod settings;
mod siblings;
mod timers;

pub use event::{Action, Backend, DropReason, Event, Reason, Timing, UnplacedSyn};
pub use forwarder::Forwarder;
pub use settings::ForwardSettings;
