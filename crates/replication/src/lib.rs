//! Decisions of the replicated log, without input, output or tasks.
//!
//! [`State::handle`] takes an event and appends actions. The caller carries the
//! actions out in order: it writes every [`Write`] to its files, and sends a
//! message only when all writes up to its `after` are synced. Each write has a
//! sequence number; once it is synced, the caller reports [`Event::Stored`].
//! A leader's entries are sent before its own write is synced and count
//! towards the quorum only afterwards.
//!
//! Messages may be lost, delayed, duplicated and reordered. Terms, log entries
//! and snapshots follow the well-known leader and log scheme: pre-vote, one vote
//! per term, commit of entries of the own term only, membership changes one at a
//! time.

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
pub use config::{Config, Kind, Member};
pub use entry::{Command, Entry, Payload, Snapshot};
pub use event::{Action, Cause, Change, Event, Write};
pub use message::{Body, Message};
pub use settings::{Restored, Settings, Vote};
pub use state::{PeerState, RoleName, State};
