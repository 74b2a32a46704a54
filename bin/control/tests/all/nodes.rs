//! Heartbeats, long polls and counts over the sealed paths.

use std::path::Path;
use std::time::{Duration, Instant};

use api::{
    Announcement, Bucket, BurnBatch, BurnReply, Counts, Heartbeat, HeartbeatReply, MemberState,
    Report, Role, Status, TableUpdate, Watch, WatchReply, path,
};
use rpc::{Client, Key, RpcError};
use units::{Epoch, Incarnation, Slots, Version, Weight};

use crate::harness::{Group, LIMIT, beat, block_on, poll};

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_control"))
}

/// Operator of the JSON paths.
pub struct Operator {
    http: reqwest::Client,
    base: String,
    /// Number of the last operator key.
    pub keys: u64,
}

impl Operator {
    pub fn new(group: &Group, index: usize) -> Self {
        Self {
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            base: format!("http://{}", group.addresses[index]),
            keys: 0,
        }
    }

    pub async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("{}{path}", self.base);
        let response = self.http.get(url).send().await.unwrap();
        let status = response.status();
        let text = response.text().await.unwrap();
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{status} {text}: {e}"))
    }

    /// Status of a read; 0 without an answer.
    pub async fn status(&self, path: &str) -> u16 {
        let url = format!("{}{path}", self.base);
        let response = self.http.get(url).send().await;
        response.map_or(0, |response| response.status().as_u16())
    }

    /// Status and body of a put.
    pub async fn put(
        &mut self,
        expected: u64,
        body: serde_json::Value,
    ) -> (u16, serde_json::Value) {
        self.keys += 1;
        let kind = if body.get("profile").is_some() {
            "profile"
        } else {
            "service"
        };
        let name = body[kind]["name"].as_str().unwrap().to_owned();
        let now = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
        let request = serde_json::json!({
            "expected": expected,
            "key": format!("{}-{}-{}", now.as_millis(), self.base, self.keys),
            "author": "ann",
            "body": body,
        });
        let url = format!("{}{}/{kind}/{name}", self.base, path::DECLARATIONS);
        let sent = self.http.put(url).body(request.to_string()).send().await;
        let response = sent.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        (status, serde_json::from_str(&text).unwrap())
    }

    /// Profile `p` and service `s`, versions 1 and 2.
    pub async fn declare(&mut self) {
        let deadline = Instant::now() + LIMIT;
        while self.status(path::STATUS).await != 200 && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let profile = serde_json::json!({ "profile": { "name": "p", "protocol": "http",
            "classes": [{ "name": "c", "path": "/", "idempotent": true, "deadline_ms": 100 }],
            "objectives": [{ "class": "c", "latency_ms": 100, "share": 99 }] } });
        assert_eq!(self.put(0, profile).await.0, 200);
        let service = serde_json::json!({ "service": {
            "name": "s", "tenant": "t", "profile": "p", "address": "10.0.0.1:80" } });
        assert_eq!(self.put(0, service).await.0, 200);
    }
}

fn agent(host: &str, start: u64, state: Option<MemberState>) -> Heartbeat {
    let address = "127.0.0.1:9000".parse().unwrap();
    Heartbeat {
        role: Role::Agent,
        incarnation: Incarnation(start),
        backend: Some(Announcement {
            service: "s".parse().unwrap(),
            packets: address,
            http: address,
            slots: Slots(2),
            weight: Weight(100),
            state,
        }),
        ..beat(host, 0)
    }
}

/// Sends until the replica leads.
pub async fn send(
    client: &Client,
    group: &Group,
    beat: &Heartbeat,
) -> Result<HeartbeatReply, RpcError> {
    let deadline = Instant::now() + LIMIT;
    loop {
        let limit = Duration::from_secs(2);
        let peer = group.addresses[0];
        let result = client.post(peer, path::HEARTBEAT, beat, limit).await;
        match result {
            Err(RpcError::Status { status: 503, .. }) if Instant::now() < deadline => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            other => return other,
        }
    }
}

async fn ask(client: &Client, group: &Group, watch: &Watch) -> WatchReply {
    let peer = group.addresses[0];
    client.post(peer, path::WATCH, watch, LIMIT).await.unwrap()
}

/// Guards against requests of processes without the key, and of a host whose
/// clock went back.
#[test]
fn strangers_and_old_processes_are_refused() {
    let group = Group::start(program(), 1);
    block_on(async {
        Operator::new(&group, 0).declare().await;
        let stranger = Client::new(Key::from([1; 32]));
        let refused = send(&stranger, &group, &beat("b", 0)).await;
        assert!(
            matches!(refused, Err(RpcError::Status { status: 403, .. })),
            "{refused:?}"
        );
        let client = group.client();
        let serving = Some(MemberState::Serving);
        assert!(
            send(&client, &group, &agent("a", 5, serving))
                .await
                .unwrap()
                .known
        );
        let reply = ask(&client, &group, &poll(0, 0)).await;
        assert_eq!(reply.config, Version(2));
        let mut watch = poll(2, 3_000);
        watch.index = reply.index;
        let reply = ask(&client, &group, &watch).await;
        assert_eq!(reply.tables.len(), 1, "{reply:?}");
        let old = send(&client, &group, &agent("a", 4, serving)).await;
        assert!(
            matches!(old, Err(RpcError::Status { status: 409, .. })),
            "{old:?}"
        );
    });
}

/// Guards against a node that misses hundreds of changes and gets none, some,
/// or an older version of them.
#[test]
fn a_node_catches_up_after_hundreds_of_changes() {
    let group = Group::start(program(), 1);
    block_on(async {
        let client = group.client();
        let mut operator = Operator::new(&group, 0);
        operator.declare().await;
        let first = ask(&client, &group, &poll(0, 0)).await;
        let TableUpdate::Snapshot(mut table) = first.tables[0].clone() else {
            panic!("{first:?}")
        };
        for version in 2..302 {
            let expected = if version == 2 { 0 } else { version };
            let body = serde_json::json!({ "profile": { "name": "q", "warmup_ms": version } });
            assert_eq!(operator.put(expected, body).await.0, 200);
        }
        let held = first.index;
        let mut newest = ask(&client, &group, &poll(302, 0)).await.index;
        for epoch in 1..=20 {
            let state = [None, Some(MemberState::Serving)][epoch as usize % 2];
            send(&client, &group, &agent("a", 5, state)).await.unwrap();
            let mut watch = poll(302, 5_000);
            watch.index = newest;
            let reply = ask(&client, &group, &watch).await;
            assert_eq!(reply.tables.len(), 1);
            newest = reply.index;
        }
        let mut watch = poll(2, 0);
        watch.index = held;
        let reply = ask(&client, &group, &watch).await;
        assert_eq!(reply.config, Version(302));
        assert!(table.apply(&reply.tables[0]));
        assert_eq!((table.epoch, table.members.len()), (Epoch(21), 0));
        // Held and newer than held: nothing comes, above all nothing older.
        for config in [302, 400] {
            watch.config = Version(config);
            watch.index = newest + config - 302;
            let reply = ask(&client, &group, &watch).await;
            assert_eq!((reply.config, reply.tables.len()), (Version(config), 0));
        }
    });
}

/// Guards against counts of a resent batch, and a silent agent reported as good.
#[test]
fn batches_count_once_and_silence_is_told() {
    let group = Group::start(program(), 1);
    block_on(async {
        let client = group.client();
        let operator = &mut Operator::new(&group, 0);
        operator.declare().await;
        for host in ["a", "silent"] {
            let mut beat = agent(host, 5, Some(MemberState::Serving));
            beat.backend
                .as_mut()
                .unwrap()
                .packets
                .set_port(host.len() as u16);
            send(&client, &group, &beat).await.unwrap();
        }
        let counts = Counts {
            good: 90,
            bad: 10,
            broken: 1,
            ..Counts::default()
        };
        let minute = std::time::SystemTime::UNIX_EPOCH
            .elapsed()
            .unwrap()
            .as_secs()
            / 60;
        let batch = BurnBatch {
            host: "a".parse().unwrap(),
            incarnation: Incarnation(5),
            service: "s".parse().unwrap(),
            number: 1,
            buckets: vec![Bucket {
                minute,
                class: Some("c".parse().unwrap()),
                counts,
            }],
        };
        for _ in 0..3 {
            let peer = group.addresses[0];
            let reply: BurnReply = client.post(peer, path::BURN, &batch, LIMIT).await.unwrap();
            assert_eq!(reply.number, 1);
        }
        let report: Report = operator.get(path::REPORT).await;
        let service = &report.services[0];
        assert_eq!(service.counts, counts);
        assert_eq!(service.objectives[0].windows[0].rate, Some(10.0));
        assert_eq!(service.measured, ["a".parse().unwrap()]);
        assert_eq!(service.silent, ["silent".parse().unwrap()]);
        let other = BurnBatch {
            service: "other".parse().unwrap(),
            ..batch
        };
        let unknown: Result<BurnReply, _> = client
            .post(group.addresses[0], path::BURN, &other, LIMIT)
            .await;
        assert!(matches!(unknown, Err(RpcError::Status { status: 404, .. })));
    });
}

/// Guards against a version reported in force that a live node lacks.
#[test]
fn in_force_follows_the_nodes() {
    let group = Group::start(program(), 1);
    block_on(async {
        let client = group.client();
        let mut operator = Operator::new(&group, 0);
        operator.declare().await;
        let mut seen = Vec::new();
        // Node b has version 2 only from the sixth second on.
        for lags in [1, 1, 1, 1, 1, 1, 2, 2, 2] {
            for (host, config) in [("a", 2), ("b", lags)] {
                send(&client, &group, &beat(host, config)).await.unwrap();
            }
            let status: Status = operator.get(path::STATUS).await;
            let missing = status.pending.map(|pending| pending.missing);
            seen.push((status.in_force, missing));
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        let lacks: Vec<units::HostName> = vec!["b".parse().unwrap()];
        for (in_force, missing) in &seen[..6] {
            assert!(*in_force < Version(2), "{seen:?}");
            assert_eq!(*missing, Some(lacks.clone()), "{seen:?}");
        }
        assert_eq!(seen[8], (Version(2), None), "{seen:?}");
    });
}
