//! Settings and the state that was read from files.

use std::sync::Arc;
use std::time::Duration;

use units::ReplicaId;

use crate::{Entry, Snapshot};

/// Settings of a state.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Own id.
    pub id: ReplicaId,
    /// Shortest and longest election timeout.
    pub election: (Duration, Duration),
    /// Heartbeat interval of a leader.
    pub heartbeat: Duration,
    /// Time without an answer after which entries or a snapshot chunk are sent again.
    pub resend: Duration,
    /// Entries in one message, in bytes; a single larger entry is sent alone.
    pub batch: usize,
    /// Messages with entries that may be unanswered per follower.
    pub window: usize,
    /// Bytes of a snapshot in one message.
    pub chunk: usize,
    /// Entries kept before a snapshot.
    pub tail: u64,
    /// Most voters that joining replicas make; any number without it.
    pub voters: Option<usize>,
    /// Silence after which a voter's seat goes to a replica that joined.
    pub silence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: ReplicaId(1),
            election: (Duration::from_millis(300), Duration::from_millis(600)),
            heartbeat: Duration::from_millis(75),
            resend: Duration::from_millis(250),
            batch: 256 << 10,
            window: 32,
            chunk: 512 << 10,
            tail: 1_000,
            voters: None,
            silence: Duration::from_millis(1_500),
        }
    }
}

/// Term and vote; synced before a message that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Vote {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that got this replica's vote in the term.
    pub voted: Option<ReplicaId>,
}

/// State that was read from files.
#[derive(Debug, Default)]
pub struct Restored {
    /// Term and vote.
    pub vote: Vote,
    /// Last snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries with consecutive indexes; the first is 1 or follows an entry
    /// that the snapshot covers.
    pub entries: Vec<Entry>,
    /// Index up to which entries are known to be committed; more may be.
    pub commit: u64,
}
