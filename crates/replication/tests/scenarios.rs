//! Single faults, and the mechanism that handles each of them.

mod cluster;

use cluster::{Cluster, Faults, address, id};
use replication::{Event, MemberKind, MembershipChange, RefusalReason, Restored, RoleName};
use units::ReplicaId;

const RELIABLE: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_ms: 5,
    max_sync_ms: 2,
};

/// Starts three voters, waits for a leader and commits ten commands.
fn cluster_with_leader(seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(seed, 3, RELIABLE);
    let leader = cluster.run_until_leader();
    commit_commands(&mut cluster, 10);
    (cluster, leader)
}

/// Proposes commands and runs until every running replica has committed the last one.
fn commit_commands(cluster: &mut Cluster, count: u64) {
    let leader = cluster.run_until_leader();
    for value in 0..count {
        cluster.propose(leader, value);
    }
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.run_until_committed(last_index, 3000),
        "entry {last_index} is not committed everywhere"
    );
}

fn followers_of(leader: ReplicaId) -> (ReplicaId, ReplicaId) {
    let mut rest = (1..=3).map(id).filter(|n| *n != leader);
    (rest.next().expect("second"), rest.next().expect("third"))
}

fn isolate(cluster: &mut Cluster, node: ReplicaId) {
    for n in 1..=9 {
        cluster.blocked.extend([(node, id(n)), (id(n), node)]);
    }
}

/// Guards against a partitioned leader that stays leader and serves reads.
#[test]
fn partitioned_leader_steps_down() {
    let (mut cluster, leader) = cluster_with_leader(1);
    isolate(&mut cluster, leader);
    cluster.handle(leader, Event::Read { token: 7 });
    cluster.propose(leader, 99);
    cluster.run(700);
    assert_eq!(
        cluster.reads_served, 0,
        "a read was answered without a quorum"
    );
    assert_ne!(cluster.nodes[&leader].state.role(), RoleName::Leader);
    assert!(
        cluster.refused.contains(&RefusalReason::NotLeader),
        "the read was not refused"
    );
    cluster.run(800);
    assert!(
        cluster.leader().is_some_and(|l| l != leader),
        "the majority has no leader"
    );
}

/// Guards against a replica that deposes the leader when its partition heals.
#[test]
fn returning_follower_does_not_depose_the_leader() {
    let (mut cluster, leader) = cluster_with_leader(2);
    let term = cluster.nodes[&leader].state.term();
    let (follower, _) = followers_of(leader);
    isolate(&mut cluster, follower);
    cluster.run(5000);
    cluster.blocked.clear();
    cluster.run(2000);
    assert_eq!(cluster.nodes[&leader].state.term(), term);
    assert_eq!(cluster.leader(), Some(leader));
}

/// Number of messages with entries until a follower that missed 500 entries has caught up.
fn catch_up(max_delay_ms: u64) -> usize {
    let (mut cluster, leader) = cluster_with_leader(3);
    let (follower, _) = followers_of(leader);
    cluster.crash(follower);
    for value in 0..500 {
        cluster.propose(leader, value);
    }
    cluster.run(500);
    cluster.faults.max_delay_ms = max_delay_ms;
    let before = cluster.append_messages;
    cluster.restart(follower);
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.run_until_committed(last_index, 600),
        "not caught up after 600 ms"
    );
    cluster.append_messages - before
}

/// Guards against one round trip per entry when a follower lacks hundreds: 500 entries of
/// 40 bytes need 50 messages of 400 bytes, plus a few to find the matching index.
#[test]
fn lagging_follower_catches_up_in_few_messages() {
    let count = catch_up(0);
    assert!(count <= 60, "{count} messages");
}

/// Guards against resending all unanswered messages when messages are reordered: each may
/// be sent at most twice.
#[test]
fn reordered_entries_are_kept() {
    let count = catch_up(5);
    assert!(count <= 110, "{count} messages");
}

/// Guards against replacing a divergent log tail one entry or one term at a time.
#[test]
fn divergent_tail_is_replaced() {
    let (mut cluster, leader) = cluster_with_leader(4);
    isolate(&mut cluster, leader);
    for value in 0..300 {
        cluster.propose(leader, 1000 + value);
    }
    cluster.run(1500);
    let new = cluster.run_until_leader();
    assert_ne!(new, leader);
    cluster.propose(new, 5);
    cluster.run(100);
    cluster.blocked.clear();
    let before = cluster.append_messages;
    let last_index = cluster.nodes[&new].state.last_index();
    assert!(
        cluster.run_until_committed(last_index, 1500),
        "the old leader did not follow"
    );
    assert!(
        cluster.append_messages - before <= 30,
        "{} messages",
        cluster.append_messages - before
    );
    assert!(
        cluster.nodes[&leader].state.last_index() < 300,
        "uncommitted entries remain"
    );
}

/// Guards against a follower that lacks compacted entries and never gets the snapshot
/// because chunks are lost.
#[test]
fn snapshot_is_sent_in_chunks() {
    let (mut cluster, leader) = cluster_with_leader(5);
    let (follower, _) = followers_of(leader);
    cluster.crash(follower);
    for value in 0..200 {
        cluster.propose(leader, value);
    }
    cluster.run(300);
    for n in 1..=3 {
        cluster.compact(id(n), 5000);
    }
    cluster.faults = Faults {
        loss_percent: 10,
        duplicate_percent: 20,
        max_delay_ms: 10,
        max_sync_ms: 5,
    };
    cluster.restart(follower);
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.run_until_committed(last_index, 60_000),
        "the snapshot did not arrive"
    );
    let (_, config) = cluster.nodes[&follower]
        .state
        .snapshot_metadata(last_index)
        .expect("metadata");
    assert_eq!(config.voters().count(), 3);
}

/// Guards against two concurrent membership changes, and against promoting a learner that
/// has not caught up.
#[test]
fn membership_changes_one_at_a_time() {
    let (mut cluster, leader) = cluster_with_leader(6);
    let add = |n| MembershipChange::Learner {
        id: id(n),
        address: address(n),
    };
    cluster.handle(
        leader,
        Event::Change {
            token: 1,
            change: add(4),
        },
    );
    cluster.handle(
        leader,
        Event::Change {
            token: 2,
            change: add(5),
        },
    );
    assert_eq!(cluster.refused, [RefusalReason::ChangeInProgress]);
    cluster.run(300);
    // Learner 4 is not running, so it has not caught up.
    let promote = MembershipChange::Promote(id(4));
    cluster.handle(
        leader,
        Event::Change {
            token: 3,
            change: promote,
        },
    );
    assert_eq!(cluster.refused.last(), Some(&RefusalReason::LearnerBehind));
    cluster.boot(id(4), Restored::default());
    commit_commands(&mut cluster, 5);
    cluster.run(300);
    cluster.handle(
        leader,
        Event::Change {
            token: 4,
            change: promote,
        },
    );
    cluster.run(300);
    assert_eq!(cluster.refused.len(), 2, "{:?}", cluster.refused);
    assert!(cluster.nodes[&id(4)].state.config().is_voter(id(4)));
    let used = MembershipChange::Learner {
        id: id(2),
        address: address(2),
    };
    cluster.handle(
        leader,
        Event::Change {
            token: 5,
            change: used,
        },
    );
    assert_eq!(cluster.refused.last(), Some(&RefusalReason::InvalidMember));
}

/// Guards against a leader that keeps leading after its own removal.
#[test]
fn removed_leader_steps_down() {
    let (mut cluster, leader) = cluster_with_leader(7);
    cluster.handle(
        leader,
        Event::Change {
            token: 1,
            change: MembershipChange::Remove(leader),
        },
    );
    cluster.run(2000);
    assert_ne!(cluster.nodes[&leader].state.role(), RoleName::Leader);
    cluster.crash(leader);
    let new = cluster.run_until_leader();
    assert_eq!(cluster.nodes[&new].state.config().voters().count(), 2);
}

/// Replaces a replica whose disk was lost and returns the new id.
fn repair(cluster: &mut Cluster, lost: ReplicaId) -> ReplicaId {
    cluster.crash(lost);
    cluster.stopped.remove(&lost);
    let leader = cluster.run_until_leader();
    let new = ReplicaId(cluster.nodes[&leader].state.config().next_id);
    let change = MembershipChange::Join {
        address: address(lost.0),
        votes: true,
    };
    cluster.handle(leader, Event::Change { token: 1, change });
    cluster.run(50);
    cluster.boot(new, Restored::default());
    for _ in 0..5000 {
        cluster.step();
        let config = cluster.nodes[&new].state.config();
        if config.is_voter(new) {
            return new;
        }
        let voters = cluster.votes.iter().filter(|v| **v == new);
        assert_eq!(voters.count(), 0, "a learner voted");
    }
    panic!("the learner did not become a voter");
}

/// Guards against a vote under the old id, and against losing committed entries when a
/// second replica is lost right after the first was replaced.
#[test]
fn second_disk_is_lost_after_a_repair() {
    for seed in 20..30 {
        let (mut cluster, leader) = cluster_with_leader(seed);
        commit_commands(&mut cluster, 100);
        let (first, second) = followers_of(leader);
        let votes = cluster.votes.len();
        let new = repair(&mut cluster, first);
        cluster.crash(second);
        assert!(!cluster.votes[votes..].contains(&first), "the old id voted");
        cluster.run(50);
        commit_commands(&mut cluster, 10);
        let config = cluster.nodes[&leader].state.config().clone();
        assert!(
            config.is_voter(new) && !config.is_voter(first),
            "{config:?}"
        );
        cluster.crash(leader);
        cluster.stopped.remove(&second);
        cluster.restart(leader);
        commit_commands(&mut cluster, 10);
    }
}

/// Guards against counting a learner towards the quorum before it has caught up: the
/// group must commit while the learner is not running.
#[test]
fn absent_learner_does_not_delay_commits() {
    let (mut cluster, leader) = cluster_with_leader(8);
    let (lost, _) = followers_of(leader);
    cluster.crash(lost);
    let change = MembershipChange::Join {
        address: address(lost.0),
        votes: true,
    };
    cluster.handle(leader, Event::Change { token: 1, change });
    cluster.run(3000);
    commit_commands(&mut cluster, 20);
    let config = cluster.nodes[&leader].state.config();
    assert!(
        config.is_voter(lost) && config.voters().count() == 3,
        "{config:?}"
    );
    assert_eq!(config.members[&id(4)].kind, MemberKind::Joining);
}

/// Guards against a learner that is never promoted because new entries arrive faster than
/// its replies.
#[test]
fn learner_is_promoted_under_load() {
    let (mut cluster, leader) = cluster_with_leader(13);
    let (lost, _) = followers_of(leader);
    cluster.crash(lost);
    let change = MembershipChange::Join {
        address: address(lost.0),
        votes: true,
    };
    cluster.handle(leader, Event::Change { token: 1, change });
    cluster.boot(id(4), Restored::default());
    for step in 0..2000 {
        (0..10).for_each(|n| cluster.propose(leader, step * 10 + n));
        cluster.step();
        if cluster.nodes[&id(4)].state.config().is_voter(id(4)) {
            return;
        }
    }
    panic!("still a learner after 2 s");
}

/// Guards against waiting for an election timeout when a leader stops as planned.
#[test]
fn transfer_takes_less_than_an_election_timeout() {
    let (mut cluster, leader) = cluster_with_leader(9);
    cluster.handle(leader, Event::Transfer { token: 1 });
    cluster.propose(leader, 1);
    assert_eq!(cluster.refused, [RefusalReason::TransferInProgress]);
    cluster.run(100);
    let new = cluster.leader().expect("leader");
    assert_ne!(new, leader);
    assert_eq!(cluster.nodes[&leader].state.leader(), Some(new));
}

/// Guards against a leader that can't write but prevents the election of another.
#[test]
fn leader_with_a_failing_disk_transfers_leadership() {
    for seed in 10..20 {
        let (mut cluster, leader) = cluster_with_leader(seed);
        cluster.handle(leader, Event::Disk { ok: false });
        cluster.run(100);
        let new = cluster.leader().expect("leader");
        assert_ne!(new, leader);
        cluster.crash(new);
        cluster.run(2000);
        assert_ne!(
            cluster.leader(),
            Some(leader),
            "seed {seed}: leads without a disk"
        );
    }
}

/// Guards against a learner that starts an election.
#[test]
fn learner_never_asks_for_votes() {
    let (mut cluster, leader) = cluster_with_leader(12);
    let change = MembershipChange::Learner {
        id: id(4),
        address: address(4),
    };
    cluster.handle(leader, Event::Change { token: 1, change });
    cluster.boot(id(4), Restored::default());
    commit_commands(&mut cluster, 5);
    isolate(&mut cluster, id(4));
    for _ in 0..3000 {
        cluster.step();
        assert_eq!(cluster.nodes[&id(4)].state.role(), RoleName::Learner);
    }
}

/// Guards against a leader that commits without a quorum.
#[test]
fn minority_does_not_commit() {
    let (mut cluster, leader) = cluster_with_leader(11);
    let (a, b) = followers_of(leader);
    cluster.crash(a);
    cluster.crash(b);
    let commit_index = cluster.nodes[&leader].commit_index;
    cluster.propose(leader, 1);
    cluster.run(400);
    assert_eq!(cluster.nodes[&leader].commit_index, commit_index);
}

/// Same as [`cluster_with_leader`], with a limit of three voters, so that a joined replica only
/// replaces a voter.
fn cluster_with_voter_limit(seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(seed, 0, RELIABLE);
    cluster.max_voters = Some(3);
    cluster.boot_voters(3);
    let leader = cluster.run_until_leader();
    commit_commands(&mut cluster, 10);
    (cluster, leader)
}

/// Starts a replica at a new address that joins the group.
fn join(cluster: &mut Cluster, number: u64) -> ReplicaId {
    let leader = cluster.run_until_leader();
    let new = ReplicaId(cluster.nodes[&leader].state.config().next_id);
    let change = MembershipChange::Join {
        address: address(number),
        votes: true,
    };
    cluster.handle(leader, Event::Change { token: 1, change });
    cluster.run(50);
    cluster.boot(new, Restored::default());
    new
}

fn voters(cluster: &Cluster, at: ReplicaId) -> Vec<ReplicaId> {
    cluster.nodes[&at].state.config().voters().collect()
}

/// Guards against a permanently lost voter that is never replaced: although a new replica
/// joined at another address, the loss of one more would stop the group.
#[test]
fn silent_voter_is_replaced_by_a_joining_replica() {
    for seed in 40..50 {
        let (mut cluster, leader) = cluster_with_voter_limit(seed);
        let (gone, other) = followers_of(leader);
        cluster.crash(gone);
        cluster.run(500);
        let new = join(&mut cluster, 9);
        cluster.run(2_500);
        let leader = cluster.run_until_leader();
        let now = voters(&cluster, leader);
        assert_eq!(now.len(), 3, "{now:?}");
        assert!(now.contains(&new) && !now.contains(&gone), "{now:?}");
        cluster.crash(other);
        commit_commands(&mut cluster, 10);
    }
}

/// Guards against a joining replica that replaces a running voter, or that makes the
/// quorum larger than configured.
#[test]
fn spare_replica_stays_a_learner_until_a_voter_is_silent() {
    let (mut cluster, leader) = cluster_with_voter_limit(51);
    let (stopped, _) = followers_of(leader);
    let spare = join(&mut cluster, 9);
    cluster.run(5_000);
    assert!(!voters(&cluster, leader).contains(&spare));
    assert_eq!(voters(&cluster, leader).len(), 3);
    // A restart takes less time than `voter_silence`, so the voter is not replaced.
    cluster.crash(stopped);
    cluster.run(1_000);
    cluster.restart(stopped);
    cluster.run(3_000);
    assert!(voters(&cluster, leader).contains(&stopped));
    // Planned replacement: the old replica does not come back.
    cluster.crash(stopped);
    cluster.run(3_000);
    let now = voters(&cluster, cluster.leader().expect("a leader"));
    assert!(now.contains(&spare) && !now.contains(&stopped), "{now:?}");
}

/// Guards against replicas that join after the initial voters and are never promoted
/// although there are fewer voters than the limit.
#[test]
fn joining_replicas_are_promoted_up_to_the_limit() {
    let (mut cluster, _) = cluster_with_voter_limit(52);
    cluster.max_voters = Some(5);
    for number in 1..=3 {
        cluster.crash(id(number));
        cluster.restart(id(number));
        cluster.run(500);
    }
    for number in [8, 9, 10] {
        join(&mut cluster, number);
        cluster.run(1_000);
    }
    let leader = cluster.run_until_leader();
    assert_eq!(voters(&cluster, leader).len(), 5);
}

/// Guards against a removed voter that restarts and requests votes for ever: it must be notified
/// of its removal. No other replica may conclude that it was removed itself.
#[test]
fn removed_voter_is_notified_of_its_removal() {
    for seed in 60..70 {
        let (mut cluster, leader) = cluster_with_voter_limit(seed);
        let (gone, _) = followers_of(leader);
        cluster.crash(gone);
        join(&mut cluster, 9);
        cluster.run(3_000);
        commit_commands(&mut cluster, 5);
        cluster.restart(gone);
        cluster.run(3_000);
        assert!(cluster.removed.contains(&gone), "seed {seed}");
        assert!(cluster.removed.iter().all(|id| *id == gone));
    }
}

/// Guards against a quorum that counts a replica without stable storage, and against a
/// membership that grows each time that replica starts.
#[test]
fn observer_never_becomes_a_voter() {
    let mut cluster = Cluster::new(1, 3, Faults::default());
    let mut before = None;
    for _ in 0..3 {
        let leader = cluster.run_until_leader();
        cluster.run(500);
        let new = ReplicaId(cluster.nodes[&leader].state.config().next_id);
        let change = MembershipChange::Join {
            address: address(9),
            votes: false,
        };
        cluster.handle(leader, Event::Change { token: 1, change });
        cluster.run(50);
        cluster.boot(new, Restored::default());
        cluster.run(1_000);
        let config = cluster.nodes[&new].state.config();
        assert_eq!(config.members[&new].kind, MemberKind::Learner);
        assert_eq!(config.voters().count(), 3);
        assert!(before.is_none_or(|old| !config.members.contains_key(&old)));
        cluster.crash(new);
        cluster.stopped.remove(&new);
        before = Some(new);
    }
}
