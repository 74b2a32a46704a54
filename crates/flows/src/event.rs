//! Inputs and outputs of [`crate::Flows`].

use std::net::SocketAddrV4;
use std::sync::Arc;

use api::Table;
use derive_more::Display;
use tokio::time::Instant;
use units::{Flow, ServiceId};
use wire::{Candidate, Header, Notice, Segment};

/// Input of [`crate::Flows::handle`].
#[derive(Debug)]
pub enum Event<'a> {
    /// The service of this agent was set, or its address or limit changed.
    Service {
        /// Service.
        id: ServiceId,
        /// Address that callers use; `None` allows any address.
        address: Option<SocketAddrV4>,
        /// Maximum number of open flows.
        limit: usize,
    },
    /// A table was received.
    Table {
        /// Table.
        table: &'a Arc<Table>,
        /// Time of receipt.
        received_at: Instant,
    },
    /// A linearizable read of the view began at this time; its table, if it is newer, was received.
    ViewRead(Instant),
    /// Whether this agent may take new flows.
    Accepting(bool),
    /// A packet with a valid tag and a valid inner packet arrived.
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
    /// The connection of an owned flow ended.
    Ended(Flow),
    /// A notice with a valid tag arrived.
    Notice(&'a Notice),
    /// Reply to a load poll.
    Load {
        /// Sibling agent that replied.
        member: Candidate,
        /// Number of its open flows.
        open: u32,
    },
    /// Periodic event, sent at least once a second.
    Tick,
}

/// Output of [`crate::Flows::handle`].
#[expect(
    clippy::large_enum_variant,
    reason = "actions live for one packet; boxing the header would allocate for each"
)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Pass the packet to the connection of its flow.
    Process,
    /// Open a connection with this SYN.
    Accept,
    /// Send the packet with this header to the candidate that it addresses.
    Forward(Header),
    /// Reply with RST from the address of the service.
    Reset,
    /// Drop the packet.
    Drop(DropReason),
    /// Read the view from control: a flow is reset only if the table is not older than the flow.
    ReadView,
    /// Notify an agent that these flows are owned here.
    Notify {
        /// Receiver.
        to: Candidate,
        /// Flows, at most `wire::MAX_NOTICE_FLOWS`.
        flows: Vec<Flow>,
    },
}

/// Reason for dropping a packet; its display name is a metric name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// This agent does not know its service yet.
    NoService,
    /// The packet is for another service.
    OtherService,
    /// The packet is for another incarnation of this agent or a former user of its address.
    OtherIncarnation,
    /// The destination is not the address of the service.
    OtherAddress,
    /// The flow is unknown shortly after a start or a table change, or while the balancer has another
    /// table, or half-open with another sequence number.
    Unsettled,
    /// The flow is unknown, but a notice about it or a newer table may still arrive.
    Stray,
    /// RST for an unknown flow.
    StrayReset,
}
