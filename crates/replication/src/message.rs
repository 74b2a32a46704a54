//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{Command, Config, Entry};

/// Message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; of a pre-vote and its grant the term that the
    /// candidate would start.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Whether the receiver would vote for the sender.
    PreVote {
        /// Last index of the sender's log.
        last: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// Request for a vote.
    Vote {
        /// Last index of the sender's log.
        last: u64,
        /// Term of that entry.
        last_term: u64,
        /// The leader asked the sender to take over.
        transfer: bool,
    },
    /// Answer to a request for a vote.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries that follow an entry.
    Append {
        /// Index before the first entry.
        prev: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries.
        entries: Vec<Entry>,
        /// Committed index of the leader.
        commit: u64,
    },
    /// The log matches the leader's up to an index, and is synced so far.
    Accepted {
        /// Index.
        matched: u64,
    },
    /// The log does not hold the entry before the first one.
    Rejected {
        /// `prev` of the rejected message.
        prev: u64,
        /// Last index that may match.
        hint: u64,
        /// Term of that entry.
        hint_term: u64,
    },
    /// The sender leads.
    Heartbeat {
        /// Number of the round; the reply repeats it.
        round: u64,
        /// Committed index, at most what the receiver has acknowledged.
        commit: u64,
    },
    /// The receiver follows the leader.
    HeartbeatReply {
        /// Number of the round.
        round: u64,
    },
    /// The term of the sender of an earlier message has passed.
    Stale,
    /// The receiver was removed by a committed change of the membership.
    Removed {
        /// Index of the change.
        index: u64,
    },
    /// Part of a snapshot.
    Chunk {
        /// Last index that the snapshot covers.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// Membership at that entry.
        config: Config,
        /// Size of the snapshot in bytes.
        total: u64,
        /// Position of the part in bytes.
        offset: u64,
        /// The part.
        data: Command,
    },
    /// Bytes of a snapshot that have arrived.
    ChunkReply {
        /// Last index that the snapshot covers.
        index: u64,
        /// Position of the next part.
        offset: u64,
    },
    /// The receiver is to start an election at once.
    TakeOver,
}
