//! Endpoints for nodes and the other replicas, with sealed MessagePack bodies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use api::{BurnBatch, BurnReply, Heartbeat, Watch, WatchReply, path};
use dropshot::{RequestContext, UntypedBody, endpoint};
use http::StatusCode;
use membership::{Action, Event, HeartbeatError};
use replica::{ReplicaStatus, Role};
use rpc::Request;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::counted::watch_response;
use super::response::{HandlerResult, error_response, propose_error_response, redirect_to_leader};
use crate::node::{Node, now};

/// Longest wait of a long poll, whatever the node requests.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Time without contact to the leader after which this replica may be out of date;
/// nodes then have to poll another one.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest number of buckets in a batch; an agent with more sends several batches.
const MAX_BATCH_BUCKETS: usize = 4_096;

/// Receives the heartbeat of a node.
#[endpoint { method = POST, path = "/v1/heartbeat" }]
pub async fn heartbeat(context: RequestContext<Arc<Node>>, body: UntypedBody) -> HandlerResult {
    let node = context.context();
    let request = Request::<Heartbeat>::verify(&node.key, path::HEARTBEAT, &body)?;
    node.increment("heartbeat");
    let mut actions = Vec::new();
    {
        let state = node.state();
        let event = Event::Heartbeat(&request.message);
        node.membership().handle(now(), &state, event, &mut actions);
    }
    match actions.pop() {
        Some(Action::Reply(mut reply)) => {
            reply.replicas = node.replica_addresses();
            request.reply(&node.key, &reply)
        }
        Some(Action::Reject(HeartbeatError::NotLeader)) => not_leader_response(node),
        Some(Action::Reject(error)) => error_response(StatusCode::CONFLICT, error.to_string()),
        _ => error_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}

/// Serves a long poll of a node for tables and profiles.
#[endpoint { method = POST, path = "/v1/watch" }]
pub async fn watch(context: RequestContext<Arc<Node>>, body: UntypedBody) -> HandlerResult {
    let node = context.context();
    let request = Request::<Watch>::verify(&node.key, path::WATCH, &body)?;
    node.increment("watch");
    let message = &request.message;
    if message.probe {
        return reply_to_probe(node, &request);
    }
    let wait = message.wait_ms.duration().min(MAX_POLL_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    let mut changes = node.subscribe();
    loop {
        changes.borrow_and_update();
        let update = node.state().watch_reply(message);
        let replica = match node.replica() {
            Ok(replica) => replica,
            Err(e) => return propose_error_response(&e),
        };
        let status = replica.status();
        if let Some(reply) = update {
            let current = is_current(&status);
            return reply_to_watch(node, &request, WatchReply { current, ..reply });
        }
        // A replica that hears the leader and has no entries yet may have some before the deadline.
        if node.is_stopping() || !status.hears_leader(Instant::now(), LEADER_CONTACT_TIMEOUT) {
            return out_of_date_response();
        }
        if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
            if !is_current(&replica.status()) {
                return out_of_date_response();
            }
            // Both replies need the same lock guard: the index of the unchanged reply would otherwise
            // cover, and so skip, a change applied between them.
            let state = node.state();
            let reply = state.watch_reply(message);
            let reply = reply.unwrap_or_else(|| state.unchanged_reply(message));
            let current = true;
            return reply_to_watch(node, &request, WatchReply { current, ..reply });
        }
    }
}

/// Serves a linearizable read: with the reply, a node's view includes everything committed before the
/// request.
#[endpoint { method = POST, path = "/v1/read" }]
pub async fn read(context: RequestContext<Arc<Node>>, body: UntypedBody) -> HandlerResult {
    let node = context.context();
    let request = Request::<Watch>::verify(&node.key, path::READ, &body)?;
    node.increment("read");
    let confirmed = match node.replica() {
        Ok(replica) => replica.confirm_leadership().await,
        Err(e) => Err(e),
    };
    if let Err(e) = confirmed {
        return propose_error_response(&e);
    }
    match node.state().read_reply(&request.message) {
        Some(reply) => watch_response(node, request.encode_reply(&node.key, &reply)?),
        None => error_response(
            StatusCode::CONFLICT,
            "the view is newer than the group's state",
        ),
    }
}

/// Replies to a node that looks for a replica with tables, at any size of these.
fn reply_to_probe(node: &Arc<Node>, request: &Request<Watch>) -> HandlerResult {
    let current = match node.replica() {
        Ok(replica) => is_current(&replica.status()),
        Err(e) => return propose_error_response(&e),
    };
    let (config, index) = {
        let state = node.state();
        (state.config(), state.change_index())
    };
    if node.is_stopping() || !current && index == 0 {
        return out_of_date_response();
    }
    let reply = WatchReply {
        config,
        index,
        current,
        ..WatchReply::default()
    };
    request.reply(&node.key, &reply)
}

fn reply_to_watch(node: &Arc<Node>, request: &Request<Watch>, reply: WatchReply) -> HandlerResult {
    if reply.complete {
        node.increment("watch.complete");
    }
    watch_response(node, request.encode_reply(&node.key, &reply)?)
}

fn out_of_date_response() -> HandlerResult {
    let message = "this replica stops or lost contact to the leader; ask another one";
    error_response(StatusCode::SERVICE_UNAVAILABLE, message)
}

/// Whether this replica can confirm that a view is current.
fn is_current(status: &ReplicaStatus) -> bool {
    status.is_current(Instant::now(), LEADER_CONTACT_TIMEOUT)
}

/// Receives a batch of request counts from an agent.
#[endpoint { method = POST, path = "/v1/burn" }]
pub async fn burn(context: RequestContext<Arc<Node>>, body: UntypedBody) -> HandlerResult {
    let node = context.context();
    let mut request = Request::<BurnBatch>::verify(&node.key, path::BURN, &body)?;
    node.increment("burn");
    if request.message.buckets.len() > MAX_BATCH_BUCKETS {
        let message = format!("at most {MAX_BATCH_BUCKETS} buckets are accepted in a batch");
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, message);
    }
    let service = request.message.service.clone();
    let (sender, result) = oneshot::channel();
    let batch = BurnBatch {
        buckets: std::mem::take(&mut request.message.buckets),
        ..request.message.clone()
    };
    if node.burn_queue.try_send((batch, sender)).is_err() {
        let message = "too many batches are waiting; send it again";
        return error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    }
    match result.await {
        Ok(Ok(Some(number))) => request.reply(&node.key, &BurnReply { number }),
        Ok(Ok(None)) => error_response(
            StatusCode::NOT_FOUND,
            format!("service {service} is not declared"),
        ),
        Ok(Err(e)) => propose_error_response(&e),
        Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "the replica is stopping"),
    }
}

/// Receives a replication message of another replica.
#[endpoint { method = POST, path = "/v1/replicate" }]
pub async fn replicate(context: RequestContext<Arc<Node>>, body: UntypedBody) -> HandlerResult {
    let node = context.context();
    let request = Request::<units::Blob>::verify(&node.key, path::REPLICATE, &body)?;
    let replica = match node.replica() {
        Ok(replica) => replica,
        Err(e) => return propose_error_response(&e),
    };
    match replica.handle(&request.message.0).await {
        Ok(reply) => request.reply(&node.key, &units::Blob(reply)),
        Err(e) => error_response(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
    }
}

/// Error response that names the leader. While this replica is becoming leader itself, it names
/// none, so that the client retries.
pub fn not_leader_response(node: &Node) -> HandlerResult {
    let status = match node.replica() {
        Ok(replica) => replica.status(),
        Err(e) => return propose_error_response(&e),
    };
    let leader = status
        .leader_address
        .filter(|_| status.role != Role::Leader);
    redirect_to_leader(leader)
}
