//! Choice of a control replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::Failure;
use rpc::RpcError;
use tokio::time::Instant;

use crate::Replicas;

/// HTTP status of a replica that is not the leader.
const MISDIRECTED: u16 = 421;

/// Time for which a replica that timed out has the lowest preference. It may be frozen or
/// partitioned, and each further attempt costs a full time limit.
const TIMEOUT_PENALTY: Duration = Duration::from_secs(3);

/// The same for a replica that failed at once; it may be starting, or without a leader.
const FAILURE_PENALTY: Duration = Duration::from_millis(250);

/// Selects the replica for the next request and avoids those that failed recently.
///
/// Replicas are identified by address, not by their position in the list, since each leader lists
/// the members in another order.
#[derive(Debug, Clone)]
pub struct ReplicaSelector {
    replicas: Arc<Replicas>,
    offset: usize,
    current: Option<SocketAddr>,
    timeout_penalty: Duration,
    /// Replicas that failed and have not succeeded since, and the end of their penalty.
    avoided: Vec<(SocketAddr, Instant)>,
}

impl ReplicaSelector {
    /// Starts with the replica at `offset` in the list, modulo its length.
    #[must_use]
    pub fn new(replicas: Arc<Replicas>, offset: usize) -> Self {
        Self {
            replicas,
            offset,
            current: None,
            timeout_penalty: TIMEOUT_PENALTY,
            avoided: Vec::new(),
        }
    }

    /// Uses another penalty after timeouts.
    pub(crate) fn with_timeout_penalty(self, timeout_penalty: Duration) -> Self {
        Self {
            timeout_penalty,
            ..self
        }
    }

    /// Replica for the next request; `None` if no replica is known.
    pub fn select(&mut self) -> Option<SocketAddr> {
        if self.current.is_none() {
            self.current = self.choose();
        }
        self.current
    }

    /// Whether the next replica is known: the last one succeeded, or its failure named the leader.
    pub(crate) fn is_selected(&self) -> bool {
        self.current.is_some()
    }

    /// Replicas that did not fail recently, or all if there are none.
    pub(crate) fn available(&self, now: Instant) -> Vec<SocketAddr> {
        let mut all = self.in_order();
        let is_available = |peer: &SocketAddr| self.avoided_until(peer, now).is_none();
        if all.iter().any(is_available) {
            all.retain(is_available);
        }
        all
    }

    /// Another replica than `peer` that did not fail recently, if there is one.
    pub(crate) fn alternative(&self, peer: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let mut others = self.available(now).into_iter();
        others.find(|other| *other != peer && self.avoided_until(other, now).is_none())
    }

    /// All replicas, starting at the offset.
    fn in_order(&self) -> Vec<SocketAddr> {
        let mut all = self.replicas.list();
        let first = self.offset % all.len().max(1);
        all.rotate_left(first);
        all
    }

    /// Uses a replica, which replied, until it fails.
    pub fn prefer(&mut self, peer: SocketAddr) {
        self.avoided.retain(|(p, _)| *p != peer);
        self.current = Some(peer);
    }

    /// Penalizes the current replica and selects the leader that the error names, if any.
    pub fn record_failure(&mut self, error: &RpcError, now: Instant) {
        if let Some(peer) = self.current.take() {
            let penalty = match error {
                RpcError::Timeout { .. } | RpcError::Stalled { .. } => self.timeout_penalty,
                _ => FAILURE_PENALTY,
            };
            let known = self.replicas.list();
            self.avoided
                .retain(|(p, _)| *p != peer && known.contains(p));
            self.avoided.push((peer, now + penalty));
        }
        // A replica may still name a leader that no longer replies.
        self.current = leader_hint(error).filter(|hint| self.avoided_until(hint, now).is_none());
    }

    /// Replica that has not failed, or whose penalty ends or ended first: a node may retry less often
    /// than penalties last, and has to move on all the same.
    fn choose(&self) -> Option<SocketAddr> {
        let until = |peer: &SocketAddr| {
            let entry = self.avoided.iter().find(|(p, _)| p == peer);
            entry.map(|(_, until)| *until)
        };
        self.in_order().into_iter().min_by_key(until)
    }

    fn avoided_until(&self, peer: &SocketAddr, now: Instant) -> Option<Instant> {
        let entry = self.avoided.iter().find(|(p, _)| p == peer);
        entry.map(|(_, until)| *until).filter(|until| *until > now)
    }
}

/// Address of the leader in the error response of another replica.
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
