//! Control: keeps declarations, members and key sets in a replicated log.

use std::process::ExitCode;

use control::{cli, error, run};

fn main() -> ExitCode {
    let options = cli::Control::from_env_or_exit();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control: {}", error::chain(&error));
            ExitCode::FAILURE
        }
    }
}
