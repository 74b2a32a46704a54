//! Three replicas.

use std::time::{Duration, Instant};

use api::{Failure, PutReply, Status, Stored, WatchReply, path};
use rpc::RpcError;
use units::Version;

use crate::harness::{Group, LIMIT, beat, block_on, poll};
use crate::nodes::{Operator, program};

/// Index of the leader, once all agree.
async fn leader(group: &Group, alive: &[usize]) -> usize {
    let deadline = Instant::now() + LIMIT;
    while Instant::now() < deadline {
        let mut leads = Vec::new();
        let mut follow = 0;
        for index in alive {
            match Operator::new(group, *index).status(path::STATUS).await {
                200 => leads.push(*index),
                421 => follow += 1,
                _ => {}
            }
        }
        if let [leader] = leads[..]
            && follow + 1 == alive.len()
        {
            return leader;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no leader among {alive:?}")
}

fn profile(warmup: u64) -> serde_json::Value {
    serde_json::json!({ "profile": { "name": "p", "warmup_ms": warmup } })
}

/// Guards against a follower that answers writes or stale reads itself, or
/// sends the operator or node to a wrong place.
#[test]
fn followers_name_the_leader() {
    let group = Group::start(program(), 3);
    block_on(async {
        let leader = leader(&group, &[0, 1, 2]).await;
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
            let refused: Result<api::HeartbeatReply, _> = client
                .post(peer, path::HEARTBEAT, &beat("b", 0), limit)
                .await;
            let Err(RpcError::Status {
                status: 421,
                message,
                ..
            }) = refused
            else {
                panic!("{refused:?}")
            };
            let failure: Failure = serde_json::from_str(&message).unwrap();
            assert_eq!(failure.leader.as_deref(), Some(address.as_str()));
        }
    });
}

/// Guards against a follower whose long polls miss changes that the leader accepted.
#[test]
fn every_replica_serves_long_polls() {
    let group = Group::start(program(), 3);
    block_on(async {
        let leader = leader(&group, &[0, 1, 2]).await;
        let client = group.client();
        let asked = group.addresses.iter().map(|peer| {
            let (client, peer) = (client.clone(), *peer);
            tokio::spawn(async move {
                let poll = poll(0, 9_000);
                client
                    .post::<_, WatchReply>(peer, path::WATCH, &poll, LIMIT)
                    .await
            })
        });
        let asked: Vec<_> = asked.collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let start = Instant::now();
        assert_eq!(
            Operator::new(&group, leader).put(0, profile(1)).await.0,
            200
        );
        for reply in asked {
            assert_eq!(reply.await.unwrap().unwrap().config, Version(1));
        }
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    });
}

/// Guards against two operators whose changes from the same version both succeed.
#[test]
fn one_of_equal_versions_is_accepted() {
    let group = Group::start(program(), 3);
    block_on(async {
        let leader = leader(&group, &[0, 1, 2]).await;
        for round in 0..5 {
            let race = |number: u64| {
                let mut operator = Operator::new(&group, leader);
                operator.keys = 100 * (round + 1) + number;
                tokio::spawn(async move { operator.put(round, profile(number)).await })
            };
            let racers: Vec<_> = (0..8).map(race).collect();
            let mut codes = Vec::new();
            for racer in racers {
                let (status, body) = racer.await.unwrap();
                if status == 409 {
                    assert_eq!(body["current"], round + 1);
                    assert_eq!(body["author"], "ann");
                }
                codes.push(status);
            }
            codes.sort_unstable();
            assert_eq!(codes, [200, 409, 409, 409, 409, 409, 409, 409]);
        }
    });
}

/// Guards against accepted changes that are lost or reverted when every replica restarts.
#[test]
fn a_restart_of_all_replicas_keeps_everything() {
    let mut group = Group::start(program(), 3);
    for round in 0..3 {
        block_on(async {
            let leader = leader(&group, &[0, 1, 2]).await;
            let mut operator = Operator::new(&group, leader);
            let list: Vec<Stored> = operator.get(path::DECLARATIONS).await;
            let versions: Vec<_> = list.iter().map(|stored| stored.version.0).collect();
            let want = if round == 0 { vec![] } else { vec![round] };
            assert_eq!(versions, want);
            assert_eq!(operator.put(round, profile(round)).await.0, 200);
        });
        (0..3).for_each(|index| group.kill(index));
        group.run_all();
    }
}

/// Guards against changes that stop, or go back, with the leader's process.
#[test]
fn changes_go_on_after_the_leader_is_lost() {
    let mut group = Group::start(program(), 3);
    let (first, version) = block_on(async {
        let leader = leader(&group, &[0, 1, 2]).await;
        let (_, body) = Operator::new(&group, leader).put(0, profile(1)).await;
        let reply: PutReply = serde_json::from_value(body).unwrap();
        (leader, reply.version.0)
    });
    group.kill(first);
    let others: Vec<_> = (0..3).filter(|index| *index != first).collect();
    block_on(async {
        let leader = leader(&group, &others).await;
        let mut operator = Operator::new(&group, leader);
        assert_eq!(operator.put(version, profile(2)).await.0, 200);
        let status: Status = operator.get(path::STATUS).await;
        assert_eq!(status.replicas.len(), 3);
    });
}

/// Guards against a planned stop of the leader that leaves operators and nodes
/// waiting for an election timeout.
#[test]
fn a_stopping_leader_hands_over() {
    let mut group = Group::start(program(), 3);
    let first = block_on(leader(&group, &[0, 1, 2]));
    let took = group.stop(first);
    assert!(took < Duration::from_secs(5), "{took:?}");
    let others: Vec<_> = (0..3).filter(|index| *index != first).collect();
    block_on(leader(&group, &others));
    let lines = group.lines(first);
    let told = lines
        .iter()
        .any(|line| line.contains("handed leadership over"));
    assert!(told, "{lines:?}");
}

/// Guards against nodes that wait for changes at a replica which gets none
/// itself; a node without tables is still better off with old ones.
#[test]
fn a_replica_without_contact_sends_nodes_elsewhere() {
    let mut group = Group::start(program(), 3);
    block_on(async {
        let leader = leader(&group, &[0, 1, 2]).await;
        let mut operator = Operator::new(&group, leader);
        assert_eq!(operator.put(0, profile(1)).await.0, 200);
        // Every replica has the change before two of them are lost.
        for peer in &group.addresses {
            let (client, poll) = (group.client(), poll(0, 5_000));
            let reply: WatchReply = client.post(*peer, path::WATCH, &poll, LIMIT).await.unwrap();
            assert_eq!(reply.config, Version(1));
        }
    });
    group.kill(0);
    group.kill(1);
    block_on(async {
        let (client, peer) = (group.client(), group.addresses[2]);
        let deadline = Instant::now() + LIMIT;
        loop {
            let current = poll(1, 100);
            let reply: Result<WatchReply, _> =
                client.post(peer, path::WATCH, &current, LIMIT).await;
            match reply {
                Err(RpcError::Status { status: 503, .. }) => break,
                other => assert!(Instant::now() < deadline, "{other:?}"),
            }
        }
        let newcomer = poll(0, 0);
        let reply: WatchReply = client
            .post(peer, path::WATCH, &newcomer, LIMIT)
            .await
            .unwrap();
        assert_eq!(reply.config, Version(1));
        let mut operator = Operator::new(&group, 2);
        let (status, _) = operator.put(1, profile(2)).await;
        assert!([503, 504].contains(&status), "{status}");
        assert_eq!(operator.status(path::DECLARATIONS).await, 503);
    });
}

/// Guards against nodes that have nothing to go by after everything stopped, until a leader is
/// elected: a replica that is alone shows what it knows to be committed, and says that it may be
/// behind.
#[test]
fn a_replica_alone_shows_what_was_committed() {
    let mut group = Group::start(program(), 3);
    block_on(async {
        let leader = leader(&group, &[0, 1, 2]).await;
        // With one away, a change is only committed once replica 1 has stored it. Otherwise the two
        // others may commit all three before it knows of one.
        let away = (0..3).find(|index| ![1, leader].contains(index)).unwrap();
        group.kill(away);
        let mut operator = Operator::new(&group, leader);
        for version in 0..3 {
            assert_eq!(operator.put(version, profile(version + 1)).await.0, 200);
        }
        let reply = ask(&group, leader).await.unwrap();
        assert!(reply.current, "a leader is current");
        for index in 0..3 {
            group.kill(index);
        }
        group.run(1);
        // It is ready before it has read its log; nodes ask until they get an answer.
        let deadline = Instant::now() + LIMIT;
        let reply = loop {
            match ask(&group, 1).await {
                Ok(reply) => break reply,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
        };
        // It answers while it still applies its log, then says that it may be behind.
        let mut known = reply;
        let refused = loop {
            assert!(!known.current);
            match ask_again(&group, 1, &known).await {
                Ok(reply) => {
                    assert!(reply.index > known.index, "{reply:?} after {known:?}");
                    known = reply;
                }
                Err(error) => break error,
            }
        };
        assert!(
            matches!(refused, RpcError::Status { status: 503, .. }),
            "{refused}"
        );
        // That the last change is committed need not be stored.
        assert!(
            (Version(2)..=Version(3)).contains(&known.config),
            "{known:?}"
        );
        assert_eq!(
            Operator::new(&group, 1).status(path::DECLARATIONS).await,
            503,
            "only a quorum answers operators"
        );
    });
}

async fn ask(group: &Group, index: usize) -> Result<WatchReply, RpcError> {
    let peer = group.addresses[index];
    group
        .client()
        .post(peer, path::WATCH, &poll(0, 0), LIMIT)
        .await
}

/// What a replica answers a node that knows as much as an earlier answer told.
async fn ask_again(
    group: &Group,
    index: usize,
    reply: &WatchReply,
) -> Result<WatchReply, RpcError> {
    let poll = api::Watch {
        index: reply.index,
        ..poll(reply.config.0, 0)
    };
    let peer = group.addresses[index];
    group.client().post(peer, path::WATCH, &poll, LIMIT).await
}
