//! Linearizable reads of the view.
//!
//! A long poll shows what one replica knew, which may be behind the group. A linearizable read shows
//! everything that was committed before it began. It costs the leader a round of heartbeats, so it is
//! made only on request, and all requests that wait share the next one.

use std::sync::Arc;
use std::time::Duration;

use api::path;
use rpc::{Client, RpcError};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::download;
use crate::replica_selector::ReplicaSelector;
use crate::store::ViewStore;

/// Minimum time between the starts of two reads of a node.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time from the start of a successful read until the next may start.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time between the starts of two reads as a multiple of the time that the first one took, so that a
/// busy leader gets fewer.
const READ_TIME_FACTOR: u32 = 10;

/// Time limit for the head of the reply: an election takes longer, and the next replica may know the
/// new leader.
const HEAD_LIMIT: Duration = Duration::from_millis(600);

/// Time for which a leader that timed out has the lowest preference. It is short, as no other replica
/// serves reads: the others only tell whether a new leader was elected.
const TIMEOUT_PENALTY: Duration = Duration::from_millis(500);

/// Backoff after a failure in ms: doubles from the start up to the end of the range.
const BACKOFF_MS: std::ops::Range<u64> = 50..1000;

/// Requests linearizable reads.
#[derive(Debug, Clone)]
pub struct ViewReader {
    requested_at: watch::Sender<Option<Instant>>,
    read_at: watch::Receiver<Option<Instant>>,
}

impl ViewReader {
    /// Requests a read that starts at `now` or later. It is repeated until it succeeds.
    pub fn request(&self, now: Instant) {
        self.requested_at
            .send_modify(|at| *at = (*at).max(Some(now)));
    }

    /// Start of the last successful read; the view, published before this, includes it.
    #[must_use]
    pub fn read_at(&self) -> watch::Receiver<Option<Instant>> {
        self.read_at.clone()
    }
}

/// Task that makes the requested reads.
pub(crate) struct ReadTask {
    client: Client,
    log: Logger,
    store: Arc<ViewStore>,
    replicas: ReplicaSelector,
    requested_at: watch::Receiver<Option<Instant>>,
    read_at: watch::Sender<Option<Instant>>,
}

impl ReadTask {
    pub(crate) fn new(
        client: Client,
        log: Logger,
        store: Arc<ViewStore>,
        replicas: ReplicaSelector,
    ) -> (Self, ViewReader) {
        let (requested_out, requested_at) = watch::channel(None);
        let (read_out, read_at) = watch::channel(None);
        let reader = ViewReader {
            requested_at: requested_out,
            read_at,
        };
        let task = Self {
            client,
            log,
            store,
            replicas: replicas.with_timeout_penalty(TIMEOUT_PENALTY),
            requested_at,
            read_at: read_out,
        };
        (task, reader)
    }

    /// Makes reads until every [`ViewReader`] is dropped.
    pub(crate) async fn run(mut self) {
        let mut backoff = BACKOFF_MS.start;
        loop {
            let read_at = *self.read_at.borrow();
            let is_newer = |requested: &Option<Instant>| *requested > read_at;
            if self.requested_at.wait_for(is_newer).await.is_err() {
                return;
            }
            let start = Instant::now();
            match self.read().await {
                Ok(()) => {
                    if backoff > BACKOFF_MS.start {
                        info!(self.log, "control serves linearizable reads again");
                    }
                    backoff = BACKOFF_MS.start;
                    self.read_at.send_replace(Some(start));
                    let interval = start.elapsed() * READ_TIME_FACTOR;
                    sleep_until(start + interval.clamp(MIN_READ_INTERVAL, MAX_READ_INTERVAL)).await;
                }
                Err(error) => {
                    if backoff == BACKOFF_MS.start {
                        warn!(self.log, "linearizable read failed";
                            "error" => error.map(|e| e.to_string()));
                    }
                    let wait = rand::random_range(backoff / 2..=backoff);
                    sleep(Duration::from_millis(wait)).await;
                    backoff = (backoff * 2).min(BACKOFF_MS.end);
                }
            }
        }
    }

    /// Reads from a replica, or from the leader that it names. The error is `None` if no replica is
    /// known.
    async fn read(&mut self) -> Result<(), Option<RpcError>> {
        match self.read_from_selected().await {
            Err(_) if self.replicas.is_selected() => self.read_from_selected().await,
            result => result,
        }
    }

    async fn read_from_selected(&mut self) -> Result<(), Option<RpcError>> {
        let peer = self.replicas.select().ok_or(None)?;
        let request = self.store.request();
        let call = download::request(&self.client, peer, path::READ, &request, HEAD_LIMIT);
        match call.await {
            Ok(received) => {
                self.replicas.prefer(peer);
                self.store.apply(&received.reply);
                Ok(())
            }
            Err(error) => {
                self.replicas.record_failure(&error, Instant::now());
                Err(Some(error))
            }
        }
    }
}
