//! Sockets for packets.

use std::net::SocketAddrV4;

use tokio::net::UdpSocket;

use crate::OpaqueError;

/// Receive buffer in bytes; 800 full packets wait in it.
const BUFFER: usize = 1 << 20;

/// Opens a socket.
pub(crate) fn open(address: SocketAddrV4, purpose: &'static str) -> Result<UdpSocket, OpaqueError> {
    let bound = startup::packet_socket(address, BUFFER, false);
    bound
        .and_then(UdpSocket::from_std)
        .map_err(|source| OpaqueError::Bind {
            address,
            purpose,
            source,
        })
}
