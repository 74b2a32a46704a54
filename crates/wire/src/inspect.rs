//! Validation of inner packets.

use std::net::SocketAddrV4;

use etherparse::{IpNumber, Ipv4HeaderSlice, TcpSlice};
use units::Flow;

use crate::{MAX_INNER_BYTES, PacketError};

/// Fields of a TCP segment that steering and ownership use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow, with the source as the caller and the destination as the service.
    pub flow: Flow,
    /// SYN flag.
    pub syn: bool,
    /// ACK flag.
    pub ack: bool,
    /// FIN flag.
    pub fin: bool,
    /// RST flag.
    pub rst: bool,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number, with `ack`; in a SYN the number of copies of it that were sent before.
    pub ack_number: u32,
    /// Payload bytes.
    pub payload: usize,
    /// Remaining TTL.
    pub ttl: u8,
}

impl Segment {
    /// Whether this is the SYN that opens a flow.
    #[must_use]
    pub fn opens(&self) -> bool {
        self.syn && !self.ack && !self.rst
    }

    /// Number of copies that the caller sent before this SYN; always 0 if the caller's TCP doesn't tell.
    #[must_use]
    pub fn copy_number(&self) -> u32 {
        self.ack_number
    }
}

/// Validates an IPv4 packet that contains one complete TCP segment.
///
/// # Errors
/// The reason for dropping it.
pub fn inspect(inner: &[u8]) -> Result<Segment, PacketError> {
    if inner.len() > MAX_INNER_BYTES {
        return Err(PacketError::TooLong);
    }
    if inner.first().is_some_and(|byte| byte >> 4 != 4) {
        return Err(PacketError::Version);
    }
    let ip = Ipv4HeaderSlice::from_slice(inner).map_err(|_| PacketError::Truncated)?;
    if usize::from(ip.total_len()) != inner.len() {
        return Err(PacketError::Truncated);
    }
    if ip.is_fragmenting_payload() {
        return Err(PacketError::Fragment);
    }
    if ip.protocol() != IpNumber::TCP {
        return Err(PacketError::Protocol);
    }
    if ip.ttl() <= 1 {
        return Err(PacketError::Ttl);
    }
    if ip.to_header().calc_header_checksum() != ip.header_checksum() {
        return Err(PacketError::HeaderChecksum);
    }
    let caller = ip.source_addr();
    if caller.is_unspecified()
        || caller.is_multicast()
        || caller.is_broadcast()
        || caller.is_loopback()
    {
        return Err(PacketError::Source);
    }
    let tcp =
        TcpSlice::from_slice(&inner[ip.slice().len()..]).map_err(|_| PacketError::Truncated)?;
    let sum = tcp
        .calc_checksum_ipv4(ip.source(), ip.destination())
        .map_err(|_| PacketError::TooLong)?;
    if sum != tcp.checksum() {
        return Err(PacketError::TcpChecksum);
    }
    let no_flags = !tcp.syn() && !tcp.ack() && !tcp.fin() && !tcp.rst();
    if no_flags || tcp.syn() && (tcp.fin() || tcp.rst()) || tcp.source_port() == 0 {
        return Err(PacketError::Flags);
    }
    Ok(Segment {
        flow: Flow {
            caller: SocketAddrV4::new(caller, tcp.source_port()),
            service: SocketAddrV4::new(ip.destination_addr(), tcp.destination_port()),
        },
        syn: tcp.syn(),
        ack: tcp.ack(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        seq: tcp.sequence_number(),
        ack_number: tcp.acknowledgment_number(),
        payload: tcp.payload().len(),
        ttl: ip.ttl(),
    })
}
