//! Inputs and outputs of the decisions.

use std::net::SocketAddrV4;
use std::sync::Arc;

use api::Table;
use derive_more::Display;
use tokio::time::Instant;
use units::{Flow, ServiceId};
use wire::{Candidate, Header, Notice, Segment};

/// What happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// The service of this agent, or a change of its address or limit.
    Service {
        /// Service.
        id: ServiceId,
        /// Address that callers use; any if it has none of its own.
        address: Option<SocketAddrV4>,
        /// Most open flows.
        limit: usize,
    },
    /// A newer table.
    Table {
        /// Table.
        table: &'a Arc<Table>,
        /// Its receipt.
        changed: Instant,
    },
    /// Whether this agent may take new flows.
    Accepting(bool),
    /// A packet with a valid tag and a valid inner packet.
    Packet {
        /// Outer header.
        header: &'a Header,
        /// Inner segment.
        segment: &'a Segment,
    },
    /// The SYN-ACK of an accepted flow was sent.
    Opened {
        /// Flow.
        flow: Flow,
        /// Sequence number of the SYN-ACK.
        initial_seq: u32,
    },
    /// The connection of a held flow is gone.
    Ended(Flow),
    /// A notice with a valid tag.
    Notice(&'a Notice),
    /// Answer to a load poll.
    Load {
        /// Sibling.
        member: Candidate,
        /// Its open flows.
        open: u32,
    },
    /// Time passed; at least once a second.
    Tick,
}

/// What to do.
#[expect(
    clippy::large_enum_variant,
    reason = "actions live for one packet; boxing the header would allocate for each"
)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hand the packet to the connection of its flow.
    Process,
    /// Open a connection with this SYN.
    Accept,
    /// Send the packet with this header to the candidate at its hop.
    Forward(Header),
    /// Answer with RST in the name of the service.
    Reset,
    /// Drop the packet.
    Drop(DropReason),
    /// Tell an agent that these flows are owned here.
    Notify {
        /// Receiver.
        to: Candidate,
        /// Flows, at most `wire::MAX_NOTICE_FLOWS`.
        flows: Vec<Flow>,
    },
}

/// Reason for dropping a packet or notice; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// This agent does not know its service yet.
    NoService,
    /// The packet is for another service.
    OtherService,
    /// The packet is for another start of this agent or a former holder of its address.
    OtherIncarnation,
    /// The destination is not the address of the service.
    OtherAddress,
    /// Unknown flow shortly after a start or a table change.
    Unsettled,
    /// First packet of an unknown flow; a notice about it may be on its way.
    Stray,
    /// RST of an unknown flow.
    StrayReset,
}
