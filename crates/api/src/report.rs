//! Status, request counts for the error budget burn, and the report.

use serde::{Deserialize, Serialize};
use units::{ClassName, HostName, Incarnation, Millis, Percent, Region, ServiceName, Version};

use crate::{AuditEntry, Role};

/// Counts of one bucket; counts of several buckets can be added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that did not meet the objective.
    pub bad: u64,
    /// Requests rejected without being run; part of `bad`.
    pub not_run: u64,
    /// Requests with unknown outcome; part of `bad`.
    pub unknown: u64,
    /// Flows that were closed by the caller or the backend server.
    pub kept: u64,
    /// Flows that were broken by a failure.
    pub broken: u64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.not_run = self.not_run.saturating_add(other.not_run);
        self.unknown = self.unknown.saturating_add(other.unknown);
        self.kept = self.kept.saturating_add(other.kept);
        self.broken = self.broken.saturating_add(other.broken);
    }
}

/// Counts of one class in one minute; class `None` stands for the flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Unix minute.
    pub minute: u64,
    /// Class.
    pub class: Option<ClassName>,
    /// Counts.
    pub counts: Counts,
}

/// Counts of an agent since its last acknowledged batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnBatch {
    /// Host.
    pub host: HostName,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Sequence number, one higher with each batch; control counts each batch once.
    pub number: u64,
    /// Buckets; an empty list means that the agent is live without traffic.
    pub buckets: Vec<Bucket>,
}

/// Acknowledgement of batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// Newest batch of this incarnation that is durable.
    pub number: u64,
}

/// Error budget burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// Length of the window.
    pub window_ms: Millis,
    /// Counts.
    pub counts: Counts,
    /// Burn rate: share of bad requests divided by the allowed share; `None` without requests.
    pub rate: Option<f64>,
}

/// Report on one objective of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// Class.
    pub class: ClassName,
    /// Maximum latency of a good request.
    pub latency_ms: Millis,
    /// Share of requests that must be good.
    pub share: Percent,
    /// Windows, shortest first.
    pub windows: Vec<BurnWindow>,
    /// Whether the burn rates of both windows of a pair exceed the threshold of the pair.
    pub alert: bool,
}

/// Report on one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Service.
    pub service: ServiceName,
    /// Objectives.
    pub objectives: Vec<ObjectiveReport>,
    /// Sums over the longest window.
    pub counts: Counts,
    /// Agents that reported within the shortest window.
    pub measured: Vec<HostName>,
    /// Agents that were expected to report and did not; their time counts as unknown, never as
    /// good.
    pub silent: Vec<HostName>,
}

/// Report for operators and the board.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Unix time of the report.
    pub at: Millis,
    /// Services.
    pub services: Vec<ServiceReport>,
    /// Audit log: accepted and planned changes, oldest first.
    pub audit: Vec<AuditEntry>,
}

/// Status of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Host.
    pub host: HostName,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: Region,
    /// Configuration version in force at the node.
    pub config: Version,
    /// Open flows.
    pub flows: u64,
    /// Time since its last heartbeat.
    pub age_ms: Millis,
    /// Whether its lease is valid.
    pub live: bool,
}

/// Configuration change that is not in force at every live node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// Configuration version.
    pub version: Version,
    /// Live nodes without this version.
    pub missing: Vec<HostName>,
}

/// Status of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Newest configuration version.
    pub config: Version,
    /// Newest configuration version that was in force at every live node.
    #[serde(default)]
    pub in_force: Version,
    /// Leader's address.
    pub leader: Box<str>,
    /// Control replicas: id, address, `voter` or `learner`, whether it replied recently.
    pub replicas: Vec<(u64, Box<str>, Box<str>, bool)>,
    /// Nodes.
    pub nodes: Vec<NodeStatus>,
    /// Change that is not in force at every live node.
    pub pending: Option<Pending>,
}
