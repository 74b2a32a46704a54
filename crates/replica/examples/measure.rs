//! Benchmarks of a group of three replicas over loopback HTTP.
//!
//! - `measure commits` prints the commits per second and their latency by number of callers.
//! - `measure distant` does the same with a one-way delay of 3 ms between replicas, as
//!   between data centres.
//! - `measure recovery` prints the time and the received bytes until a replica with an
//!   empty disk has caught up from the log or from a snapshot, by number of entries.
//!
//! An optional second argument is the folder for the files.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use dropshot::{ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext};
use dropshot::{ServerBuilder, UntypedBody, endpoint};
use hdrhistogram::Histogram;
use http::{Response, StatusCode};
use replica::{Peer, Replica, ReplicaSettings, Role, StateMachine};
use slog::{Discard, Logger, o};
use units::ReplicaId;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Size of a command in bytes, similar to that of a table change.
const COMMAND_BYTES: usize = 256;

/// Duration of a commit benchmark.
const BENCHMARK_DURATION: Duration = Duration::from_secs(3);

/// Number of callers that fill the log before a recovery benchmark.
const FILL_CALLERS: u64 = 128;

/// One-way delay between data centres.
const ONE_WAY_DELAY: Duration = Duration::from_millis(3);

#[derive(Default)]
struct ServerState {
    replica: Mutex<Option<Replica>>,
    /// Delay before a request is handled, and again before its reply is sent.
    delay: Duration,
    /// Size of the received request bodies.
    received_bytes: AtomicU64,
}

impl ServerState {
    fn replica(&self) -> Option<Replica> {
        let replica = self.replica.lock();
        replica.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

struct Node {
    id: u64,
    address: SocketAddr,
    state: Arc<ServerState>,
    _server: HttpServer<Arc<ServerState>>,
}

fn key() -> rpc::Key {
    rpc::Key::from([1; 32])
}

#[endpoint { method = POST, path = "/v1/replicate" }]
async fn replicate(
    context: RequestContext<Arc<ServerState>>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    state
        .received_bytes
        .fetch_add(body.as_bytes().len() as u64, Ordering::Relaxed);
    let request = rpc::Request::<units::Blob>::verify(&key(), api::path::REPLICATE, &body)?;
    let Some(replica) = state.replica() else {
        return rpc::text_response(StatusCode::SERVICE_UNAVAILABLE, "starting");
    };
    if !state.delay.is_zero() {
        tokio::time::sleep(state.delay).await;
    }
    let reply = replica.handle(&request.message.0).await;
    if !state.delay.is_zero() {
        tokio::time::sleep(state.delay).await;
    }
    match reply {
        Ok(reply) => request.reply(&key(), &units::Blob(reply)),
        Err(error) => rpc::text_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

impl Node {
    fn new(id: u64, delay: Duration) -> Result<Self, Failure> {
        let state = Arc::new(ServerState {
            delay,
            ..ServerState::default()
        });
        let mut api = ApiDescription::new();
        api.register(replicate)?;
        let config = ConfigDropshot {
            bind_address: (Ipv4Addr::LOCALHOST, 0).into(),
            default_request_body_max_bytes: replica::MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let log = Logger::root(Discard, o!());
        let server = ServerBuilder::new(api, Arc::clone(&state), log)
            .config(config)
            .start()?;
        Ok(Self {
            id,
            address: server.local_addr(),
            state,
            _server: server,
        })
    }

    async fn start(
        &self,
        settings: &ReplicaSettings,
        peers: &[Peer],
        root: &Path,
    ) -> Result<Replica, Failure> {
        let settings = ReplicaSettings {
            id: ReplicaId(self.id),
            address: self.address,
            folder: root.join(self.id.to_string()),
            peers: peers.to_vec(),
            join: peers.iter().all(|p| p.id.0 != self.id),
            ..settings.clone()
        };
        let client = rpc::Client::new(key());
        let log = Logger::root(Discard, o!());
        let replica = Replica::start(settings, machine(), client, log).await?;
        *self
            .state
            .replica
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(replica.clone());
        Ok(replica)
    }
}

/// State machine that appends every command to its state.
fn machine() -> StateMachine {
    let state = Arc::new(Mutex::new(Vec::<u8>::new()));
    let (apply, snapshot, restore) = (Arc::clone(&state), Arc::clone(&state), state);
    StateMachine {
        apply: Box::new(move |_, command| {
            let mut state = apply.lock().unwrap_or_else(PoisonError::into_inner);
            state.extend_from_slice(command);
            Vec::new()
        }),
        snapshot: Box::new(move || {
            snapshot
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        }),
        restore: Box::new(move |raw| {
            *restore.lock().unwrap_or_else(PoisonError::into_inner) = raw.to_vec();
            Ok(())
        }),
    }
}

struct Group {
    peers: Vec<Peer>,
    _nodes: Vec<Node>,
    leader: Replica,
    replicas: Vec<Replica>,
}

async fn group(settings: &ReplicaSettings, root: &Path, delay: Duration) -> Result<Group, Failure> {
    let nodes = (1..=3)
        .map(|id| Node::new(id, delay))
        .collect::<Result<Vec<_>, _>>()?;
    let peer = |n: &Node| Peer {
        id: ReplicaId(n.id),
        address: n.address,
    };
    let peers: Vec<_> = nodes.iter().map(peer).collect();
    let mut replicas = Vec::new();
    for node in &nodes {
        replicas.push(node.start(settings, &peers, root).await?);
    }
    loop {
        if let Some(leader) = replicas.iter().find(|r| r.status().role == Role::Leader) {
            let leader = leader.clone();
            return Ok(Group {
                peers,
                _nodes: nodes,
                leader,
                replicas,
            });
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Proposes commands from concurrent callers while `more` returns true. Returns the
/// latencies in microseconds.
async fn run_callers(
    leader: &Replica,
    callers: u64,
    more: impl Fn() -> bool + Clone + Send + 'static,
) -> Result<Histogram<u64>, Failure> {
    let mut calls = Vec::new();
    for _ in 0..callers {
        let (leader, more) = (leader.clone(), more.clone());
        calls.push(tokio::spawn(async move {
            let mut latency = Histogram::<u64>::new(3)?;
            while more() {
                let start = Instant::now();
                leader.propose(vec![7; COMMAND_BYTES]).await?;
                latency.record(u64::try_from(start.elapsed().as_micros())?)?;
            }
            Ok::<_, Failure>(latency)
        }));
    }
    let mut all = Histogram::new(3)?;
    for call in calls {
        all.add(call.await??)?;
    }
    Ok(all)
}

async fn commits(root: &Path, delay: Duration) -> Result<(), Failure> {
    println!("callers  commits/s  p50 ms  p99 ms  max ms");
    for callers in [1, 8, 64, 512] {
        let folder = root.join(format!("commits-{callers}"));
        let group = group(&ReplicaSettings::default(), &folder, delay).await?;
        let start = Instant::now();
        let all = run_callers(&group.leader, callers, move || {
            start.elapsed() < BENCHMARK_DURATION
        })
        .await?;
        let rate = all.len() as f64 / start.elapsed().as_secs_f64();
        let ms = |v: u64| v as f64 / 1000.0;
        let (p50, p99) = (all.value_at_quantile(0.5), all.value_at_quantile(0.99));
        println!(
            "{callers:7}  {rate:9.0}  {:6.2}  {:6.2}  {:6.2}",
            ms(p50),
            ms(p99),
            ms(all.max())
        );
        stop(group).await;
    }
    Ok(())
}

async fn stop(group: Group) {
    for replica in group.replicas {
        replica.stop().await;
    }
}

async fn recovery(root: &Path) -> Result<(), Failure> {
    println!("source    entries  state KB  received KB  seconds");
    for source in ["log", "snapshot"] {
        for entries in [1_000, 5_000, 20_000, 100_000] {
            let folder = root.join(format!("{source}-{entries}"));
            recover(source, entries, &folder).await?;
        }
    }
    Ok(())
}

async fn recover(source: &str, entries: u64, folder: &Path) -> Result<(), Failure> {
    let from_log = source == "log";
    let settings = ReplicaSettings {
        snapshot_entries: if from_log { u64::MAX } else { entries },
        snapshot_bytes: u64::MAX,
        retained_entries: 0,
        ..ReplicaSettings::default()
    };
    let group = group(&settings, folder, Duration::ZERO).await?;
    let left = Arc::new(AtomicU64::new(entries));
    let decrement = |n: u64| n.checked_sub(1);
    let more = move || {
        left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
    };
    run_callers(&group.leader, FILL_CALLERS, more).await?;
    // The snapshot is written in the background; this leaves time for it to be synced.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let node = Node::new(4, Duration::ZERO)?;
    let target = group.leader.status().commit_index;
    let start = Instant::now();
    let replica = node.start(&settings, &group.peers, folder).await?;
    replica
        .watch()
        .wait_for(|s| s.applied_index >= target)
        .await?;
    let took = start.elapsed().as_secs_f64();
    let received = node.state.received_bytes.load(Ordering::Relaxed) / 1000;
    let size = entries * COMMAND_BYTES as u64 / 1000;
    println!("{source:8}  {entries:7}  {size:8}  {received:11}  {took:7.2}");
    replica.stop().await;
    stop(group).await;
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut arguments = std::env::args().skip(1);
    let benchmark = arguments.next();
    let scratch = tempfile::tempdir()?;
    let root = arguments
        .next()
        .map_or_else(|| scratch.path().to_owned(), PathBuf::from);
    match benchmark.as_deref() {
        Some("commits") => commits(&root, Duration::ZERO).await,
        Some("distant") => commits(&root, ONE_WAY_DELAY).await,
        Some("recovery") => recovery(&root).await,
        _ => Err("usage: measure commits|distant|recovery [folder]".into()),
    }
}
