//! Tests of the built control program.

#![expect(clippy::unwrap_used, reason = "helpers of tests panic like tests")]

mod group;
mod harness;
mod nodes;
mod start;
