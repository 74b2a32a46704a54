//! Runs one `replication` state with its files and peers.
//!
//! The process that embeds a replica serves [`api::path::REPLICATE`] and hands
//! each message to [`Replica::handle`]. The server must accept request bodies
//! of [`MAX_BODY_BYTES`] bytes:
//!
//! ```text
//! let request = rpc::Request::<units::Blob>::open(&key, api::path::REPLICATE, &body)?;
//! let answer = replica.handle(&request.message.0).await?;
//! request.reply(&key, &units::Blob(answer))
//! ```
//!
//! [`Replica::start`] returns before the replica takes part, so that the server
//! can be started with it: a replica with an empty folder first asks its peers
//! whether the group already exists (module `form`). If it does, the disk was
//! lost, and the replica joins as a learner under a new id.
//!
//! One task holds the decisions, one thread the files, one the state machine.
//! Requests that arrive while a write is synced share the next write.

mod core;
mod disk;
mod error;
mod files;
mod form;
mod handle;
mod input;
mod peers;
mod settings;
mod status;
mod waiters;
mod wire;
mod work;

/// Largest body of a request to [`api::path::REPLICATE`] in bytes, with its tag.
pub const MAX_BODY_BYTES: usize = 8 << 20;

pub use error::{ProposeError, ReplicaError};
pub use handle::{ApplyFn, Replica, RestoreFn, SnapshotFn, StateMachine};
pub use settings::{Peer, ReplicaSettings};
pub use status::{PeerStatus, ReplicaStatus, Role};
