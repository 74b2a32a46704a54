//! Groups of three replicas.

use std::time::{Duration, Instant};

use api::{Failure, PutReply, Status, Stored, WatchReply, path};
use rpc::RpcError;
use units::Version;

use crate::harness::{Group, TIMEOUT, block_on, heartbeat, watch_request};
use crate::nodes::{Operator, program};

/// Waits until all running replicas agree on the leader and returns its index.
async fn wait_for_leader(group: &Group, running: &[usize]) -> usize {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let mut leaders = Vec::new();
        let mut followers = 0;
        for index in running {
            match Operator::new(group, *index).status(path::STATUS).await {
                200 => leaders.push(*index),
                421 => followers += 1,
                _ => {}
            }
        }
        if let [leader] = leaders[..]
            && followers + 1 == running.len()
        {
            return leader;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no leader among {running:?}")
}

fn profile(warmup_ms: u64) -> serde_json::Value {
    serde_json::json!({ "profile": { "name": "p", "warmup_ms": warmup_ms } })
}

/// Guards against a follower that accepts writes, serves stale reads, or redirects the operator or
/// node to a replica that is not the leader.
#[test]
fn followers_redirect_to_the_leader() {
    let group = Group::start(program(), 3);
    block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        let address = group.addresses[leader].to_string();
        let client = group.client();
        for follower in (0..3).filter(|index| *index != leader) {
            let mut operator = Operator::new(&group, follower);
            let (status, body) = operator.put(0, profile(1)).await;
            assert_eq!(
                (status, body["leader"].as_str()),
                (421, Some(address.as_str()))
            );
            for path in [path::DECLARATIONS, path::STATUS, path::REPORT, path::AUDIT] {
                let failure: Failure = operator.get(path).await;
                assert_eq!(failure.leader.as_deref(), Some(address.as_str()));
            }
            let peer = group.addresses[follower];
            let limit = Duration::from_secs(2);
            let rejected: Result<api::HeartbeatReply, _> = client
                .post(peer, path::HEARTBEAT, &heartbeat("b", 0), limit)
                .await;
            let Err(RpcError::Status {
                status: 421,
                message,
                ..
            }) = rejected
            else {
                panic!("{rejected:?}")
            };
            let failure: Failure = serde_json::from_str(&message).unwrap();
            assert_eq!(failure.leader.as_deref(), Some(address.as_str()));
        }
    });
}

/// Guards against a linearizable read that misses a change: only the leader serves it, and only while a
/// quorum confirms that it still leads.
#[test]
fn only_a_confirmed_leader_serves_linearizable_reads() {
    let mut group = Group::start(program(), 3);
    let leader = block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        let mut operator = Operator::new(&group, leader);
        assert_eq!(operator.put(0, profile(1)).await.0, 200);
        for index in 0..3 {
            match read(&group, index, 0).await {
                Ok(reply) => assert_eq!((index, reply.config), (leader, Version(1))),
                Err(RpcError::Status {
                    status: 421,
                    message,
                    ..
                }) => {
                    assert_ne!(index, leader);
                    let failure: Failure = serde_json::from_str(&message).unwrap();
                    let address = group.addresses[leader].to_string();
                    assert_eq!(failure.leader, Some(address.into()));
                }
                Err(other) => panic!("{other:?}"),
            }
        }
        let newer = read(&group, leader, 7).await;
        let refused = matches!(newer, Err(RpcError::Status { status: 409, .. }));
        assert!(refused, "a view of another group: {newer:?}");
        leader
    });
    (0..3)
        .filter(|index| *index != leader)
        .for_each(|index| group.kill(index));
    block_on(async {
        let alone = read(&group, leader, 1).await;
        assert!(alone.is_err(), "{alone:?}");
    });
}

/// Reads what is newer than a configuration version from one replica.
async fn read(group: &Group, index: usize, config: u64) -> Result<WatchReply, RpcError> {
    let request = watch_request(config, 0);
    let peer = group.addresses[index];
    let limit = Duration::from_secs(2);
    group.client().post(peer, path::READ, &request, limit).await
}

/// Guards against a follower whose long polls miss changes that the leader accepted.
#[test]
fn every_replica_serves_long_polls() {
    let group = Group::start(program(), 3);
    block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        let client = group.client();
        let polls = group.addresses.iter().map(|peer| {
            let (client, peer) = (client.clone(), *peer);
            tokio::spawn(async move {
                let request = watch_request(0, 9_000);
                client
                    .post::<_, WatchReply>(peer, path::WATCH, &request, TIMEOUT)
                    .await
            })
        });
        let polls: Vec<_> = polls.collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let start = Instant::now();
        assert_eq!(
            Operator::new(&group, leader).put(0, profile(1)).await.0,
            200
        );
        for reply in polls {
            assert_eq!(reply.await.unwrap().unwrap().config, Version(1));
        }
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    });
}

/// Guards against accepting the changes of two operators to the same version.
#[test]
fn one_of_concurrent_changes_is_accepted() {
    let group = Group::start(program(), 3);
    block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        for round in 0..5 {
            let spawn_put = |number: u64| {
                let mut operator = Operator::new(&group, leader);
                operator.last_key = 100 * (round + 1) + number;
                tokio::spawn(async move { operator.put(round, profile(number)).await })
            };
            let puts: Vec<_> = (0..8).map(spawn_put).collect();
            let mut statuses = Vec::new();
            for put in puts {
                let (status, body) = put.await.unwrap();
                if status == 409 {
                    assert_eq!(body["current"], round + 1);
                    assert_eq!(body["author"], "ann");
                }
                statuses.push(status);
            }
            statuses.sort_unstable();
            assert_eq!(statuses, [200, 409, 409, 409, 409, 409, 409, 409]);
        }
    });
}

/// Guards against losing or reverting accepted changes when every replica restarts.
#[test]
fn restart_of_all_replicas_keeps_declarations() {
    let mut group = Group::start(program(), 3);
    for round in 0..3 {
        block_on(async {
            let leader = wait_for_leader(&group, &[0, 1, 2]).await;
            let mut operator = Operator::new(&group, leader);
            let list: Vec<Stored> = operator.get(path::DECLARATIONS).await;
            let versions: Vec<_> = list.iter().map(|stored| stored.version.0).collect();
            let expected = if round == 0 { vec![] } else { vec![round] };
            assert_eq!(versions, expected);
            assert_eq!(operator.put(round, profile(round)).await.0, 200);
        });
        (0..3).for_each(|index| group.kill(index));
        group.run_all();
    }
}

/// Guards against a group that loses accepted changes, or accepts no more, after its leader is
/// killed.
#[test]
fn changes_continue_after_leader_loss() {
    let mut group = Group::start(program(), 3);
    let (first, version) = block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        let (_, body) = Operator::new(&group, leader).put(0, profile(1)).await;
        let reply: PutReply = serde_json::from_value(body).unwrap();
        (leader, reply.version.0)
    });
    group.kill(first);
    let others: Vec<_> = (0..3).filter(|index| *index != first).collect();
    block_on(async {
        let leader = wait_for_leader(&group, &others).await;
        let mut operator = Operator::new(&group, leader);
        assert_eq!(operator.put(version, profile(2)).await.0, 200);
        let status: Status = operator.get(path::STATUS).await;
        assert_eq!(status.replicas.len(), 3);
    });
}

/// Guards against a graceful stop of the leader that leaves operators and nodes waiting for an
/// election timeout.
#[test]
fn stopping_leader_transfers_leadership() {
    let mut group = Group::start(program(), 3);
    let first = block_on(wait_for_leader(&group, &[0, 1, 2]));
    let elapsed = group.stop(first);
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    let others: Vec<_> = (0..3).filter(|index| *index != first).collect();
    block_on(wait_for_leader(&group, &others));
    let lines = group.output_lines(first);
    let transferred = lines
        .iter()
        .any(|line| line.contains("transferred leadership"));
    assert!(transferred, "{lines:?}");
}

/// Guards against nodes that wait for changes at a replica which receives none itself. A node
/// without tables still gets its old tables, which are better than none.
#[test]
fn replica_without_leader_contact_rejects_up_to_date_nodes() {
    let mut group = Group::start(program(), 3);
    block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        let mut operator = Operator::new(&group, leader);
        assert_eq!(operator.put(0, profile(1)).await.0, 200);
        // Every replica must have the change before two of them are killed.
        for peer in &group.addresses {
            let (client, request) = (group.client(), watch_request(0, 5_000));
            let reply: WatchReply = client
                .post(*peer, path::WATCH, &request, TIMEOUT)
                .await
                .unwrap();
            assert_eq!(reply.config, Version(1));
        }
    });
    group.kill(0);
    group.kill(1);
    block_on(async {
        let (client, peer) = (group.client(), group.addresses[2]);
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let up_to_date = watch_request(1, 100);
            let reply: Result<WatchReply, _> =
                client.post(peer, path::WATCH, &up_to_date, TIMEOUT).await;
            match reply {
                Err(RpcError::Status { status: 503, .. }) => break,
                other => assert!(Instant::now() < deadline, "{other:?}"),
            }
        }
        let empty_node = watch_request(0, 0);
        let reply: WatchReply = client
            .post(peer, path::WATCH, &empty_node, TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.config, Version(1));
        let mut operator = Operator::new(&group, 2);
        let (status, _) = operator.put(1, profile(2)).await;
        assert!([503, 504].contains(&status), "{status}");
        assert_eq!(operator.status(path::DECLARATIONS).await, 503);
    });
}

/// Guards against nodes that get no tables between a restart of all replicas and the election of a
/// leader. A replica without a quorum serves the state that it knows to be committed, marked as
/// possibly out of date.
#[test]
fn replica_without_quorum_serves_committed_state() {
    let mut group = Group::start(program(), 3);
    block_on(async {
        let leader = wait_for_leader(&group, &[0, 1, 2]).await;
        // With one replica stopped, a change is committed only once replica 1 has stored it.
        // Otherwise the other two may commit all three changes before it receives one.
        let stopped = (0..3).find(|index| ![1, leader].contains(index)).unwrap();
        group.kill(stopped);
        let mut operator = Operator::new(&group, leader);
        for version in 0..3 {
            assert_eq!(operator.put(version, profile(version + 1)).await.0, 200);
        }
        let reply = watch(&group, leader).await.unwrap();
        assert!(reply.current, "a leader is current");
        for index in 0..3 {
            group.kill(index);
        }
        group.run(1);
        // The replica is ready before it has read its log; nodes retry until they get a reply.
        let deadline = Instant::now() + TIMEOUT;
        let reply = loop {
            match watch(&group, 1).await {
                Ok(reply) => break reply,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
        };
        // The replica sends newer state while it applies its log, then reports that it may be out
        // of date.
        let mut known = reply;
        let rejected = loop {
            assert!(!known.current);
            match watch_after(&group, 1, &known).await {
                Ok(reply) => {
                    assert!(reply.index > known.index, "{reply:?} after {known:?}");
                    known = reply;
                }
                Err(error) => break error,
            }
        };
        assert!(
            matches!(rejected, RpcError::Status { status: 503, .. }),
            "{rejected}"
        );
        // The commit index of the last change may not be stored yet.
        assert!(
            (Version(2)..=Version(3)).contains(&known.config),
            "{known:?}"
        );
        assert_eq!(
            Operator::new(&group, 1).status(path::DECLARATIONS).await,
            503,
            "operator requests need a quorum"
        );
    });
}

async fn watch(group: &Group, index: usize) -> Result<WatchReply, RpcError> {
    let peer = group.addresses[index];
    group
        .client()
        .post(peer, path::WATCH, &watch_request(0, 0), TIMEOUT)
        .await
}

/// Polls as a node that has the state of an earlier reply.
async fn watch_after(
    group: &Group,
    index: usize,
    reply: &WatchReply,
) -> Result<WatchReply, RpcError> {
    let request = api::Watch {
        index: reply.index,
        ..watch_request(reply.config.0, 0)
    };
    let peer = group.addresses[index];
    group
        .client()
        .post(peer, path::WATCH, &request, TIMEOUT)
        .await
}
