//! P8: an accepted profile change is in force everywhere within 5 s and never reverts.
#![expect(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use api::Stored;
use e2e::history::{Kind, MAX_OPS, Op, Put, is_linearizable};
use e2e::operator::{Answer, Operator};
use e2e::{Cluster, LIMIT, Shape, eventually, turn};
use faults::Plan;
use load::backend::unix_ms;
use profile::Declaration;
use reqwest::Method;
use tokio::task::JoinSet;
use units::Version;

/// Target of today.
const IN_FORCE: Duration = Duration::from_secs(5);

fn queue_of(stored: &Stored) -> u64 {
    match &stored.body {
        Declaration::Profile(profile) => profile.concurrency.queue.into(),
        Declaration::Service(_) | Declaration::Route(_) => 0,
    }
}

async fn set_queue(cluster: &Cluster, queue: u32) -> Duration {
    cluster.write_declarations(|web| web["concurrency"]["queue"] = queue.into());
    cluster
        .operator
        .apply(&cluster.declarations(), IN_FORCE)
        .await
}

/// Guards against changes that take longer than 5 s, that get lost when the leader or all
/// replicas restart, and against a restarted replica that serves an older state.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_and_stay() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        web: 2,
        echo: 1,
        ..Shape::default()
    })
    .await;
    for round in 0..3_u32 {
        let took = set_queue(&cluster, 100 + round).await;
        assert!(took <= IN_FORCE, "round {round}: {took:?}");
        let leader = cluster.leader().await.unwrap();
        let node = cluster.controls.get_mut(&leader).unwrap();
        node.process.kill();
        let operator = cluster.operator.clone();
        eventually("another leader", LIMIT, async || {
            operator.status().await.is_some()
        })
        .await;
        let stored = cluster.operator.stored("profile", "web").await.unwrap();
        assert_eq!(queue_of(&stored), u64::from(100 + round));
        cluster.restart_control(leader).await;
    }
    for node in cluster.controls.values_mut() {
        node.process.kill();
    }
    for id in 1..=3 {
        cluster.restart_control(id).await;
    }
    let operator = cluster.operator.clone();
    eventually("a leader", LIMIT, async || {
        operator.status().await.is_some()
    })
    .await;
    let stored = cluster.operator.stored("profile", "web").await.unwrap();
    assert_eq!(queue_of(&stored), 102);
    let took = set_queue(&cluster, 200).await;
    assert!(took <= IN_FORCE, "after the restart: {took:?}");
}

/// Guards against versions that go back at a node: every status of every node is watched while
/// changes are made, a leader is cut off and links delay and lose.
#[tokio::test(flavor = "multi_thread")]
async fn versions_never_go_back() {
    let _turn = turn().await;
    let cluster = Cluster::start(Shape {
        web: 2,
        ..Shape::default()
    })
    .await;
    let slow = Plan {
        delay_ms: 20,
        jitter_ms: 60,
        loss: 0.02,
        ..Plan::default()
    };
    for balancer in &cluster.balancers {
        for link in &balancer.control {
            link.set(slow).unwrap();
        }
    }
    let operator = cluster.operator.clone();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let watch = tokio::spawn(async move {
        let mut over = false;
        let mut newest: BTreeMap<String, u64> = BTreeMap::new();
        let mut seen = 0;
        // Looks once more after the last change.
        while !std::mem::replace(&mut over, *stopped.borrow()) {
            if let Some(status) = operator.status().await {
                for node in status.nodes {
                    let held = newest.entry(node.host.to_string()).or_default();
                    assert!(
                        node.config.0 >= *held,
                        "{} went back to {}",
                        node.host,
                        node.config
                    );
                    *held = node.config.0;
                    seen += 1;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        (seen, newest)
    });
    let mut queue = 300;
    for _ in 0..2 {
        set_queue(&cluster, queue).await;
        let leader = cluster.leader().await.unwrap();
        cluster.isolate(leader, true);
        cluster.pause(1_500).await;
        queue += 1;
        set_queue(&cluster, queue).await;
        cluster.isolate(leader, false);
        cluster.pause(500).await;
        queue += 1;
    }
    stop.send_replace(true);
    let (seen, newest) = watch.await.unwrap();
    assert!(seen > 100, "{seen} statuses");
    let version = cluster.operator.status().await.unwrap().config.0;
    assert!(
        newest.values().all(|held| *held == version),
        "{newest:?}, newest {version}"
    );
}

struct Client {
    operator: Operator,
    /// Replica in use and the others; only the leader takes operations.
    peers: VecDeque<SocketAddr>,
    profile: profile::Profile,
    begin: Instant,
    ops: Arc<Mutex<Vec<Op>>>,
}

impl Client {
    fn now(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_micros()).unwrap()
    }

    fn record(&self, start: u64, end: u64, kind: Kind) {
        self.ops.lock().unwrap().push(Op { start, end, kind });
    }

    async fn read(&mut self) -> Option<u64> {
        let start = self.now();
        let path = "/v1/declarations/profile/web";
        let answer = self
            .operator
            .call(self.peers[0], Method::GET, path, &())
            .await;
        let Answer::Status(200, body) = answer else {
            self.peers.rotate_left(1);
            return None;
        };
        let stored: Stored = serde_json::from_slice(&body).unwrap();
        let (version, value) = (stored.version.0, queue_of(&stored));
        self.record(start, self.now(), Kind::Read { version, value });
        Some(version)
    }

    async fn put(&self, expected: u64, value: u64) {
        let mut profile = self.profile.clone();
        profile.concurrency.queue = u32::try_from(value).unwrap();
        let body = Declaration::Profile(profile);
        let key = format!("{}-{value}", unix_ms());
        let start = self.now();
        let (answer, reply) = self
            .operator
            .put(self.peers[0], body, Version(expected), &key)
            .await;
        let kind = |result| Kind::Put {
            expected,
            value,
            result,
        };
        match (answer, reply) {
            (_, Some(reply)) => {
                self.record(start, self.now(), kind(Put::Accepted(reply.version.0)));
            }
            (Answer::Status(409, body), _) => {
                let conflict: api::Conflict = serde_json::from_slice(&body).unwrap();
                self.record(start, self.now(), kind(Put::Conflict(conflict.current.0)));
            }
            // Not the leader, or not accepted: nothing happened.
            (Answer::Undelivered | Answer::Status(421, _), _) => {}
            (Answer::Status(status, body), _) if (400..500).contains(&status) => {
                panic!("{status}: {}", String::from_utf8_lossy(&body));
            }
            _ => self.record(start, u64::MAX, kind(Put::Unknown)),
        }
    }
}

/// Operators at the same time.
const CLIENTS: u64 = 4;

/// Time between their turns.
const TICK: Duration = Duration::from_millis(400);

/// Guards against histories that no single register explains: concurrent operators with equal
/// versions, lost answers, a leader that is cut off for seconds and one that is killed.
#[tokio::test(flavor = "multi_thread")]
async fn operator_histories_are_linearizable() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        balancers: 1,
        web: 1,
        ..Shape::default()
    })
    .await;
    let stored = cluster.operator.stored("profile", "web").await.unwrap();
    let Declaration::Profile(profile) = stored.body.clone() else {
        panic!("not a profile: {stored:?}");
    };
    let (version, value) = (stored.version.0, queue_of(&stored));
    let ops = Arc::new(Mutex::new(Vec::new()));
    let begin = Instant::now();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let mut client = Client {
            operator: Operator::new(Vec::new()),
            peers: cluster.operator.control.iter().copied().collect(),
            profile: profile.clone(),
            begin,
            ops: Arc::clone(&ops),
        };
        clients.spawn(async move {
            for turn in 0..60 {
                // All at the same time, so that they hold equal versions.
                tokio::time::sleep_until((begin + TICK * turn).into()).await;
                if client.ops.lock().unwrap().len() + 2 * CLIENTS as usize >= MAX_OPS {
                    return;
                }
                if let Some(held) = client.read().await {
                    client
                        .put(held, 1_000 + number * 100 + u64::from(turn))
                        .await;
                }
            }
        });
    }
    cluster.pause(1_500).await;
    let leader = cluster.leader().await.unwrap();
    cluster.isolate(leader, true);
    cluster.pause(2_500).await;
    cluster.isolate(leader, false);
    cluster.pause(1_000).await;
    if let Some(leader) = cluster.leader().await {
        cluster.controls.get_mut(&leader).unwrap().process.kill();
        cluster.pause(1_000).await;
        cluster.restart_control(leader).await;
    }
    clients.join_all().await;
    let ops = ops.lock().unwrap().clone();
    let accepted = ops.iter().filter(|op| {
        matches!(
            op.kind,
            Kind::Put {
                result: Put::Accepted(_),
                ..
            }
        )
    });
    let conflicts = ops.iter().filter(|op| {
        matches!(
            op.kind,
            Kind::Put {
                result: Put::Conflict(_),
                ..
            }
        )
    });
    assert!(conflicts.count() > 5, "no equal versions: {ops:?}");
    assert!(
        accepted.count() > 10 && ops.len() > 30,
        "too little happened: {ops:?}"
    );
    assert!(is_linearizable(&ops, version, value), "{ops:?}");
    // The same history with one stale read added has to be refused.
    let end = ops
        .iter()
        .map(|op| op.end)
        .filter(|end| *end != u64::MAX)
        .max()
        .unwrap();
    let stale = Op {
        start: end + 1,
        end: end + 2,
        kind: Kind::Read { version, value },
    };
    let with_stale: Vec<_> = ops.iter().copied().chain([stale]).collect();
    assert!(!is_linearizable(&with_stale, version, value));
}

/// Guards against an operator's resend that is applied twice, and against two operators with
/// equal versions who both succeed.
#[tokio::test(flavor = "multi_thread")]
async fn resends_are_applied_once() {
    let _turn = turn().await;
    let cluster = Cluster::start(Shape {
        balancers: 1,
        web: 1,
        ..Shape::default()
    })
    .await;
    let stored = cluster.operator.stored("profile", "web").await.unwrap();
    let Declaration::Profile(mut profile) = stored.body.clone() else {
        panic!("not a profile: {stored:?}");
    };
    let leader = cluster.leader().await.unwrap();
    let peer = cluster.controls[&leader].address.into();
    profile.concurrency.queue = 77;
    let body = Declaration::Profile(profile.clone());
    let operator = &cluster.operator;
    let same = format!("{}-same", unix_ms());
    let (answer, first) = operator
        .put(peer, body.clone(), stored.version, &same)
        .await;
    assert!(first.is_some(), "{answer}");
    let (_, second) = operator.put(peer, body, stored.version, &same).await;
    let (first, second) = (first.unwrap(), second.unwrap());
    assert_eq!(first.version, second.version);
    assert!(!first.repeated && second.repeated);
    profile.concurrency.queue = 78;
    let other = Declaration::Profile(profile);
    let (answer, reply) = operator
        .put(peer, other, stored.version, &format!("{}-other", unix_ms()))
        .await;
    assert!(
        matches!(answer, Answer::Status(409, _)) && reply.is_none(),
        "{answer:?}"
    );
    let now = operator.stored("profile", "web").await.unwrap();
    assert_eq!((now.version, queue_of(&now)), (first.version, 77));
}
