//! Defines the input events of a forwarder and the resulting actions.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use api::Table;
use derive_more::Display;
use tokio::time::Instant;
use units::{DataCentre, Flow, ServiceId};
use wire::{Header, Notice, Segment};

/// The backend server of this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backend {
    /// Number of its process; a new process has none of the flows of the previous one.
    pub incarnation: u64,
    /// Earliest time at which that process may have started.
    pub started: Instant,
    /// Whether it started before this agent, and may thus have flows that this agent doesn't know.
    pub predates_agent: bool,
    /// Requests that it processes concurrently.
    pub slots: u16,
    /// Whether it accepts new flows.
    pub accepting: bool,
}

/// Input of [`crate::Forwarder::handle`].
#[derive(Debug)]
pub enum Event<'a> {
    /// Settings of the service of this agent.
    Service {
        /// Service that the backend server belongs to.
        id: ServiceId,
        /// Data centre of this agent.
        centre: DataCentre,
        /// Maximum number of open flows.
        limit: usize,
        /// Time without packets after which a flow expires.
        idle: Duration,
    },
    /// An updated member table.
    Table(&'a Arc<Table>),
    /// The state of the backend server changed; `None` if it is unavailable.
    Backend(Option<Backend>),
    /// A caller's packet whose authentication tag is valid.
    Packet {
        /// Header of the encapsulation.
        header: &'a Header,
        /// TCP segment of the inner packet.
        segment: &'a Segment,
        /// Bytes of the inner packet.
        inner: &'a [u8],
    },
    /// A packet from the backend server to a caller.
    Outbound(&'a Segment),
    /// A caller's packet that the backend server returned.
    Returned(&'a Segment),
    /// A notice whose authentication tag is valid.
    Notice(&'a Notice),
    /// This agent is shutting down.
    Leave,
    /// A timer expired; due at [`crate::Forwarder::deadline`].
    Tick,
}

/// A SYN that no agent accepts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnplacedSyn {
    /// Flow that it would have opened.
    pub flow: Flow,
    /// Header with which it arrived; the candidates up to its hop were visited.
    pub header: Header,
    /// Inner packet.
    pub inner: Box<[u8]>,
    /// Number of copies that the caller sent before it.
    pub copy_number: u32,
    /// Time spent in the admission queue.
    pub waited: Duration,
}

/// Output of [`crate::Forwarder::handle`].
///
/// `Deliver`, `Queue`, `Forward`, `Reply`, `Reset`, `NotHeld` and `Drop` concern the packet of the
/// event; a `Reset` may also be for another flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Deliver the packet to the backend server.
    Deliver(Reason),
    /// Keep the SYN in the admission queue until the backend server has capacity for it.
    Queue,
    /// Send the packet with this header to the candidate at the header's hop.
    Forward(Header, Reason),
    /// Send the backend server's packet to the caller.
    Reply,
    /// Send the caller a TCP reset from the address of the service.
    Reset {
        /// Flow to reset.
        flow: Flow,
        /// Sequence number, chosen so that the caller accepts the reset.
        seq: u32,
        /// Why the flow is reset.
        reason: Reason,
    },
    /// Send the packet back to the balancer: this service doesn't have its flow.
    NotHeld {
        /// Address for notices to the balancer.
        to: SocketAddrV4,
        /// Header with which the packet arrived, or with which its search ended; its epoch is that of
        /// this agent's table.
        header: Header,
    },
    /// Return a SYN to the balancer: it was not delivered, and won't be. Only the balancer can know
    /// whether that holds for its copies as well.
    Unplaced {
        /// Address for notices to the balancer.
        to: SocketAddrV4,
        /// The SYN, which may be another one than that of the event.
        syn: UnplacedSyn,
        /// Why no agent accepts it.
        reason: Reason,
    },
    /// Drop the packet.
    Drop(DropReason),
    /// Send a stored packet to another agent.
    Resend {
        /// Header of the encapsulation, addressed to the other agent.
        header: Header,
        /// Inner packet.
        inner: Box<[u8]>,
        /// Flow of the packet.
        flow: Flow,
    },
    /// Deliver a SYN from the admission queue to the backend server.
    Admit {
        /// Flow that the SYN opens.
        flow: Flow,
        /// Inner packet.
        inner: Box<[u8]>,
        /// Time spent in the queue.
        waited: Duration,
    },
    /// Send a balancer or another agent a notice with the load of this agent and flows that it
    /// owns.
    Notify {
        /// Receiver.
        to: SocketAddrV4,
        /// At most `wire::MAX_NOTICE_FLOWS` flows.
        flows: Vec<Flow>,
    },
}

/// Measured latency; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Timing {
    /// From the delivery of a SYN to the backend server's SYN-ACK.
    SynAnswer,
    /// From the last packet of a request to the first packet of its response.
    Request,
}

/// Reason of a decision; the name appears in log lines and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The flow is open at this agent's backend server.
    Held,
    /// The backend server has a free slot for a SYN.
    FreeSlot,
    /// This agent has the lowest load of the candidates that a SYN visited.
    Lightest,
    /// The flow is not known here, but the backend server may have it.
    Offer,
    /// Another agent owns the flow.
    Redirect,
    /// Every slot is in use.
    Busy,
    /// The backend server resets many requests instead of answering them.
    Failing,
    /// A failing backend server gets a flow to check whether it has recovered.
    Probe,
    /// A sibling has fewer open flows.
    Unbalanced,
    /// The backend server accepts no new flows, or is unavailable.
    NotAccepting,
    /// The backend server returned the packet.
    Returned,
    /// The flow is not known here.
    Unknown,
    /// No candidate can accept the SYN.
    NoCandidate,
    /// The backend server doesn't have the flow any more.
    Lost,
    /// The backend server restarted.
    Restarted,
    /// The SYN timed out in the admission queue, or the queue was full.
    Overloaded,
    /// A copy of the SYN is in the admission queue.
    Queued,
}

/// Reason for dropping a packet; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// This agent has not received the settings of its service yet.
    NoService,
    /// The packet is for another service.
    OtherService,
    /// No agent is known to have the flow.
    Unknown,
    /// No agent has the flow or accepts the SYN, and the balancer, of an earlier version, doesn't take
    /// the packet back.
    Unreturnable,
    /// No agent can accept the SYN, and this agent started only recently.
    Unsettled,
    /// A caller sent a packet of a kind that only backend servers send.
    WrongWay,
    /// A returned packet that can't be forwarded, since its header isn't stored.
    Stray,
}
