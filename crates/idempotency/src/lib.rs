//! Claims of idempotency keys across three replicas.
//!
//! An attempt begins only with the grants of two of three replicas, and each
//! replica grants a key to one attempt at a time, so two attempts can't both
//! begin. A replica that can't know whether it granted a key before (another
//! incarnation, a key older than what it remembers) answers `Unknown`, never
//! `Granted`. Decisions only: the time is passed in as Unix milliseconds.

mod attempt;
mod replica;
mod select;

pub use attempt::{Attempt, Verdict};
pub use replica::{Replica, ReplicaLimits};
pub use select::{SelectError, digest, replicas, select};

use units::Millis;

/// Replicas of one key.
pub const REPLICAS: usize = 3;

/// Grants needed to begin.
pub const QUORUM: usize = 2;

/// Furthest time of a key ahead of the local clock.
pub const MAX_AHEAD: Millis = Millis(5_000);
