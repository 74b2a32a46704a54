//! Linearizable reads of a watcher, with a stand-in for control.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::time::Duration;

use api::{RouteView, Scope, TargetView, Watch, WatchReply};
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext, ServerBuilder,
    UntypedBody, endpoint,
};
use http::StatusCode;
use rpc::{Client, Key, Request};
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep, timeout};
use units::{Millis, Region, ServiceId, Version};
use watcher::{HeartbeatPayload, Replicas, Watcher, WatcherSettings};

/// Time within which anything that has to happen does.
const LIMIT: Duration = Duration::from_secs(5);

/// Minimum time between two reads in ms, as docs/design.md states it.
const MIN_INTERVAL_MS: u64 = 50;

fn key() -> Key {
    Key::from_public_name("test")
}

/// A replica that is behind: its polls never show the change that reads do.
#[derive(Debug)]
struct Replica {
    /// Status of replies to reads.
    status: AtomicU16,
    reads: AtomicU64,
}

fn route(service: u32) -> RouteView {
    RouteView {
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80),
        targets: vec![TargetView {
            service: ServiceId(service),
            weight: 100,
        }],
        former: Vec::new(),
        latency_ms: Millis(300),
        priority: 2,
    }
}

type Context = RequestContext<Arc<Replica>>;
type Reply = Result<http::Response<Body>, HttpError>;

#[endpoint { method = POST, path = "/v1/watch" }]
async fn poll(_context: Context, body: UntypedBody) -> Reply {
    let request = Request::<Watch>::verify(&key(), api::path::WATCH, &body)?;
    let message = &request.message;
    let first = WatchReply {
        config: Version(1),
        routes: vec![route(1)],
        index: 1,
        complete: true,
        current: true,
        ..WatchReply::default()
    };
    if message.index == 0 {
        return request.reply(&key(), &first);
    }
    sleep(message.wait_ms.duration()).await;
    let unchanged = WatchReply {
        config: message.config,
        index: message.index,
        current: true,
        ..WatchReply::default()
    };
    request.reply(&key(), &unchanged)
}

#[endpoint { method = POST, path = "/v1/read" }]
async fn serve_read(context: Context, body: UntypedBody) -> Reply {
    let replica = context.context();
    let request = Request::<Watch>::verify(&key(), api::path::READ, &body)?;
    replica.reads.fetch_add(1, Ordering::Relaxed);
    let status = StatusCode::from_u16(replica.status.load(Ordering::Relaxed)).unwrap();
    if !status.is_success() {
        return rpc::response(status, "application/json", Vec::new());
    }
    let moved = WatchReply {
        config: Version(2),
        routes: vec![route(2)],
        index: 2,
        current: true,
        ..WatchReply::default()
    };
    request.reply(&key(), &moved)
}

fn serve(replica: &Arc<Replica>) -> HttpServer<Arc<Replica>> {
    let mut api = ApiDescription::new();
    api.register(poll).unwrap();
    api.register(serve_read).unwrap();
    let config = ConfigDropshot {
        bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        ..ConfigDropshot::default()
    };
    let log = Logger::root(Discard, o!());
    let server = ServerBuilder::new(api, Arc::clone(replica), log);
    server.config(config).start().unwrap()
}

struct Rig {
    replica: Arc<Replica>,
    watcher: Watcher,
    _server: HttpServer<Arc<Replica>>,
}

impl Rig {
    /// A watcher with its first view, and a replica that replies to reads with this status.
    async fn start(status: StatusCode) -> Self {
        let replica = Arc::new(Replica {
            status: AtomicU16::new(status.as_u16()),
            reads: AtomicU64::new(0),
        });
        let server = serve(&replica);
        let settings = WatcherSettings {
            control: Arc::new(Replicas::new(vec![server.local_addr()])),
            ..WatcherSettings::new(
                "entry-1".parse().unwrap(),
                api::Role::Balancer,
                "dc-1".parse().unwrap(),
                Scope::Region(Region(0)),
            )
        };
        let log = Logger::root(Discard, o!());
        let client = Client::new(key());
        let watcher = Watcher::start(settings, client, log, HeartbeatPayload::default);
        let mut view = watcher.view();
        let first = view.wait_for(|view| view.config == Version(1));
        timeout(LIMIT, first).await.unwrap().unwrap();
        Self {
            replica,
            watcher,
            _server: server,
        }
    }

    fn reads(&self) -> u64 {
        self.replica.reads.load(Ordering::Relaxed)
    }

    /// Whether a read that starts now succeeds in time.
    async fn read(&self, limit: Duration) -> bool {
        let now = Instant::now();
        self.watcher.reader().request(now);
        let mut read_at = self.watcher.reader().read_at();
        let read = read_at.wait_for(|at| *at >= Some(now));
        timeout(limit, read).await.is_ok()
    }
}

/// Guards against a view that stays old because the polled replica is behind: after a read it includes
/// the change, before the time of the read is published.
#[tokio::test]
async fn read_shows_what_polls_do_not() {
    let rig = Rig::start(StatusCode::OK).await;
    assert_eq!(*rig.watcher.reader().read_at().borrow(), None);
    assert!(rig.read(LIMIT).await);
    let view = Arc::clone(&rig.watcher.view().borrow());
    assert_eq!(view.config, Version(2));
    assert_eq!(*view.routes[&route(2).address], route(2));
}

/// Guards against a flood of reads when many flows end at once, and against reads without a need.
#[tokio::test]
async fn requests_share_reads() {
    let rig = Rig::start(StatusCode::OK).await;
    let reader = rig.watcher.reader();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(1) {
        reader.request(Instant::now());
        sleep(Duration::from_millis(1)).await;
    }
    assert!(rig.read(LIMIT).await);
    let reads = rig.reads();
    let most = begin.elapsed().as_millis() as u64 / MIN_INTERVAL_MS + 1;
    assert!(reads <= most, "{reads} reads, at most {most} expected");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(rig.reads(), reads, "nothing was requested since");
}

/// Guards against a view that counts as read though control could not serve the read: it has no quorum,
/// or is of an earlier version. The read is repeated until it can.
#[tokio::test]
async fn failed_read_proves_nothing_and_is_repeated() {
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::NOT_FOUND] {
        let rig = Rig::start(status).await;
        assert!(!rig.read(Duration::from_millis(600)).await);
        assert_eq!(*rig.watcher.reader().read_at().borrow(), None);
        let ok = StatusCode::OK.as_u16();
        rig.replica.status.store(ok, Ordering::Relaxed);
        let mut read_at = rig.watcher.reader().read_at();
        let read = read_at.wait_for(Option::is_some);
        timeout(LIMIT, read).await.unwrap().unwrap();
    }
}
