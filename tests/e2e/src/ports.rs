//! Free loopback ports.

use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the operating system gives to outgoing connections.
const RANGE: std::ops::Range<u16> = 12_000..30_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A port that is free for TCP and UDP and that no other call of this process returned lately.
///
/// # Panics
/// When no port is free.
#[must_use]
pub fn free() -> SocketAddrV4 {
    let size = RANGE.end - RANGE.start;
    // Test files run one after the other; different starts avoid ports that still linger.
    let offset = u16::try_from(std::process::id() * 64 % u32::from(size)).unwrap_or(0);
    for _ in 0..size {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = RANGE.start + (offset + step % size) % size;
        let address = SocketAddrV4::new([127, 0, 0, 1].into(), port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port of {RANGE:?} is free");
}
