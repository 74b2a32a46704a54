//! UDP sockets for packets.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

/// Opens a non-blocking UDP socket with a receive buffer of `buffer_bytes`; `shared` sets
/// `SO_REUSEPORT`, so that several sockets can bind the same address.
///
/// # Errors
/// When the socket can't be created, configured or bound.
pub fn packet_socket(
    address: SocketAddrV4,
    buffer_bytes: usize,
    shared: bool,
) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_recv_buffer_size(buffer_bytes)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    Ok(socket.into())
}
