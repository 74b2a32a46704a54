//! Receipt of replies that may be large.

use std::net::SocketAddr;
use std::time::Duration;

use api::{Watch, WatchReply, path};
use rpc::{Client, LargeAnswerLimits, RpcError};
use tokio::time::{Instant, sleep};
use units::Millis;

/// Longest wait for further bytes of a reply; packets may queue for half a second on a busy link,
/// and a lost one is sent again after that.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// Time after which a reply that is still arriving is also requested from a second replica, since
/// the first one may be slow. The first copy goes on: on a thin link it has the lead.
const SECOND_COPY_DELAY: Duration = Duration::from_millis(1_500);

/// Reply and where it came from.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) peer: SocketAddr,
    pub(crate) reply: WatchReply,
    /// When the head of the reply arrived; the replica was known to be current just before.
    pub(crate) head_at: Instant,
}

/// Requests a reply from one replica and, if it takes long, a second copy from another one.
/// `head_limit` limits the wait for the head of the first copy.
pub(crate) async fn receive(
    client: &Client,
    peer: SocketAddr,
    second: Option<SocketAddr>,
    message: &Watch,
    head_limit: Duration,
) -> Result<Received, RpcError> {
    let first = request(client, peer, path::WATCH, message, head_limit);
    tokio::pin!(first);
    tokio::select! {
        result = &mut first => return result,
        () = sleep(SECOND_COPY_DELAY) => {}
    }
    let Some(second) = second else {
        return first.await;
    };
    let message = Watch {
        wait_ms: Millis(0),
        ..message.clone()
    };
    let other = request(client, second, path::WATCH, &message, head_limit);
    tokio::pin!(other);
    tokio::select! {
        result = &mut first => match result {
            Ok(received) => Ok(received),
            Err(_) => other.await,
        },
        result = &mut other => match result {
            // A replica that lags replies at once that nothing changed.
            Ok(received) if received.reply.index > message.index => Ok(received),
            _ => first.await,
        },
    }
}

/// Requests a reply from one replica at a path.
pub(crate) async fn request(
    client: &Client,
    peer: SocketAddr,
    path: &str,
    message: &Watch,
    head_limit: Duration,
) -> Result<Received, RpcError> {
    let limits = LargeAnswerLimits {
        head: head_limit,
        stall: STALL_LIMIT,
    };
    let call = client.post_for_large(peer, path, message, limits);
    let (reply, head_at) = call.await?;
    Ok(Received {
        peer,
        reply,
        head_at,
    })
}
