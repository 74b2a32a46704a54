//! Choice of a control replica.

use std::net::SocketAddr;
use std::sync::Arc;

use api::Failure;
use rpc::RpcError;

use crate::Replicas;

/// Status of a replica that is not the leader.
const MISDIRECTED: u16 = 421;

/// The replica in use.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    all: Arc<Replicas>,
    turn: usize,
    leader: Option<SocketAddr>,
}

impl Peers {
    pub(crate) fn new(all: Arc<Replicas>, first: usize) -> Self {
        Self {
            all,
            turn: first,
            leader: None,
        }
    }

    pub(crate) fn get(&self) -> Option<SocketAddr> {
        self.leader.or_else(|| {
            let all = self.all.list();
            all.get(self.turn % all.len().max(1)).copied()
        })
    }

    /// Goes on with a replica that answered.
    pub(crate) fn prefer(&mut self, peer: SocketAddr) {
        let all = self.all.list();
        self.turn = all.iter().position(|p| *p == peer).unwrap_or(self.turn);
    }

    /// Follows a reference to the leader, or moves on to the next replica.
    pub(crate) fn failed(&mut self, error: &RpcError) {
        let hint = leader_hint(error).filter(|hint| Some(*hint) != self.get());
        if hint.is_none() {
            self.turn = self.turn.wrapping_add(1);
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
