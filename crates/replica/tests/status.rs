//! What a replica may confirm to others.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use replica::{PeerStatus, ReplicaStatus, Role};
use units::ReplicaId;

const LIMIT: Duration = Duration::from_secs(1);

/// Status of a replica that heard the leader some time ago.
fn status(role: Role, applied_index: u64, now: Instant, silence: Duration) -> ReplicaStatus {
    let leader = PeerStatus {
        id: ReplicaId(2),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        voter: true,
        match_index: 0,
        last_contact: now.checked_sub(silence),
    };
    ReplicaStatus {
        id: ReplicaId(1),
        role,
        leader: Some(leader.id),
        applied_index,
        peers: vec![leader],
        ..ReplicaStatus::default()
    }
}

/// Guards against a replica that lost its disk and confirms to a node that there is no route: it
/// hears the leader before it has the group's state.
#[test]
fn replica_without_entries_is_not_current() {
    let now = Instant::now();
    for (role, applied, silence_ms, expected) in [
        (Role::Learner, 0, 100, false),
        (Role::Follower, 0, 100, false),
        (Role::Learner, 7, 100, true),
        (Role::Follower, 7, 100, true),
        (Role::Follower, 7, 1_000, false),
        (Role::Leader, 0, 5_000, true),
    ] {
        let status = status(role, applied, now, Duration::from_millis(silence_ms));
        let current = status.is_current(now, LIMIT);
        assert_eq!(current, expected, "{role} with {applied} entries");
        let hears = status.hears_leader(now, LIMIT);
        assert_eq!(hears, silence_ms < 1_000 || role == Role::Leader);
    }
}
