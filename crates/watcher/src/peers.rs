//! Choice of a control replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::Failure;
use rpc::RpcError;
use tokio::time::Instant;

use crate::Replicas;

/// Status of a replica that is not the leader.
const MISDIRECTED: u16 = 421;

/// Time for which a replica that did not answer is asked last: it may be frozen or cut off, and
/// finding out again costs a whole time limit.
const SILENT: Duration = Duration::from_secs(3);

/// The same for a replica that failed at once; it may be starting, or without a leader.
const FAILED: Duration = Duration::from_millis(250);

/// The replica in use, and those that failed lately.
///
/// Replicas are known by address, not by their place in the list, since each leader names the
/// members in another order.
#[derive(Debug, Clone)]
pub struct Peers {
    all: Arc<Replicas>,
    first: usize,
    current: Option<SocketAddr>,
    /// Until when a replica is asked last.
    avoided: Vec<(SocketAddr, Instant)>,
}

impl Peers {
    /// Starts with the replica at a place of the list, counted in a circle.
    #[must_use]
    pub fn new(all: Arc<Replicas>, first: usize) -> Self {
        Self {
            all,
            first,
            current: None,
            avoided: Vec::new(),
        }
    }

    /// Replica to ask; `None` if none is known.
    pub fn get(&mut self, now: Instant) -> Option<SocketAddr> {
        if self.current.is_none() {
            self.current = self.choose(now);
        }
        self.current
    }

    /// All replicas, the one to ask first in front.
    pub(crate) fn in_turn(&self) -> Vec<SocketAddr> {
        let mut all = self.all.list();
        let first = self.first % all.len().max(1);
        all.rotate_left(first);
        all
    }

    /// Goes on with a replica that answered.
    pub fn prefer(&mut self, peer: SocketAddr) {
        self.current = Some(peer);
    }

    /// Follows a reference to the leader, or moves on to another replica.
    pub fn failed(&mut self, error: &RpcError, now: Instant) {
        if let Some(peer) = self.current.take() {
            let time = match error {
                RpcError::Timeout { .. } => SILENT,
                _ => FAILED,
            };
            self.avoided.retain(|(p, until)| *p != peer && *until > now);
            self.avoided.push((peer, now + time));
        }
        // A replica may go on naming a leader that has stopped answering.
        self.current = leader_hint(error).filter(|hint| self.avoided_until(hint, now).is_none());
    }

    fn choose(&self, now: Instant) -> Option<SocketAddr> {
        let until = |peer: &SocketAddr| self.avoided_until(peer, now);
        self.in_turn().into_iter().min_by_key(until)
    }

    fn avoided_until(&self, peer: &SocketAddr, now: Instant) -> Option<Instant> {
        let entry = self.avoided.iter().find(|(p, _)| p == peer);
        entry.map(|(_, until)| *until).filter(|until| *until > now)
    }
}

/// Address of the leader in the answer of another replica.
fn leader_hint(error: &RpcError) -> Option<SocketAddr> {
    let RpcError::Status {
        status: MISDIRECTED,
        message,
        ..
    } = error
    else {
        return None;
    };
    let text = match serde_json::from_str::<Failure>(message) {
        Ok(failure) => failure.leader?,
        Err(_) => message.clone(),
    };
    text.trim().parse().ok()
}
