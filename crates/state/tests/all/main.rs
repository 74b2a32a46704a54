//! Tests of the state machine.

mod answers;
mod common;
mod declare;
mod snapshot;
mod tables;
