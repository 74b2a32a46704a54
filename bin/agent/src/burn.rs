//! Sends the counts for the burn report to control until they are acknowledged.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::{BurnBatch, BurnReply, Failure, path};
use rpc::{Client, RpcError};
use slog::{Logger, debug};
use tokio::time::sleep;

use crate::shared::SharedState;

/// Time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_secs(5);

/// Delay after an attempt without an acknowledgement.
const RETRY_DELAY: Duration = Duration::from_millis(500);

const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP status of the reply of a replica that is not the leader.
const MISDIRECTED: u16 = 421;

/// Sends numbered batches of counts to the control leader.
#[derive(Debug)]
pub struct BurnReporter {
    shared: Arc<SharedState>,
    client: Client,
    log: Logger,
    peer_index: usize,
    leader: Option<SocketAddr>,
    batch_number: u64,
    unacknowledged: Option<BurnBatch>,
}

impl BurnReporter {
    /// Creates a reporter whose first batch has number 1.
    pub fn new(shared: Arc<SharedState>, client: Client, log: Logger) -> Self {
        Self {
            shared,
            client,
            log,
            peer_index: 0,
            leader: None,
            batch_number: 0,
            unacknowledged: None,
        }
    }

    /// Sends a batch per interval until `stop` resolves, then the remaining counts.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                () = sleep(BATCH_INTERVAL) => {}
            }
            tokio::select! {
                () = &mut stop => break,
                () = self.deliver_batch() => {}
            }
        }
        // The first call resends a batch whose delivery `stop` interrupted, the second one sends
        // the counts since then. A resent batch keeps its number, so control counts it once.
        self.deliver_batch().await;
        self.deliver_batch().await;
    }

    /// Sends the unacknowledged batch, or else a new one, until it is acknowledged.
    async fn deliver_batch(&mut self) {
        let batch = match self.unacknowledged.take() {
            Some(batch) => batch,
            None => self.next_batch(),
        };
        let number = batch.number;
        self.unacknowledged = Some(batch.clone());
        loop {
            match self.send(&batch).await {
                Ok(reply) if reply.number >= number => break,
                Ok(_) => {}
                Err(error) => {
                    debug!(self.log, "cannot send the burn counts; retrying"; "error" => %error);
                    self.select_next_peer(&error);
                }
            }
            sleep(RETRY_DELAY).await;
        }
        self.unacknowledged = None;
    }

    fn next_batch(&mut self) -> BurnBatch {
        self.batch_number += 1;
        BurnBatch {
            host: self.shared.settings.host.clone(),
            incarnation: self.shared.incarnation,
            service: self.shared.settings.service.clone(),
            number: self.batch_number,
            buckets: self.shared.take_counts(),
        }
    }

    async fn send(&self, batch: &BurnBatch) -> Result<BurnReply, RpcError> {
        let control = &self.shared.settings.control;
        let peer = self
            .leader
            .unwrap_or(control[self.peer_index % control.len()]);
        self.client
            .post(peer, path::BURN, batch, ATTEMPT_TIMEOUT)
            .await
    }

    /// Selects the leader that the reply names, or else the next replica.
    fn select_next_peer(&mut self, error: &RpcError) {
        let named_leader = match error {
            RpcError::Status {
                status: MISDIRECTED,
                message,
                ..
            } => serde_json::from_str::<Failure>(message)
                .ok()
                .and_then(|failure| failure.leader?.parse().ok()),
            _ => None,
        };
        if named_leader.is_none() || named_leader == self.leader {
            self.peer_index += 1;
            self.leader = None;
        } else {
            self.leader = named_leader;
        }
    }
}
