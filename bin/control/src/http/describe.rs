//! The system's state as operators see it.

use std::time::Instant;

use api::{NodeStatus, Status};
use replica::ReplicaStatus;

use crate::node::{Node, now};

/// Time without an answer after which a replica counts as lost.
const REPLICA_SILENCE_MS: u128 = 2_000;

/// Status of replicas, nodes and the newest change.
pub fn describe(node: &Node) -> Status {
    let now = now();
    let state = node.state();
    let membership = node.membership();
    let nodes = membership
        .nodes(now.mono)
        .map(|((role, host, _), n, live)| {
            let age = now.mono.saturating_duration_since(n.last_heartbeat);
            NodeStatus {
                host: host.clone(),
                role: *role,
                region: n.region,
                config: n.config,
                flows: n.flows,
                age_ms: age.into(),
                live,
            }
        });
    let replica = node.replica().map(replica::Replica::status);
    Status {
        config: state.config(),
        in_force: state.in_force(),
        leader: node.settings.listen.to_string().into(),
        replicas: replica
            .map(|status| replicas(node, &status))
            .unwrap_or_default(),
        nodes: nodes.collect(),
        pending: membership.pending(now.mono, &state),
    }
}

fn replicas(node: &Node, status: &ReplicaStatus) -> Vec<(u64, Box<str>, Box<str>, bool)> {
    let own = node.settings.listen.to_string().into();
    let mut list = vec![(status.id.0, own, Box::from("voter"), true)];
    for peer in &status.peers {
        let kind = if peer.voter { "voter" } else { "learner" };
        let answers = peer.last_contact.is_some_and(|at| {
            Instant::now().saturating_duration_since(at).as_millis() < REPLICA_SILENCE_MS
        });
        list.push((
            peer.id.0,
            peer.address.to_string().into(),
            kind.into(),
            answers,
        ));
    }
    list.sort_by_key(|(id, ..)| *id);
    list
}
