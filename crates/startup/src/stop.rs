//! Stop signals: the first requests a graceful stop, the second an immediate one.

use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Signal handlers can't be installed.
#[derive(Debug, Error)]
#[error("cannot install signal handlers: {source}")]
pub struct StopError {
    /// Error of the operating system.
    #[from]
    pub source: std::io::Error,
}

/// How soon a process has to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Keep running.
    None,
    /// Take no new work, finish what is in progress, then exit.
    Graceful,
    /// Exit at once.
    Immediate,
}

/// Receives stop requests; clones receive the same requests.
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<Urgency>);

impl Stop {
    /// Installs handlers for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// When the operating system rejects the handlers.
    pub fn listen() -> Result<Self, StopError> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let (sender, stop) = Self::channel();
        tokio::spawn(async move {
            recv_either(&mut term, &mut int).await;
            sender.send_replace(Urgency::Graceful);
            recv_either(&mut term, &mut int).await;
            sender.send_replace(Urgency::Immediate);
        });
        Ok(stop)
    }

    /// Creates a stop receiver and the sender that triggers it, for tests and other tasks.
    #[must_use]
    pub fn channel() -> (watch::Sender<Urgency>, Self) {
        let (sender, receiver) = watch::channel(Urgency::None);
        (sender, Self(receiver))
    }

    /// Returns the current urgency.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        *self.0.borrow()
    }

    /// Waits for a stop request.
    pub async fn graceful(&mut self) {
        self.wait_for(Urgency::Graceful).await;
    }

    /// Waits for a request to exit at once.
    pub async fn immediate(&mut self) {
        self.wait_for(Urgency::Immediate).await;
    }

    /// Waits for a request of at least this urgency; forever if the sender is gone.
    async fn wait_for(&mut self, urgency: Urgency) {
        if self
            .0
            .wait_for(|current| *current >= urgency)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}

async fn recv_either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
