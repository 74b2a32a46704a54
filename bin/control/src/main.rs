//! Control: keeps declarations, members and key sets in a replicated log.

mod burn;
mod cli;
mod error;
mod http;
mod lead;
mod node;
mod run;
mod settings;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::Control::from_env_or_exit();
    match run::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control: {}", error::chain(&error));
            ExitCode::FAILURE
        }
    }
}
