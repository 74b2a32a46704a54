//! Events that a replica handles and actions that it returns.

use std::net::SocketAddr;
use std::sync::Arc;

use units::ReplicaId;

use crate::{Command, Entry, Message, Snapshot, Vote};

/// Input of a replica.
#[derive(Debug, Clone)]
pub enum Event {
    /// The time of [`crate::ReplicaState::deadline`] has been reached.
    Tick,
    /// A message was received.
    Message {
        /// Sender.
        from: ReplicaId,
        /// Message as received.
        message: Message,
    },
    /// Commands to commit, each with the caller's token.
    Propose(Vec<(u64, Command)>),
    /// Linearizable read: it must see everything committed before it.
    Read {
        /// The caller's token.
        token: u64,
    },
    /// Request for a membership change.
    Change {
        /// The caller's token.
        token: u64,
        /// Requested change.
        change: MembershipChange,
    },
    /// Request to transfer leadership to another voter.
    Transfer {
        /// The caller's token.
        token: u64,
    },
    /// All writes up to this sequence number are synced.
    Stored {
        /// Sequence number of the last synced write.
        seq: u64,
    },
    /// A snapshot of this replica's state machine is synced.
    Snapshot(Arc<Snapshot>),
    /// Writes started to fail or work again.
    Disk {
        /// Whether writes succeed.
        ok: bool,
    },
}

/// Membership change that a caller requests from the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a learner.
    Learner {
        /// Id that was never assigned.
        id: ReplicaId,
        /// Network address.
        address: SocketAddr,
    },
    /// Adds a learner under the next unassigned id.
    Join {
        /// Network address.
        address: SocketAddr,
        /// Whether the leader may promote it to a voter without a further request.
        votes: bool,
    },
    /// Promotes a learner to a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Write to stable storage.
#[derive(Debug, Clone)]
pub enum StorageWrite {
    /// Stores term and vote.
    Vote(Vote),
    /// Appends entries, replacing the log from the index of the first one on.
    Append(Vec<Entry>),
    /// Installs the leader's snapshot, replacing the log and the state machine.
    Install(Arc<Snapshot>),
}

/// Action that the caller must carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// This replica was removed from the group and can't rejoin under its id.
    Removed,
    /// Write and sync.
    Store {
        /// Sequence number of the write.
        seq: u64,
        /// What to write.
        write: StorageWrite,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: ReplicaId,
        /// Message to send to the receiver.
        message: Message,
        /// Sequence number of the last write that must be synced first; 0 for none.
        after: u64,
    },
    /// Apply all entries up to an index.
    Commit {
        /// New committed index.
        index: u64,
    },
    /// A command or membership change was appended to the leader's log.
    Proposed {
        /// The caller's token.
        token: u64,
        /// Term of the entry.
        term: u64,
        /// Index of the entry.
        index: u64,
    },
    /// The read may be served once the index is applied.
    Read {
        /// The caller's token.
        token: u64,
        /// Index that must be applied.
        index: u64,
    },
    /// A command, membership change, read or transfer was refused.
    Refused {
        /// The caller's token.
        token: u64,
        /// Why it was refused.
        reason: RefusalReason,
    },
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// This replica is not the leader.
    NotLeader,
    /// A leadership transfer is in progress.
    TransferInProgress,
    /// Another membership change, or the leader's first entry, is not committed yet.
    ChangeInProgress,
    /// The learner has not caught up.
    LearnerBehind,
    /// The id does not belong to a member, already belongs to one, or was assigned before.
    InvalidMember,
    /// No voter would remain, or no other voter can take over.
    NoOtherVoter,
}
