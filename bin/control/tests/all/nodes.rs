//! Heartbeats, long polls and request counts over the sealed endpoints.

use std::path::Path;
use std::time::{Duration, Instant};

use api::{
    Announcement, Bucket, BurnBatch, BurnReply, Counts, Heartbeat, HeartbeatReply, MemberState,
    Report, Role, Status, TableUpdate, Watch, WatchReply, path,
};
use rpc::{Client, Key, RpcError};
use units::{Epoch, Incarnation, Slots, Version, Weight};

use crate::harness::{Group, TIMEOUT, block_on, heartbeat, watch_request};

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_control"))
}

/// Client of the JSON endpoints for operators.
pub struct Operator {
    http: reqwest::Client,
    base: String,
    /// Number of the last idempotency key.
    pub last_key: u64,
}

impl Operator {
    pub fn new(group: &Group, index: usize) -> Self {
        Self {
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            base: format!("http://{}", group.addresses[index]),
            last_key: 0,
        }
    }

    pub async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("{}{path}", self.base);
        let response = self.http.get(url).send().await.unwrap();
        let status = response.status();
        let text = response.text().await.unwrap();
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{status} {text}: {e}"))
    }

    /// Returns the status of a GET request, or 0 without a response.
    pub async fn status(&self, path: &str) -> u16 {
        let url = format!("{}{path}", self.base);
        let response = self.http.get(url).send().await;
        response.map_or(0, |response| response.status().as_u16())
    }

    /// Returns the status and body of a PUT request for a declaration.
    pub async fn put(
        &mut self,
        expected: u64,
        body: serde_json::Value,
    ) -> (u16, serde_json::Value) {
        self.last_key += 1;
        let kind = if body.get("profile").is_some() {
            "profile"
        } else {
            "service"
        };
        let name = body[kind]["name"].as_str().unwrap().to_owned();
        let now = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
        let request = serde_json::json!({
            "expected": expected,
            "key": format!("{}-{}-{}", now.as_millis(), self.base, self.last_key),
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

    /// Declares profile `p` and service `s`, as versions 1 and 2.
    pub async fn declare(&mut self) {
        let deadline = Instant::now() + TIMEOUT;
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

fn agent_heartbeat(host: &str, incarnation: u64, state: Option<MemberState>) -> Heartbeat {
    let address = "127.0.0.1:9000".parse().unwrap();
    Heartbeat {
        role: Role::Agent,
        incarnation: Incarnation(incarnation),
        backend: Some(Announcement {
            service: "s".parse().unwrap(),
            packets: address,
            http: address,
            slots: Slots(2),
            weight: Weight(100),
            state,
        }),
        ..heartbeat(host, 0)
    }
}

/// Sends a heartbeat, repeatedly while the replica is not the leader yet.
async fn send_heartbeat(
    client: &Client,
    group: &Group,
    heartbeat: &Heartbeat,
) -> Result<HeartbeatReply, RpcError> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let limit = Duration::from_secs(2);
        let peer = group.addresses[0];
        let result = client.post(peer, path::HEARTBEAT, heartbeat, limit).await;
        match result {
            Err(RpcError::Status { status: 503, .. }) if Instant::now() < deadline => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            other => return other,
        }
    }
}

async fn watch(client: &Client, group: &Group, request: &Watch) -> WatchReply {
    let peer = group.addresses[0];
    client
        .post(peer, path::WATCH, request, TIMEOUT)
        .await
        .unwrap()
}

/// Guards against accepting requests of processes without the key, or of a host whose clock went
/// back, so that its new process has an older incarnation.
#[test]
fn foreign_keys_and_older_incarnations_are_rejected() {
    let group = Group::start(program(), 1);
    block_on(async {
        Operator::new(&group, 0).declare().await;
        let foreign_client = Client::new(Key::from([1; 32]));
        let rejected = send_heartbeat(&foreign_client, &group, &heartbeat("b", 0)).await;
        assert!(
            matches!(rejected, Err(RpcError::Status { status: 403, .. })),
            "{rejected:?}"
        );
        let client = group.client();
        let serving = Some(MemberState::Serving);
        assert!(
            send_heartbeat(&client, &group, &agent_heartbeat("a", 5, serving))
                .await
                .unwrap()
                .known
        );
        let reply = watch(&client, &group, &watch_request(0, 0)).await;
        assert_eq!(reply.config, Version(2));
        let mut request = watch_request(2, 3_000);
        request.index = reply.index;
        let reply = watch(&client, &group, &request).await;
        assert_eq!(reply.tables.len(), 1, "{reply:?}");
        let older = send_heartbeat(&client, &group, &agent_heartbeat("a", 4, serving)).await;
        assert!(
            matches!(older, Err(RpcError::Status { status: 409, .. })),
            "{older:?}"
        );
    });
}

/// Guards against a node that missed hundreds of changes and receives none, only some, or an
/// older version of them.
#[test]
fn node_catches_up_after_hundreds_of_changes() {
    let group = Group::start(program(), 1);
    block_on(async {
        let client = group.client();
        let mut operator = Operator::new(&group, 0);
        operator.declare().await;
        let first = watch(&client, &group, &watch_request(0, 0)).await;
        let TableUpdate::Snapshot(mut table) = first.tables[0].clone() else {
            panic!("{first:?}")
        };
        for version in 2..302 {
            let expected = if version == 2 { 0 } else { version };
            let body = serde_json::json!({ "profile": { "name": "q", "warmup_ms": version } });
            assert_eq!(operator.put(expected, body).await.0, 200);
        }
        let known_index = first.index;
        let mut newest = watch(&client, &group, &watch_request(302, 0)).await.index;
        for epoch in 1..=20 {
            let state = [None, Some(MemberState::Serving)][epoch as usize % 2];
            send_heartbeat(&client, &group, &agent_heartbeat("a", 5, state))
                .await
                .unwrap();
            let mut request = watch_request(302, 5_000);
            request.index = newest;
            let reply = watch(&client, &group, &request).await;
            assert_eq!(reply.tables.len(), 1);
            newest = reply.index;
        }
        let mut request = watch_request(2, 0);
        request.index = known_index;
        let reply = watch(&client, &group, &request).await;
        assert_eq!(reply.config, Version(302));
        assert!(table.apply(&reply.tables[0]));
        assert_eq!((table.epoch, table.members.len()), (Epoch(21), 0));
        // A node with the newest version, or a newer one, receives nothing, above all nothing older.
        for config in [302, 400] {
            request.config = Version(config);
            request.index = newest + config - 302;
            let reply = watch(&client, &group, &request).await;
            assert_eq!((reply.config, reply.tables.len()), (Version(config), 0));
        }
    });
}

/// Guards against counting a resent batch twice, and against reporting an agent without batches
/// as good.
#[test]
fn resent_batches_count_once_and_silent_agents_are_reported() {
    let group = Group::start(program(), 1);
    block_on(async {
        let client = group.client();
        let operator = &mut Operator::new(&group, 0);
        operator.declare().await;
        for host in ["a", "silent"] {
            let mut heartbeat = agent_heartbeat(host, 5, Some(MemberState::Serving));
            heartbeat
                .backend
                .as_mut()
                .unwrap()
                .packets
                .set_port(host.len() as u16);
            send_heartbeat(&client, &group, &heartbeat).await.unwrap();
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
            let reply: BurnReply = client
                .post(peer, path::BURN, &batch, TIMEOUT)
                .await
                .unwrap();
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
            .post(group.addresses[0], path::BURN, &other, TIMEOUT)
            .await;
        assert!(matches!(unknown, Err(RpcError::Status { status: 404, .. })));
    });
}

/// Guards against reporting a version as in force while a live node lacks it.
#[test]
fn version_is_in_force_once_every_live_node_has_it() {
    let group = Group::start(program(), 1);
    block_on(async {
        let client = group.client();
        let mut operator = Operator::new(&group, 0);
        operator.declare().await;
        let mut statuses = Vec::new();
        // Node b reports version 2 only from the sixth second on.
        for version in [1, 1, 1, 1, 1, 1, 2, 2, 2] {
            for (host, config) in [("a", 2), ("b", version)] {
                send_heartbeat(&client, &group, &heartbeat(host, config))
                    .await
                    .unwrap();
            }
            let status: Status = operator.get(path::STATUS).await;
            let missing = status.pending.map(|pending| pending.missing);
            statuses.push((status.in_force, missing));
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        let lagging: Vec<units::HostName> = vec!["b".parse().unwrap()];
        for (in_force, missing) in &statuses[..6] {
            assert!(*in_force < Version(2), "{statuses:?}");
            assert_eq!(*missing, Some(lagging.clone()), "{statuses:?}");
        }
        assert_eq!(statuses[8], (Version(2), None), "{statuses:?}");
    });
}
