//! Outcomes of handling datagrams at an agent.

use derive_more::Display;
use forwarding::{DropReason, Reason};
use wire::PacketError;

/// Outcome of handling a datagram; the displayed name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(super) enum Outcome {
    /// Sent to the backend server.
    #[display("delivered.{_0}")]
    Delivered(Reason),
    /// A SYN was queued until the backend server has a free slot.
    #[display("held")]
    Held,
    /// A queued SYN was sent to the backend server.
    #[display("admitted")]
    Admitted,
    /// Sent to another agent.
    #[display("passed_on.{_0}")]
    PassedOn(Reason),
    /// A SYN that the backend server left unanswered was sent to another agent.
    #[display("syn_unanswered")]
    SynUnanswered,
    /// Sent to the caller.
    #[display("replied")]
    Replied,
    /// The backend server reset the flow.
    #[display("ended")]
    ResetByBackend,
    /// A reset was sent to the caller.
    #[display("reset.{_0}")]
    Reset(Reason),
    /// A SYN that no agent accepts was returned to the balancer.
    #[display("unplaced.{_0}")]
    Unplaced(Reason),
    /// Returned to the balancer, as another service may have the flow.
    #[display("not_held")]
    NotHeld,
    /// The packet was dropped.
    #[display("dropped.{_0}")]
    Dropped(DropReason),
    /// The packet can't be parsed.
    #[display("invalid.{_0}")]
    Invalid(PacketError),
    /// The datagram has no valid tag or header.
    #[display("invalid.datagram")]
    InvalidDatagram,
    /// A notice from another agent.
    #[display("notices")]
    Notice,
    /// A datagram couldn't be encoded or sent.
    #[display("unsent")]
    Unsent,
    /// An iteration of the packet loop; datagrams divided by iterations is the mean batch size.
    #[display("rounds")]
    Iteration,
}
