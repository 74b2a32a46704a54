//! First poll of a process that has no view yet.
//!
//! A node can't serve without a view, and after a power failure of all data centres the replicas
//! start at about the same time as the nodes. A request to a VM without power hangs until its
//! timeout, so the request is repeated while earlier ones are still open.

use std::net::SocketAddr;
use std::time::Duration;

use api::{Watch, WatchReply, path};
use rpc::Client;
use slog::{Logger, warn};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use units::Millis;

use crate::replica_selector::ReplicaSelector;

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay between the first requests to two consecutive replicas.
const REPLICA_STAGGER: Duration = Duration::from_millis(20);

/// Interval between requests to one replica.
const HEDGE_INTERVAL: Duration = Duration::from_millis(60);

/// Concurrent requests to one replica, at most.
const MAX_OPEN: usize = 6;

/// Time after which the list of replicas is read again; changed settings may name others.
const REPLICA_LIST_AGE: Duration = Duration::from_secs(2);

/// Sends hedged requests to all replicas and returns the first reply with its sender.
pub(crate) async fn fetch(
    replicas: &ReplicaSelector,
    client: &Client,
    message: &Watch,
    log: &Logger,
) -> (SocketAddr, WatchReply) {
    let begin = Instant::now();
    let message = Watch {
        wait_ms: Millis(0),
        ..message.clone()
    };
    loop {
        let mut calls = JoinSet::new();
        for (position, peer) in (0..).zip(replicas.in_order()) {
            let (client, message) = (client.clone(), message.clone());
            calls.spawn(async move {
                sleep(REPLICA_STAGGER * position).await;
                let send = || {
                    let (client, message) = (client.clone(), message.clone());
                    async move {
                        client
                            .post(peer, path::WATCH, &message, REQUEST_TIMEOUT)
                            .await
                    }
                };
                (peer, hedge(HEDGE_INTERVAL, MAX_OPEN, send).await)
            });
        }
        // Without replicas the future stays pending until the list is read again.
        let first = async {
            match calls.join_next().await {
                Some(reply) => reply,
                None => std::future::pending().await,
            }
        };
        if let Ok(Ok(reply)) = timeout(REPLICA_LIST_AGE, first).await {
            return reply;
        }
        let traffic = client.traffic(path::WATCH);
        warn!(log, "no tables yet"; "ms" => begin.elapsed().as_millis(), "calls" => traffic.calls,
            "failed" => traffic.failed, "received_bytes" => traffic.received);
    }
}

/// Starts a request every `interval`, with at most `max_open` concurrent ones, until one succeeds.
pub async fn hedge<T, E, F>(interval: Duration, max_open: usize, send: impl Fn() -> F) -> T
where
    T: Send + 'static,
    E: Send + 'static,
    F: Future<Output = Result<T, E>> + Send + 'static,
{
    let mut calls = JoinSet::new();
    let mut next = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next), if calls.len() < max_open => {
                calls.spawn(send());
                next = Instant::now() + interval;
            }
            Some(result) = calls.join_next(), if !calls.is_empty() => {
                // A failure doesn't bring the next request forward.
                if let Ok(Ok(reply)) = result {
                    return reply;
                }
            }
        }
    }
}
