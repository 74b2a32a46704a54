//! Settings of a replica.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::ReplicaId;

/// A replica and where it is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Id.
    pub id: ReplicaId,
    /// Address that serves `/v1/replicate`.
    pub address: SocketAddr,
}

/// Settings of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaSettings {
    /// Id in the first membership. A replica that lost its disk gets another
    /// one from the leader and keeps it in its folder.
    pub id: ReplicaId,
    /// Own address as the peers reach it.
    pub address: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// The first membership; with or without this replica. Later the
    /// replicated membership counts, and these are only asked to join.
    pub peers: Vec<Peer>,
    /// Join an existing group under an id given by its leader instead of
    /// forming one. Ignored when the folder holds a replica's files.
    pub join: bool,
    /// Shortest and longest election timeout.
    pub election: (Duration, Duration),
    /// Heartbeat interval of the leader.
    pub heartbeat: Duration,
    /// Longest wait for a commit.
    pub propose_limit: Duration,
    /// Largest command in bytes.
    pub max_command: usize,
    /// Proposals that may wait for a commit; more are refused.
    pub max_pending: usize,
    /// Entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Log bytes after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Entries kept before a snapshot for followers that lag.
    pub tail: u64,
    /// Size at which a new log segment starts, in bytes.
    pub segment_bytes: u64,
    /// Seed for election timeouts; `None` takes one from the system.
    pub seed: Option<u64>,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            id: ReplicaId(1),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            folder: PathBuf::new(),
            peers: Vec::new(),
            join: false,
            election: (Duration::from_millis(300), Duration::from_millis(600)),
            heartbeat: Duration::from_millis(75),
            propose_limit: Duration::from_secs(5),
            max_command: 1 << 20,
            max_pending: 4096,
            snapshot_entries: 10_000,
            snapshot_bytes: 16 << 20,
            tail: 1_000,
            segment_bytes: 4 << 20,
            seed: None,
        }
    }
}
