//! Failures in a group of three replicas over loopback HTTP.

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

/// Guards against the loss of acknowledged commands when one replica is killed, and
/// when all replicas are killed and restarted.
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

/// Guards against a restarted replica that applies nothing until a leader is elected,
/// and against one that applies entries which may not be committed.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_replica_applies_committed_entries() {
    let mut group = Group::three(settings()).await;
    let known = group.commit_all("before", 10).await;
    group.check(&known).await;
    let committed = group.nodes[0].entries.lock().expect("entries").clone();
    for n in 0..3 {
        group.kill(n);
    }
    for n in 0..3 {
        group.start(n).await;
        // Each entry was stored with the last index that was committed before it.
        let applied = |g: &Group| g.nodes[n].entries.lock().expect("entries").clone();
        group
            .until("applied entries", |g| applied(g).len() + 1 >= known.len())
            .await;
        let applied = applied(&group);
        assert!(applied.iter().all(|(i, e)| committed.get(i) == Some(e)));
        group.kill(n);
    }
}

/// Guards against a group that waits for its observer before it forms, counts the
/// observer as a voter, or gains a member each time the observer restarts.
#[tokio::test(flavor = "multi_thread")]
async fn group_forms_without_its_observer() {
    let mut group = Group::new(4, 4, settings());
    group.observer = Some(1);
    for n in [1, 0, 2, 3] {
        group.start(n).await;
    }
    let known = group.commit_all("first", 3).await;
    for _ in 0..2 {
        group
            .until("a learner that receives the log", |g| {
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

/// Guards against a replica that votes under its old id after it lost its disk, and
/// against commits that depend on a replica that has not caught up. A second disk is
/// lost right after the first replica becomes a voter again.
#[tokio::test(flavor = "multi_thread")]
async fn replica_with_a_lost_disk_rejoins_under_a_new_id() {
    let mut group = Group::three(settings()).await;
    let mut known = group.commit_all("first", 20).await;
    let leader = group.leader().await;
    let (first_lost, second_lost) = ((leader + 1) % 3, (leader + 2) % 3);
    group.lose_disk(first_lost);
    known.extend(group.commit_all("meanwhile", 10).await);
    group.start(first_lost).await;
    group
        .until("a repaired voter", |g| {
            g.status(first_lost).role == Role::Follower
        })
        .await;
    assert_eq!(group.status(first_lost).id, ReplicaId(4));
    let voters = group.status(group.leader().await).peers;
    assert!(
        voters
            .iter()
            .all(|p| p.voter && p.id != ReplicaId(first_lost as u64 + 1)),
        "{voters:?}"
    );
    group.lose_disk(second_lost);
    known.extend(group.commit_all("second lost", 10).await);
    group.check(&known).await;
    group.start(second_lost).await;
    group
        .until("a repaired voter", |g| {
            g.status(second_lost).role == Role::Follower
        })
        .await;
    assert_eq!(group.status(second_lost).id, ReplicaId(5));
    group.kill(second_lost);
    group.start(second_lost).await;
    group
        .until("a follower that knows a leader", |g| {
            g.status(second_lost).leader.is_some()
        })
        .await;
    assert_eq!(group.status(second_lost).id, ReplicaId(5));
    group.kill(leader);
    known.extend(group.commit_all("leader lost", 10).await);
    group.check(&known).await;
}

/// Guards against votes of replicas that lost their disks while the only replica that
/// knows of the group is down.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_with_lost_disks_wait_for_the_others() {
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

/// Guards against a partitioned leader that confirms reads or commits commands without
/// a quorum, and against its unacknowledged commands replacing acknowledged ones.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_leader_commits_nothing() {
    let group = Group::three(settings()).await;
    let mut known = group.commit_all("before", 5).await;
    let old_leader = group.leader().await;
    group.partition(old_leader);
    let replica = group.replica(old_leader).expect("running");
    let (write, read) = tokio::join!(
        replica.propose(b"lost".to_vec()),
        replica.confirm_leadership()
    );
    assert!(matches!(
        write,
        Err(ProposeError::Unknown { .. } | ProposeError::NotLeader { .. })
    ));
    assert!(read.is_err(), "a read was confirmed without a quorum");
    group.until("a step down", |g| !g.leads(old_leader)).await;
    let late = replica.propose(b"late".to_vec()).await;
    assert!(
        matches!(late, Err(ProposeError::NotLeader { .. })),
        "{late:?}"
    );
    known.extend(group.commit_all("other side", 20).await);
    group.heal();
    group
        .until("the old leader as a follower", |g| {
            g.status(old_leader).leader.is_some()
        })
        .await;
    known.extend(group.commit_all("after", 5).await);
    group.check(&known).await;
    assert!(
        !group.nodes[old_leader]
            .entries
            .lock()
            .expect("entries")
            .values()
            .any(|c| c == b"late")
    );
}

/// Commits 500 entries while one replica is down, restarts it and then all replicas.
/// Returns the number of snapshot files in its data folder.
async fn catch_up_500_entries(settings: ReplicaSettings) -> u64 {
    let mut group = Group::three(settings).await;
    let lagging = (group.leader().await + 1) % 3;
    group.kill(lagging);
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
    group.start(lagging).await;
    group.check(&known).await;
    for n in 0..3 {
        group.kill(n);
    }
    for n in 0..3 {
        group.start(n).await;
    }
    group.check(&known).await;
    let files = std::fs::read_dir(group.nodes[lagging].dir.path()).expect("list");
    let names = files.map(|e| e.expect("entry").file_name().to_string_lossy().into_owned());
    names.filter(|n| n.starts_with("snapshot-")).count() as u64
}

/// Guards against a replica that can't catch up from the log.
#[tokio::test(flavor = "multi_thread")]
async fn replica_catches_up_after_500_entries() {
    assert_eq!(
        catch_up_500_entries(settings()).await,
        0,
        "a snapshot was needed"
    );
}

/// Guards against a replica that can't catch up after the entries it lacks were
/// compacted, and against a restart that ignores the snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn replica_catches_up_from_a_snapshot() {
    let frequent_snapshots = ReplicaSettings {
        snapshot_entries: 50,
        retained_entries: 10,
        segment_bytes: 1000,
        ..settings()
    };
    assert_eq!(
        catch_up_500_entries(frequent_snapshots).await,
        1,
        "no snapshot arrived"
    );
}

/// Guards against lost, duplicated or swapped responses when concurrent commands share
/// a disk write.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_commands_get_their_own_responses() {
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
        let (response, command) = call.await.expect("task");
        assert_eq!(response, Ok(command));
    }
    replica.confirm_leadership().await.expect("read");
    let entries = group.nodes[leader].entries.lock().expect("entries");
    let commands: BTreeSet<_> = entries.values().filter(|c| c.len() == 4).collect();
    assert_eq!((commands.len(), entries.len()), (300, 300));
}

/// Guards against a planned stop of the leader that costs an election timeout, and
/// against files that stay locked after the stop.
#[tokio::test(flavor = "multi_thread")]
async fn leader_transfers_leadership_before_a_planned_stop() {
    let mut group = Group::three(settings()).await;
    let known = group.commit_all("before", 5).await;
    let old_leader = group.leader().await;
    let replica = group.replica(old_leader).expect("running");
    replica.transfer_leadership().await.expect("transfer");
    group
        .until("another leader", |g| {
            (0..3).any(|n| n != old_leader && g.leads(n))
        })
        .await;
    replica.stop().await;
    let opened = storage::Store::open(
        group.nodes[old_leader].dir.path(),
        storage::Options::default(),
    );
    drop(opened.expect("the files are closed"));
    let refused = replica.propose(b"stopped".to_vec()).await;
    assert!(
        matches!(refused, Err(ProposeError::Refused { .. })),
        "{refused:?}"
    );
    group.commit("while stopped").await;
    group.kill(old_leader);
    group.start(old_leader).await;
    group.check(&known).await;
}

/// Guards against a new replica that can't join, and against a removed one that still
/// counts towards the quorum.
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
    let removed = (0..3).find(|n| *n != leader).expect("follower");
    let replica = group.replica(leader).expect("running");
    let peer = replica::Peer {
        id: group.status(removed).id,
        address: group.nodes[removed].address,
    };
    // The fourth replica votes as soon as its own log contains the membership change. Until
    // that change is committed, another one is refused with the advice to try again.
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
    group.kill(removed);
    group.check(&known).await;
    assert_eq!(group.status(leader).peers.len(), 2);
}

/// Guards against a status that lags behind a response: a comparison of replicas by the
/// leader's commit index would then miss acknowledged entries.
#[tokio::test(flavor = "multi_thread")]
async fn status_includes_acknowledged_commands() {
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

/// Guards against a replica that was replaced as a voter while it was down and never
/// rejoins. It has to join under a new id, apply the entries in log order, and become a
/// voter when another voter is lost.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_voter_rejoins_and_is_promoted() {
    let settings = ReplicaSettings {
        max_voters: Some(3),
        ..settings()
    };
    let mut group = Group::new(3, 4, settings);
    for n in 0..3 {
        group.start(n).await;
    }
    let leader = group.leader().await;
    let (replaced, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let mut known = group.commit_all("all", 20).await;
    group.kill(replaced);
    group.start(3).await;
    let is_voter = |group: &Group, n: usize, address| {
        let peers = group.status(n).peers;
        peers.iter().any(|p| p.address == address && p.voter)
    };
    let (old, new) = (group.nodes[replaced].address, group.nodes[3].address);
    group
        .until("the new replica as a voter", |g| {
            is_voter(g, leader, new) && !is_voter(g, leader, old)
        })
        .await;
    known.extend(group.commit_all("new", 10).await);
    group.start(replaced).await;
    group
        .until("the replaced replica as a learner", |g| {
            let status = g.status(replaced);
            let all = g.status(leader).applied_index;
            status.role == Role::Learner && status.id.0 > 4 && status.applied_index >= all
        })
        .await;
    // The loss of another voter promotes the replica again.
    group.kill(other);
    group
        .until("the replaced replica as a voter", |g| {
            is_voter(g, leader, old)
        })
        .await;
    known.extend(group.commit_all("last", 5).await);
    group.check(&known).await;
}
