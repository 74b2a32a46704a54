//! Test doubles, faults and experiments for jacinthsill.

use std::alloc::System;
use std::process::ExitCode;

use cap::Cap;

/// Counts allocations for `load capacity`.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> ExitCode {
    let flags = load::cli::Load::from_env_or_exit();
    match load::command::run(flags, || ALLOCATOR.allocated()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}
