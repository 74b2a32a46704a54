//! How the packets of opaque flows are read.

use units::Flow;

use crate::{PacketError, Segment};

/// A packet that came from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outbound {
    /// To a caller. The segment's flow has the caller as its caller.
    Reply(Segment),
    /// A caller's packet that the backend server does not take.
    Returned(Segment),
}

/// Packet format of an environment; the flows are the same everywhere.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Payload bytes of a full segment; a sender with more to send fills its segments.
    pub full: usize,
    /// Bytes that a sender has in flight at most, heads included.
    pub window: u64,
    /// Reads a caller's packet.
    pub inbound: fn(&[u8]) -> Result<Segment, PacketError>,
    /// Reads a packet of a backend server.
    pub outbound: fn(&[u8]) -> Result<Outbound, PacketError>,
    /// Makes a returned packet fit for another backend server.
    pub restore: fn(&mut [u8]),
    /// Writes a reset of the service to the caller of a flow, with a sequence number.
    pub reset: fn(Flow, u32, &mut Vec<u8>),
}
