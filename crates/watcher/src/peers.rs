//! Choice of a control replica.

use std::net::SocketAddr;

use api::Failure;
use rpc::RpcError;

/// Status of a replica that is not the leader.
const MISDIRECTED: u16 = 421;

/// Replicas in a fixed order with the one in use.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    all: Vec<SocketAddr>,
    current: usize,
    leader: Option<SocketAddr>,
}

impl Peers {
    pub(crate) fn new(all: Vec<SocketAddr>, first: usize) -> Self {
        let current = first % all.len().max(1);
        Self {
            all,
            current,
            leader: None,
        }
    }

    pub(crate) fn get(&self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.all.get(self.current).copied())
    }

    /// Follows a reference to the leader, or moves on to the next replica.
    pub(crate) fn failed(&mut self, error: &RpcError) {
        let hint = leader_hint(error).filter(|hint| Some(*hint) != self.get());
        if hint.is_none() {
            self.current = (self.current + 1) % self.all.len().max(1);
        }
        self.leader = hint;
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
