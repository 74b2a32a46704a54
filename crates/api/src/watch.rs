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

/// What a node does.
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

/// Backend server as its agent announces it.
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
    /// Weight wanted.
    pub weight: Weight,
    /// State wanted; `None` is a leave.
    pub state: Option<MemberState>,
}

/// Sign of life; renews the lease.
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
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Configuration version in force here.
    pub config: Version,
    /// Open flows.
    pub flows: u64,
    /// Backend server; agents only.
    pub backend: Option<Announcement>,
    /// The process ends now and needs no lease any more.
    pub leaving: bool,
}

/// What control wants of a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Go on.
    #[default]
    Serve,
    /// A planned change is announced: take no new work, keep flows.
    Drain,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// What to do.
    pub order: Order,
    /// Lease from receipt of the heartbeat.
    pub lease_ms: Millis,
    /// Newest configuration version.
    pub config: Version,
    /// The service of the announcement is declared; without it the backend server is no member.
    pub known: bool,
    /// Control replicas, for nodes whose settings name others.
    #[serde(default)]
    pub replicas: Vec<SocketAddr>,
}

/// Which services a node wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Every service of a region.
    Region(Region),
    /// One service.
    Service(ServiceName),
}

/// Long poll; answered at once when something newer exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Host.
    pub host: HostName,
    /// Services wanted.
    pub scope: Scope,
    /// Configuration version held; 0 is none.
    pub config: Version,
    /// Horizon held.
    pub horizon: Millis,
    /// Log index that the node's view reflects; 0 is none. One number instead of a version per
    /// service keeps an idle poll small however many services the node watches.
    pub index: u64,
    /// Longest wait for a change.
    pub wait_ms: Millis,
}

/// A service with its profile, as nodes apply it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Id.
    pub id: ServiceId,
    /// Declaration.
    pub service: Service,
    /// Profile that it runs under.
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
    /// Services that earlier versions led to; flows may still be open there.
    pub former: Vec<ServiceId>,
    /// Time within which an answer is wanted.
    pub latency_ms: Millis,
    /// Order under overload; 0 is refused last.
    pub priority: u8,
}

/// What is newer than what the node holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Configuration version after these changes.
    pub config: Version,
    /// Services that are new or differ since the held version.
    pub services: Vec<ServiceView>,
    /// Services that were retired since the held version.
    pub retired: Vec<ServiceId>,
    /// Routes that are new or differ.
    #[serde(default)]
    pub routes: Vec<RouteView>,
    /// Addresses whose routes were dropped.
    #[serde(default)]
    pub dropped: Vec<SocketAddrV4>,
    /// Tables.
    pub tables: Vec<TableUpdate>,
    /// Key sets that the node lacks: service, number of the first one, sets in order of start.
    pub keys: Vec<(ServiceId, u64, Vec<KeySet>)>,
    /// Key times up to which the key sets are final.
    pub horizon: Millis,
    /// Log index that the node's view reflects after these changes.
    pub index: u64,
    /// Everything of the scope: the node forgets services and routes that are not in it.
    pub whole: bool,
    /// The replica leads or heard of the leader lately. Others only answer nodes that know less.
    #[serde(default)]
    pub current: bool,
}
