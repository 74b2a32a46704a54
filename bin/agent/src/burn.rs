//! Counts for the burn report, sent to control until acknowledged.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::{BurnBatch, BurnReply, Failure, path};
use rpc::{Client, RpcError};
use slog::{Logger, debug};
use tokio::time::sleep;

use crate::shared::Shared;

/// Time between two batches.
const INTERVAL: Duration = Duration::from_secs(5);

/// Wait after a failed attempt.
const RETRY: Duration = Duration::from_millis(500);

/// Longest attempt.
const LIMIT: Duration = Duration::from_secs(2);

/// Status of a replica that is not the leader.
const MISDIRECTED: u16 = 421;

/// Sends the counts.
#[derive(Debug)]
pub struct Burn {
    shared: Arc<Shared>,
    client: Client,
    log: Logger,
    peer: usize,
    leader: Option<SocketAddr>,
    number: u64,
    unacknowledged: Option<BurnBatch>,
}

impl Burn {
    /// Sender that starts with batch 1.
    pub fn new(shared: Arc<Shared>, client: Client, log: Logger) -> Self {
        Self {
            shared,
            client,
            log,
            peer: 0,
            leader: None,
            number: 0,
            unacknowledged: None,
        }
    }

    /// Sends a batch per interval until `stop` resolves, then the rest.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                () = sleep(INTERVAL) => {}
            }
            tokio::select! {
                () = &mut stop => break,
                () = self.deliver() => {}
            }
        }
        // A batch whose answer was not awaited keeps its number, and control counts it once.
        self.deliver().await;
        self.deliver().await;
    }

    /// Delivers the unacknowledged batch, or a new one.
    async fn deliver(&mut self) {
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
                    debug!(self.log, "counts not delivered"; "error" => %error);
                    self.failed(&error);
                }
            }
            sleep(RETRY).await;
        }
        self.unacknowledged = None;
    }

    fn next_batch(&mut self) -> BurnBatch {
        self.number += 1;
        BurnBatch {
            host: self.shared.settings.host.clone(),
            incarnation: self.shared.incarnation,
            service: self.shared.settings.service.clone(),
            number: self.number,
            buckets: self.shared.take_counts(),
        }
    }

    async fn send(&self, batch: &BurnBatch) -> Result<BurnReply, RpcError> {
        let control = &self.shared.settings.control;
        let peer = self.leader.unwrap_or(control[self.peer % control.len()]);
        self.client.post(peer, path::BURN, batch, LIMIT).await
    }

    fn failed(&mut self, error: &RpcError) {
        let hint = match error {
            RpcError::Status {
                status: MISDIRECTED,
                message,
                ..
            } => serde_json::from_str::<Failure>(message)
                .ok()
                .and_then(|failure| failure.leader?.parse().ok()),
            _ => None,
        };
        if hint.is_none() || hint == self.leader {
            self.peer += 1;
            self.leader = None;
        } else {
            self.leader = hint;
        }
    }
}
