//! Packet formats of opaque flows.

use std::time::Duration;

use units::Flow;

use crate::{PacketError, Segment};

/// A packet sent by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outbound {
    /// A packet to a caller. The flow of the segment names that caller.
    Reply(Segment),
    /// A caller's packet that the backend server did not accept.
    Returned(Segment),
}

/// Packet format of an environment; the handling of flows does not depend on it.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Payload of a full segment; a sender fills every segment except the last.
    pub full_segment_bytes: usize,
    /// Maximum bytes in flight per sender, headers included.
    pub window_bytes: u64,
    /// Times after its first SYN at which a caller sends copies. Each tells its number in
    /// [`Segment::ack_number`].
    pub syn_copies: &'static [Duration],
    /// Parses a caller's packet.
    pub inbound: fn(&[u8]) -> Result<Segment, PacketError>,
    /// Parses a packet of a backend server.
    pub outbound: fn(&[u8]) -> Result<Outbound, PacketError>,
    /// Restores a returned packet, so that it can be sent to another backend server.
    pub restore: fn(&mut [u8]),
    /// Writes a reset from the service to the caller of a flow, with the given sequence number.
    pub reset: fn(Flow, u32, &mut Vec<u8>),
}
