//! Decoding errors.

use derive_more::Display;
use thiserror::Error;

/// Reason for rejecting a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WireError {
    /// Shorter than its header requires.
    #[error("truncated datagram")]
    Truncated,
    /// Longer than the limit.
    #[error("datagram of {0} bytes is too long")]
    TooLong(usize),
    /// Unknown magic number, version or message kind.
    #[error("unknown datagram format")]
    Format,
    /// Candidate list that is empty, too long or has duplicates, or a hop beyond its end.
    #[error("invalid candidate list")]
    Candidates,
    /// Authentication tag mismatch.
    #[error("authentication tag mismatch")]
    Tag,
}

/// Reason for dropping an inner packet; its display name is a metric name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
#[display(rename_all = "snake_case")]
pub enum PacketError {
    /// Too short, or with inconsistent lengths.
    Truncated,
    /// Longer than [`crate::MAX_INNER_BYTES`].
    TooLong,
    /// Not IPv4.
    Version,
    /// Not TCP.
    Protocol,
    /// A fragment.
    Fragment,
    /// Wrong IPv4 header checksum.
    HeaderChecksum,
    /// Wrong TCP checksum.
    TcpChecksum,
    /// Expired TTL.
    Ttl,
    /// Source address that no caller can have.
    Source,
    /// TCP flags that are not valid together, or source port 0.
    Flags,
}
