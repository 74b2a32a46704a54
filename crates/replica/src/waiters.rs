//! Callers that wait for an outcome.

use std::collections::{BTreeMap, HashMap};

use tokio::sync::oneshot;
use units::ReplicaId;

use crate::ProposeError;
use crate::input::Reply;
use crate::wire::Answer;
use crate::work::Applied;

/// Caller that waits for an entry.
#[derive(Debug)]
pub(crate) enum Waiter {
    Propose(Reply<Vec<u8>>),
    Change(Reply<()>),
    Join(ReplicaId, oneshot::Sender<Answer>),
}

impl Waiter {
    fn is_closed(&self) -> bool {
        match self {
            Self::Propose(reply) => reply.is_closed(),
            Self::Change(reply) => reply.is_closed(),
            Self::Join(_, reply) => reply.is_closed(),
        }
    }

    // A caller that has gone away needs no answer.

    fn done(self, answer: Vec<u8>) {
        match self {
            Self::Propose(reply) => drop(reply.send(Ok(answer))),
            Self::Change(reply) => drop(reply.send(Ok(()))),
            Self::Join(id, reply) => drop(reply.send(Answer::Joined { id })),
        }
    }

    pub(crate) fn fail(self, error: ProposeError) {
        match self {
            Self::Propose(reply) => drop(reply.send(Err(error))),
            Self::Change(reply) => drop(reply.send(Err(error))),
            Self::Join(_, reply) => {
                let answer = match error {
                    ProposeError::NotLeader { leader } => Answer::NotLeader { leader },
                    _ => Answer::Later,
                };
                drop(reply.send(answer));
            }
        }
    }
}

/// Callers that wait for an outcome.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    next: u64,
    /// By token, until the entry has an index.
    new: HashMap<u64, Waiter>,
    /// By index and with the term of the entry.
    placed: BTreeMap<u64, (u64, Waiter)>,
    /// Reads by token, until a quorum confirms them.
    reads: HashMap<u64, Vec<Reply<()>>>,
    /// Confirmed reads by the index that must be applied.
    confirmed: Vec<(u64, Vec<Reply<()>>)>,
}

impl Waiters {
    fn token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(crate) fn add(&mut self, waiter: Waiter) -> u64 {
        let token = self.token();
        self.new.insert(token, waiter);
        token
    }

    pub(crate) fn add_reads(&mut self, replies: Vec<Reply<()>>) -> u64 {
        let token = self.token();
        self.reads.insert(token, replies);
        token
    }

    /// Entries that callers wait for; those whose callers have gone are dropped
    /// when there are more than `limit`.
    pub(crate) fn count(&mut self, limit: usize) -> usize {
        if self.placed.len() >= limit {
            self.placed.retain(|_, (_, waiter)| !waiter.is_closed());
        }
        self.placed.len()
    }

    /// An entry got an index.
    pub(crate) fn place(&mut self, token: u64, term: u64, index: u64) {
        let Some(waiter) = self.new.remove(&token) else {
            return;
        };
        if let Some((_, old)) = self.placed.insert(index, (term, waiter)) {
            // The old entry left this log, but another replica may still hold it.
            let reason = "the leader changed".into();
            old.fail(ProposeError::Unknown { reason });
        }
    }

    /// A request was not accepted.
    pub(crate) fn refuse(&mut self, token: u64, error: &ProposeError) {
        if let Some(waiter) = self.new.remove(&token) {
            waiter.fail(error.clone());
        }
        for reply in self.reads.remove(&token).unwrap_or_default() {
            drop(reply.send(Err(error.clone())));
        }
    }

    /// A quorum confirmed a read.
    pub(crate) fn confirm(&mut self, token: u64, index: u64) {
        if let Some(replies) = self.reads.remove(&token) {
            self.confirmed.push((index, replies));
        }
    }

    /// An entry was applied.
    pub(crate) fn applied(&mut self, applied: Applied) {
        let Applied {
            index,
            term,
            answer,
        } = applied;
        match self.placed.remove(&index) {
            Some((expected, waiter)) if expected == term => waiter.done(answer),
            Some((_, waiter)) => {
                // A committed entry never changes, so the other one can't follow.
                let reason = "another leader's entry took its place".into();
                waiter.fail(ProposeError::Refused { reason });
            }
            None => {}
        }
    }

    /// Answers the reads that have seen enough.
    pub(crate) fn release(&mut self, applied: u64) {
        for (_, replies) in self
            .confirmed
            .extract_if(.., |(index, _)| *index <= applied)
        {
            for reply in replies {
                drop(reply.send(Ok(())));
            }
        }
    }

    /// A snapshot took the place of entries.
    pub(crate) fn skip(&mut self, index: u64) {
        let later = self.placed.split_off(&(index + 1));
        for (_, waiter) in std::mem::replace(&mut self.placed, later).into_values() {
            let reason = "a snapshot took the place of the entry".into();
            waiter.fail(ProposeError::Unknown { reason });
        }
    }
}
