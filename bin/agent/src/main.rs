//! Agent: terminates the flows of one backend server and admits its requests.

mod burn;
mod cli;
mod error;
mod flow;
mod health;
mod http;
mod member_status;
mod packets;
mod reset;
mod run;
mod settings;
mod shared;
mod siblings;
mod stats;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::Agent::from_env_or_exit();
    match run::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agent: {error}");
            ExitCode::FAILURE
        }
    }
}
