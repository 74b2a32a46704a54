//! Tests of the built command line against built control processes.

#![expect(clippy::unwrap_used, reason = "helpers of tests panic like tests")]

mod codes;
#[expect(
    dead_code,
    reason = "shared with the tests of control, which use the rest"
)]
#[path = "../../../control/tests/all/harness.rs"]
mod harness;
mod lossy;
mod operators;
mod trace;
