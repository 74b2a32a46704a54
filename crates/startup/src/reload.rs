//! Changes of a settings file.

use std::path::{Path, PathBuf};
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::StopError;

/// Time between two looks at the file; it may change without a signal.
const INTERVAL: Duration = Duration::from_secs(1);

/// Watches a settings file, on SIGHUP at once.
#[derive(Debug)]
pub struct Reload {
    file: PathBuf,
    text: Vec<u8>,
    hangup: Signal,
    log: Logger,
}

impl Reload {
    /// Watches a file from now on.
    ///
    /// # Errors
    /// When the operating system refuses the signal handler.
    pub fn watch(file: &Path, log: &Logger) -> Result<Self, StopError> {
        Ok(Self {
            file: file.into(),
            text: std::fs::read(file).unwrap_or_default(),
            hangup: signal(SignalKind::hangup())?,
            log: log.clone(),
        })
    }

    /// Waits until the file has another content.
    pub async fn changed(&mut self) {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => info!(self.log, "reading the settings again"),
                () = sleep(INTERVAL) => {}
            }
            match std::fs::read(&self.file) {
                Ok(text) if text != self.text => {
                    self.text = text;
                    return;
                }
                Ok(_) => {}
                Err(error) => {
                    warn!(self.log, "cannot read the settings; going on with those in force";
                        "file" => %self.file.display(), "error" => %error);
                }
            }
        }
    }
}
