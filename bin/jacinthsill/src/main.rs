//! Operators' command line.

mod cli;
mod client;
mod command;
mod error;
mod text;
mod time;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::Jacinthsill::from_env_or_exit();
    let output = options.output.unwrap_or_default();
    match command::run(&options) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("jacinthsill: {error}");
            if output == cli::Output::Json {
                text::print_error(&error);
            }
            error.code().into()
        }
    }
}
