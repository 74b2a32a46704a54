//! First poll of a process that has no view yet.
//!
//! A node can't serve without a view, and after a power failure of all data centres the replicas
//! start at about the same time as the nodes. A request to a VM without power hangs until its
//! timeout, so the request is repeated while earlier ones are still open.
//!
//! Only a probe, whose reply is small at any size of the tables, is repeated like this. The tables
//! themselves are requested from one replica at a time: on a thin link several copies would keep
//! each other from arriving.

use std::net::SocketAddr;
use std::time::Duration;

use api::{Watch, WatchReply, path};
use rpc::Client;
use slog::{Logger, warn};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use units::Millis;

use crate::download::{self, Received};
use crate::replica_selector::ReplicaSelector;

/// Time limit of a probe, and of the wait for the head of the reply with the tables.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay between the first probes of two consecutive replicas.
const REPLICA_STAGGER: Duration = Duration::from_millis(20);

/// Interval between probes of one replica.
const HEDGE_INTERVAL: Duration = Duration::from_millis(60);

/// Concurrent probes of one replica, at most.
const MAX_OPEN: usize = 6;

/// Time after which the list of replicas is read again; changed settings may name others.
const REPLICA_LIST_AGE: Duration = Duration::from_secs(2);

/// Delay after tables did not arrive.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Requests the tables from the first replica that replies to a probe, until they arrive.
pub(crate) async fn fetch(
    replicas: &ReplicaSelector,
    client: &Client,
    message: &Watch,
    log: &Logger,
) -> Received {
    let begin = Instant::now();
    let mut replicas = replicas.clone();
    let message = Watch {
        wait_ms: Millis(0),
        ..message.clone()
    };
    loop {
        let ready = first_ready(&replicas, client, &message);
        let Ok(peer) = timeout(REPLICA_LIST_AGE, ready).await else {
            warn_missing(client, begin, log);
            continue;
        };
        let second = replicas.alternative(peer, Instant::now());
        match download::receive(client, peer, second, &message, REQUEST_TIMEOUT).await {
            Ok(received) => return received,
            Err(error) => {
                warn!(log, "tables not received"; "error" => %error);
                replicas.prefer(peer);
                replicas.record_failure(&error, Instant::now());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn warn_missing(client: &Client, begin: Instant, log: &Logger) {
    let traffic = client.traffic(path::WATCH);
    warn!(log, "no tables yet"; "ms" => begin.elapsed().as_millis(), "calls" => traffic.calls,
        "failed" => traffic.failed, "received_bytes" => traffic.received);
}

/// Sends hedged probes to the replicas and returns the first one that replies.
async fn first_ready(replicas: &ReplicaSelector, client: &Client, message: &Watch) -> SocketAddr {
    let probe = Watch {
        probe: true,
        ..message.clone()
    };
    let mut calls = JoinSet::new();
    for (position, peer) in (0..).zip(replicas.available(Instant::now())) {
        let (client, probe) = (client.clone(), probe.clone());
        calls.spawn(async move {
            sleep(REPLICA_STAGGER * position).await;
            let send = || {
                let (client, probe) = (client.clone(), probe.clone());
                async move {
                    client
                        .post::<_, WatchReply>(peer, path::WATCH, &probe, REQUEST_TIMEOUT)
                        .await
                }
            };
            hedge(HEDGE_INTERVAL, MAX_OPEN, send).await;
            peer
        });
    }
    match calls.join_next().await {
        Some(Ok(peer)) => peer,
        // Without replicas this stays pending until the list is read again; so it does after a
        // panic of the task, which the panic hook reports.
        _ => std::future::pending().await,
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
