//! Inputs and outputs of the decisions.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use api::Table;
use derive_more::Display;
use tokio::time::Instant;
use units::{DataCentre, Flow, ServiceId};
use wire::{Header, Notice, Segment};

/// The backend server beside this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backend {
    /// Number of its start; another one holds no flow of before.
    pub incarnation: u64,
    /// Earliest time of that start.
    pub started: Instant,
    /// Whether it started before this agent, so that it may hold flows unknown here.
    pub predates_agent: bool,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Whether it takes new flows.
    pub accepting: bool,
}

/// What happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// The service of this agent.
    Service {
        /// Service.
        id: ServiceId,
        /// Data centre of this agent.
        centre: DataCentre,
        /// Most open flows.
        limit: usize,
        /// Time without packets after which a flow is forgotten.
        idle: Duration,
    },
    /// A newer table.
    Table(&'a Arc<Table>),
    /// The backend server reported, or is gone.
    Backend(Option<Backend>),
    /// A packet of a caller with a valid tag.
    Packet {
        /// Outer header.
        header: &'a Header,
        /// Its segment.
        segment: &'a Segment,
        /// Its bytes.
        inner: &'a [u8],
    },
    /// A packet of the backend server to a caller.
    Outbound(&'a Segment),
    /// A caller's packet that the backend server returned.
    Returned(&'a Segment),
    /// A notice with a valid tag.
    Notice(&'a Notice),
    /// This agent is about to stop.
    Leave,
    /// Time passed; due at [`crate::Forwarder::deadline`].
    Tick,
}

/// What to do. One of the first seven concerns the packet of the event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give the packet to the backend server.
    Deliver(Reason),
    /// Keep the SYN until the backend server has a place for it.
    Queue,
    /// Send the packet with this header to the candidate at its hop.
    Forward(Header, Reason),
    /// Send the packet of the backend server to the caller.
    Reply,
    /// Answer the caller with a reset in the name of the service.
    Reset {
        /// Flow.
        flow: Flow,
        /// Sequence number that the caller accepts.
        seq: u32,
        /// Why.
        reason: Reason,
    },
    /// Drop the packet.
    Drop(DropReason),
    /// Send a SYN that was kept.
    Resend {
        /// Header.
        header: Header,
        /// Packet.
        inner: Box<[u8]>,
        /// Flow.
        flow: Flow,
    },
    /// Give a SYN that waited to the backend server.
    Admit {
        /// Flow.
        flow: Flow,
        /// Packet.
        inner: Box<[u8]>,
        /// Time for which it waited.
        waited: Duration,
    },
    /// Tell a balancer or an agent that these flows are owned here, and the load.
    Notify {
        /// Receiver.
        to: SocketAddrV4,
        /// Flows, at most `wire::MAX_NOTICE_FLOWS`.
        flows: Vec<Flow>,
    },
}

/// What was timed; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Timing {
    /// From the delivery of a SYN to the backend server's SYN-ACK.
    SynAnswer,
    /// From the last packet of a request to the first of its answer.
    Request,
}

/// Why a packet goes where it goes; the name is the log's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The flow is held here.
    Held,
    /// A SYN found a free slot.
    FreeSlot,
    /// This was the lightest candidate that a SYN visited.
    Lightest,
    /// The flow is not known here; the backend server may hold it.
    Offer,
    /// Another agent owns the flow.
    Redirect,
    /// Every slot is taken.
    Busy,
    /// The backend server ends many requests without an answer.
    Failing,
    /// A failing backend server is tried.
    Probe,
    /// A sibling has fewer open flows.
    Unbalanced,
    /// The backend server takes no new flows, or there is none.
    NotAccepting,
    /// The backend server returned the packet.
    Returned,
    /// The flow is not known here.
    Unknown,
    /// No candidate can take the SYN.
    NoCandidate,
    /// The backend server lost the flow.
    Lost,
    /// No member holds the flow.
    NotHeld,
    /// The backend server started anew.
    Restarted,
    /// The backend server had no place for the SYN in time.
    Overloaded,
}

/// Reason for dropping a packet; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// This agent does not know its service yet.
    NoService,
    /// The packet is for another service.
    OtherService,
    /// No agent knows the flow.
    Unknown,
    /// No agent can take the SYN, shortly after this one started.
    Unsettled,
    /// The backend server sent a packet that only callers send.
    WrongWay,
    /// A returned packet whose way is not remembered.
    Stray,
}
