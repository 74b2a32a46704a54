//! Which replica a node asks next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rpc::RpcError;
use tokio::time::Instant;
use watcher::{Peers, Replicas};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn addresses<const N: usize>(numbers: [u8; N]) -> Vec<SocketAddr> {
    numbers.into_iter().map(address).collect()
}

fn silent(n: u8) -> RpcError {
    RpcError::Timeout {
        path: "watch".into(),
        peer: address(n),
        limit_ms: 1_400,
    }
}

fn status(n: u8, status: u16, message: &str) -> RpcError {
    RpcError::Status {
        path: "watch".into(),
        peer: address(n),
        status,
        message: message.into(),
    }
}

/// Guards against a second poll at a frozen replica: a new leader names the members in another order
/// while the poll at the old one still waits, and counting on in the list leads back to it.
#[test]
fn a_new_order_does_not_lead_back_to_a_silent_replica() {
    for order in [[2, 1, 3], [3, 1, 2], [2, 3, 1], [1, 3, 2], [3, 2, 1]] {
        let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
        let mut peers = Peers::new(Arc::clone(&replicas), 0);
        let mut now = Instant::now();
        assert_eq!(peers.get(now), Some(address(1)));
        replicas.set_members(&addresses(order));
        assert_eq!(peers.get(now), Some(address(1)), "goes on while it answers");
        peers.failed(&silent(1), now);
        for _ in 0..3 {
            let next = peers.get(now).unwrap();
            assert_ne!(next, address(1), "order {order:?}");
            peers.failed(&status(2, 503, "no leader"), now);
            now += Duration::from_millis(100);
        }
    }
}

/// Guards against time lost at a leader that has stopped answering and that followers still name.
#[test]
fn a_reference_to_a_silent_leader_is_not_followed() {
    let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
    let mut peers = Peers::new(replicas, 0);
    let now = Instant::now();
    peers.prefer(address(1));
    peers.failed(&silent(1), now);
    assert_eq!(peers.get(now), Some(address(2)));
    peers.failed(
        &status(2, 421, r#"{"message":"","leader":"10.0.0.1:7000"}"#),
        now,
    );
    assert_eq!(peers.get(now), Some(address(3)));
    let later = now + Duration::from_secs(4);
    peers.failed(
        &status(3, 421, r#"{"message":"","leader":"10.0.0.1:7000"}"#),
        later,
    );
    assert_eq!(peers.get(later), Some(address(1)), "it may be back");
}

/// Guards against a node that asks nobody because everybody failed.
#[test]
fn somebody_is_asked_though_all_failed() {
    let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
    let mut peers = Peers::new(replicas, 7);
    let mut now = Instant::now();
    let mut asked = Vec::new();
    for _ in 0..6 {
        let peer = peers.get(now).unwrap();
        asked.push(peer);
        peers.failed(&status(0, 503, "starting"), now);
        now += Duration::from_millis(50);
    }
    assert_eq!(asked, addresses([2, 3, 1, 2, 3, 1]));
    assert_eq!(Peers::new(Arc::default(), 3).get(now), None);
}
