//! Free addresses for the processes that tests start.
//!
//! A test names the address in a settings file before the program binds it. On
//! 127.0.0.1 another test process, or any other program, can take the port in
//! between. So each test process draws loopback addresses of its own. They are drawn
//! at random since process ids repeat between test runs that share a network but
//! not their process ids.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};

/// Ports below those that the operating system gives to outgoing connections.
const RANGE: std::ops::Range<u16> = 12_000..30_000;

/// First three bytes of this process's addresses.
static NETWORK: LazyLock<[u8; 3]> = LazyLock::new(|| {
    let [a, b] = rand::random::<[u8; 2]>();
    // Everything else listens in 127.0.0.0/16.
    [127, a.clamp(1, 254), b]
});

/// Host part of the addresses of [`free`]; later ones are given out by [`address`].
const FIRST: u8 = 1;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
static NEXT_HOST: AtomicU8 = AtomicU8::new(FIRST);

fn host(number: u8) -> Ipv4Addr {
    let [a, b, c] = *NETWORK;
    Ipv4Addr::new(a, b, c, number)
}

/// A loopback address that no other call returned, for machines that use the same ports.
///
/// # Panics
/// When this process has used them up.
#[must_use]
pub fn address() -> Ipv4Addr {
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed).checked_add(1);
    host(number.expect("a process has 254 addresses"))
}

/// An address that is free for TCP and UDP and that no other call of this process returned lately.
///
/// # Panics
/// When no port is free.
#[must_use]
pub fn free() -> SocketAddrV4 {
    for _ in RANGE {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address =
            SocketAddrV4::new(host(FIRST), RANGE.start + step % (RANGE.end - RANGE.start));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port of {RANGE:?} on {} is free", host(FIRST));
}
