//! First question of a process that has no view.
//!
//! A process without a view is of no use, and after a loss of power everywhere
//! the replicas start at about the same time as the nodes. A question to a VM
//! without power hangs, so it is repeated while earlier ones are still open.

use std::net::SocketAddr;
use std::time::Duration;

use api::{Watch, WatchReply, path};
use rpc::Client;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use units::Millis;

use crate::peers::Peers;

/// Longest wait for the first answer of one replica.
const LIMIT: Duration = Duration::from_millis(600);

/// Time between the first questions to two replicas.
const APART: Duration = Duration::from_millis(20);

/// Time between two first questions to one replica.
const AGAIN: Duration = Duration::from_millis(60);

/// Questions to one replica that may be open at the same time.
const OPEN: usize = 6;

/// Time after which the list of replicas is looked at again; changed settings may name others.
const LIST_AGE: Duration = Duration::from_secs(2);

/// Asks each replica again and again until one answers.
pub(crate) async fn answer(
    peers: &Peers,
    client: &Client,
    message: &Watch,
) -> (SocketAddr, WatchReply) {
    let message = Watch {
        wait_ms: Millis(0),
        ..message.clone()
    };
    loop {
        let mut calls = JoinSet::new();
        for (turn, peer) in (0..).zip(peers.in_turn()) {
            let (client, message) = (client.clone(), message.clone());
            calls.spawn(async move {
                sleep(APART * turn).await;
                let ask = || {
                    let (client, message) = (client.clone(), message.clone());
                    async move { client.post(peer, path::WATCH, &message, LIMIT).await }
                };
                (peer, hedge(AGAIN, OPEN, ask).await)
            });
        }
        // Without replicas there is nothing to wait for but another list.
        let first = async {
            match calls.join_next().await {
                Some(answer) => answer,
                None => std::future::pending().await,
            }
        };
        if let Ok(Ok(answer)) = timeout(LIST_AGE, first).await {
            return answer;
        }
    }
}

/// Asks each `gap`, with at most `open` questions at the same time, until one succeeds.
pub async fn hedge<T, E, F>(gap: Duration, open: usize, ask: impl Fn() -> F) -> T
where
    T: Send + 'static,
    E: Send + 'static,
    F: Future<Output = Result<T, E>> + Send + 'static,
{
    let mut calls = JoinSet::new();
    let mut next = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next), if calls.len() < open => {
                calls.spawn(ask());
                next = Instant::now() + gap;
            }
            Some(answer) = calls.join_next(), if !calls.is_empty() => {
                // A failure says no more than that the next question is due in its turn.
                if let Ok(Ok(answer)) = answer {
                    return answer;
                }
            }
        }
    }
}
