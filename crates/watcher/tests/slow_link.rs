//! A watcher behind a link of limited speed, with control replicas that hold many routes.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use api::{
    Heartbeat, HeartbeatReply, Order, Role, RouteView, Scope, TargetView, Watch, WatchReply,
};
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext, ServerBuilder,
    UntypedBody, endpoint,
};
use faults::{Link, Links, Plan, TcpProxy};
use rpc::{Client, Key, Request};
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep, timeout};
use units::{Millis, Region, ServiceId, Version};
use watcher::{HeartbeatPayload, Replicas, Watcher, WatcherSettings};

/// Replicas of the largest core in use.
const REPLICAS: usize = 8;

/// Routes of the largest configuration in use.
const ROUTES: u16 = 1_650;

/// Speed of the thinnest link of an entry VM.
const THIN_KBPS: u64 = 7_800;

/// What traffic leaves of such a link: the change takes longer than a poll.
const BUSY_KBPS: u64 = 400;

/// Speed at which the tables of a slow replica take much longer than [`IN_FORCE`].
const SLOW_KBPS: u64 = 80;

/// Time within which an accepted configuration is in force everywhere (P8).
const IN_FORCE: Duration = Duration::from_secs(5);

/// Time limit of a heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

fn key() -> Key {
    Key::from_public_name("test")
}

/// State of a stand-in for a control replica.
#[derive(Debug)]
struct Replica {
    routes: u16,
    /// Accepts the request for the tables and never answers it.
    silent: bool,
    /// Number of complete tables that were requested.
    complete: AtomicU64,
    changed: AtomicBool,
}

fn route(number: u16) -> RouteView {
    RouteView {
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), number),
        targets: vec![TargetView {
            service: ServiceId(1),
            weight: 100,
        }],
        former: Vec::new(),
        latency_ms: Millis(300),
        priority: 2,
    }
}

impl Replica {
    fn new(routes: u16) -> Self {
        Self {
            routes,
            silent: false,
            complete: AtomicU64::new(0),
            changed: AtomicBool::new(false),
        }
    }

    fn index(&self) -> u64 {
        1 + u64::from(self.changed.load(Ordering::Relaxed))
    }

    fn reply(&self, request: &Watch) -> WatchReply {
        let index = self.index();
        let is_first = request.index == 0;
        let first = if is_first { 1 } else { self.routes + 1 };
        let last = if index > 1 {
            2 * self.routes
        } else {
            self.routes
        };
        WatchReply {
            config: Version(index),
            routes: (first..=last).map(route).collect(),
            index,
            complete: is_first,
            current: true,
            ..WatchReply::default()
        }
    }
}

type Context = RequestContext<Arc<Replica>>;
type Reply = Result<http::Response<Body>, HttpError>;

#[endpoint { method = POST, path = "/v1/watch" }]
async fn poll(context: Context, body: UntypedBody) -> Reply {
    let replica = context.context();
    let request = Request::<Watch>::verify(&key(), api::path::WATCH, &body)?;
    let message = &request.message;
    if message.probe {
        let reply = WatchReply {
            config: Version(replica.index()),
            index: replica.index(),
            current: true,
            ..WatchReply::default()
        };
        return request.reply(&key(), &reply);
    }
    if message.index == 0 {
        replica.complete.fetch_add(1, Ordering::Relaxed);
    }
    if replica.silent {
        return std::future::pending().await;
    }
    let deadline = Instant::now() + message.wait_ms.duration();
    while message.index == replica.index() && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    let unchanged = WatchReply {
        config: message.config,
        index: message.index,
        current: true,
        ..WatchReply::default()
    };
    if message.index == replica.index() {
        return request.reply(&key(), &unchanged);
    }
    request.reply(&key(), &replica.reply(message))
}

#[endpoint { method = POST, path = "/v1/heartbeat" }]
async fn heartbeat(_context: Context, body: UntypedBody) -> Reply {
    let request = Request::<Heartbeat>::verify(&key(), api::path::HEARTBEAT, &body)?;
    let reply = HeartbeatReply {
        order: Order::Serve,
        lease_ms: Millis(4_000),
        config: Version(1),
        known: true,
        replicas: Vec::new(),
    };
    request.reply(&key(), &reply)
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn serve(replica: &Arc<Replica>) -> HttpServer<Arc<Replica>> {
    let mut api = ApiDescription::new();
    api.register(poll).unwrap();
    api.register(heartbeat).unwrap();
    let config = ConfigDropshot {
        bind_address: loopback(),
        ..ConfigDropshot::default()
    };
    let log = Logger::root(Discard, o!());
    ServerBuilder::new(api, Arc::clone(replica), log)
        .config(config)
        .start()
        .unwrap()
}

/// Delay of replies, one way in ms.
const DELAY_MS: u64 = 5;

/// Stand-in with the link and the delay of its replies.
struct Remote {
    replica: Replica,
    link: Link,
    delay_ms: u64,
}

/// Replicas of equal content whose replies share the link of one node.
fn behind(link: &Link) -> Vec<Remote> {
    let remote = |_| Remote {
        replica: Replica::new(ROUTES),
        link: link.clone(),
        delay_ms: DELAY_MS,
    };
    (0..REPLICAS).map(remote).collect()
}

/// Running replicas and the proxies before them.
struct Rig {
    replicas: Vec<Arc<Replica>>,
    addresses: Vec<SocketAddr>,
    _servers: Vec<HttpServer<Arc<Replica>>>,
    _proxies: Vec<TcpProxy>,
}

impl Rig {
    async fn start(remotes: Vec<Remote>) -> Self {
        let mut rig = Self {
            replicas: Vec::new(),
            addresses: Vec::new(),
            _servers: Vec::new(),
            _proxies: Vec::new(),
        };
        for (remote, seed) in remotes.into_iter().zip(1..) {
            let replica = Arc::new(remote.replica);
            let server = serve(&replica);
            let links = Links {
                back: Some(remote.link),
                ..Links::default()
            };
            let plan = Plan {
                delay_ms: remote.delay_ms,
                ..Plan::default()
            };
            let proxy = TcpProxy::start_on(links, loopback(), server.local_addr(), plan, seed);
            let proxy = proxy.await.unwrap();
            rig.replicas.push(replica);
            rig.addresses.push(proxy.address());
            rig._servers.push(server);
            rig._proxies.push(proxy);
        }
        rig
    }

    fn watcher(&self) -> Watcher {
        let settings = WatcherSettings {
            control: Arc::new(Replicas::new(self.addresses.clone())),
            ..WatcherSettings::new(
                "entry-1".parse().unwrap(),
                Role::Balancer,
                "dc-1".parse().unwrap(),
                Scope::Region(Region(0)),
            )
        };
        let log = Logger::root(Discard, o!());
        Watcher::start(settings, Client::new(key()), log, HeartbeatPayload::default)
    }

    fn complete_tables(&self) -> u64 {
        let counts = self.replicas.iter();
        counts.map(|r| r.complete.load(Ordering::Relaxed)).sum()
    }
}

async fn wait_for_routes(watcher: &Watcher, routes: u16) {
    let mut view = watcher.view();
    let arrived = view.wait_for(|view| view.routes.len() == usize::from(routes));
    let arrived = timeout(IN_FORCE, arrived).await.is_ok();
    assert!(arrived, "the tables did not arrive in time");
}

/// Guards against a node on a thin link that never gets its first tables: it asked for them many
/// times at once, and no copy arrived before its time limit.
#[tokio::test]
async fn first_tables_arrive_over_a_thin_link() {
    let rig = Rig::start(behind(&Link::with_kbps(THIN_KBPS))).await;
    let watcher = rig.watcher();
    wait_for_routes(&watcher, ROUTES).await;
    assert_eq!(rig.complete_tables(), 1, "each copy crosses the same link");
}

/// Guards against heartbeats that are lost behind copies of the first tables.
#[tokio::test]
async fn heartbeats_pass_beside_the_first_tables() {
    let rig = Rig::start(behind(&Link::with_kbps(THIN_KBPS))).await;
    let watcher = rig.watcher();
    let mut control = watcher.control_status();
    let replied = control.wait_for(|status| status.replies > 0);
    let replied = timeout(HEARTBEAT, replied).await.is_ok();
    assert!(replied, "no heartbeat was answered in time");
    wait_for_routes(&watcher, ROUTES).await;
}

/// Guards against a large change that a busy link delivers too slowly for the time limit of a poll:
/// it was thrown away and requested again forever.
#[tokio::test]
async fn large_change_arrives_over_a_busy_link() {
    let link = Link::with_kbps(THIN_KBPS);
    let rig = Rig::start(behind(&link)).await;
    let watcher = rig.watcher();
    wait_for_routes(&watcher, ROUTES).await;
    link.set_kbps(BUSY_KBPS);
    for replica in &rig.replicas {
        replica.changed.store(true, Ordering::Relaxed);
    }
    wait_for_routes(&watcher, 2 * ROUTES).await;
}

/// A replica that replies to probes before the other one.
fn nearest(replica: Replica, link: Link) -> Vec<Remote> {
    let nearest = Remote {
        replica,
        link,
        delay_ms: 0,
    };
    let far = Remote {
        replica: Replica::new(ROUTES),
        link: Link::with_kbps(THIN_KBPS),
        delay_ms: 60,
    };
    vec![nearest, far]
}

/// Guards against a node that waits forever for a replica that replies to a probe and then falls
/// silent.
#[tokio::test]
async fn silent_replica_is_left_for_another() {
    let silent = Replica {
        silent: true,
        ..Replica::new(ROUTES)
    };
    let rig = Rig::start(nearest(silent, Link::with_kbps(THIN_KBPS))).await;
    let watcher = rig.watcher();
    wait_for_routes(&watcher, ROUTES).await;
    assert!(
        rig.complete_tables() > 1,
        "the silent replica was not asked"
    );
}

/// Guards against a node that waits for a slow replica while another one could serve it at once.
#[tokio::test]
async fn slow_replica_does_not_hold_up_the_first_tables() {
    let link = Link::with_kbps(SLOW_KBPS);
    let rig = Rig::start(nearest(Replica::new(ROUTES), link)).await;
    let watcher = rig.watcher();
    wait_for_routes(&watcher, ROUTES).await;
    assert_eq!(rig.complete_tables(), 2, "a second copy, and no third");
}

/// Guards against a replica that lags and replies at once that nothing changed: its reply must not
/// end the receipt of a change that another replica has.
#[tokio::test]
async fn lagging_replica_does_not_end_a_slow_receipt() {
    let link = Link::with_kbps(THIN_KBPS);
    let rig = Rig::start(nearest(Replica::new(ROUTES), link.clone())).await;
    let watcher = rig.watcher();
    wait_for_routes(&watcher, ROUTES).await;
    link.set_kbps(BUSY_KBPS);
    rig.replicas[0].changed.store(true, Ordering::Relaxed);
    wait_for_routes(&watcher, 2 * ROUTES).await;
}
