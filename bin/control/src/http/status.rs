//! System status for operators.

use std::time::Instant;

use api::{NodeStatus, Status};
use replica::ReplicaStatus;

use crate::node::{Node, now};

/// Time since the last reply after which a replica is reported as unreachable.
const REPLICA_TIMEOUT_MS: u128 = 2_000;

/// Status of the replicas, the nodes and the newest configuration.
pub fn status(node: &Node) -> Status {
    let now = now();
    let state = node.state();
    let membership = node.membership();
    let nodes = membership
        .nodes(now.mono)
        .map(|((role, host, _), node, live)| {
            let age = now.mono.saturating_duration_since(node.last_heartbeat);
            NodeStatus {
                host: host.clone(),
                role: *role,
                region: node.region,
                config: node.config,
                flows: node.flows,
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
            .map(|status| replica_list(node, &status))
            .unwrap_or_default(),
        nodes: nodes.collect(),
        pending: membership.pending(now.mono, &state),
    }
}

fn replica_list(node: &Node, status: &ReplicaStatus) -> Vec<(u64, Box<str>, Box<str>, bool)> {
    let own = node.settings.listen.to_string().into();
    let mut list = vec![(status.id.0, own, Box::from("voter"), true)];
    for peer in &status.peers {
        let kind = if peer.voter { "voter" } else { "learner" };
        let reachable = peer.last_contact.is_some_and(|last_contact| {
            Instant::now()
                .saturating_duration_since(last_contact)
                .as_millis()
                < REPLICA_TIMEOUT_MS
        });
        list.push((
            peer.id.0,
            peer.address.to_string().into(),
            kind.into(),
            reachable,
        ));
    }
    list.sort_by_key(|(id, ..)| *id);
    list
}
