//! Decisions of agents about opaque flows.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

mod common;
mod failures;
mod fleet;
mod flows;
mod lost;
mod placement;
mod search;
mod siblings;
mod transfers;
mod waiting;
