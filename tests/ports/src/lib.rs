//! Free addresses for the processes that tests start.
//!
//! A test names the address in a settings file before the program binds it. On
//! 127.0.0.1 another test process, or any other program, can take the port in
//! between. So each test process draws a loopback address of its own. It is drawn
//! at random since process ids repeat between test runs that share a network but
//! not their process ids.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the operating system gives to outgoing connections.
const RANGE: std::ops::Range<u16> = 12_000..30_000;

static HOST: LazyLock<Ipv4Addr> = LazyLock::new(|| {
    let [a, b, c] = rand::random::<[u8; 3]>();
    // Neither 127.0.0.0/16, where everything else listens, nor a broadcast address.
    Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254))
});

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address that is free for TCP and UDP and that no other call of this process returned lately.
///
/// # Panics
/// When no port is free.
#[must_use]
pub fn free() -> SocketAddrV4 {
    for _ in RANGE {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddrV4::new(*HOST, RANGE.start + step % (RANGE.end - RANGE.start));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port of {RANGE:?} on {} is free", *HOST);
}
