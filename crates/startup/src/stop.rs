//! Stop signals: the first asks for a graceful stop, the second for an immediate one.

use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Signal handlers can't be installed.
#[derive(Debug, Error)]
#[error("cannot install signal handlers: {source}")]
pub struct StopError {
    /// Cause.
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

/// Receives stop requests; clones see the same ones.
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<Urgency>);

impl Stop {
    /// Installs handlers for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// When the operating system refuses the handlers.
    pub fn listen() -> Result<Self, StopError> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let (sender, stop) = Self::channel();
        tokio::spawn(async move {
            either(&mut term, &mut int).await;
            sender.send_replace(Urgency::Graceful);
            either(&mut term, &mut int).await;
            sender.send_replace(Urgency::Immediate);
        });
        Ok(stop)
    }

    /// Stop that a test or another task triggers.
    #[must_use]
    pub fn channel() -> (watch::Sender<Urgency>, Self) {
        let (sender, receiver) = watch::channel(Urgency::None);
        (sender, Self(receiver))
    }

    /// Current urgency.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        *self.0.borrow()
    }

    /// Waits for a stop request.
    pub async fn graceful(&mut self) {
        self.reach(Urgency::Graceful).await;
    }

    /// Waits for a request to exit at once.
    pub async fn immediate(&mut self) {
        self.reach(Urgency::Immediate).await;
    }

    async fn reach(&mut self, urgency: Urgency) {
        if self.0.wait_for(|now| *now >= urgency).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
