//! Flow ownership: rules for which agent handles a packet.
//!
//! The agent that completed the handshake owns a flow until it ends. Packets
//! may reach any agent of the service; [`Flows::handle`] decides for each one
//! whether it belongs to a local connection, opens one, is forwarded to another
//! agent, or is reset or dropped. The library has no sockets, tasks or random
//! numbers: equal inputs give equal outputs.
//!
//! A packet visits each candidate at most once in search of the owner. An agent
//! that knows the owner moves it to the front of the remaining candidates and
//! marks the packet with epoch 0. A wrong redirect therefore costs one hop
//! instead of the flow, and two wrong redirects can't form a loop. A SYN that
//! every candidate declined makes one more pass, in which overload is no reason
//! to decline. In that pass agents also add members of their own tables, which
//! may be newer than the balancer's, to the list; the SYN is reset only when
//! these members declined too.

mod event;
mod flows;
mod loads;
mod owned;
mod registration;
mod rules;
mod settings;
mod strays;

pub use event::{Action, DropReason, Event};
pub use flows::Flows;
pub use settings::FlowsSettings;
