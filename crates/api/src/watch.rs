//! Heartbeats, and the long poll for tables and profiles.

use std::net::{SocketAddr, SocketAddrV4};

use derive_more::Display;
use profile::{Profile, Service};
use serde::{Deserialize, Serialize};
use units::{
    DataCentre, HostName, Incarnation, Millis, Region, ServiceId, ServiceName, Slots, Version,
    Weight,
};

use crate::{KeySet, MemberState, TableUpdate};

/// Role of a node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// Balancer.
    Balancer,
    /// Agent.
    Agent,
}

/// Backend server as announced by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// UDP address for packets.
    pub packets: SocketAddrV4,
    /// TCP address of the agent's HTTP interface.
    pub http: SocketAddrV4,
    /// Slots.
    pub slots: Slots,
    /// Requested weight.
    pub weight: Weight,
    /// Requested state; `None` means that the backend server leaves.
    pub state: Option<MemberState>,
}

/// Heartbeat of a node; renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host.
    pub host: HostName,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: Region,
    /// Data centre.
    pub centre: DataCentre,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Configuration version in force at the node.
    pub config: Version,
    /// Open flows.
    pub flows: u64,
    /// Backend server; agents only.
    pub backend: Option<Announcement>,
    /// Whether the process is terminating and gives up its lease.
    pub leaving: bool,
}

/// Instruction of control to a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Accept new work.
    #[default]
    Serve,
    /// A planned change is in progress: accept no new work, keep established flows.
    Drain,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Instruction to the node.
    pub order: Order,
    /// Duration of the lease from receipt of the heartbeat.
    pub lease_ms: Millis,
    /// Newest configuration version.
    pub config: Version,
    /// Whether the announced service is declared; if not, the backend server is no member.
    pub known: bool,
    /// Control replicas, for nodes whose settings list others.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
}

/// Services that a node watches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Every service of a region.
    Region(Region),
    /// One service.
    Service(ServiceName),
}

/// Long poll; gets a reply at once if something newer exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Host.
    pub host: HostName,
    /// Watched services.
    pub scope: Scope,
    /// Configuration version known to the node; 0 if none.
    pub config: Version,
    /// Horizon known to the node.
    pub horizon: Millis,
    /// Log index that the node's view reflects; 0 if none. One number instead of a version per
    /// service keeps an idle poll small however many services the node watches.
    pub index: u64,
    /// Maximum time to wait for a change.
    pub wait_ms: Millis,
    /// Asks only for the replica's configuration version and log index. A replica that doesn't
    /// know the field replies in full.
    #[serde(default)]
    pub probe: bool,
}

/// A service with its profile, as nodes apply it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Id.
    pub id: ServiceId,
    /// Declaration.
    pub service: Service,
    /// Profile of the service.
    pub profile: Profile,
    /// Configuration version of the newest change to either.
    pub version: Version,
}

/// A service that a route leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// Service.
    pub service: ServiceId,
    /// Share of new flows relative to the other targets.
    pub weight: u32,
}

/// A route as balancers apply it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteView {
    /// Address that callers use.
    pub address: SocketAddrV4,
    /// Services for new flows.
    pub targets: Vec<TargetView>,
    /// Services that earlier versions of the route led to; they may still have open flows.
    pub former: Vec<ServiceId>,
    /// Target latency of a response.
    pub latency_ms: Millis,
    /// Priority under overload; 0 is rejected last.
    pub priority: u8,
}

/// Reply to a watch: everything newer than the node's view.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Configuration version after these changes.
    pub config: Version,
    /// Services that are new or differ since the version known to the node.
    pub services: Vec<ServiceView>,
    /// Services that were retired since the version known to the node.
    pub retired: Vec<ServiceId>,
    /// Routes that are new or differ.
    #[serde(default)]
    pub routes: Vec<RouteView>,
    /// Addresses whose routes were removed.
    #[serde(default)]
    pub dropped: Vec<SocketAddrV4>,
    /// Updates of member tables.
    pub tables: Vec<TableUpdate>,
    /// Key sets that the node lacks: service, number of the first set, sets in order of start.
    pub keys: Vec<(ServiceId, u64, Vec<KeySet>)>,
    /// Key time up to which the key sets are final.
    pub horizon: Millis,
    /// Log index that the node's view reflects after these changes.
    pub index: u64,
    /// Whether the reply is complete for the scope: the node removes services and routes that it
    /// does not contain.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the replica is the leader or had recent contact with it. Other replicas only reply
    /// to nodes with an older view.
    #[serde(default)]
    pub current: bool,
}
