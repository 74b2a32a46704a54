//! Detection of changes to a settings file.

use std::path::{Path, PathBuf};
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::StopError;

/// Interval at which the file is polled, because it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches a settings file; SIGHUP triggers an immediate check.
#[derive(Debug)]
pub struct Reload {
    file: PathBuf,
    content: Vec<u8>,
    hangup: Signal,
    log: Logger,
}

impl Reload {
    /// Starts to watch a file.
    ///
    /// # Errors
    /// When the operating system rejects the signal handler.
    pub fn watch(file: &Path, log: &Logger) -> Result<Self, StopError> {
        Ok(Self {
            file: file.into(),
            content: std::fs::read(file).unwrap_or_default(),
            hangup: signal(SignalKind::hangup())?,
            log: log.clone(),
        })
    }

    /// Waits until the content of the file changes.
    pub async fn changed(&mut self) {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => info!(self.log, "SIGHUP received; rereading the settings file"),
                () = sleep(POLL_INTERVAL) => {}
            }
            match std::fs::read(&self.file) {
                Ok(content) if content != self.content => {
                    self.content = content;
                    return;
                }
                Ok(_) => {}
                Err(error) => {
                    warn!(self.log, "cannot read the settings file; keeping the current settings";
                        "file" => %self.file.display(), "error" => %error);
                }
            }
        }
    }
}
