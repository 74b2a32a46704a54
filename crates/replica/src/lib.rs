//! Runs one `replication` state with its files and peers.
//!
//! The process that embeds a replica serves [`api::path::REPLICATE`] and hands
//! each message to [`Replica::handle`]. The server must accept request bodies
//! of [`MAX_BODY`] bytes:
//!
//! ```ignore
//! let request = rpc::Request::<replica::Body>::open(&key, api::path::REPLICATE, &body)?;
//! let answer = replica.handle(&request.message.0).await?;
//! request.reply(&key, &replica::Body(answer))
//! ```
//!
//! The address must accept requests before [`Replica::start`] returns: a replica
//! with an empty folder first asks its peers whether the group already exists.
//! Requests that arrive earlier may be answered with any error status.

mod body;
mod error;
mod handle;
mod settings;
mod status;

pub use body::{Body, MAX_BODY};
pub use error::{ProposeError, ReplicaError};
pub use handle::{ApplyFn, Machine, Replica, RestoreFn, SnapshotFn};
pub use settings::{Peer, ReplicaSettings};
pub use status::{PeerStatus, ReplicaStatus, Role};
