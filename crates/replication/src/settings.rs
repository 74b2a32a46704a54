//! Defines the settings and the restored state.

use std::sync::Arc;
use std::time::Duration;

use units::ReplicaId;

use crate::{Entry, Snapshot};

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Minimum and maximum election timeout.
    pub election_timeout: (Duration, Duration),
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a reply after which entries or a snapshot chunk are sent again.
    pub resend_timeout: Duration,
    /// Maximum size of the entries in one message, in bytes; a larger entry is sent alone.
    pub batch_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per follower.
    pub max_inflight: usize,
    /// Size of a snapshot chunk in bytes.
    pub chunk_bytes: usize,
    /// Number of entries that compaction keeps before the snapshot.
    pub retained_entries: u64,
    /// Number of voters up to which joining replicas are promoted; `None` means no limit.
    pub max_voters: Option<usize>,
    /// If a voter sends no reply for this time, a replica that joined may replace it.
    pub voter_silence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: ReplicaId(1),
            election_timeout: (Duration::from_millis(300), Duration::from_millis(600)),
            heartbeat_interval: Duration::from_millis(75),
            resend_timeout: Duration::from_millis(250),
            batch_bytes: 256 << 10,
            max_inflight: 32,
            chunk_bytes: 512 << 10,
            retained_entries: 1_000,
            max_voters: None,
            voter_silence: Duration::from_millis(1_500),
        }
    }
}

/// Term and vote; must be synced before a message that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Vote {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that this replica voted for in the term.
    pub voted_for: Option<ReplicaId>,
}

/// State read from storage at startup.
#[derive(Debug, Default)]
pub struct Restored {
    /// Term and vote.
    pub vote: Vote,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries with consecutive indexes; the first has index 1 or follows an entry
    /// that the snapshot covers.
    pub entries: Vec<Entry>,
    /// Highest index known to be committed; later entries may be committed as well.
    pub commit_index: u64,
}
