//! Errors of decoding.

use derive_more::Display;
use thiserror::Error;

/// A datagram that is not one of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WireError {
    /// Too short for what its header says.
    #[error("truncated datagram")]
    Truncated,
    /// Longer than allowed.
    #[error("datagram of {0} bytes is too long")]
    TooLong(usize),
    /// Other magic number, version or kind.
    #[error("unknown datagram format")]
    Format,
    /// No candidates, too many, or the hop is beyond them.
    #[error("invalid candidate list")]
    Candidates,
    /// Wrong tag.
    #[error("wrong tag")]
    Tag,
}

/// Reason for dropping an inner packet; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
#[display(rename_all = "snake_case")]
pub enum PacketError {
    /// Too short, or lengths that contradict each other.
    Truncated,
    /// Longer than the largest inner packet.
    TooLong,
    /// Not IPv4.
    Version,
    /// Not TCP.
    Protocol,
    /// A fragment.
    Fragment,
    /// IPv4 header checksum.
    HeaderChecksum,
    /// TCP checksum.
    TcpChecksum,
    /// Hop limit used up.
    Ttl,
    /// Source that no caller can have.
    Source,
    /// Flags that no TCP sends.
    Flags,
}
