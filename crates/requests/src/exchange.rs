//! Lifetime of a request from its start at the backend server to the end of its response.

use std::sync::Arc;

use admission::{Completion, HealthSource};
use api::{MAX_STORED_RESPONSE_BYTES, StoredResponse};
use profile::Class;
use tokio::time::{Duration, Instant};

use crate::backend::Connection;
use crate::claims::KeyClaim;
use crate::counts::RequestResult;
use crate::monitor::ConnectionMonitor;
use crate::shared::{Shared, Slot, StreamPermit};

/// Resources that a running request holds until its response is complete.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) class: Class,
    /// Latency within which a response meets the objective.
    pub(crate) latency_objective: Duration,
    pub(crate) received_at: Instant,
    pub(crate) slot: Option<Slot>,
    pub(crate) stream: Option<StreamPermit>,
    pub(crate) connection: Option<Connection>,
    pub(crate) key_claim: Option<KeyClaim>,
    /// Monitor of the caller's connection; `None` for a relayed request, which
    /// is counted by the agent that received it from the caller.
    pub(crate) monitor: Option<ConnectionMonitor>,
    /// Response to store under the idempotency key; dropped when it exceeds
    /// [`MAX_STORED_RESPONSE_BYTES`].
    pub(crate) stored_response: Option<StoredResponse>,
    pub(crate) status: u16,
    pub(crate) finished: bool,
}

impl Exchange {
    /// Records a part of the response body.
    pub(crate) fn record_data(&mut self, data: &[u8]) {
        let Some(stored_response) = &mut self.stored_response else {
            return;
        };
        if stored_response.body.len() + data.len() > MAX_STORED_RESPONSE_BYTES {
            self.stored_response = None;
        } else {
            stored_response.body.0.extend_from_slice(data);
        }
    }

    /// Ends the exchange after a complete response.
    pub(crate) fn complete(&mut self) {
        if std::mem::replace(&mut self.finished, true) {
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
        // A backend server that sheds load is healthy and gets fewer concurrent
        // requests. If shed requests counted as failures, a load peak would make
        // every member of the service unhealthy.
        if !shed {
            self.shared.record_health(HealthSource::Request, true);
        }
        if let Some(connection) = self.connection.take() {
            self.shared.backend.release(connection);
        }
        if let Some(mut key_claim) = self.key_claim.take() {
            key_claim.finish(self.stored_response.take());
        }
        let good = self.status < 500 && self.received_at.elapsed() <= self.latency_objective;
        self.record_result(if good {
            RequestResult::Good
        } else {
            RequestResult::Bad
        });
        self.release();
    }

    /// Ends the exchange after the backend server's connection failed during the response.
    pub(crate) fn fail(&mut self) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.shared.record_health(HealthSource::Request, false);
        if let Some(monitor) = &self.monitor {
            monitor.set_truncated();
        }
        self.record_result(RequestResult::Unknown);
        self.release();
    }

    fn record_result(&self, result: RequestResult) {
        if self.monitor.is_some() {
            self.shared.record_result(&self.class, result);
        }
    }

    fn release(&mut self) {
        if let Some(monitor) = &self.monitor {
            monitor.set_busy(false);
            monitor.set_body_deadline(None);
        }
        // Dropping the connection cancels the request at the backend server, so
        // the slot is freed last.
        self.connection = None;
        self.key_claim = None;
        self.stream = None;
        self.slot = None;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let truncated = self
            .monitor
            .as_ref()
            .is_some_and(ConnectionMonitor::is_truncated);
        if truncated {
            self.record_result(RequestResult::Unknown);
        }
    }
}
