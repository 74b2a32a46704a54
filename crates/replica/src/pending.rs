//! Requests whose outcome is not known yet.

use std::collections::{BTreeMap, HashMap};

use tokio::sync::oneshot;
use units::ReplicaId;

use crate::ProposeError;
use crate::input::ReplySender;
use crate::machine::AppliedEntry;
use crate::messages::PeerReply;

/// Request that ends when its log entry is applied.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    Propose(ReplySender<Vec<u8>>),
    Change(ReplySender<()>),
    Join(ReplicaId, oneshot::Sender<PeerReply>),
}

impl PendingRequest {
    fn is_closed(&self) -> bool {
        match self {
            Self::Propose(reply) => reply.is_closed(),
            Self::Change(reply) => reply.is_closed(),
            Self::Join(_, reply) => reply.is_closed(),
        }
    }

    // A send fails only if the caller has given up, which is no error.

    fn complete(self, response: Vec<u8>) {
        match self {
            Self::Propose(reply) => drop(reply.send(Ok(response))),
            Self::Change(reply) => drop(reply.send(Ok(()))),
            Self::Join(id, reply) => drop(reply.send(PeerReply::Joined { id })),
        }
    }

    pub(crate) fn fail(self, error: ProposeError) {
        match self {
            Self::Propose(reply) => drop(reply.send(Err(error))),
            Self::Change(reply) => drop(reply.send(Err(error))),
            Self::Join(_, reply) => {
                let peer_reply = match error {
                    ProposeError::NotLeader { leader } => PeerReply::NotLeader { leader },
                    _ => PeerReply::Later,
                };
                drop(reply.send(peer_reply));
            }
        }
    }
}

/// Requests whose outcome is not known yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    last_token: u64,
    /// Requests by token, until their entry is in the log.
    unplaced: HashMap<u64, PendingRequest>,
    /// Requests by the index of their entry, with its term.
    placed: BTreeMap<u64, (u64, PendingRequest)>,
    /// Reads by token, until a quorum confirms the leadership.
    reads: HashMap<u64, Vec<ReplySender<()>>>,
    /// Confirmed reads, with the index that must be applied before they complete.
    confirmed_reads: Vec<(u64, Vec<ReplySender<()>>)>,
}

impl PendingRequests {
    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    pub(crate) fn add(&mut self, request: PendingRequest) -> u64 {
        let token = self.next_token();
        self.unplaced.insert(token, request);
        token
    }

    pub(crate) fn add_reads(&mut self, replies: Vec<ReplySender<()>>) -> u64 {
        let token = self.next_token();
        self.reads.insert(token, replies);
        token
    }

    /// Number of requests with an entry in the log. At `limit` or more, those whose
    /// callers have given up are dropped first.
    pub(crate) fn count(&mut self, limit: usize) -> usize {
        if self.placed.len() >= limit {
            self.placed.retain(|_, (_, request)| !request.is_closed());
        }
        self.placed.len()
    }

    /// Records the term and index at which the entry of a request was appended.
    pub(crate) fn assign_index(&mut self, token: u64, term: u64, index: u64) {
        let Some(request) = self.unplaced.remove(&token) else {
            return;
        };
        if let Some((_, old)) = self.placed.insert(index, (term, request)) {
            // The previous entry at this index was removed from the local log, but it may
            // still be in the log of another replica.
            let reason = "the leader changed".into();
            old.fail(ProposeError::Unknown { reason });
        }
    }

    /// Ends a request or a batch of reads that was not accepted.
    pub(crate) fn reject(&mut self, token: u64, error: &ProposeError) {
        if let Some(request) = self.unplaced.remove(&token) {
            request.fail(error.clone());
        }
        for reply in self.reads.remove(&token).unwrap_or_default() {
            drop(reply.send(Err(error.clone())));
        }
    }

    /// Marks a batch of reads as confirmed by a quorum.
    pub(crate) fn confirm_reads(&mut self, token: u64, index: u64) {
        if let Some(replies) = self.reads.remove(&token) {
            self.confirmed_reads.push((index, replies));
        }
    }

    /// Ends the request whose entry was applied.
    pub(crate) fn complete_entry(&mut self, applied: AppliedEntry) {
        let AppliedEntry {
            index,
            term,
            response,
        } = applied;
        match self.placed.remove(&index) {
            Some((expected, request)) if expected == term => request.complete(response),
            Some((_, request)) => {
                // A committed entry never changes, so the entry of this request can't be
                // committed any more.
                let reason = "another leader's entry took its place".into();
                request.fail(ProposeError::Refused { reason });
            }
            None => {}
        }
    }

    /// Completes the confirmed reads whose index has been applied.
    pub(crate) fn complete_reads(&mut self, applied_index: u64) {
        for (_, replies) in self
            .confirmed_reads
            .extract_if(.., |(index, _)| *index <= applied_index)
        {
            for reply in replies {
                drop(reply.send(Ok(())));
            }
        }
    }

    /// Ends the requests up to an index, whose entries a snapshot has replaced.
    pub(crate) fn fail_through(&mut self, index: u64) {
        let later = self.placed.split_off(&(index + 1));
        for (_, request) in std::mem::replace(&mut self.placed, later).into_values() {
            let reason = "a snapshot took the place of the entry".into();
            request.fail(ProposeError::Unknown { reason });
        }
    }
}
