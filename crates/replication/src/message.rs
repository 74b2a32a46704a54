//! Defines the messages between replicas.
//!
//! MessagePack encodes the fields by position and the variants by name: the order of
//! fields and the names of variants are part of the protocol.

use serde::{Deserialize, Serialize};

use crate::{Command, Config, Entry};

/// Message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; in a pre-vote request and in a granting reply, the term
    /// that the candidate would start.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender.
    PreVote {
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Reply to a pre-vote request.
    PreVoteReply {
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether the leader asked the sender to take over.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries to append to the log.
    Append {
        /// Index of the entry before the first one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Committed index of the leader.
        commit_index: u64,
    },
    /// The log matches the leader's up to an index and is synced up to it.
    Accepted {
        /// Highest matching index.
        match_index: u64,
    },
    /// The log lacks the entry before the first one that was sent.
    Rejected {
        /// `prev_index` of the rejected message.
        prev_index: u64,
        /// Highest index that may match.
        hint_index: u64,
        /// Term of the entry at that index.
        hint_term: u64,
    },
    /// Heartbeat of the leader.
    Heartbeat {
        /// Round number, repeated in the reply.
        round: u64,
        /// Committed index, at most the index that the receiver has acknowledged.
        commit_index: u64,
    },
    /// Reply of a follower to a heartbeat.
    HeartbeatReply {
        /// Round number of the heartbeat.
        round: u64,
    },
    /// An earlier message of the receiver had an outdated term.
    Stale,
    /// A committed membership change removed the receiver.
    Removed {
        /// Index of the membership change.
        index: u64,
    },
    /// Chunk of a snapshot.
    Chunk {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// Membership as of that entry.
        config: Config,
        /// Size of the snapshot in bytes.
        total_bytes: u64,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: Command,
    },
    /// Acknowledges the received part of a snapshot.
    ChunkReply {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Offset of the next chunk in bytes.
        offset: u64,
    },
    /// Asks the receiver to start an election immediately.
    TakeOver,
}
