//! Sockets for packets.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

/// Non-blocking UDP socket with a receive buffer of a size in bytes; `shared` lets several sockets
/// have the same address.
///
/// # Errors
/// When the address can't be bound.
pub fn packet_socket(address: SocketAddrV4, buffer: usize, shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_recv_buffer_size(buffer)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    Ok(socket.into())
}
