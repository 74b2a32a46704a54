//! Replication progress of a follower, as tracked by the leader.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::Snapshot;

/// How entries are sent to a follower.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// One message at a time until the matching index is known.
    Probe {
        /// When the unanswered message was sent.
        sent: Option<Instant>,
    },
    /// Several messages without waiting for replies.
    Pipeline {
        /// Last index and send time of each unanswered message.
        unanswered: VecDeque<(u64, Instant)>,
        /// Highest index after which missing entries were sent again.
        resent_after: u64,
    },
    /// A snapshot, one chunk at a time.
    Snapshot {
        /// Snapshot being sent.
        snapshot: Arc<Snapshot>,
        /// Number of bytes that the follower has received.
        offset: usize,
        /// When the unanswered chunk was sent.
        sent: Instant,
    },
}

/// Replication progress of a follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Highest index up to which the follower's log matches and is synced.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// How entries are sent.
    pub(crate) mode: SendMode,
    /// When the last reply arrived.
    pub(crate) last_contact: Instant,
    /// Last heartbeat round that the follower answered.
    pub(crate) acked_round: u64,
}

impl Progress {
    /// Progress of a follower whose log is not known yet.
    pub(crate) fn new(now: Instant, last_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            mode: SendMode::Probe { sent: None },
            last_contact: now,
            acked_round: 0,
        }
    }

    /// Probes again, starting with the given index.
    pub(crate) fn start_probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = SendMode::Probe { sent: None };
    }

    /// Records that the follower's log matches and is synced up to an index.
    pub(crate) fn accept(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            SendMode::Pipeline { unanswered, .. } => {
                while unanswered
                    .front()
                    .is_some_and(|(last_index, _)| *last_index <= self.match_index)
                {
                    unanswered.pop_front();
                }
            }
            SendMode::Probe { .. } => self.start_pipeline(),
            SendMode::Snapshot { snapshot, .. } => {
                if self.match_index >= snapshot.index {
                    self.start_pipeline();
                }
            }
        }
    }

    fn start_pipeline(&mut self) {
        self.next_index = self.match_index + 1;
        self.mode = SendMode::Pipeline {
            unanswered: VecDeque::new(),
            resent_after: 0,
        };
    }
}
