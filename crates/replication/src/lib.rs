//! Consensus of a group of replicas on a log, as a state machine without I/O or tasks.
//!
//! [`ReplicaState::handle`] takes an event and appends actions. The caller carries
//! the actions out in order: it performs every [`StorageWrite`], and sends a message only
//! once all writes up to its `after` are synced. Each write has a sequence number;
//! once it is synced, the caller reports [`Event::Stored`]. A leader sends its
//! entries before its own write is synced and counts itself towards the quorum only
//! afterwards.
//!
//! Messages may be lost, delayed, duplicated and reordered. The algorithm is Raft
//! with pre-vote, leadership transfer and single-server membership changes: one vote
//! per term, and a leader commits by counting replicas only entries of its own term.

mod change;
mod codec;
mod config;
mod election;
mod entry;
mod event;
mod follower;
mod leader;
mod log;
mod message;
mod progress;
mod reads;
mod settings;
mod state;

pub use codec::{CodecError, decode, encode};
pub use config::{Config, Member, MemberKind};
pub use entry::{Command, Entry, Payload, Snapshot};
pub use event::{Action, Event, MembershipChange, RefusalReason, StorageWrite};
pub use message::{Body, Message};
pub use settings::{Restored, Settings, Vote};
pub use state::{PeerState, ReplicaState, RoleName};
