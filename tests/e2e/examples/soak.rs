//! Plays rounds of the soak: `cargo run -p e2e --example soak -- --first 1 --seeds 50`.

use std::process::ExitCode;

use e2e::soak::{play, schedule};
use tokio::runtime::Runtime;

mod cli {
    xflags::xflags! {
        /// Plays rounds of the soak, one after the other.
        cmd soak {
            /// First seed; from the clock if left out.
            optional --first first: u64
            /// Seeds; 1 if left out.
            optional --seeds seeds: u64
            /// Print the course of each round first.
            optional --course
        }
    }
}

fn main() -> ExitCode {
    let flags = cli::Soak::from_env_or_exit();
    let first = flags.first.unwrap_or_else(load::backend::unix_ms);
    let mut failed = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        if flags.course {
            for step in schedule(seed) {
                println!("{step:?}");
            }
        }
        // A step of the harness that fails panics; that is a finding like others.
        let round = std::thread::spawn(move || Runtime::new().map(|on| on.block_on(play(seed))));
        let broken = match round.join() {
            Ok(Ok(report)) => {
                println!(
                    "seed {seed}: {} faults, requests {}, broken {}",
                    report.faults,
                    report.requests,
                    report.broken.len()
                );
                report.broken
            }
            Ok(Err(error)) => vec![format!("no runtime: {error}")],
            Err(_) => vec!["the round ended with the panic above".into()],
        };
        if !broken.is_empty() {
            failed += 1;
            println!("again: cargo run -p e2e --example soak -- --first {seed} --course");
            for text in broken {
                println!("{text}");
            }
        }
    }
    println!("{failed} rounds with a broken promise");
    ExitCode::from(u8::from(failed > 0))
}
