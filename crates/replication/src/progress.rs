//! What a leader knows of a follower.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::Snapshot;

/// How entries are sent to a follower.
#[derive(Debug)]
pub(crate) enum Flow {
    /// One message at a time until the position is known.
    Probe {
        /// When the unanswered message was sent.
        sent: Option<Instant>,
    },
    /// Several messages without waiting for answers.
    Pipeline {
        /// Last index and time of each unanswered message.
        unanswered: VecDeque<(u64, Instant)>,
        /// Last index after which lost entries were repeated.
        filled: u64,
    },
    /// Snapshot, one chunk at a time.
    Snapshot {
        /// Snapshot.
        snapshot: Arc<Snapshot>,
        /// Bytes that have arrived.
        offset: usize,
        /// When the unanswered chunk was sent.
        sent: Instant,
    },
}

/// What a leader knows of a follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index that is synced there and matches.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// How entries are sent.
    pub(crate) flow: Flow,
    /// When the last answer arrived.
    pub(crate) contact: Instant,
    /// Last heartbeat round that was answered.
    pub(crate) round: u64,
}

impl Progress {
    /// Nothing is known yet.
    pub(crate) fn new(now: Instant, last_index: u64) -> Self {
        Self {
            match_index: 0,
            next: last_index + 1,
            flow: Flow::Probe { sent: None },
            contact: now,
            round: 0,
        }
    }

    /// Goes back to an index that may not match.
    pub(crate) fn probe(&mut self, next: u64) {
        self.next = next.max(self.match_index + 1);
        self.flow = Flow::Probe { sent: None };
    }

    /// The follower's log matches and is synced up to an index.
    pub(crate) fn accept(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next = self.next.max(self.match_index + 1);
        match &mut self.flow {
            Flow::Pipeline { unanswered, .. } => {
                while unanswered
                    .front()
                    .is_some_and(|(last_index, _)| *last_index <= self.match_index)
                {
                    unanswered.pop_front();
                }
            }
            Flow::Probe { .. } => self.pipeline(),
            Flow::Snapshot { snapshot, .. } => {
                if self.match_index >= snapshot.index {
                    self.pipeline();
                }
            }
        }
    }

    fn pipeline(&mut self) {
        self.next = self.match_index + 1;
        let (unanswered, filled) = (VecDeque::new(), 0);
        self.flow = Flow::Pipeline { unanswered, filled };
    }
}
