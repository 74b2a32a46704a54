//! Group of replicas over loopback HTTP. Each replica has its own runtime, so that it
//! can be killed separately.

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

/// Maximum wait for a condition; much longer than needed, so that tests don't fail on a
/// slow machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

type Entries = Arc<Mutex<BTreeMap<u64, Vec<u8>>>>;

/// Shared state of the server of a replica.
#[derive(Debug)]
pub struct ServerState {
    replica: Mutex<Option<Replica>>,
    /// Replicas whose requests are blocked; each replica authenticates with its own key.
    blocked: Mutex<BTreeSet<u8>>,
}

pub struct Node {
    pub dir: TempDir,
    pub address: SocketAddr,
    pub entries: Entries,
    state: Arc<ServerState>,
    _server: HttpServer<Arc<ServerState>>,
    runtime: Option<Runtime>,
}

pub struct Group {
    pub nodes: Vec<Node>,
    pub settings: ReplicaSettings,
    voters: usize,
    /// Replica that is an observer, although it is in the initial list of peers.
    pub observer: Option<usize>,
}

fn key(n: u8) -> rpc::Key {
    rpc::Key::from([n; 32])
}

#[endpoint { method = POST, path = "/v1/replicate" }]
async fn replicate(
    context: RequestContext<Arc<ServerState>>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    let path = api::path::REPLICATE;
    for n in 0..10 {
        let Ok(request) = rpc::Request::<units::Blob>::verify(&key(n), path, &body) else {
            continue;
        };
        let replica = state.replica.lock().expect("state").clone();
        let Some(replica) = replica.filter(|_| !state.blocked.lock().expect("state").contains(&n))
        else {
            return rpc::text_response(StatusCode::SERVICE_UNAVAILABLE, "not reachable");
        };
        return match replica.handle(&request.message.0).await {
            Ok(reply) => request.reply(&key(n), &units::Blob(reply)),
            Err(e) => rpc::text_response(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
        };
    }
    rpc::text_response(StatusCode::FORBIDDEN, "unknown key")
}

impl Node {
    fn new() -> Self {
        let state = ServerState {
            replica: Mutex::default(),
            blocked: Mutex::default(),
        };
        let state = Arc::new(state);
        let mut api = ApiDescription::new();
        api.register(replicate).expect("register");
        let config = ConfigDropshot {
            bind_address: (Ipv4Addr::LOCALHOST, 0).into(),
            default_request_body_max_bytes: replica::MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, Arc::clone(&state), Logger::root(Discard, o!()))
            .config(config)
            .start()
            .expect("server");
        Self {
            dir: tempfile::tempdir().expect("folder"),
            address: server.local_addr(),
            entries: Entries::default(),
            state,
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
    /// Starts the servers for `total` replicas, of which the first `voters` form the group.
    pub fn new(voters: usize, total: usize, settings: ReplicaSettings) -> Self {
        let nodes = (0..total).map(|_| Node::new()).collect();
        Self {
            nodes,
            settings,
            voters,
            observer: None,
        }
    }

    /// Starts a group of three replicas and waits for a leader.
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

    /// Starts a replica, or restarts one that was killed.
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
        let end = Instant::now() + TIMEOUT;
        let replica = loop {
            let (settings, machine) = (settings.clone(), machine(&node.entries));
            let client = rpc::Client::new(key(n as u8));
            let log = Logger::root(Discard, o!());
            let start = runtime.spawn(Replica::start(settings, machine, client, log));
            match start.await.expect("start") {
                Ok(replica) => break replica,
                // The threads of a killed replica may not have closed its files yet.
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        *node.state.replica.lock().expect("state") = Some(replica);
        node.runtime = Some(runtime);
    }

    /// Stops a replica abruptly, at any point of its execution.
    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        *node.state.replica.lock().expect("state") = None;
        if let Some(runtime) = node.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Kills a replica and replaces its data folder with an empty one.
    pub fn lose_disk(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].dir = tempfile::tempdir().expect("folder");
    }

    /// Partitions a replica from the others in both directions.
    pub fn partition(&self, n: usize) {
        for (other, node) in self.nodes.iter().enumerate() {
            let mut blocked = node.state.blocked.lock().expect("state");
            if other == n {
                blocked.extend((0..10).filter(|k| *k != n as u8));
            } else {
                blocked.insert(n as u8);
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        for node in &self.nodes {
            node.state.blocked.lock().expect("state").clear();
        }
    }

    pub fn replica(&self, n: usize) -> Option<Replica> {
        self.nodes[n].state.replica.lock().expect("state").clone()
    }

    pub fn status(&self, n: usize) -> ReplicaStatus {
        self.replica(n).map(|r| r.status()).unwrap_or_default()
    }

    /// Waits until a condition holds.
    pub async fn until(&self, description: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            let states: Vec<_> = (0..self.nodes.len()).map(|n| self.status(n)).collect();
            assert!(
                Instant::now() < end,
                "{description}: not reached in time: {states:#?}"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Whether the replica is a leader according to its own status.
    pub fn leads(&self, n: usize) -> bool {
        self.status(n).role == Role::Leader
    }

    /// Waits for a leader; returns the one with the highest term.
    pub async fn leader(&self) -> usize {
        self.until("a leader", |g| (0..g.nodes.len()).any(|n| g.leads(n)))
            .await;
        let leads = (0..self.nodes.len()).filter(|n| self.leads(*n));
        leads.max_by_key(|n| self.status(*n).term).expect("leader")
    }

    /// Commits a command at the current leader; repeats it after an error.
    pub async fn commit(&self, command: &str) {
        let end = Instant::now() + TIMEOUT;
        loop {
            let replica = self.replica(self.leader().await);
            let result = match replica {
                Some(replica) => replica.propose(command.into()).await,
                None => Err(ProposeError::NotLeader { leader: None }),
            };
            match result {
                Ok(response) => return assert_eq!(response, command.as_bytes()),
                Err(error) => assert!(Instant::now() < end, "{command}: {error}"),
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Commits `count` commands and returns them.
    pub async fn commit_all(&self, name: &str, count: usize) -> Vec<String> {
        let names: Vec<_> = (0..count).map(|i| format!("{name}-{i}")).collect();
        for name in &names {
            self.commit(name).await;
        }
        names
    }

    /// Waits until the running replicas have applied all entries. Checks that these are
    /// the same on each replica and include every command.
    pub async fn check(&self, commands: &[String]) {
        let end = Instant::now() + TIMEOUT;
        loop {
            let leader = self.replica(self.leader().await);
            match leader.expect("leader").confirm_leadership().await {
                Ok(()) => break,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
        }
        let entries = |n: &Node| n.entries.lock().expect("entries").clone();
        let last_indexes = self
            .nodes
            .iter()
            .map(|n| entries(n).last_key_value().map_or(0, |(i, _)| *i));
        let last_index = last_indexes.max().unwrap_or(0);
        let running = |n: &usize| self.nodes[*n].runtime.is_some();
        let nodes: Vec<_> = (0..self.nodes.len()).filter(running).collect();
        self.until("all entries", |g| {
            nodes
                .iter()
                .all(|n| g.status(*n).applied_index >= last_index)
        })
        .await;
        let applied = |n: usize| self.nodes[n].entries.lock().expect("entries").clone();
        let expected = applied(nodes[0]);
        for n in &nodes {
            let up_to_last =
                |s: BTreeMap<u64, Vec<u8>>| s.into_iter().filter(|(i, _)| *i <= last_index);
            assert!(
                up_to_last(applied(*n)).eq(up_to_last(expected.clone())),
                "replica {n} differs"
            );
        }
        for command in commands {
            assert!(
                expected.values().any(|c| c == command.as_bytes()),
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
