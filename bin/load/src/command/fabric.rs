//! `load fabric`; each line of standard input replaces the balancers.

use std::process::ExitCode;

use startup::{LogSettings, logger};
use tokio::io::{AsyncBufReadExt, BufReader};

use super::until_stopped;
use crate::error::LoadError;
use crate::fabric::{Exit, Fabric, FabricSettings};

pub(super) async fn run(flags: crate::cli::Fabric) -> Result<ExitCode, LoadError> {
    let settings = startup::load::<FabricSettings>(&flags.settings)?.value;
    let (log, _flush) = logger(&LogSettings::default(), "load fabric", "fabric");
    let fabric = Fabric::start(settings).map_err(LoadError::io("listen"))?;
    slog::info!(log, "ready");
    let reader = {
        let (fabric, log) = (fabric.clone(), log.clone());
        tokio::spawn(async move {
            let mut lines = BufReader::new(tokio::io::stdin()).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match parse(&line) {
                    Ok(balancers) => fabric.set_balancers(balancers),
                    Err(e) => slog::warn!(log, "line ignored"; "error" => %e),
                }
            }
        })
    };
    until_stopped(flags.seconds).await?;
    reader.abort();
    let stats = fabric.stats();
    slog::info!(log, "stopped"; "forth" => stats.forth, "back" => stats.back,
        "stray" => stats.stray, "dropped" => stats.dropped);
    Ok(ExitCode::SUCCESS)
}

/// Addresses with spaces or commas between them.
pub(super) fn parse(line: &str) -> Result<Vec<Exit>, std::net::AddrParseError> {
    line.split([' ', ','])
        .filter(|part| !part.is_empty())
        .map(|part| {
            part.parse()
                .map(|address: std::net::SocketAddr| Exit::from(address))
        })
        .collect()
}
