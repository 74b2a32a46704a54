//! Replicas over HTTP on loopback, each in its own runtime, so that one can be
//! killed without the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dropshot::{ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext};
use dropshot::{ServerBuilder, UntypedBody, endpoint};
use http::{Response, StatusCode};
use replica::{Peer, ProposeError, Replica, ReplicaSettings, ReplicaStatus, Role, StateMachine};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use units::ReplicaId;

/// Longest wait for anything; far above what is needed, so that a slow machine
/// does not change the verdict.
pub const LIMIT: Duration = Duration::from_secs(30);

type Entries = Arc<Mutex<BTreeMap<u64, Vec<u8>>>>;

/// What the server of a replica needs.
#[derive(Debug)]
pub struct Slot {
    replica: Mutex<Option<Replica>>,
    /// Replicas whose requests are refused; each seals with its own key.
    refused: Mutex<BTreeSet<u8>>,
}

pub struct Node {
    pub dir: TempDir,
    pub address: SocketAddr,
    pub entries: Entries,
    slot: Arc<Slot>,
    _server: HttpServer<Arc<Slot>>,
    runtime: Option<Runtime>,
}

pub struct Group {
    pub nodes: Vec<Node>,
    pub settings: ReplicaSettings,
    voters: usize,
    /// Replica that keeps nothing, though it is among the first ones.
    pub observer: Option<usize>,
}

fn key(n: u8) -> rpc::Key {
    rpc::Key::from([n; 32])
}

#[endpoint { method = POST, path = "/v1/replicate" }]
async fn replicate(
    context: RequestContext<Arc<Slot>>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let slot = context.context();
    let path = api::path::REPLICATE;
    for n in 0..10 {
        let Ok(request) = rpc::Request::<units::Blob>::open(&key(n), path, &body) else {
            continue;
        };
        let replica = slot.replica.lock().expect("slot").clone();
        let Some(replica) = replica.filter(|_| !slot.refused.lock().expect("slot").contains(&n))
        else {
            return rpc::refuse(StatusCode::SERVICE_UNAVAILABLE, "not reachable");
        };
        return match replica.handle(&request.message.0).await {
            Ok(answer) => request.reply(&key(n), &units::Blob(answer)),
            Err(e) => rpc::refuse(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
        };
    }
    rpc::refuse(StatusCode::FORBIDDEN, "unknown key")
}

impl Node {
    fn new() -> Self {
        let slot = Slot {
            replica: Mutex::default(),
            refused: Mutex::default(),
        };
        let slot = Arc::new(slot);
        let mut api = ApiDescription::new();
        api.register(replicate).expect("register");
        let config = ConfigDropshot {
            bind_address: (Ipv4Addr::LOCALHOST, 0).into(),
            default_request_body_max_bytes: replica::MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, Arc::clone(&slot), Logger::root(Discard, o!()))
            .config(config)
            .start()
            .expect("server");
        Self {
            dir: tempfile::tempdir().expect("folder"),
            address: server.local_addr(),
            entries: Entries::default(),
            slot,
            _server: server,
            runtime: None,
        }
    }
}

fn machine(entries: &Entries) -> StateMachine {
    let (apply, snapshot, restore) = (
        Arc::clone(entries),
        Arc::clone(entries),
        Arc::clone(entries),
    );
    StateMachine {
        apply: Box::new(move |index, command| {
            let mut entries = apply.lock().expect("entries");
            let last = entries.last_key_value().map_or(0, |(i, _)| *i);
            assert!(index > last, "entry {index} is applied after {last}");
            entries.insert(index, command.to_vec());
            command.to_vec()
        }),
        snapshot: Box::new(move || {
            let entries = snapshot.lock().expect("entries");
            replication::encode("state", &*entries).expect("encode")
        }),
        restore: Box::new(move |raw| {
            let state = replication::decode("state", raw).map_err(|e| e.to_string())?;
            *restore.lock().expect("entries") = state;
            Ok(())
        }),
    }
}

impl Group {
    /// Servers for `all` replicas, of which the first `voters` form the group.
    pub fn new(voters: usize, all: usize, settings: ReplicaSettings) -> Self {
        let nodes = (0..all).map(|_| Node::new()).collect();
        Self {
            nodes,
            settings,
            voters,
            observer: None,
        }
    }

    /// Running group of three.
    pub async fn three(settings: ReplicaSettings) -> Self {
        let mut group = Self::new(3, 3, settings);
        for n in 0..3 {
            group.start(n).await;
        }
        group.leader().await;
        group
    }

    fn peers(&self) -> Vec<Peer> {
        let nodes = self.nodes[..self.voters].iter().zip(1..);
        nodes
            .map(|(node, id)| Peer {
                id: ReplicaId(id),
                address: node.address,
            })
            .collect()
    }

    /// Starts a replica, also one that was killed.
    pub async fn start(&mut self, n: usize) {
        let peers = self.peers();
        let node = &mut self.nodes[n];
        let settings = ReplicaSettings {
            id: ReplicaId(n as u64 + 1),
            address: node.address,
            folder: node.dir.path().to_owned(),
            peers,
            join: n >= self.voters || self.observer == Some(n),
            observer: self.observer == Some(n),
            ..self.settings.clone()
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("runtime");
        node.entries = Entries::default();
        let end = Instant::now() + LIMIT;
        let replica = loop {
            let (settings, machine) = (settings.clone(), machine(&node.entries));
            let client = rpc::Client::new(key(n as u8));
            let log = Logger::root(Discard, o!());
            let start = runtime.spawn(Replica::start(settings, machine, client, log));
            match start.await.expect("start") {
                Ok(replica) => break replica,
                // The threads of a killed replica may still close its files.
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        *node.slot.replica.lock().expect("slot") = Some(replica);
        node.runtime = Some(runtime);
    }

    /// Ends a replica between any two steps.
    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        *node.slot.replica.lock().expect("slot") = None;
        if let Some(runtime) = node.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Kills a replica and empties its folder.
    pub fn lose_disk(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].dir = tempfile::tempdir().expect("folder");
    }

    /// Cuts a replica off from the others, in both directions.
    pub fn cut(&self, n: usize) {
        for (other, node) in self.nodes.iter().enumerate() {
            let mut refused = node.slot.refused.lock().expect("slot");
            if other == n {
                refused.extend((0..10).filter(|k| *k != n as u8));
            } else {
                refused.insert(n as u8);
            }
        }
    }

    pub fn heal(&self) {
        for node in &self.nodes {
            node.slot.refused.lock().expect("slot").clear();
        }
    }

    pub fn replica(&self, n: usize) -> Option<Replica> {
        self.nodes[n].slot.replica.lock().expect("slot").clone()
    }

    pub fn status(&self, n: usize) -> ReplicaStatus {
        self.replica(n).map(|r| r.status()).unwrap_or_default()
    }

    /// Waits until something holds.
    pub async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + LIMIT;
        while !holds(self) {
            let states: Vec<_> = (0..self.nodes.len()).map(|n| self.status(n)).collect();
            assert!(Instant::now() < end, "{what} does not hold: {states:#?}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    pub fn leads(&self, n: usize) -> bool {
        self.status(n).role == Role::Leader
    }

    /// Leader with the highest term among the replicas that run.
    pub async fn leader(&self) -> usize {
        self.until("a leader", |g| (0..g.nodes.len()).any(|n| g.leads(n)))
            .await;
        let leads = (0..self.nodes.len()).filter(|n| self.leads(*n));
        leads.max_by_key(|n| self.status(*n).term).expect("leader")
    }

    /// Commits a command at whichever replica leads.
    pub async fn commit(&self, command: &str) {
        let end = Instant::now() + LIMIT;
        loop {
            let replica = self.replica(self.leader().await);
            let result = match replica {
                Some(replica) => replica.propose(command.into()).await,
                None => Err(ProposeError::NotLeader { leader: None }),
            };
            match result {
                Ok(answer) => return assert_eq!(answer, command.as_bytes()),
                Err(error) => assert!(Instant::now() < end, "{command}: {error}"),
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn commit_all(&self, name: &str, count: usize) -> Vec<String> {
        let names: Vec<_> = (0..count).map(|i| format!("{name}-{i}")).collect();
        for name in &names {
            self.commit(name).await;
        }
        names
    }

    /// Waits until the running replicas have the same entries, and checks that
    /// every command is among them.
    pub async fn check(&self, commands: &[String]) {
        let end = Instant::now() + LIMIT;
        loop {
            let leader = self.replica(self.leader().await);
            match leader.expect("leader").confirm_leadership().await {
                Ok(()) => break,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
        }
        let entries = |n: &Node| n.entries.lock().expect("entries").clone();
        let ends = self
            .nodes
            .iter()
            .map(|n| entries(n).last_key_value().map_or(0, |(i, _)| *i));
        let last = ends.max().unwrap_or(0);
        let running = |n: &usize| self.nodes[*n].runtime.is_some();
        let nodes: Vec<_> = (0..self.nodes.len()).filter(running).collect();
        self.until("all entries", |g| {
            nodes.iter().all(|n| g.status(*n).applied_index >= last)
        })
        .await;
        let state = |n: usize| self.nodes[n].entries.lock().expect("entries").clone();
        let first = state(nodes[0]);
        for n in &nodes {
            let cut = |s: BTreeMap<u64, Vec<u8>>| s.into_iter().filter(|(i, _)| *i <= last);
            assert!(cut(state(*n)).eq(cut(first.clone())), "replica {n} differs");
        }
        for command in commands {
            assert!(
                first.values().any(|c| c == command.as_bytes()),
                "{command} is lost"
            );
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for n in 0..self.nodes.len() {
            self.kill(n);
        }
    }
}
