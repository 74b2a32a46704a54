//! Single faults, each with the mechanism that handles it.

mod cluster;

use cluster::{Cluster, Faults, address, id};
use replication::{Event, MemberKind, MembershipChange, RefusalReason, Restored, RoleName};
use units::ReplicaId;

const QUIET: Faults = Faults {
    loss: 0,
    duplicate: 0,
    delay: 5,
    sync: 2,
};

fn group(seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(seed, 3, QUIET);
    let leader = cluster.elect();
    fill(&mut cluster, 10);
    (cluster, leader)
}

/// Proposes commands and runs until the last one is committed everywhere.
fn fill(cluster: &mut Cluster, count: u64) {
    let leader = cluster.elect();
    for value in 0..count {
        cluster.propose(leader, value);
    }
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.settle(last_index, 3000),
        "entry {last_index} is not committed everywhere"
    );
}

fn others(leader: ReplicaId) -> (ReplicaId, ReplicaId) {
    let mut rest = (1..=3).map(id).filter(|n| *n != leader);
    (rest.next().expect("second"), rest.next().expect("third"))
}

fn isolate(cluster: &mut Cluster, node: ReplicaId) {
    for n in 1..=9 {
        cluster.cut.extend([(node, id(n)), (id(n), node)]);
    }
}

/// Guards against a partitioned leader that goes on serving, and reads from it.
#[test]
fn partitioned_leader_steps_down() {
    let (mut cluster, leader) = group(1);
    isolate(&mut cluster, leader);
    cluster.event(leader, Event::Read { token: 7 });
    cluster.propose(leader, 99);
    cluster.run(700);
    assert_eq!(cluster.answered, 0, "a read was answered without a quorum");
    assert_ne!(cluster.nodes[&leader].state.role(), RoleName::Leader);
    assert!(
        cluster.refused.contains(&RefusalReason::NotLeader),
        "the read is not refused"
    );
    cluster.run(800);
    assert!(
        cluster.leader().is_some_and(|l| l != leader),
        "the majority has no leader"
    );
}

/// Guards against a replica that returns from a partition and deposes the leader.
#[test]
fn returning_follower_keeps_the_term() {
    let (mut cluster, leader) = group(2);
    let term = cluster.nodes[&leader].state.term();
    let (follower, _) = others(leader);
    isolate(&mut cluster, follower);
    cluster.run(5000);
    cluster.cut.clear();
    cluster.run(2000);
    assert_eq!(cluster.nodes[&leader].state.term(), term);
    assert_eq!(cluster.leader(), Some(leader));
}

/// Messages with entries until a follower has caught up that missed 500 entries.
fn catch_up(delay: u64) -> usize {
    let (mut cluster, leader) = group(3);
    let (follower, _) = others(leader);
    cluster.crash(follower);
    for value in 0..500 {
        cluster.propose(leader, value);
    }
    cluster.run(500);
    cluster.faults.delay = delay;
    let before = cluster.appended;
    cluster.restart(follower);
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.settle(last_index, 600),
        "not caught up after 600 ms"
    );
    cluster.appended - before
}

/// Guards against one round trip per entry when a follower missed hundreds:
/// 500 entries of 40 bytes need 50 messages of 400 bytes, and some to find the place.
#[test]
fn lagging_follower_catches_up_in_few_messages() {
    let count = catch_up(0);
    assert!(count <= 60, "{count} messages");
}

/// Guards against resending the whole window when messages overtake each
/// other: at most one repetition for each message.
#[test]
fn reordered_entries_are_kept() {
    let count = catch_up(5);
    assert!(count <= 110, "{count} messages");
}

/// Guards against a divergent tail that is removed one entry or one term at a time.
#[test]
fn divergent_tail_is_replaced() {
    let (mut cluster, leader) = group(4);
    isolate(&mut cluster, leader);
    for value in 0..300 {
        cluster.propose(leader, 1000 + value);
    }
    cluster.run(1500);
    let new = cluster.elect();
    assert_ne!(new, leader);
    cluster.propose(new, 5);
    cluster.run(100);
    cluster.cut.clear();
    let before = cluster.appended;
    let last_index = cluster.nodes[&new].state.last_index();
    assert!(
        cluster.settle(last_index, 1500),
        "the old leader did not follow"
    );
    assert!(
        cluster.appended - before <= 30,
        "{} messages",
        cluster.appended - before
    );
    assert!(
        cluster.nodes[&leader].state.last_index() < 300,
        "uncommitted entries remain"
    );
}

/// Guards against a follower that needs compacted entries, with chunks lost.
#[test]
fn snapshot_is_sent_in_chunks() {
    let (mut cluster, leader) = group(5);
    let (follower, _) = others(leader);
    cluster.crash(follower);
    for value in 0..200 {
        cluster.propose(leader, value);
    }
    cluster.run(300);
    for n in 1..=3 {
        cluster.compact(id(n), 5000);
    }
    cluster.faults = Faults {
        loss: 10,
        duplicate: 20,
        delay: 10,
        sync: 5,
    };
    cluster.restart(follower);
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.settle(last_index, 60_000),
        "the snapshot did not arrive"
    );
    let (_, config) = cluster.nodes[&follower]
        .state
        .snapshot_metadata(last_index)
        .expect("head");
    assert_eq!(config.voters().count(), 3);
}

/// Guards against two memberships at once and against a voter that lags.
#[test]
fn membership_changes_one_at_a_time() {
    let (mut cluster, leader) = group(6);
    let add = |n| MembershipChange::Learner {
        id: id(n),
        address: address(n),
    };
    cluster.event(
        leader,
        Event::Change {
            token: 1,
            change: add(4),
        },
    );
    cluster.event(
        leader,
        Event::Change {
            token: 2,
            change: add(5),
        },
    );
    assert_eq!(cluster.refused, [RefusalReason::ChangeInProgress]);
    cluster.run(300);
    // Learner 4 is not running, so it can't have caught up.
    let promote = MembershipChange::Promote(id(4));
    cluster.event(
        leader,
        Event::Change {
            token: 3,
            change: promote,
        },
    );
    assert_eq!(cluster.refused.last(), Some(&RefusalReason::LearnerBehind));
    cluster.boot(id(4), Restored::default());
    fill(&mut cluster, 5);
    cluster.run(300);
    cluster.event(
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
    cluster.event(
        leader,
        Event::Change {
            token: 5,
            change: used,
        },
    );
    assert_eq!(cluster.refused.last(), Some(&RefusalReason::InvalidMember));
}

/// Guards against a leader that stays after its own removal.
#[test]
fn removed_leader_steps_down() {
    let (mut cluster, leader) = group(7);
    cluster.event(
        leader,
        Event::Change {
            token: 1,
            change: MembershipChange::Remove(leader),
        },
    );
    cluster.run(2000);
    assert_ne!(cluster.nodes[&leader].state.role(), RoleName::Leader);
    cluster.crash(leader);
    let new = cluster.elect();
    assert_eq!(cluster.nodes[&new].state.config().voters().count(), 2);
}

/// Runs the repair of a replica whose disk was lost and returns its new id.
fn repair(cluster: &mut Cluster, lost: ReplicaId) -> ReplicaId {
    cluster.crash(lost);
    cluster.stopped.remove(&lost);
    let leader = cluster.elect();
    let new = ReplicaId(cluster.nodes[&leader].state.config().next_id);
    let change = MembershipChange::Join {
        address: address(lost.0),
        votes: true,
    };
    cluster.event(leader, Event::Change { token: 1, change });
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

/// Guards against a vote under the old id, and against losing commits when a
/// second replica is lost right after the first was repaired.
#[test]
fn second_disk_is_lost_after_a_repair() {
    for seed in 20..30 {
        let (mut cluster, leader) = group(seed);
        fill(&mut cluster, 100);
        let (first, second) = others(leader);
        let votes = cluster.votes.len();
        let new = repair(&mut cluster, first);
        cluster.crash(second);
        assert!(!cluster.votes[votes..].contains(&first), "the old id voted");
        cluster.run(50);
        fill(&mut cluster, 10);
        let config = cluster.nodes[&leader].state.config().clone();
        assert!(
            config.is_voter(new) && !config.is_voter(first),
            "{config:?}"
        );
        cluster.crash(leader);
        cluster.stopped.remove(&second);
        cluster.restart(leader);
        fill(&mut cluster, 10);
    }
}

/// Guards against counting a learner before it has caught up: the group must
/// commit while the learner does not run at all.
#[test]
fn absent_learner_does_not_delay_commits() {
    let (mut cluster, leader) = group(8);
    let (lost, _) = others(leader);
    cluster.crash(lost);
    let change = MembershipChange::Join {
        address: address(lost.0),
        votes: true,
    };
    cluster.event(leader, Event::Change { token: 1, change });
    cluster.run(3000);
    fill(&mut cluster, 20);
    let config = cluster.nodes[&leader].state.config();
    assert!(
        config.is_voter(lost) && config.voters().count() == 3,
        "{config:?}"
    );
    assert_eq!(config.members[&id(4)].kind, MemberKind::Joining);
}

/// Guards against a learner that never becomes a voter because entries arrive
/// faster than its answers.
#[test]
fn learner_is_promoted_under_load() {
    let (mut cluster, leader) = group(13);
    let (lost, _) = others(leader);
    cluster.crash(lost);
    let change = MembershipChange::Join {
        address: address(lost.0),
        votes: true,
    };
    cluster.event(leader, Event::Change { token: 1, change });
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

/// Guards against waiting for an election timeout on a planned stop.
#[test]
fn transfer_takes_less_than_an_election_timeout() {
    let (mut cluster, leader) = group(9);
    cluster.event(leader, Event::Transfer { token: 1 });
    cluster.propose(leader, 1);
    assert_eq!(cluster.refused, [RefusalReason::TransferInProgress]);
    cluster.run(100);
    let new = cluster.leader().expect("leader");
    assert_ne!(new, leader);
    assert_eq!(cluster.nodes[&leader].state.leader(), Some(new));
}

/// Guards against a leader that can't write but keeps others from leading.
#[test]
fn leader_with_a_full_disk_hands_over() {
    for seed in 10..20 {
        let (mut cluster, leader) = group(seed);
        cluster.event(leader, Event::Disk { ok: false });
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

/// Guards against a learner that starts elections.
#[test]
fn learner_never_asks_for_votes() {
    let (mut cluster, leader) = group(12);
    let change = MembershipChange::Learner {
        id: id(4),
        address: address(4),
    };
    cluster.event(leader, Event::Change { token: 1, change });
    cluster.boot(id(4), Restored::default());
    fill(&mut cluster, 5);
    isolate(&mut cluster, id(4));
    for _ in 0..3000 {
        cluster.step();
        assert_eq!(cluster.nodes[&id(4)].state.role(), RoleName::Learner);
    }
}

/// Guards against a leader of the last majority that commits alone.
#[test]
fn minority_does_not_commit() {
    let (mut cluster, leader) = group(11);
    let (a, b) = others(leader);
    cluster.crash(a);
    cluster.crash(b);
    let commit_index = cluster.nodes[&leader].commit_index;
    cluster.propose(leader, 1);
    cluster.run(400);
    assert_eq!(cluster.nodes[&leader].commit_index, commit_index);
}

/// Group of three whose joining replicas make at most three voters.
fn seated(seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(seed, 0, QUIET);
    cluster.voters = Some(3);
    cluster.found(3);
    let leader = cluster.elect();
    fill(&mut cluster, 10);
    (cluster, leader)
}

/// Starts a replica at a new address and lets it join.
fn join(cluster: &mut Cluster, number: u64) -> ReplicaId {
    let leader = cluster.elect();
    let new = ReplicaId(cluster.nodes[&leader].state.config().next_id);
    let change = MembershipChange::Join {
        address: address(number),
        votes: true,
    };
    cluster.event(leader, Event::Change { token: 1, change });
    cluster.run(50);
    cluster.boot(new, Restored::default());
    new
}

fn voters(cluster: &Cluster, at: ReplicaId) -> Vec<ReplicaId> {
    cluster.nodes[&at].state.config().voters().collect()
}

/// Guards against a replica that is gone for good and keeps its seat: with an empty one in its
/// place at another address, the loss of one more would stop the group.
#[test]
fn a_silent_voter_loses_its_seat_to_one_that_joined() {
    for seed in 40..50 {
        let (mut cluster, leader) = seated(seed);
        let (gone, other) = others(leader);
        cluster.crash(gone);
        cluster.run(500);
        let new = join(&mut cluster, 9);
        cluster.run(2_500);
        let leader = cluster.elect();
        let now = voters(&cluster, leader);
        assert_eq!(now.len(), 3, "{now:?}");
        assert!(now.contains(&new) && !now.contains(&gone), "{now:?}");
        cluster.crash(other);
        fill(&mut cluster, 10);
    }
}

/// Guards against a replica that joins and takes the seat of one that runs, or makes the group
/// need more votes than it was set up for.
#[test]
fn a_spare_replica_waits_for_a_seat() {
    let (mut cluster, leader) = seated(51);
    let (stopped, _) = others(leader);
    let spare = join(&mut cluster, 9);
    cluster.run(5_000);
    assert!(!voters(&cluster, leader).contains(&spare));
    assert_eq!(voters(&cluster, leader).len(), 3);
    // A restart is shorter than the silence that costs the seat.
    cluster.crash(stopped);
    cluster.run(1_000);
    cluster.restart(stopped);
    cluster.run(3_000);
    assert!(voters(&cluster, leader).contains(&stopped));
    // The planned replacement: the old one ends for good.
    cluster.crash(stopped);
    cluster.run(3_000);
    let now = voters(&cluster, cluster.leader().expect("a leader"));
    assert!(now.contains(&spare) && !now.contains(&stopped), "{now:?}");
}

/// Guards against replicas beyond the seeds that never vote although more votes are wanted.
#[test]
fn free_seats_are_taken() {
    let (mut cluster, _) = seated(52);
    cluster.voters = Some(5);
    for number in 1..=3 {
        cluster.crash(id(number));
        cluster.restart(id(number));
        cluster.run(500);
    }
    for number in [8, 9, 10] {
        join(&mut cluster, number);
        cluster.run(1_000);
    }
    let leader = cluster.elect();
    assert_eq!(voters(&cluster, leader).len(), 5);
}

/// Guards against a removed voter that comes back and stays alone for ever: it has to learn that it
/// was removed, and no other replica may believe so.
#[test]
fn a_removed_voter_learns_it() {
    for seed in 60..70 {
        let (mut cluster, leader) = seated(seed);
        let (gone, _) = others(leader);
        cluster.crash(gone);
        join(&mut cluster, 9);
        cluster.run(3_000);
        fill(&mut cluster, 5);
        cluster.restart(gone);
        cluster.run(3_000);
        assert!(cluster.removed.contains(&gone), "seed {seed}");
        assert!(cluster.removed.iter().all(|id| *id == gone));
    }
}

/// Guards against a quorum that counts on a replica which keeps nothing, and against a membership
/// that grows with each of its starts.
#[test]
fn an_observer_never_votes() {
    let mut cluster = Cluster::new(1, 3, Faults::default());
    let mut before = None;
    for _ in 0..3 {
        let leader = cluster.elect();
        cluster.run(500);
        let new = ReplicaId(cluster.nodes[&leader].state.config().next_id);
        let change = MembershipChange::Join {
            address: address(9),
            votes: false,
        };
        cluster.event(leader, Event::Change { token: 1, change });
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
