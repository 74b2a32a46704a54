//! Leases and heartbeats.

use api::{Announcement, Heartbeat, HeartbeatReply, MemberState, Order, Role, TargetKind};
use state::State;
use thiserror::Error;
use tokio::time::Instant;
use units::{DataCentre, HostName, Incarnation, Region, ServiceId, Version};

use crate::{Action, LEASE_TIMEOUT, Membership, Now};

/// Maximum number of nodes that a leader tracks; a region of the design size has 5,400.
pub const MAX_NODES: usize = 32_768;

/// Time in ms after its last heartbeat for which a lost node is still listed.
const LOST_NODE_RETENTION_MS: u64 = 600_000;

/// Consecutive heartbeats with a state that accepts new work, after which a draining
/// member leaves that state.
const RISE_HEARTBEATS: u8 = 2;

/// Identifies one process: a host has two nodes while its agent is replaced.
pub type NodeKey = (Role, HostName, Incarnation);

/// Last reported state of a node.
#[derive(Debug, Clone)]
pub struct Node {
    /// End of its lease.
    pub lease_end: Instant,
    /// Time of the last heartbeat.
    pub last_heartbeat: Instant,
    /// Region.
    pub region: Region,
    /// Data centre.
    pub centre: DataCentre,
    /// Configuration version in force at the node.
    pub config: Version,
    /// Open flows.
    pub flows: u64,
    /// Backend server as last announced.
    pub backend: Option<Announcement>,
    /// Member state after hysteresis; `None` without a lease or after a leave.
    pub effective_state: Option<MemberState>,
    /// Consecutive heartbeats of a draining member with a state that accepts new work.
    rise_count: u8,
}

/// Reason for which a heartbeat is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    /// This replica is not the leader.
    #[error("this replica is not the leader")]
    NotLeader,
    /// A newer incarnation of the host is known.
    #[error(
        "host {host} announced incarnation {known} before; {rejected} is older. Is its clock \
         wrong, or do two hosts use one name?"
    )]
    OlderIncarnation {
        /// Host.
        host: HostName,
        /// Known incarnation.
        known: Incarnation,
        /// Rejected incarnation.
        rejected: Incarnation,
    },
    /// The maximum number of nodes is reached.
    #[error("{MAX_NODES} nodes are known; stop some or start another region")]
    Full,
}

impl Membership {
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Now,
        state: &State,
        heartbeat: &Heartbeat,
    ) -> Action {
        if self.leader.is_none() {
            return Action::Reject(HeartbeatError::NotLeader);
        }
        let key = (
            heartbeat.role,
            heartbeat.host.clone(),
            heartbeat.incarnation,
        );
        let backend = heartbeat
            .backend
            .as_ref()
            .filter(|_| heartbeat.role == Role::Agent);
        let service = backend.and_then(|b| state.service(&b.service));
        let service = service.map(|entry| entry.id);
        if !self.nodes.contains_key(&key)
            && let Some(error) = self.rejection(state, &key, service)
        {
            return Action::Reject(error);
        }
        // Includes a service that was declared or changed since the last heartbeat.
        for id in self.affected_services(state, &key, heartbeat) {
            self.mark_dirty(now, id);
        }
        if heartbeat.leaving {
            self.nodes.remove(&key);
            self.mark_departed(now, state, &key);
        } else {
            let old = self.nodes.remove(&key);
            self.nodes
                .insert(key, renewed_node(now, old, heartbeat, backend));
        }
        let kind = match heartbeat.role {
            Role::Agent => TargetKind::BackendServer,
            Role::Balancer => TargetKind::Balancer,
        };
        let drain = state.is_draining(kind, &heartbeat.host, now.unix);
        Action::Reply(HeartbeatReply {
            order: if drain { Order::Drain } else { Order::Serve },
            lease_ms: LEASE_TIMEOUT,
            config: state.config(),
            known: service.is_some(),
            replicas: Vec::new(),
        })
    }

    /// Marks the members that end with a leaving process: itself, and earlier processes of
    /// its host, which it replaced before this replica received a heartbeat of it.
    fn mark_departed(&mut self, now: Now, state: &State, (role, host, incarnation): &NodeKey) {
        if *role != Role::Agent {
            return;
        }
        let ended = |m: &&api::Member| m.host == *host && m.incarnation <= *incarnation;
        let members = state.tables().flat_map(|table| {
            let ended = table.members.iter().filter(ended);
            ended.map(|member| (table.service, member.host.clone(), member.incarnation))
        });
        let members: Vec<_> = members.collect();
        // Agents of two services may share a host, and the message does not name the service.
        let single_service = members.iter().all(|(service, ..)| *service == members[0].0);
        if let Some((service, ..)) = members.first().filter(|_| single_service) {
            self.mark_dirty(now, *service);
            self.departed.extend(members);
        }
    }

    /// Rejects an unknown process that is older than a known one, or exceeds the node limit.
    fn rejection(
        &self,
        state: &State,
        key: &NodeKey,
        service: Option<ServiceId>,
    ) -> Option<HeartbeatError> {
        let (role, host, rejected) = key;
        let table = service.and_then(|id| state.table(id));
        let matches = |m: &api::Member| m.host == *host && m.incarnation == *rejected;
        if table.is_some_and(|table| table.members.iter().any(matches)) {
            return None;
        }
        let replicated = service.and_then(|id| state.highest_incarnation(id, host));
        // Agents of two services may share a host, so for agents only the replicated
        // state, which is kept by service, is decisive.
        let first = (*role, host.clone(), Incarnation(0));
        let last = (*role, host.clone(), Incarnation(u64::MAX));
        let newest = self.nodes.range(first..=last).next_back();
        let known = match role {
            Role::Agent => replicated,
            Role::Balancer => newest.map(|((_, _, start), _)| *start),
        };
        if let Some(known) = known.filter(|known| known > rejected) {
            return Some(HeartbeatError::OlderIncarnation {
                host: host.clone(),
                known,
                rejected: *rejected,
            });
        }
        (self.nodes.len() >= MAX_NODES).then_some(HeartbeatError::Full)
    }

    /// Services whose table this heartbeat may change.
    fn affected_services(
        &self,
        state: &State,
        key: &NodeKey,
        heartbeat: &Heartbeat,
    ) -> Vec<ServiceId> {
        let old = self.nodes.get(key);
        let unchanged = old.is_some_and(|node| {
            node.backend == heartbeat.backend
                && node.effective_state == heartbeat.backend.as_ref().and_then(|b| b.state)
        });
        let id = |b: &Announcement| state.service(&b.service).map(|entry| entry.id);
        let now = heartbeat.backend.as_ref();
        let mut affected: Vec<_> = now.and_then(id).into_iter().collect();
        if unchanged && !heartbeat.leaving {
            affected.retain(|id| !is_in_table(state, *id, key));
            return affected;
        }
        affected.extend(old.and_then(|node| node.backend.as_ref()).and_then(id));
        if old.is_none() {
            let address = now.map(|b| b.packets);
            let uses_address = |table: &&api::Table| {
                let mut members = table.members.iter();
                members.any(|m| Some(m.packets) == address)
            };
            affected.extend(
                state
                    .tables()
                    .filter(uses_address)
                    .map(|table| table.service),
            );
        }
        affected
    }

    /// Expires leases, and removes nodes that were lost longer ago than the retention time.
    pub(crate) fn expire_leases(&mut self, now: Now, state: &State) {
        let ended = |node: &Node| node.lease_end <= now.mono && node.effective_state.is_some();
        let mut lost = Vec::new();
        for node in self.nodes.values_mut().filter(|node| ended(node)) {
            node.effective_state = None;
            let service = node.backend.as_ref().map(|b| &b.service);
            lost.extend(service.and_then(|name| state.service(name)).map(|e| e.id));
        }
        for id in lost {
            self.mark_dirty(now, id);
        }
        let retention = units::Millis(LOST_NODE_RETENTION_MS).duration();
        self.nodes
            .retain(|_, node| now.mono.saturating_duration_since(node.last_heartbeat) < retention);
    }

    /// Nodes, each with whether its lease is valid.
    pub fn nodes(&self, now: Instant) -> impl Iterator<Item = (&NodeKey, &Node, bool)> {
        self.nodes
            .iter()
            .map(move |(key, node)| (key, node, node.lease_end > now))
    }
}

fn is_in_table(state: &State, id: ServiceId, key: &NodeKey) -> bool {
    let members = state.table(id).map(|table| table.members.iter());
    let matches = |m: &api::Member| m.host == key.1 && m.incarnation == key.2;
    members.is_some_and(|mut members| members.any(matches))
}

fn renewed_node(
    now: Now,
    old: Option<Node>,
    heartbeat: &Heartbeat,
    backend: Option<&Announcement>,
) -> Node {
    let announced = backend.and_then(|b| b.state);
    let takes_work = |state: MemberState| state.takes_work();
    let (mut effective_state, mut rise_count) = (announced, 0);
    if let Some(old) = old
        && old.effective_state == Some(MemberState::Draining)
        && announced.is_some_and(takes_work)
    {
        rise_count = old.rise_count + 1;
        if rise_count < RISE_HEARTBEATS {
            effective_state = old.effective_state;
        }
    }
    Node {
        lease_end: now.mono + LEASE_TIMEOUT.duration(),
        last_heartbeat: now.mono,
        region: heartbeat.region,
        centre: heartbeat.centre.clone(),
        config: heartbeat.config,
        flows: heartbeat.flows,
        backend: backend.cloned(),
        effective_state,
        rise_count,
    }
}
