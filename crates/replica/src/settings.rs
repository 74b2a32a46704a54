//! Settings of a replica.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::ReplicaId;

use crate::ReplicaError;

/// Largest command in bytes; a message with one must fit into a request body.
const MAX_COMMAND: usize = 4 << 20;

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
    /// Keep no files, and so never vote: join the group anew at each start. The folder is not used.
    pub observer: bool,
    /// Most voters: replicas that join beyond it stay learners until a voter is silent. Without it
    /// every replica that joins becomes a voter.
    pub voters: Option<usize>,
    /// Silence after which a voter's seat goes to a replica that joined, with `voters` set.
    pub silence: Duration,
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
            observer: false,
            voters: None,
            silence: Duration::from_millis(1_500),
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

impl ReplicaSettings {
    /// Checks the values.
    pub(crate) fn check(&self) -> Result<(), ReplicaError> {
        let invalid = |name, message: &str| {
            let message = message.into();
            Err(ReplicaError::Setting { name, message })
        };
        if self.id.0 == 0 {
            return invalid("id", "must be at least 1");
        }
        if self.max_command > MAX_COMMAND {
            return invalid("max_command", "must be at most 4 MiB");
        }
        if self.election.0 > self.election.1 || self.heartbeat * 2 > self.election.0 {
            let message = "the shortest must be at least two heartbeats and at most the longest";
            return invalid("election", message);
        }
        let address = |p: &Peer| p.address == self.address;
        if self.peers.iter().any(|p| address(p) != (p.id == self.id)) {
            return invalid(
                "peers",
                "the own address and the own id must belong together",
            );
        }
        if self.observer && !self.join {
            return invalid("observer", "an observer joins a group; set join as well");
        }
        if self.join && self.peers.iter().all(address) {
            return invalid("peers", "must name a replica of the group to join");
        }
        Ok(())
    }

    /// Settings of the decisions.
    pub(crate) fn decisions(&self, id: ReplicaId) -> replication::Settings {
        replication::Settings {
            id,
            election_timeout: self.election,
            heartbeat_interval: self.heartbeat,
            resend_timeout: self.heartbeat * 4,
            retained_entries: self.tail,
            max_voters: self.voters,
            voter_silence: self.silence,
            ..replication::Settings::default()
        }
    }
}
