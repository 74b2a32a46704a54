//! Faults of a group of three over loopback HTTP.

mod group;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use group::Group;
use replica::{ProposeError, ReplicaSettings, Role};
use units::ReplicaId;

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        propose_timeout: Duration::from_secs(2),
        ..ReplicaSettings::default()
    }
}

/// Guards against acknowledged commands that a killed replica takes along, and
/// against a log that does not survive when all are killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_replicas_keep_what_was_acknowledged() {
    let mut group = Group::three(settings()).await;
    let mut known = Vec::new();
    for n in 0..3 {
        known.extend(group.commit_all(&format!("before-{n}"), 10).await);
        group.kill(n);
        known.extend(group.commit_all(&format!("without-{n}"), 10).await);
        group.start(n).await;
    }
    group.check(&known).await;
    for n in 0..3 {
        group.kill(n);
    }
    for n in 0..3 {
        group.start(n).await;
    }
    known.extend(group.commit_all("after", 5).await);
    group.check(&known).await;
    assert!((0..3).all(|n| group.status(n).id == ReplicaId(n as u64 + 1)));
}

/// Guards against a replica that knows nothing after a start until a leader is elected, and against
/// one that applies entries which may not be committed.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_alone_applies_what_was_committed() {
    let mut group = Group::three(settings()).await;
    let known = group.commit_all("before", 10).await;
    group.check(&known).await;
    let committed = group.nodes[0].entries.lock().expect("entries").clone();
    for n in 0..3 {
        group.kill(n);
    }
    for n in 0..3 {
        group.start(n).await;
        // Each entry was stored with the commit of those before it.
        let applied = |g: &Group| g.nodes[n].entries.lock().expect("entries").clone();
        group
            .until("applied entries", |g| applied(g).len() + 1 >= known.len())
            .await;
        let applied = applied(&group);
        assert!(applied.iter().all(|(i, e)| committed.get(i) == Some(e)));
        group.kill(n);
    }
}

/// Guards against a group that waits for a replica without a disk before it forms, counts on its vote,
/// or grows with each of its starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_forms_without_its_observer() {
    let mut group = Group::new(4, 4, settings());
    group.observer = Some(1);
    for n in [1, 0, 2, 3] {
        group.start(n).await;
    }
    let known = group.commit_all("first", 3).await;
    for _ in 0..2 {
        group
            .until("a learner that follows", |g| {
                g.status(1).leader.is_some() && g.status(1).applied_index > 3
            })
            .await;
        let status = group.status(group.leader().await);
        let voters = status.peers.iter().filter(|p| p.voter).count();
        assert_eq!((voters, status.peers.len()), (2, 3), "{status:?}");
        assert_eq!(group.status(1).role, Role::Learner);
        group.lose_disk(1);
        group.start(1).await;
    }
    group.check(&known).await;
}

/// Guards against a replica that votes under its old id after it lost its disk,
/// and against commits that depend on a replica that has not caught up, when
/// a second one is lost right after the repair.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_is_repaired_under_a_new_id() {
    let mut group = Group::three(settings()).await;
    let mut known = group.commit_all("first", 20).await;
    let leader = group.leader().await;
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);
    group.lose_disk(lost);
    known.extend(group.commit_all("meanwhile", 10).await);
    group.start(lost).await;
    group
        .until("a repaired voter", |g| {
            g.status(lost).role == Role::Follower
        })
        .await;
    assert_eq!(group.status(lost).id, ReplicaId(4));
    let voters = group.status(group.leader().await).peers;
    assert!(
        voters
            .iter()
            .all(|p| p.voter && p.id != ReplicaId(lost as u64 + 1)),
        "{voters:?}"
    );
    group.lose_disk(second);
    known.extend(group.commit_all("second lost", 10).await);
    group.check(&known).await;
    group.start(second).await;
    group
        .until("a repaired voter", |g| {
            g.status(second).role == Role::Follower
        })
        .await;
    assert_eq!(group.status(second).id, ReplicaId(5));
    group.kill(second);
    group.start(second).await;
    group
        .until("the repaired replica follows again", |g| {
            g.status(second).leader.is_some()
        })
        .await;
    assert_eq!(group.status(second).id, ReplicaId(5));
    group.kill(leader);
    known.extend(group.commit_all("leader lost", 10).await);
    group.check(&known).await;
}

/// Guards against a vote of a replica without its disk while no other can say
/// that the group exists.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_waits_for_the_others() {
    let mut group = Group::three(settings()).await;
    group.commit_all("first", 5).await;
    for n in 0..3 {
        group.kill(n);
    }
    group.lose_disk(0);
    group.lose_disk(1);
    group.start(0).await;
    group.start(1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for n in 0..2 {
        assert_eq!(
            (group.status(n).role, group.status(n).term),
            (Role::Learner, 0)
        );
    }
}

/// Guards against a leader that serves without a quorum, and against its
/// unacknowledged commands replacing acknowledged ones.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_is_cut_off_serves_nothing() {
    let group = Group::three(settings()).await;
    let mut known = group.commit_all("before", 5).await;
    let old = group.leader().await;
    group.cut(old);
    let replica = group.replica(old).expect("running");
    let (write, read) = tokio::join!(
        replica.propose(b"lost".to_vec()),
        replica.confirm_leadership()
    );
    assert!(matches!(
        write,
        Err(ProposeError::Unknown { .. } | ProposeError::NotLeader { .. })
    ));
    assert!(read.is_err(), "a read was confirmed without a quorum");
    group.until("a step down", |g| !g.leads(old)).await;
    let late = replica.propose(b"late".to_vec()).await;
    assert!(
        matches!(late, Err(ProposeError::NotLeader { .. })),
        "{late:?}"
    );
    known.extend(group.commit_all("other side", 20).await);
    group.heal();
    group
        .until("the old leader follows", |g| g.status(old).leader.is_some())
        .await;
    known.extend(group.commit_all("after", 5).await);
    group.check(&known).await;
    assert!(
        !group.nodes[old]
            .entries
            .lock()
            .expect("entries")
            .values()
            .any(|c| c == b"late")
    );
}

async fn miss_500_entries(settings: ReplicaSettings) -> u64 {
    let mut group = Group::three(settings).await;
    let away = (group.leader().await + 1) % 3;
    group.kill(away);
    let replica = group.replica(group.leader().await).expect("running");
    let calls: Vec<_> = (0..500)
        .map(|i| {
            let replica = replica.clone();
            tokio::spawn(async move { replica.propose(format!("entry-{i}").into()).await })
        })
        .collect();
    for call in calls {
        call.await.expect("task").expect("commit");
    }
    let known: Vec<_> = (0..500).map(|i| format!("entry-{i}")).collect();
    group.start(away).await;
    group.check(&known).await;
    for n in 0..3 {
        group.kill(n);
    }
    for n in 0..3 {
        group.start(n).await;
    }
    group.check(&known).await;
    let files = std::fs::read_dir(group.nodes[away].dir.path()).expect("list");
    let names = files.map(|e| e.expect("entry").file_name().to_string_lossy().into_owned());
    names.filter(|n| n.starts_with("snapshot-")).count() as u64
}

/// Guards against a replica that can't catch up from the log.
#[tokio::test(flavor = "multi_thread")]
async fn replica_catches_up_after_500_entries() {
    assert_eq!(
        miss_500_entries(settings()).await,
        0,
        "a snapshot was needed"
    );
}

/// Guards against a replica that can't catch up once the entries are compacted,
/// and against a state that a restart does not take from the snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn replica_catches_up_from_a_snapshot() {
    let small = ReplicaSettings {
        snapshot_entries: 50,
        retained_entries: 10,
        segment_bytes: 1000,
        ..settings()
    };
    assert_eq!(miss_500_entries(small).await, 1, "no snapshot arrived");
}

/// Guards against lost, repeated or mixed up answers when many callers share a write.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_commands_get_their_own_answers() {
    let group = Group::three(settings()).await;
    let leader = group.leader().await;
    let replica = group.replica(leader).expect("running");
    let calls: Vec<_> = (0..300)
        .map(|i: u32| {
            let replica = replica.clone();
            let command = i.to_be_bytes().to_vec();
            tokio::spawn(async move { (replica.propose(command.clone()).await, command) })
        })
        .collect();
    for call in calls {
        let (answer, command) = call.await.expect("task");
        assert_eq!(answer, Ok(command));
    }
    replica.confirm_leadership().await.expect("read");
    let entries = group.nodes[leader].entries.lock().expect("entries");
    let commands: BTreeSet<_> = entries.values().filter(|c| c.len() == 4).collect();
    assert_eq!((commands.len(), entries.len()), (300, 300));
}

/// Guards against a planned stop that costs an election timeout, and against
/// files that stay locked.
#[tokio::test(flavor = "multi_thread")]
async fn leader_hands_over_before_a_planned_stop() {
    let mut group = Group::three(settings()).await;
    let known = group.commit_all("before", 5).await;
    let old = group.leader().await;
    let replica = group.replica(old).expect("running");
    replica.transfer_leadership().await.expect("transfer");
    group
        .until("another leader", |g| (0..3).any(|n| n != old && g.leads(n)))
        .await;
    replica.stop().await;
    let opened = storage::Store::open(group.nodes[old].dir.path(), storage::Options::default());
    drop(opened.expect("the files are closed"));
    let refused = replica.propose(b"stopped".to_vec()).await;
    assert!(
        matches!(refused, Err(ProposeError::Refused { .. })),
        "{refused:?}"
    );
    group.commit("while stopped").await;
    group.kill(old);
    group.start(old).await;
    group.check(&known).await;
}

/// Guards against a new replica that can't join, and a removed one that still counts.
#[tokio::test(flavor = "multi_thread")]
async fn membership_grows_and_shrinks() {
    let mut group = Group::new(3, 4, settings());
    for n in 0..3 {
        group.start(n).await;
    }
    let known = group.commit_all("before", 10).await;
    group.start(3).await;
    group
        .until("a fourth voter", |g| g.status(3).role == Role::Follower)
        .await;
    let leader = group.leader().await;
    let gone = (0..3).find(|n| *n != leader).expect("follower");
    let replica = group.replica(leader).expect("running");
    let peer = replica::Peer {
        id: group.status(gone).id,
        address: group.nodes[gone].address,
    };
    // The fourth replica votes from the moment it holds the change; until the change is committed
    // another one is refused with the advice to try again.
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match replica.remove(peer).await {
            Err(ProposeError::Refused { reason }) if Instant::now() < deadline => {
                assert!(reason.contains("try again"), "{reason}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            other => break other.expect("remove"),
        }
    }
    group.kill(gone);
    group.check(&known).await;
    assert_eq!(group.status(leader).peers.len(), 2);
}

/// Guards against a status that lags behind an answer: whoever compares replicas by the leader's
/// commit index would miss acknowledged entries.
#[tokio::test(flavor = "multi_thread")]
async fn status_includes_what_was_answered() {
    let group = Group::three(settings()).await;
    let leader = group.leader().await;
    let replica = group.replica(leader).expect("running");
    replica.propose(b"first".to_vec()).await.expect("commit");
    let first = replica.status().applied_index;
    for number in 1..=500 {
        replica.propose(b"next".to_vec()).await.expect("commit");
        let status = replica.status();
        assert!(
            status.applied_index >= first + number && status.commit_index >= first + number,
            "{status:?}"
        );
    }
}

/// Guards against a replica that lost its seat while it was down and never finds back: it has to
/// join again under a new id, keep the order of what it applies, and be there when another one
/// is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_lost_its_seat_joins_again() {
    let settings = ReplicaSettings {
        max_voters: Some(3),
        ..settings()
    };
    let mut group = Group::new(3, 4, settings);
    for n in 0..3 {
        group.start(n).await;
    }
    let leader = group.leader().await;
    let (gone, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let mut known = group.commit_all("all", 20).await;
    group.kill(gone);
    group.start(3).await;
    let voter = |group: &Group, n: usize, address| {
        let peers = group.status(n).peers;
        peers.iter().any(|p| p.address == address && p.voter)
    };
    let (old, new) = (group.nodes[gone].address, group.nodes[3].address);
    group
        .until("the new replica has the seat", |g| {
            voter(g, leader, new) && !voter(g, leader, old)
        })
        .await;
    known.extend(group.commit_all("new", 10).await);
    group.start(gone).await;
    group
        .until("the old one has joined again", |g| {
            let status = g.status(gone);
            let all = g.status(leader).applied_index;
            status.role == Role::Learner && status.id.0 > 4 && status.applied_index >= all
        })
        .await;
    // The next silent voter gives it a seat again.
    group.kill(other);
    group
        .until("it has a seat again", |g| voter(g, leader, old))
        .await;
    known.extend(group.commit_all("last", 5).await);
    group.check(&known).await;
}
