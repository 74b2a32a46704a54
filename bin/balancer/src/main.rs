//! Balancer: forwards packets from the fabric to the agents that own their flows.

mod cli;
mod error;
mod forward;
mod http;
mod routes;
mod run;
mod settings;
mod stats;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::Balancer::from_env_or_exit();
    match run::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balancer: {error}");
            ExitCode::FAILURE
        }
    }
}
