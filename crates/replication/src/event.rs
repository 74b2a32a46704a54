//! Events and actions.

use std::net::SocketAddr;
use std::sync::Arc;

use units::ReplicaId;

use crate::{Command, Entry, Message, Snapshot, Vote};

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The time of [`crate::State::deadline`] has come.
    Tick,
    /// A message arrived.
    Message {
        /// Sender.
        from: ReplicaId,
        /// Message.
        message: Message,
    },
    /// Commands to commit, each with the caller's token.
    Propose(Vec<(u64, Command)>),
    /// A read that must see everything committed so far.
    Read {
        /// The caller's token.
        token: u64,
    },
    /// A change of the membership.
    Change {
        /// The caller's token.
        token: u64,
        /// Change.
        change: Change,
    },
    /// Leadership is to go to another voter.
    Transfer {
        /// The caller's token.
        token: u64,
    },
    /// All writes up to this number are synced.
    Stored {
        /// Number of the write.
        seq: u64,
    },
    /// The state machine's own snapshot is synced.
    Snapshot(Arc<Snapshot>),
    /// Writes fail, or succeed again.
    Disk {
        /// Whether writes succeed.
        ok: bool,
    },
}

/// Change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Adds a learner.
    Learner {
        /// Id that was never used.
        id: ReplicaId,
        /// Address.
        address: SocketAddr,
    },
    /// Adds a learner under the next free id.
    Join {
        /// Address.
        address: SocketAddr,
        /// Whether it becomes a voter on its own.
        votes: bool,
    },
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Write to the files.
#[derive(Debug, Clone)]
pub enum Write {
    /// Term and vote.
    Vote(Vote),
    /// Entries in place of everything from the first one's index on.
    Append(Vec<Entry>),
    /// Snapshot from the leader in place of the log and the state.
    Install(Arc<Snapshot>),
}

/// What the caller has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// This replica was removed from the group; under its id it never takes part again.
    Removed,
    /// Write and sync.
    Store {
        /// Number of the write.
        seq: u64,
        /// Write.
        write: Write,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: ReplicaId,
        /// Message.
        message: Message,
        /// Number of the last write that must be synced before; 0 for none.
        after: u64,
    },
    /// Apply all entries up to an index.
    Commit {
        /// Index.
        index: u64,
    },
    /// A command or a change got a place in the log.
    Proposed {
        /// The caller's token.
        token: u64,
        /// Term.
        term: u64,
        /// Index.
        index: u64,
    },
    /// The read may be answered once the index is applied.
    Read {
        /// The caller's token.
        token: u64,
        /// Index.
        index: u64,
    },
    /// A command, change, read or transfer was not accepted.
    Refused {
        /// The caller's token.
        token: u64,
        /// Cause.
        cause: Cause,
    },
}

/// Why something was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// This replica does not lead.
    NotLeader,
    /// Leadership is being handed over.
    Transfer,
    /// Another change of the membership, or the leader's first entry, is not committed yet.
    Pending,
    /// The learner has not caught up.
    Lagging,
    /// The id is not a member, or already one, or was used before.
    Member,
    /// No voter would remain, or no other voter can take over.
    Alone,
}
