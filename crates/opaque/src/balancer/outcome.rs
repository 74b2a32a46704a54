//! Outcomes of handling datagrams at a balancer.

use derive_more::Display;
use dispatch::DropReason;
use wire::PacketError;

/// Outcome of handling a datagram; the displayed name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(super) enum Outcome {
    /// A SYN was sent to its first candidate.
    #[display("syn")]
    Syn,
    /// A packet was sent to the owner of its flow.
    #[display("owned")]
    Owned,
    /// A packet was sent to the agents that may know the owner of its flow.
    #[display("searched")]
    Searched,
    /// A SYN was sent to its next candidate, because no notice named an owner in time.
    #[display("syn_unanswered")]
    SynUnanswered,
    /// A packet came back, as one of its route's services doesn't have the flow.
    #[display("not_held")]
    NotHeld,
    /// A SYN came back, as no agent accepts it or a copy of it waits there.
    #[display("unplaced")]
    Unplaced,
    /// A reset was sent to the caller, as no service of the route has the flow.
    #[display("reset.not_held")]
    Reset,
    /// A read of the view was requested, as no known service has the flow of a packet.
    #[display("read_requested")]
    ReadRequested,
    /// A packet that waited for a read of the view was searched for in further services.
    #[display("searched_again")]
    SearchedAgain,
    /// A packet that waited for a read of the view was dropped, as control did not serve it in time.
    #[display("unread")]
    Unread,
    /// A SYN was refused with a reset to the caller.
    #[display("refused.{_0}")]
    Refused(DropReason),
    /// The packet was dropped.
    #[display("dropped.{_0}")]
    Dropped(DropReason),
    /// The packet can't be parsed.
    #[display("invalid.{_0}")]
    Invalid(PacketError),
    /// The datagram isn't a valid notice.
    #[display("invalid.datagram")]
    InvalidDatagram,
    /// A notice from an agent.
    #[display("notices")]
    Notice,
    /// A datagram couldn't be encoded or sent.
    #[display("unsent")]
    Unsent,
    /// An iteration of the packet loop; datagrams divided by iterations is the mean batch size.
    #[display("rounds")]
    Iteration,
}
