//! Subcommands, one a file.

mod backend;
mod capacity;
mod demo;
mod fabric;
mod packets;
mod proxy;
mod run;
mod subscribers;

use std::process::ExitCode;
use std::time::Duration;

use crate::cli::{Load, LoadCmd};
use crate::error::LoadError;

/// Longest run of a subcommand that no option bounds, in seconds.
const MAX_SECONDS: u64 = 600;

/// Runs the subcommand of a command line; `allocated` gives the bytes that the allocator handed out.
///
/// # Errors
/// See [`LoadError`].
pub fn run(flags: Load, allocated: fn() -> usize) -> Result<ExitCode, LoadError> {
    let runtime = tokio::runtime::Runtime::new().map_err(LoadError::io("start the runtime"))?;
    runtime.block_on(async {
        match flags.subcommand {
            LoadCmd::Subscribers(flags) => subscribers::run(flags).await,
            LoadCmd::Packets(flags) => packets::run(flags).await,
            LoadCmd::Capacity(flags) => capacity::run(flags, allocated).await,
            LoadCmd::Run(flags) => run::run(flags).await,
            LoadCmd::Settings(flags) => run::settings(&flags),
            LoadCmd::Backend(flags) => backend::run(flags).await,
            LoadCmd::Fabric(flags) => fabric::run(flags).await,
            LoadCmd::Proxy(flags) => proxy::run(flags).await,
            LoadCmd::Demo(flags) => demo::run(flags).await,
        }
    })
}

/// Waits for a stop signal, at most `seconds`.
async fn until_stopped(seconds: Option<u64>) -> Result<(), LoadError> {
    let mut stop = startup::Stop::listen().map_err(|e| LoadError::io("signals")(e.source))?;
    bounded(seconds, stop.graceful()).await;
    Ok(())
}

/// Runs a future for at most `seconds`.
async fn bounded<T>(seconds: Option<u64>, act: impl Future<Output = T>) -> Option<T> {
    let limit = Duration::from_secs(seconds.unwrap_or(MAX_SECONDS));
    tokio::time::timeout(limit, act).await.ok()
}
