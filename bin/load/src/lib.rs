//! Test doubles and experiments: backend server, fabric, callers, faults, runs.
//!
//! The parts are a library, so that integration tests use them within their
//! own process; the program `load` offers them as subcommands.

pub mod backend;
pub mod caller;
#[expect(
    missing_docs,
    reason = "xflags generates the types from documented options"
)]
pub mod cli;
pub mod command;
pub mod error;
pub mod fabric;
pub mod ledger;
pub mod run;
