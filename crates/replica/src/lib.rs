//! Replica of a replicated state machine: runs the algorithm of the `replication`
//! crate with its files and its connections to the peers.
//!
//! The process that embeds a replica serves [`api::path::REPLICATE`] and passes
//! each message to [`Replica::handle`]. The server must accept request bodies
//! of [`MAX_BODY_BYTES`] bytes:
//!
//! ```text
//! let request = rpc::Request::<units::Blob>::verify(&key, api::path::REPLICATE, &body)?;
//! let reply = replica.handle(&request.message.0).await?;
//! request.reply(&key, &units::Blob(reply))
//! ```
//!
//! [`Replica::start`] returns before the replica takes part, so that the server
//! can be started with it: a replica with an empty data folder first probes its
//! peers to find out whether the group already exists (module `formation`). If it
//! does, the disk was lost, and the replica joins as a learner under a new id.
//!
//! One task runs the algorithm, one thread owns the files and one the state machine.
//! Requests that arrive while a write is synced share the next write.

mod disk;
mod error;
mod files;
mod formation;
mod handle;
mod input;
mod machine;
mod messages;
mod peers;
mod pending;
mod settings;
mod status;
mod task;

/// Maximum body of a request to [`api::path::REPLICATE`] in bytes, including its
/// authentication tag.
pub const MAX_BODY_BYTES: usize = 8 << 20;

pub use error::{ProposeError, ReplicaError};
pub use handle::{ApplyFn, Replica, RestoreFn, SnapshotFn, StateMachine};
pub use settings::{Peer, ReplicaSettings};
pub use status::{PeerStatus, ReplicaStatus, Role};
