//! Agents with HTTP interfaces on loopback, each with a fake backend server.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use api::{KeyMember, KeySet, Member, MemberState, ServiceView, Table, path};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use profile::{Class, Profile, Service, Tier};
use requests::{Handler, HandlerSettings, RelayMessage, ServeEnd};
use rpc::{Client, Key};
use tokio::net::TcpListener;
use units::{Epoch, Incarnation, Millis, Region, ServiceId, Slots, Version};
use watcher::{Tables, View};

use crate::backend::FakeBackend;

pub const SERVICE: ServiceId = ServiceId(7);

pub fn unix_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is past 1970")
        .as_millis() as u64
}

pub struct Agent {
    pub address: SocketAddr,
    http: SocketAddrV4,
    pub fake: FakeBackend,
    pub incarnation: Incarnation,
    handler: Arc<Mutex<Handler>>,
    pub ends: Arc<Mutex<Vec<ServeEnd>>>,
}

impl Agent {
    pub fn handler(&self) -> Handler {
        self.handler.lock().expect("not poisoned").clone()
    }
}

/// Agents of one service. After a change of the fields, call `update`.
pub struct Cluster {
    pub agents: Vec<Agent>,
    pub profile: Profile,
    pub horizon: u64,
    pub key_sets: Vec<KeySet>,
    seed: u64,
}

pub fn class(name: &str, path: &str) -> Class {
    Class {
        name: name.parse().expect("valid"),
        method: None,
        path: path.into(),
        tier: Tier::Normal,
        short: true,
        stream: false,
        idempotent: true,
        deadline_ms: Millis(5_000),
        limit: units::Bytes(1 << 20),
    }
}

pub fn profile() -> Profile {
    let once = Class {
        idempotent: false,
        ..class("once", "/once")
    };
    let long = Class {
        short: false,
        ..class("long", "/long")
    };
    let stream = Class {
        stream: true,
        ..class("stream", "/stream")
    };
    let critical = Class {
        tier: Tier::Critical,
        ..class("critical", "/critical")
    };
    let brief = Class {
        deadline_ms: Millis(300),
        ..class("brief", "/brief")
    };
    let small = Class {
        limit: units::Bytes(100),
        ..class("small", "/small")
    };
    Profile {
        name: "p".parse().expect("valid"),
        protocol: profile::Protocol::Http,
        classes: vec![
            once,
            long,
            stream,
            critical,
            brief,
            small,
            class("read", "/read"),
        ],
        concurrency: profile::Concurrency::default(),
        retry: profile::Retry::default(),
        drain: profile::Drain::default(),
        warmup_ms: Millis(0),
        idle_ms: Millis(60_000),
        health: profile::Health::default(),
        keys: profile::Keys::default(),
        objectives: Vec::new(),
    }
}

fn key() -> Key {
    Key::from([7; 32])
}

fn handler(index: usize, incarnation: Incarnation, backend: SocketAddr, seed: u64) -> Handler {
    let host = format!("host-{index}").parse().expect("valid");
    let settings = HandlerSettings {
        incarnation,
        slots: Slots(2),
        seed,
        head_timeout: std::time::Duration::from_millis(500),
        write_timeout: std::time::Duration::from_millis(800),
        ..HandlerSettings::new("shop".parse().expect("valid"), host, backend)
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Handler::new(settings, Client::new(key()), key(), log)
}

impl Cluster {
    pub async fn start(count: usize) -> Self {
        let mut agents = Vec::new();
        for index in 0..count {
            let fake = FakeBackend::start().await;
            let incarnation = Incarnation(1 + index as u64);
            let handler = Arc::new(Mutex::new(handler(index, incarnation, fake.address, 1)));
            let ends = Arc::default();
            agents.push(Agent {
                address: serve_callers(Arc::clone(&handler), Arc::clone(&ends)).await,
                http: serve_http(Arc::clone(&handler)).await,
                fake,
                incarnation,
                handler,
                ends,
            });
        }
        let mut cluster = Self {
            agents,
            profile: profile(),
            horizon: unix_now() + 60_000,
            key_sets: Vec::new(),
            seed: 1,
        };
        cluster.key_sets = vec![KeySet {
            start: Millis(0),
            members: cluster.key_members(),
        }];
        cluster.update();
        cluster
    }

    pub fn key_members(&self) -> Vec<KeyMember> {
        let member = |(index, agent): (usize, &Agent)| KeyMember {
            host: format!("host-{index}").parse().expect("valid"),
            incarnation: agent.incarnation,
            http: agent.http,
        };
        self.agents.iter().enumerate().map(member).collect()
    }

    /// Restarts an agent: it keeps its addresses and loses its memory.
    pub fn restart(&mut self, index: usize) {
        self.seed += 1;
        let agent = &mut self.agents[index];
        agent.incarnation = Incarnation(agent.incarnation.0 + 100);
        let restarted = handler(index, agent.incarnation, agent.fake.address, self.seed);
        *agent.handler.lock().expect("not poisoned") = restarted;
        self.update();
    }

    /// Changes the backend address of an agent.
    pub fn set_backend(&mut self, index: usize, backend: SocketAddr) {
        let agent = &self.agents[index];
        *agent.handler.lock().expect("not poisoned") =
            handler(index, agent.incarnation, backend, 9);
        self.update();
    }

    pub fn view(&self) -> View {
        let members = self.agents.iter().enumerate().map(|(index, agent)| Member {
            host: format!("host-{index}").parse().expect("valid"),
            incarnation: agent.incarnation,
            packets: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
            http: agent.http,
            centre: "c".parse().expect("valid"),
            slots: Slots(2),
            weight: units::Weight(100),
            state: MemberState::Serving,
        });
        let table = Table {
            service: SERVICE,
            epoch: Epoch(1),
            changed: Millis(0),
            members: members.collect(),
        };
        let service = ServiceView {
            id: SERVICE,
            service: Service {
                name: "shop".parse().expect("valid"),
                tenant: "t".parse().expect("valid"),
                profile: "p".parse().expect("valid"),
                address: Some(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80)),
                region: Region(0),
            },
            profile: self.profile.clone(),
            version: Version(1),
        };
        let mut view = View::default();
        view.services = BTreeMap::from([(SERVICE, Arc::new(service))]);
        let tables = Tables {
            current: Arc::new(table),
            earlier: Vec::new(),
            received_at: tokio::time::Instant::now(),
        };
        view.tables = BTreeMap::from([(SERVICE, tables)]);
        view.keys = BTreeMap::from([(SERVICE, self.key_sets.clone().into())]);
        view.horizon = Millis(self.horizon);
        view
    }

    pub fn update(&self) {
        let view = self.view();
        for agent in &self.agents {
            agent.handler().update(&view);
        }
    }

    /// Counts the requests received by all backend servers whose target contains `text`.
    pub fn request_count(&self, text: &str) -> usize {
        self.agents
            .iter()
            .map(|agent| agent.fake.request_count(text))
            .sum()
    }
}

async fn serve_callers(
    handler: Arc<Mutex<Handler>>,
    ends: Arc<Mutex<Vec<ServeEnd>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let handler = handler.lock().expect("not poisoned").clone();
            let ends = Arc::clone(&ends);
            tokio::spawn(async move {
                let SocketAddr::V4(peer) = peer else { return };
                let end = handler.serve(stream, peer).await;
                ends.lock().expect("not poisoned").push(end);
            });
        }
    });
    address
}

async fn serve_http(handler: Arc<Mutex<Handler>>) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let SocketAddr::V4(address) = listener.local_addr().expect("loopback works") else {
        panic!("not an IPv4 address");
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            let service = hyper::service::service_fn(move |request| {
                let handler = handler.lock().expect("not poisoned").clone();
                async move { Ok::<_, hyper::Error>(dispatch(&handler, request).await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move { drop(served.await) });
        }
    });
    address
}

async fn dispatch(handler: &Handler, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let target = request.uri().path().to_owned();
    let sealed = request
        .into_body()
        .collect()
        .await
        .expect("loopback works")
        .to_bytes();
    let (body, tag) = key().verify_body(&target, &[], &sealed).expect("sealed");
    let reply = match target.as_str() {
        path::CLAIM => encode(&handler.claim(&rmp_serde::from_slice(body).expect("valid message"))),
        path::DONE => {
            handler.done(&rmp_serde::from_slice(body).expect("valid message"));
            encode(&())
        }
        path::LOAD => encode(&handler.load(0)),
        _ => {
            let message: RelayMessage = rmp_serde::from_slice(body).expect("valid message");
            encode(&handler.relay(message.head, message.body.0).await)
        }
    };
    Response::new(Full::new(key().sign_body(&target, &tag, reply).into()))
}

fn encode<T: serde::Serialize>(reply: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(reply).expect("valid message")
}
