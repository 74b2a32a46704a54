//! `load backend`.

use std::process::ExitCode;

use startup::{LogSettings, logger};

use super::until_stopped;
use crate::backend::{Backend, BackendSettings, Mode};
use crate::error::LoadError;

pub(super) async fn run(flags: crate::cli::Backend) -> Result<ExitCode, LoadError> {
    let mut settings = match &flags.settings {
        Some(file) => startup::load::<BackendSettings>(file)?.value,
        None => BackendSettings::default(),
    };
    if let Some(listen) = flags.listen {
        settings.listen = listen;
    }
    if let Some(host) = flags.host {
        settings.host = host.into();
    }
    if let Some(slots) = flags.slots {
        settings.slots = slots;
    }
    if flags.echo {
        settings.mode = Mode::Echo;
    }
    let (log, _flush) = logger(&LogSettings::default(), "load backend", &settings.host);
    let backend = Backend::start(settings)
        .await
        .map_err(LoadError::io("listen"))?;
    slog::info!(log, "ready"; "address" => %backend.address());
    until_stopped(flags.seconds).await?;
    let summary = backend.record().summary();
    slog::info!(log, "stopped"; "begun" => summary.begun, "done" => summary.done);
    Ok(ExitCode::SUCCESS)
}
