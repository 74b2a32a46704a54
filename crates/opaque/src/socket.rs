//! UDP sockets for packets.

use std::net::SocketAddrV4;

use tokio::net::UdpSocket;

use crate::OpaqueError;

/// Size of the receive buffer; holds about 800 full-size packets.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Binds a UDP socket to `address`; an error names `purpose`.
pub(crate) fn open(address: SocketAddrV4, purpose: &'static str) -> Result<UdpSocket, OpaqueError> {
    let bound = startup::packet_socket(address, RECEIVE_BUFFER_BYTES, false);
    bound
        .and_then(UdpSocket::from_std)
        .map_err(|source| OpaqueError::Bind {
            address,
            purpose,
            source,
        })
}
