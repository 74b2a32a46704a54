//! Paths of nodes and of the other replicas; sealed MessagePack.

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

use super::answer::{Reply, elsewhere, failure, unconfirmed};
use crate::node::{Node, now};

/// Longest wait of a long poll, whatever the node asks for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time without contact to the leader after which this replica may be behind;
/// nodes then have to ask another one.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);

/// Buckets of one batch; an agent with more sends several batches.
const MAX_BUCKETS: usize = 4_096;

/// Heartbeat of a node.
#[endpoint { method = POST, path = "/v1/heartbeat" }]
pub async fn heartbeat(context: RequestContext<Arc<Node>>, body: UntypedBody) -> Reply {
    let node = context.context();
    let request = Request::<Heartbeat>::verify(&node.key, path::HEARTBEAT, &body)?;
    node.count("heartbeat");
    let mut actions = Vec::new();
    {
        let state = node.state();
        let event = Event::Heartbeat(&request.message);
        node.membership().handle(now(), &state, event, &mut actions);
    }
    match actions.pop() {
        Some(Action::Reply(mut reply)) => {
            reply.replicas = node.replicas();
            request.reply(&node.key, &reply)
        }
        Some(Action::Reject(HeartbeatError::NotLeader)) => not_leading(node),
        Some(Action::Reject(error)) => failure(StatusCode::CONFLICT, error.to_string()),
        _ => failure(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}

/// Long poll for tables and profiles.
#[endpoint { method = POST, path = "/v1/watch" }]
pub async fn watch(context: RequestContext<Arc<Node>>, body: UntypedBody) -> Reply {
    let node = context.context();
    let request = Request::<Watch>::verify(&node.key, path::WATCH, &body)?;
    node.count("watch");
    let message = &request.message;
    let wait = message.wait_ms.duration().min(MAX_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    let mut changes = node.changes();
    loop {
        changes.borrow_and_update();
        let newer = node.state().watch_reply(message);
        let replica = match node.replica() {
            Ok(replica) => replica,
            Err(e) => return unconfirmed(&e),
        };
        let current = is_current(&replica.status());
        if let Some(reply) = newer {
            return request.reply(&node.key, &WatchReply { current, ..reply });
        }
        if node.is_stopping() || !current {
            return behind();
        }
        if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
            if !is_current(&replica.status()) {
                return behind();
            }
            // One lock for both: a change between them would be skipped by the index.
            let state = node.state();
            let reply = state.watch_reply(message);
            let reply = reply.unwrap_or_else(|| state.unchanged_reply(message));
            let current = true;
            return request.reply(&node.key, &WatchReply { current, ..reply });
        }
    }
}

fn behind() -> Reply {
    let message = "this replica stops or lost contact to the leader; ask another one";
    failure(StatusCode::SERVICE_UNAVAILABLE, message)
}

/// Whether this replica leads or heard of the leader lately.
fn is_current(status: &ReplicaStatus) -> bool {
    if status.role == Role::Leader {
        return true;
    }
    let leader = status
        .peers
        .iter()
        .find(|peer| Some(peer.id) == status.leader);
    let contact = leader.and_then(|peer| peer.last_contact);
    contact.is_some_and(|at| Instant::now().saturating_duration_since(at) < MAX_SILENCE)
}

/// Counts of an agent.
#[endpoint { method = POST, path = "/v1/burn" }]
pub async fn burn(context: RequestContext<Arc<Node>>, body: UntypedBody) -> Reply {
    let node = context.context();
    let mut request = Request::<BurnBatch>::verify(&node.key, path::BURN, &body)?;
    node.count("burn");
    if request.message.buckets.len() > MAX_BUCKETS {
        let message = format!("at most {MAX_BUCKETS} buckets are accepted in a batch");
        return failure(StatusCode::PAYLOAD_TOO_LARGE, message);
    }
    let service = request.message.service.clone();
    let (sender, answer) = oneshot::channel();
    let batch = BurnBatch {
        buckets: std::mem::take(&mut request.message.buckets),
        ..request.message.clone()
    };
    if node.batches.try_send((batch, sender)).is_err() {
        let message = "too many batches are waiting; send it again";
        return failure(StatusCode::SERVICE_UNAVAILABLE, message);
    }
    match answer.await {
        Ok(Ok(Some(number))) => request.reply(&node.key, &BurnReply { number }),
        Ok(Ok(None)) => failure(
            StatusCode::NOT_FOUND,
            format!("service {service} is not declared"),
        ),
        Ok(Err(e)) => unconfirmed(&e),
        Err(_) => failure(StatusCode::SERVICE_UNAVAILABLE, "the replica is stopping"),
    }
}

/// Message of another replica.
#[endpoint { method = POST, path = "/v1/replicate" }]
pub async fn replicate(context: RequestContext<Arc<Node>>, body: UntypedBody) -> Reply {
    let node = context.context();
    let request = Request::<units::Blob>::verify(&node.key, path::REPLICATE, &body)?;
    let replica = match node.replica() {
        Ok(replica) => replica,
        Err(e) => return unconfirmed(&e),
    };
    match replica.handle(&request.message.0).await {
        Ok(answer) => request.reply(&node.key, &units::Blob(answer)),
        Err(e) => failure(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
    }
}

/// Reference to the leader; while this replica itself starts to lead, a request to wait.
pub fn not_leading(node: &Node) -> Reply {
    let status = match node.replica() {
        Ok(replica) => replica.status(),
        Err(e) => return unconfirmed(&e),
    };
    let leader = status
        .leader_address
        .filter(|_| status.role != Role::Leader);
    elsewhere(leader)
}
