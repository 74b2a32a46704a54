//! Tests of the state machine.

mod answers;
mod common;
mod declare;
mod routes;
mod snapshot;
mod tables;
