//! Tests of the state machine.

#![expect(clippy::unwrap_used, reason = "helpers of tests panic like tests")]

mod answers;
mod common;
mod declare;
mod snapshot;
mod tables;
