//! What happened to a datagram at a balancer.

use derive_more::Display;
use dispatch::DropReason;
use wire::PacketError;

/// What happened to a datagram; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(super) enum Outcome {
    /// A SYN went to a candidate.
    #[display("syn")]
    Syn,
    /// A packet went to the owner of its flow.
    #[display("owned")]
    Owned,
    /// A packet went to the agents that may know its flow.
    #[display("searched")]
    Searched,
    /// A SYN went to the next candidate, as no owner was heard of.
    #[display("syn_unanswered")]
    Unanswered,
    /// The caller got a reset.
    #[display("refused.{_0}")]
    Refused(DropReason),
    /// Dropped.
    #[display("dropped.{_0}")]
    Dropped(DropReason),
    /// A packet that can't be read.
    #[display("invalid.{_0}")]
    Invalid(PacketError),
    /// A datagram that is no valid notice.
    #[display("invalid.datagram")]
    Foreign,
    /// A notice of an agent.
    #[display("notices")]
    Notice,
    /// The socket or the encoder refused a datagram.
    #[display("unsent")]
    Unsent,
    /// A round of the loop; datagrams over rounds is the size of a batch.
    #[display("rounds")]
    Round,
}
