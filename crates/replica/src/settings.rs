//! Settings of a replica.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::ReplicaId;

use crate::ReplicaError;

/// Upper limit of `max_command_bytes`: a message with one command must fit into a request body.
const MAX_COMMAND_BYTES: usize = 4 << 20;

/// Id and address of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Replica id.
    pub id: ReplicaId,
    /// Address that serves `/v1/replicate`.
    pub address: SocketAddr,
}

/// Settings of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaSettings {
    /// Id in the initial membership. A replica that lost its disk gets another
    /// one from the leader and stores it in its data folder.
    pub id: ReplicaId,
    /// Address at which the peers reach this replica.
    pub address: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// Initial membership, with or without this replica. Once the group has
    /// formed, the replicated membership applies, and these addresses are used
    /// only to join the group.
    pub peers: Vec<Peer>,
    /// Join an existing group under an id assigned by its leader instead of
    /// forming one. Ignored when the data folder holds a replica's files.
    pub join: bool,
    /// Store no files and therefore never vote: the replica joins the group again
    /// at each start, and the data folder is not used.
    pub observer: bool,
    /// Maximum number of voters. Replicas that join beyond it stay learners until
    /// a voter has been without a reply for `voter_silence`. `None` promotes every
    /// replica that joins.
    #[serde(rename = "voters")]
    pub max_voters: Option<usize>,
    /// Time without a reply after which a learner replaces a voter; used only
    /// with `max_voters`.
    #[serde(rename = "silence")]
    pub voter_silence: Duration,
    /// Minimum and maximum election timeout.
    #[serde(rename = "election")]
    pub election_timeout: (Duration, Duration),
    /// Heartbeat interval of the leader.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: Duration,
    /// Time after which the outcome of a proposal is reported as unknown.
    #[serde(rename = "propose_limit")]
    pub propose_timeout: Duration,
    /// Maximum size of a command in bytes.
    #[serde(rename = "max_command")]
    pub max_command_bytes: usize,
    /// Maximum number of proposals that wait for their commit; further ones are refused.
    pub max_pending: usize,
    /// Number of entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of the log in bytes after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Number of entries before a snapshot that stay in the log for lagging followers.
    #[serde(rename = "tail")]
    pub retained_entries: u64,
    /// Size in bytes at which a new log segment starts.
    pub segment_bytes: u64,
    /// Seed of the random election timeouts; `None` uses the operating system's.
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
            max_voters: None,
            voter_silence: Duration::from_millis(1_500),
            election_timeout: (Duration::from_millis(300), Duration::from_millis(600)),
            heartbeat_interval: Duration::from_millis(75),
            propose_timeout: Duration::from_secs(5),
            max_command_bytes: 1 << 20,
            max_pending: 4096,
            snapshot_entries: 10_000,
            snapshot_bytes: 16 << 20,
            retained_entries: 1_000,
            segment_bytes: 4 << 20,
            seed: None,
        }
    }
}

impl ReplicaSettings {
    /// Returns an error for the first invalid value.
    pub(crate) fn validate(&self) -> Result<(), ReplicaError> {
        let invalid = |name, message: &str| {
            let message = message.into();
            Err(ReplicaError::Setting { name, message })
        };
        if self.id.0 == 0 {
            return invalid("id", "must be at least 1");
        }
        if self.max_command_bytes > MAX_COMMAND_BYTES {
            return invalid("max_command", "must be at most 4 MiB");
        }
        if self.election_timeout.0 > self.election_timeout.1
            || self.heartbeat_interval * 2 > self.election_timeout.0
        {
            let message = "the shortest must be at least two heartbeats and at most the longest";
            return invalid("election", message);
        }
        let is_own_address = |p: &Peer| p.address == self.address;
        if self
            .peers
            .iter()
            .any(|p| is_own_address(p) != (p.id == self.id))
        {
            return invalid(
                "peers",
                "the own address and the own id must belong together",
            );
        }
        if self.observer && !self.join {
            return invalid("observer", "an observer joins a group; set join as well");
        }
        if self.join && self.peers.iter().all(is_own_address) {
            return invalid("peers", "must name a replica of the group to join");
        }
        Ok(())
    }

    /// Settings of the replication algorithm for a replica with this id.
    pub(crate) fn replication(&self, id: ReplicaId) -> replication::Settings {
        replication::Settings {
            id,
            election_timeout: self.election_timeout,
            heartbeat_interval: self.heartbeat_interval,
            resend_timeout: self.heartbeat_interval * 4,
            retained_entries: self.retained_entries,
            max_voters: self.max_voters,
            voter_silence: self.voter_silence,
            ..replication::Settings::default()
        }
    }
}
