//! Selection of the next replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rpc::RpcError;
use tokio::time::Instant;
use watcher::{ReplicaSelector, Replicas};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn addresses<const N: usize>(numbers: [u8; N]) -> Vec<SocketAddr> {
    numbers.into_iter().map(address).collect()
}

fn timed_out(n: u8) -> RpcError {
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

/// Guards against a second poll to a frozen replica: a new leader lists the members in another order
/// while the poll to the old leader is still open, and the next position in the new list may be the
/// old leader again.
#[test]
fn reordered_members_do_not_reselect_a_timed_out_replica() {
    for order in [[2, 1, 3], [3, 1, 2], [2, 3, 1], [1, 3, 2], [3, 2, 1]] {
        let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
        let mut selector = ReplicaSelector::new(Arc::clone(&replicas), 0);
        let mut now = Instant::now();
        assert_eq!(selector.select(), Some(address(1)));
        replicas.set_members(&addresses(order));
        assert_eq!(
            selector.select(),
            Some(address(1)),
            "replica is kept until it fails"
        );
        selector.record_failure(&timed_out(1), now);
        for _ in 0..3 {
            let next = selector.select().unwrap();
            assert_ne!(next, address(1), "order {order:?}");
            selector.record_failure(&status(2, 503, "no leader"), now);
            now += Duration::from_millis(100);
        }
    }
}

/// Guards against time lost on a leader that no longer replies but that followers still name.
#[test]
fn redirect_to_a_timed_out_leader_is_ignored() {
    let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
    let mut selector = ReplicaSelector::new(replicas, 0);
    let now = Instant::now();
    selector.prefer(address(1));
    selector.record_failure(&timed_out(1), now);
    assert_eq!(selector.select(), Some(address(2)));
    selector.record_failure(
        &status(2, 421, r#"{"message":"","leader":"10.0.0.1:7000"}"#),
        now,
    );
    assert_eq!(selector.select(), Some(address(3)));
    let later = now + Duration::from_secs(4);
    selector.record_failure(
        &status(3, 421, r#"{"message":"","leader":"10.0.0.1:7000"}"#),
        later,
    );
    assert_eq!(
        selector.select(),
        Some(address(1)),
        "the penalty has expired"
    );
}

/// Guards against a node that sends no request because every replica failed.
#[test]
fn replica_is_selected_although_all_failed() {
    let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
    let mut selector = ReplicaSelector::new(replicas, 7);
    let mut now = Instant::now();
    let mut selected = Vec::new();
    for _ in 0..6 {
        let peer = selector.select().unwrap();
        selected.push(peer);
        selector.record_failure(&status(0, 503, "starting"), now);
        now += Duration::from_millis(50);
    }
    assert_eq!(selected, addresses([2, 3, 1, 2, 3, 1]));
    assert_eq!(ReplicaSelector::new(Arc::default(), 3).select(), None);
}

/// Guards against a node that asks the same replica for ever, which is cut off from the others: its
/// backoff had grown beyond the penalty of a failure, so no replica had one at the next attempt.
#[test]
fn other_replicas_come_before_one_that_failed_however_long_ago() {
    for interval_ms in [50, 300, 1_000, 10_000] {
        let replicas = Arc::new(Replicas::new(addresses([1, 2, 3])));
        let mut selector = ReplicaSelector::new(replicas, 0);
        let mut now = Instant::now();
        let mut selected = Vec::new();
        for _ in 0..6 {
            let peer = selector.select().unwrap();
            selected.push(peer);
            selector.record_failure(&status(0, 503, "no contact to the leader"), now);
            now += Duration::from_millis(interval_ms);
        }
        assert_eq!(selected, addresses([1, 2, 3, 1, 2, 3]), "{interval_ms} ms");
    }
}
