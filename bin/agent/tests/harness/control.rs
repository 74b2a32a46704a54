//! Fake control: one replica that builds the table directly from heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use api::{
    BurnBatch, BurnReply, Heartbeat, HeartbeatReply, Member, MemberState, Order, ServiceView,
    Table, TableUpdate, Watch, WatchReply,
};
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext, ServerBuilder,
    UntypedBody, endpoint,
};
use http::{Response, StatusCode};
use rpc::{Key, Request};
use units::{Epoch, HostName, Incarnation, Millis, Version};

#[derive(Debug)]
pub struct State {
    pub key: Key,
    pub view: ServiceView,
    pub members: BTreeMap<(HostName, Incarnation), Member>,
    pub epoch: u64,
    pub order: Order,
    pub burns: Vec<BurnBatch>,
    /// Number of burn batches to reject with status 503.
    pub rejections: usize,
}

pub struct FakeControl {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    _server: HttpServer<Arc<Mutex<State>>>,
}

type Context = RequestContext<Arc<Mutex<State>>>;
type SignedReply = Result<Response<Body>, HttpError>;

#[endpoint { method = POST, path = "/v1/heartbeat", request_body_max_bytes = 65536 }]
async fn heartbeat(context: Context, body: UntypedBody) -> SignedReply {
    let mut state = context.context().lock().expect("a lock");
    let key = state.key.clone();
    let request = Request::<Heartbeat>::verify(&key, api::path::HEARTBEAT, &body)?;
    let heartbeat = &request.message;
    let id = (heartbeat.host.clone(), heartbeat.incarnation);
    let before = state.members.get(&id).cloned();
    match &heartbeat.backend {
        Some(backend) if !heartbeat.leaving && backend.state.is_some() => {
            let member = Member {
                host: heartbeat.host.clone(),
                incarnation: heartbeat.incarnation,
                packets: backend.packets,
                http: backend.http,
                centre: heartbeat.centre.clone(),
                slots: backend.slots,
                weight: backend.weight,
                state: backend.state.unwrap_or(MemberState::Draining),
            };
            state.members.insert(id.clone(), member);
        }
        _ => {
            state.members.remove(&id);
        }
    }
    if state.members.get(&id) != before.as_ref() {
        state.epoch += 1;
    }
    let reply = HeartbeatReply {
        order: state.order,
        lease_ms: Millis(4000),
        config: Version(1),
        known: true,
        replicas: Vec::new(),
    };
    request.reply(&key, &reply)
}

#[endpoint { method = POST, path = "/v1/watch", request_body_max_bytes = 65536 }]
async fn watch(context: Context, body: UntypedBody) -> SignedReply {
    let key = context.context().lock().expect("a lock").key.clone();
    let request = Request::<Watch>::verify(&key, api::path::WATCH, &body)?;
    // The epoch of the table serves as the log index.
    let known_index = request.message.index;
    let mut polls_left = request.message.wait_ms.0 / 20;
    loop {
        let newer = find_newer(context.context(), request.message.config, known_index);
        if let Some(reply) = newer {
            return request.reply(&key, &reply);
        }
        if polls_left == 0 {
            break;
        }
        polls_left -= 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let config = Version(1);
    let unchanged = WatchReply {
        config,
        index: known_index,
        ..WatchReply::default()
    };
    request.reply(&key, &unchanged)
}

/// Every read is current here.
#[endpoint { method = POST, path = "/v1/read", request_body_max_bytes = 65536 }]
async fn read(context: Context, body: UntypedBody) -> SignedReply {
    let key = context.context().lock().expect("a lock").key.clone();
    let request = Request::<Watch>::verify(&key, api::path::READ, &body)?;
    let message = &request.message;
    let unchanged = WatchReply {
        config: message.config,
        index: message.index,
        ..WatchReply::default()
    };
    let newer = find_newer(context.context(), message.config, message.index);
    request.reply(&key, &newer.unwrap_or(unchanged))
}

fn find_newer(state: &Mutex<State>, config: Version, known_index: u64) -> Option<WatchReply> {
    let state = state.lock().expect("a lock");
    let mut reply = WatchReply {
        config: Version(1),
        index: state.epoch,
        ..WatchReply::default()
    };
    if config < reply.config {
        reply.services = vec![state.view.clone()];
    }
    if state.epoch > known_index {
        reply.tables = vec![TableUpdate::Snapshot(Table {
            service: state.view.id,
            epoch: Epoch(state.epoch),
            changed: Millis(0),
            members: state.members.values().cloned().collect(),
        })];
    }
    (!reply.services.is_empty() || !reply.tables.is_empty()).then_some(reply)
}

#[endpoint { method = POST, path = "/v1/burn", request_body_max_bytes = 65536 }]
async fn burn(context: Context, body: UntypedBody) -> SignedReply {
    let mut state = context.context().lock().expect("a lock");
    let key = state.key.clone();
    let request = Request::<BurnBatch>::verify(&key, api::path::BURN, &body)?;
    state.burns.push(request.message.clone());
    if state.rejections > 0 {
        state.rejections -= 1;
        return rpc::text_response(StatusCode::SERVICE_UNAVAILABLE, "no quorum");
    }
    let number = request.message.number;
    request.reply(&key, &BurnReply { number })
}

impl FakeControl {
    pub fn start(key: Key, view: ServiceView) -> Self {
        let state = Arc::new(Mutex::new(State {
            key,
            view,
            members: BTreeMap::new(),
            epoch: 0,
            order: Order::Serve,
            burns: Vec::new(),
            rejections: 0,
        }));
        let mut description = ApiDescription::new();
        description.register(heartbeat).expect("an endpoint");
        description.register(watch).expect("an endpoint");
        description.register(read).expect("an endpoint");
        description.register(burn).expect("an endpoint");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(description, Arc::clone(&state), log)
            .config(ConfigDropshot {
                bind_address: "127.0.0.1:0".parse().expect("an address"),
                ..ConfigDropshot::default()
            })
            .start()
            .expect("a server");
        Self {
            address: server.local_addr(),
            state,
            _server: server,
        }
    }

    /// Member states by incarnation.
    pub fn states(&self) -> Vec<(u64, MemberState)> {
        let state = self.state.lock().expect("a lock");
        let entry = |m: &Member| (m.incarnation.0, m.state);
        state.members.values().map(entry).collect()
    }
}
