//! Test doubles, faults and experiments for jacinthsill.

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = load::cli::Load::from_env_or_exit();
    match load::command::run(flags) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}
