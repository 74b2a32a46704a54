//! One request from its begin at the backend server to the end of its response.

use std::sync::Arc;

use admission::{Completion, HealthSource};
use api::{KeptAnswer, MAX_KEPT_ANSWER};
use profile::Class;
use tokio::time::{Duration, Instant};

use crate::backend::Connection;
use crate::claims::Holding;
use crate::counts::Counted;
use crate::shared::{Shared, Slot, StreamPlace};
use crate::watch::Watch;

/// What a begun request holds until its response is complete.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) class: Class,
    /// Longest time of a good response.
    pub(crate) latency: Duration,
    pub(crate) arrived: Instant,
    pub(crate) slot: Option<Slot>,
    pub(crate) stream: Option<StreamPlace>,
    pub(crate) connection: Option<Connection>,
    pub(crate) holding: Option<Holding>,
    /// Limits of the caller's connection; none for a relayed request, which
    /// the agent of its caller counts.
    pub(crate) watch: Option<Watch>,
    /// Response to keep; dropped when it grows too large.
    pub(crate) kept: Option<KeptAnswer>,
    pub(crate) status: u16,
    pub(crate) over: bool,
}

impl Exchange {
    /// Takes a part of the response body.
    pub(crate) fn data(&mut self, data: &[u8]) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.body.len() + data.len() > MAX_KEPT_ANSWER {
            self.kept = None;
        } else {
            kept.body.0.extend_from_slice(data);
        }
    }

    /// The response is complete.
    pub(crate) fn complete(&mut self) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        let shed = self.status == 503;
        if let Some(slot) = &mut self.slot {
            slot.ended = if shed {
                Completion::Shed
            } else {
                Completion::Answered
            };
        }
        // A server that sheds load is alive; it gets fewer requests at a time.
        // Counted as failures, a peak would make every member unhealthy.
        if !shed {
            self.shared.observe(HealthSource::Request, true);
        }
        if let Some(connection) = self.connection.take() {
            self.shared.backend.give_back(connection);
        }
        if let Some(mut holding) = self.holding.take() {
            holding.finish(self.kept.take());
        }
        let good = self.status < 500 && self.arrived.elapsed() <= self.latency;
        self.count(if good { Counted::Good } else { Counted::Bad });
        self.end();
    }

    /// The backend server's connection failed within the response.
    pub(crate) fn cut(&mut self) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        self.shared.observe(HealthSource::Request, false);
        if let Some(watch) = &self.watch {
            watch.set_cut();
        }
        self.count(Counted::Unknown);
        self.end();
    }

    fn count(&self, counted: Counted) {
        if self.watch.is_some() {
            self.shared.count(&self.class, counted);
        }
    }

    fn end(&mut self) {
        if let Some(watch) = &self.watch {
            watch.set_busy(false);
            watch.set_body(None);
        }
        // Dropping the connection cancels the request; the slot comes last.
        self.connection = None;
        self.holding = None;
        self.stream = None;
        self.slot = None;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let passed = self.watch.as_ref().is_some_and(Watch::is_cut);
        if passed {
            self.count(Counted::Unknown);
        }
    }
}
