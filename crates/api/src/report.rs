//! Status, burn counts and the report.

use serde::{Deserialize, Serialize};
use units::{ClassName, HostName, Incarnation, Millis, Percent, Region, ServiceName, Version};

use crate::{AuditEntry, Role};

/// Counts of one bucket; all are sums and can be added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that did not.
    pub bad: u64,
    /// Requests refused as not run; part of `bad`.
    pub not_run: u64,
    /// Requests with unknown outcome; part of `bad`.
    pub unknown: u64,
    /// Flows that ended as caller or backend server wished.
    pub kept: u64,
    /// Flows that broke.
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

/// Counts of one class in one minute; class `None` is the flows.
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
    /// Rises by one with each batch; control counts each once.
    pub number: u64,
    /// Buckets; none means alive without traffic.
    pub buckets: Vec<Bucket>,
}

/// Acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// Newest batch of this incarnation that is durable.
    pub number: u64,
}

/// Burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// Length.
    pub window_ms: Millis,
    /// Counts.
    pub counts: Counts,
    /// Burn rate: share of bad requests over the share allowed; `None` without requests.
    pub rate: Option<f64>,
}

/// One objective of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// Class.
    pub class: ClassName,
    /// Latency that counts as good.
    pub latency_ms: Millis,
    /// Share that must be good.
    pub share: Percent,
    /// Windows, shortest first.
    pub windows: Vec<BurnWindow>,
    /// Both windows of a pair burn above its threshold.
    pub alert: bool,
}

/// One service.
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
    /// Agents that should have and did not; their time is unknown, never good.
    pub silent: Vec<HostName>,
}

/// The report for operators and the board.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Unix time.
    pub at: Millis,
    /// Services.
    pub services: Vec<ServiceReport>,
    /// Accepted and planned changes, oldest first.
    pub audit: Vec<AuditEntry>,
}

/// One node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Host.
    pub host: HostName,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: Region,
    /// Configuration version in force there.
    pub config: Version,
    /// Open flows.
    pub flows: u64,
    /// Time since its last heartbeat.
    pub age_ms: Millis,
    /// Whether its lease holds.
    pub live: bool,
}

/// A change that is not in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// Configuration version.
    pub version: Version,
    /// Live nodes without it.
    pub missing: Vec<HostName>,
}

/// State of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Newest configuration version.
    pub config: Version,
    /// Newest configuration version that was in force at every live node.
    #[serde(default)]
    pub in_force: Version,
    /// Leader's address.
    pub leader: Box<str>,
    /// Control replicas: id, address, `voter` or `learner`, whether it answered lately.
    pub replicas: Vec<(u64, Box<str>, Box<str>, bool)>,
    /// Nodes.
    pub nodes: Vec<NodeStatus>,
    /// Change that is not in force everywhere.
    pub pending: Option<Pending>,
}
