//! Which agent handles a packet.
//!
//! The agent that completed the handshake owns a flow until it ends. Packets
//! may reach any agent of the service; [`Flows::handle`] decides for each one
//! whether it belongs to a connection held here, opens one, goes on to another
//! agent, or ends here. The library has no sockets, tasks or random numbers:
//! equal inputs give equal outputs.
//!
//! A packet visits each candidate at most once in search of a holder. An agent
//! that knows the owner moves it to the front of the rest of the list and
//! marks the packet with epoch 0, so that a wrong redirect costs one hop
//! instead of the flow, and two wrong ones can't form a loop. A SYN that every
//! candidate declined makes one more pass in which overload is no reason to
//! decline, and agents add members of their own tables to its list, which
//! may be newer than the balancer's; only then it is refused.

mod event;
mod flows;
mod held;
mod loads;
mod registry;
mod rules;
mod settings;
mod strays;

pub use event::{Action, DropReason, Event};
pub use flows::Flows;
pub use settings::FlowsSettings;
