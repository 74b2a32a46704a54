//! Tests of the state machine.

mod common;
mod declare;
mod outcomes;
mod routes;
mod snapshot;
mod tables;
