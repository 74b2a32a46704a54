//! Quorum claims of idempotency keys across three replicas.
//!
//! An attempt starts its request only after two of three replicas granted the
//! key, and each replica grants a key to one attempt at a time, so two attempts
//! can't both start. A replica that can't know whether it granted a key before
//! (another incarnation, or a key older than what it retains) answers
//! `Unknown`, never `Granted`. The crate does no I/O: callers pass in the time
//! as Unix milliseconds.

mod attempt;
mod replica;
mod select;

pub use attempt::{Attempt, Decision};
pub use replica::{ClaimReplica, ReplicaLimits};
pub use select::{SelectError, members_for_key, request_digest, select_members};

use units::Millis;

/// Replicas per key.
pub const REPLICAS: usize = 3;

/// Grants that an attempt needs to start.
pub const QUORUM: usize = 2;

/// Most that the time of a key may be ahead of the local clock.
pub const MAX_CLOCK_SKEW: Millis = Millis(5_000);
