//! Integration tests of the control program.

#![expect(clippy::unwrap_used, reason = "test helpers panic like tests")]

mod group;
mod harness;
mod nodes;
mod start;
