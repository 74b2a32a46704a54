//! Leases and heartbeats.

use api::{Announcement, Heartbeat, HeartbeatReply, MemberState, Order, Role, TargetKind};
use state::State;
use thiserror::Error;
use tokio::time::Instant;
use units::{DataCentre, HostName, Incarnation, Region, ServiceId, Version};

use crate::{Action, LEASE, Membership, Now};

/// Most nodes that one leader keeps; a region of the design size has 5,400.
pub const MAX_NODES: usize = 32_768;

/// Time in ms for which a node without a lease is still listed.
const LISTED_MS: u64 = 600_000;

/// Heartbeats in a row that say so until a member takes work again.
const RISE: u8 = 2;

/// A node is one process: a host stands twice while its agent is replaced.
pub type NodeKey = (Role, HostName, Incarnation);

/// What the leader knows of a node.
#[derive(Debug, Clone)]
pub struct Node {
    /// End of its lease.
    pub until: Instant,
    /// Last heartbeat.
    pub heard: Instant,
    /// Region.
    pub region: Region,
    /// Data centre.
    pub centre: DataCentre,
    /// Configuration version in force there.
    pub config: Version,
    /// Open flows.
    pub flows: u64,
    /// Backend server as last announced.
    pub backend: Option<Announcement>,
    /// State after hysteresis.
    pub shown: Option<MemberState>,
    rises: u8,
}

/// A heartbeat that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refused {
    /// This replica does not lead.
    #[error("this replica is not the leader")]
    NotLeader,
    /// A later process of the host is known.
    #[error(
        "host {host} announced incarnation {known} before; {refused} is older. Is its clock wrong, \
         or do two hosts use one name?"
    )]
    Older {
        /// Host.
        host: HostName,
        /// Known incarnation.
        known: Incarnation,
        /// Refused incarnation.
        refused: Incarnation,
    },
    /// No place for another node.
    #[error("{MAX_NODES} nodes are known; stop some or start another region")]
    Full,
}

impl Membership {
    pub(crate) fn heartbeat(&mut self, now: Now, state: &State, beat: &Heartbeat) -> Action {
        if self.leading.is_none() {
            return Action::Refuse(Refused::NotLeader);
        }
        let key = (beat.role, beat.host.clone(), beat.incarnation);
        let backend = beat.backend.as_ref().filter(|_| beat.role == Role::Agent);
        let service = backend.and_then(|b| state.service(&b.service));
        let service = service.map(|entry| entry.id);
        if !self.nodes.contains_key(&key)
            && let Some(refused) = self.refuse(state, &key, service)
        {
            return Action::Refuse(refused);
        }
        // A service that was declared or changed since the last heartbeat counts as well.
        for id in self.concerned(state, &key, beat) {
            self.mark(now, id);
        }
        if beat.leaving {
            self.nodes.remove(&key);
            self.note_left(now, state, &key);
        } else {
            let old = self.nodes.remove(&key);
            self.nodes.insert(key, renew(now, old, beat, backend));
        }
        let kind = match beat.role {
            Role::Agent => TargetKind::BackendServer,
            Role::Balancer => TargetKind::Balancer,
        };
        let drain = state.is_draining(kind, &beat.host, now.unix);
        Action::Reply(HeartbeatReply {
            order: if drain { Order::Drain } else { Order::Serve },
            lease_ms: LEASE,
            config: state.config(),
            known: service.is_some(),
            replicas: Vec::new(),
        })
    }

    /// Notes the members that a process takes with it: itself, and earlier processes of its host, which
    /// it replaced before this replica heard of it.
    fn note_left(&mut self, now: Now, state: &State, (role, host, incarnation): &NodeKey) {
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
        let same = members.iter().all(|(service, ..)| *service == members[0].0);
        if let Some((service, ..)) = members.first().filter(|_| same) {
            self.mark(now, *service);
            self.left.extend(members);
        }
    }

    /// Refuses a process that is older than one that is known and not known itself.
    fn refuse(&self, state: &State, key: &NodeKey, service: Option<ServiceId>) -> Option<Refused> {
        let (role, host, refused) = key;
        let table = service.and_then(|id| state.table(id));
        let is = |m: &api::Member| m.host == *host && m.incarnation == *refused;
        if table.is_some_and(|table| table.members.iter().any(is)) {
            return None;
        }
        let logged = service.and_then(|id| state.highest_incarnation(id, host));
        // Agents of two services may share a host, so only the log speaks for agents.
        let first = (*role, host.clone(), Incarnation(0));
        let last = (*role, host.clone(), Incarnation(u64::MAX));
        let newest = self.nodes.range(first..=last).next_back();
        let known = match role {
            Role::Agent => logged,
            Role::Balancer => newest.map(|((_, _, start), _)| *start),
        };
        if let Some(known) = known.filter(|known| known > refused) {
            return Some(Refused::Older {
                host: host.clone(),
                known,
                refused: *refused,
            });
        }
        (self.nodes.len() >= MAX_NODES).then_some(Refused::Full)
    }

    /// Services whose table may change by this heartbeat.
    fn concerned(&self, state: &State, key: &NodeKey, beat: &Heartbeat) -> Vec<ServiceId> {
        let old = self.nodes.get(key);
        let same = old.is_some_and(|node| {
            node.backend == beat.backend
                && node.shown == beat.backend.as_ref().and_then(|b| b.state)
        });
        let id = |b: &Announcement| state.service(&b.service).map(|entry| entry.id);
        let now = beat.backend.as_ref();
        let mut concerned: Vec<_> = now.and_then(id).into_iter().collect();
        if same && !beat.leaving {
            concerned.retain(|id| !in_table(state, *id, key));
            return concerned;
        }
        concerned.extend(old.and_then(|node| node.backend.as_ref()).and_then(id));
        if old.is_none() {
            let address = now.map(|b| b.packets);
            let taken = |table: &&api::Table| {
                let mut members = table.members.iter();
                members.any(|m| Some(m.packets) == address)
            };
            concerned.extend(state.tables().filter(taken).map(|table| table.service));
        }
        concerned
    }

    /// Ends leases and forgets nodes that were lost long ago.
    pub(crate) fn expire(&mut self, now: Now, state: &State) {
        let ended = |node: &Node| node.until <= now.mono && node.shown.is_some();
        let mut lost = Vec::new();
        for node in self.nodes.values_mut().filter(|node| ended(node)) {
            node.shown = None;
            let service = node.backend.as_ref().map(|b| &b.service);
            lost.extend(service.and_then(|name| state.service(name)).map(|e| e.id));
        }
        for id in lost {
            self.mark(now, id);
        }
        let listed = units::Millis(LISTED_MS).duration();
        self.nodes
            .retain(|_, node| now.mono.saturating_duration_since(node.heard) < listed);
    }

    /// Nodes with whether their lease holds.
    pub fn nodes(&self, now: Instant) -> impl Iterator<Item = (&NodeKey, &Node, bool)> {
        self.nodes
            .iter()
            .map(move |(key, node)| (key, node, node.until > now))
    }
}

fn in_table(state: &State, id: ServiceId, key: &NodeKey) -> bool {
    let members = state.table(id).map(|table| table.members.iter());
    let is = |m: &api::Member| m.host == key.1 && m.incarnation == key.2;
    members.is_some_and(|mut members| members.any(is))
}

fn renew(now: Now, old: Option<Node>, beat: &Heartbeat, backend: Option<&Announcement>) -> Node {
    let announced = backend.and_then(|b| b.state);
    let returns = |state: MemberState| state.takes_work();
    let (mut shown, mut rises) = (announced, 0);
    if let Some(old) = old
        && old.shown == Some(MemberState::Draining)
        && announced.is_some_and(returns)
    {
        rises = old.rises + 1;
        if rises < RISE {
            shown = old.shown;
        }
    }
    Node {
        until: now.mono + LEASE.duration(),
        heard: now.mono,
        region: beat.region,
        centre: beat.centre.clone(),
        config: beat.config,
        flows: beat.flows,
        backend: backend.cloned(),
        shown,
        rises,
    }
}
