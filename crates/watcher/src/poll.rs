//! Long poll for tables and profiles.

use std::sync::Arc;
use std::time::Duration;

use api::{Watch, WatchReply, path};
use rpc::{Client, RpcError};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use units::Millis;

use crate::peers::Peers;
use crate::{View, WatcherSettings, first};

/// Time allowed for the answer beyond the wait that was asked for. Wait and margin are what a
/// replica that froze in the middle of a poll delays a change by; the next one answers at once.
const MARGIN: Duration = Duration::from_millis(400);

/// First wait after a failure; doubles up to the largest one.
const BACKOFF: std::ops::Range<u64> = 50..1000;

/// Shortest time between two answers that changed nothing.
const IDLE: Duration = Duration::from_millis(100);

/// Shortest time between two polls. Changes that come faster share an answer, so that a burst of them
/// stays below 3 KB/s per node.
const PACE: Duration = Duration::from_millis(500);

pub(crate) async fn run(
    settings: Arc<WatcherSettings>,
    client: Client,
    log: Logger,
    out: watch::Sender<Arc<View>>,
    heard: watch::Sender<Option<Instant>>,
) {
    // Nodes start at different replicas, so that polls spread over all of them.
    let mut peers = Peers::new(Arc::clone(&settings.control), rand::random_range(0..64));
    let mut backoff = BACKOFF.start;
    let mut first = true;
    // Log index that the view reflects.
    let mut index = 0;
    let message = request(&settings, &out.borrow(), index);
    let (peer, reply) = first::answer(&peers, &client, &message).await;
    peers.prefer(peer);
    let mut answered = Some(reply);
    loop {
        let Some(peer) = peers.get(Instant::now()) else {
            sleep(Duration::from_millis(BACKOFF.end)).await;
            continue;
        };
        let view = Arc::clone(&out.borrow());
        let message = request(&settings, &view, index);
        let start = Instant::now();
        let limit = settings.wait + MARGIN;
        let result: Result<WatchReply, RpcError> = match answered.take() {
            Some(reply) => Ok(reply),
            None => client.post(peer, path::WATCH, &message, limit).await,
        };
        match result {
            Ok(reply) => {
                backoff = BACKOFF.start;
                if view.is_older(&reply) || reply.index < index {
                    warn!(log, "replica answered with an older configuration"; "peer" => %peer,
                        "held" => view.config.0, "offered" => reply.config.0);
                    let error = RpcError::Invalid {
                        path: path::WATCH.into(),
                        peer,
                        message: "older configuration".into(),
                    };
                    peers.failed(&error, Instant::now());
                    sleep(IDLE).await;
                    continue;
                }
                index = reply.index;
                if reply.current {
                    heard.send_replace(Some(Instant::now()));
                }
                if let Some(next) = view.updated(&reply, Instant::now()) {
                    out.send_replace(Arc::new(next));
                    if std::mem::take(&mut first) {
                        info!(log, "first tables received"; "config" => reply.config.0);
                    }
                    sleep_until(start + PACE).await;
                } else if start.elapsed() < IDLE {
                    sleep(IDLE).await;
                }
            }
            Err(error) => {
                peers.failed(&error, Instant::now());
                sleep(Duration::from_millis(rand::random_range(
                    backoff / 2..=backoff,
                )))
                .await;
                backoff = (backoff * 2).min(BACKOFF.end);
            }
        }
    }
}

fn request(settings: &WatcherSettings, view: &View, index: u64) -> Watch {
    Watch {
        host: settings.host.clone(),
        scope: settings.scope.clone(),
        config: view.config,
        horizon: view.horizon,
        index,
        wait_ms: Millis::from(settings.wait),
    }
}
