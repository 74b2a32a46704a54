//! Long poll for tables and profiles.

use std::sync::Arc;
use std::time::Duration;

use api::path;
use rpc::{Client, RpcError};
use slog::{Logger, debug, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::download::{self, Received};
use crate::replica_selector::ReplicaSelector;
use crate::store::ViewStore;
use crate::{WatcherSettings, initial};

/// Time allowed for the head of the reply on top of the requested wait. The sum of both is the
/// longest delay of a change when a replica freezes during a poll before it replies; the next
/// replica replies at once.
const REPLY_MARGIN: Duration = Duration::from_millis(400);

/// Backoff after a failure in ms: doubles from the start up to the end of the range.
const BACKOFF_MS: std::ops::Range<u64> = 50..1000;

/// Minimum time between two replies without a change.
const MIN_IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two polls. Changes within this time share a reply, which keeps a burst of
/// them below 3 KB/s per node.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run(
    settings: Arc<WatcherSettings>,
    client: Client,
    log: Logger,
    store: Arc<ViewStore>,
    confirmed_out: watch::Sender<Option<Instant>>,
) {
    // A random offset spreads the nodes' polls over all replicas.
    let mut replicas =
        ReplicaSelector::new(Arc::clone(&settings.control), rand::random_range(0..64));
    let mut backoff = BACKOFF_MS.start;
    let mut first = true;
    // Whether the last poll failed.
    let mut failing = false;
    let message = store.request();
    let begin = Instant::now();
    let initial = initial::fetch(&replicas, &client, &message, &log).await;
    replicas.prefer(initial.peer);
    let traffic = client.traffic(path::WATCH);
    let mut initial_reply = Some(initial);
    loop {
        let Some(peer) = replicas.select() else {
            sleep(Duration::from_millis(BACKOFF_MS.end)).await;
            continue;
        };
        let message = store.request();
        let start = Instant::now();
        let head_limit = settings.poll_wait + REPLY_MARGIN;
        let result = match initial_reply.take() {
            Some(received) => Ok(received),
            None => {
                let second = replicas.alternative(peer, start);
                download::receive(&client, peer, second, &message, head_limit).await
            }
        };
        match result {
            Ok(Received {
                peer,
                reply,
                head_at,
            }) => {
                replicas.prefer(peer);
                if std::mem::take(&mut failing) {
                    info!(log, "polls of control succeed again"; "peer" => %peer);
                }
                backoff = BACKOFF_MS.start;
                if reply.config < message.config || reply.index < message.index {
                    warn!(log, "replica sent an older configuration"; "peer" => %peer,
                        "held" => message.config.0, "offered" => reply.config.0);
                    let error = RpcError::Invalid {
                        path: path::WATCH.into(),
                        peer,
                        message: "older configuration".into(),
                    };
                    replicas.record_failure(&error, Instant::now());
                    sleep(MIN_IDLE_INTERVAL).await;
                    continue;
                }
                if reply.current {
                    confirmed_out.send_replace(Some(head_at));
                }
                if store.apply(&reply) {
                    if std::mem::take(&mut first) {
                        info!(log, "first tables received"; "config" => reply.config.0, "peer" => %peer,
                            "ms" => begin.elapsed().as_millis(), "calls" => traffic.calls,
                            "received_bytes" => traffic.received);
                    }
                    sleep_until(start + MIN_POLL_INTERVAL).await;
                } else if start.elapsed() < MIN_IDLE_INTERVAL {
                    sleep(MIN_IDLE_INTERVAL).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(log, "poll of control failed"; "error" => %error);
                } else {
                    debug!(log, "poll of control failed"; "error" => %error);
                }
                replicas.record_failure(&error, Instant::now());
                sleep(Duration::from_millis(rand::random_range(
                    backoff / 2..=backoff,
                )))
                .await;
                backoff = (backoff * 2).min(BACKOFF_MS.end);
            }
        }
    }
}
