//! Harness of the end-to-end tests.
//!
//! A [`Cluster`] runs the built programs as processes on loopback ports; the
//! backend servers, the fabric, the callers and the fault proxies run within
//! the test. Processes are ended by their id when the cluster is dropped.
//!
//! Helpers fail by panicking: a harness that goes on after a failed step
//! would report the wrong cause.

pub mod cluster;
pub mod history;
pub mod operator;
pub mod process;
pub mod soak;
pub mod traffic;

pub use cluster::{AgentNode, Cluster, Shape};
pub use operator::Operator;
pub use process::Process;

use std::net::SocketAddrV4;
use std::time::Duration;

/// Address of the HTTP service within packets.
pub const WEB: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 80, 0, 1), 80);

/// Address of the TCP service within packets.
pub const ECHO: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 80, 0, 2), 80);

/// Address of another firm's TCP service within packets.
pub const RIVAL: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 81, 0, 2), 80);

/// Longest wait for anything that has no bound of its own.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
///
/// # Panics
/// When it does not hold within the limit.
pub async fn eventually(what: &str, limit: Duration, mut check: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + limit;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "{what}: not within {limit:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Two tests of a file at a time: more clusters at once take the time that deadlines allow.
///
/// # Panics
/// Never: the semaphore is not closed.
pub async fn turn() -> tokio::sync::SemaphorePermit<'static> {
    static TURNS: tokio::sync::Semaphore = tokio::sync::Semaphore::const_new(2);
    TURNS.acquire().await.expect("never closed")
}
