//! What happened to a datagram at an agent.

use derive_more::Display;
use forwarding::{DropReason, Reason};
use wire::PacketError;

/// What happened to a datagram; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(super) enum Outcome {
    /// Given to the backend server.
    #[display("delivered.{_0}")]
    Delivered(Reason),
    /// A SYN was kept until the backend server has a place.
    #[display("held")]
    Held,
    /// A SYN that waited was given to the backend server.
    #[display("admitted")]
    Admitted,
    /// Sent to another agent.
    #[display("passed_on.{_0}")]
    PassedOn(Reason),
    /// A kept SYN went to another agent.
    #[display("syn_unanswered")]
    Unanswered,
    /// Sent to the caller.
    #[display("replied")]
    Replied,
    /// The backend server reset the flow.
    #[display("ended")]
    Ended,
    /// The caller got a reset.
    #[display("reset.{_0}")]
    Reset(Reason),
    /// Dropped.
    #[display("dropped.{_0}")]
    Dropped(DropReason),
    /// A packet that can't be read.
    #[display("invalid.{_0}")]
    Invalid(PacketError),
    /// A datagram without a valid tag or header.
    #[display("invalid.datagram")]
    Foreign,
    /// A notice of another agent.
    #[display("notices")]
    Notice,
    /// The socket or the encoder refused a datagram.
    #[display("unsent")]
    Unsent,
    /// A round of the loop; datagrams over rounds is the size of a batch.
    #[display("rounds")]
    Round,
}
