//! Tests of an agent's forwarding decisions.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod admission;
mod common;
mod failures;
mod flows;
mod lost;
mod placement;
mod search;
mod siblings;
mod simulation;
mod transfers;
