//! Attempt to start the request of a key, at the agent that makes it.

use api::{ClaimReply, StoredResponse};

use crate::{QUORUM, REPLICAS};

/// Decision on an attempt after the replies so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// More replies are needed.
    Wait,
    /// A quorum granted the key: start the request.
    Start,
    /// An earlier attempt finished with this response.
    Answer(StoredResponse),
    /// An earlier attempt finished, but there is no response to return: it was not stored, or the
    /// outcome is unknown.
    Finished,
    /// An earlier attempt holds the claim of a quorum and has not finished.
    Running,
    /// The key was used for a request with another digest.
    RequestMismatch,
    /// Too few replicas granted the key: this attempt must not start the request.
    NotStarted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Pending,
    Started,
    Abandoned,
}

/// Collects the replies of the replicas until a decision is reached.
#[derive(Debug, Clone)]
pub struct Attempt {
    id: u128,
    replies: Vec<Option<ClaimReply>>,
    state: State,
}

impl Attempt {
    /// Attempt that sends claims to `replicas` replicas, two or three.
    #[must_use]
    pub fn new(id: u128, replicas: usize) -> Self {
        Self {
            id,
            replies: vec![None; replicas.min(REPLICAS)],
            state: State::Pending,
        }
    }

    /// Id that the replicas know this attempt by.
    #[must_use]
    pub fn id(&self) -> u128 {
        self.id
    }

    /// Records the reply of a replica; pass [`ClaimReply::Unknown`] for one that
    /// can't be reached. Only the first reply of each replica counts.
    pub fn record_reply(&mut self, replica: usize, reply: ClaimReply) -> Decision {
        if let Some(slot @ None) = self.replies.get_mut(replica) {
            *slot = Some(reply);
        }
        self.decide(false)
    }

    /// Decides without the missing replies.
    pub fn give_up(&mut self) -> Decision {
        self.decide(true)
    }

    /// Whether the replicas must be told to release the claim, including grants
    /// that have not arrived yet.
    #[must_use]
    pub fn must_release(&self) -> bool {
        self.state == State::Abandoned
    }

    fn decide(&mut self, give_up: bool) -> Decision {
        match self.state {
            State::Started => return Decision::Start,
            // A grant that arrives after the attempt was abandoned must not start the request.
            State::Abandoned => return self.refusal(),
            State::Pending => {}
        }
        if self.grants() >= QUORUM {
            self.state = State::Started;
            return Decision::Start;
        }
        let complete = give_up || self.replies.iter().all(Option::is_some);
        let early = matches!(self.refusal(), Decision::Answer(_) | Decision::Running);
        if !complete && !early {
            return Decision::Wait;
        }
        self.state = State::Abandoned;
        self.refusal()
    }

    fn grants(&self) -> usize {
        let granted = |reply: &&Option<ClaimReply>| **reply == Some(ClaimReply::Granted);
        self.replies.iter().filter(granted).count()
    }

    fn refusal(&self) -> Decision {
        let taken = || {
            self.replies
                .iter()
                .flatten()
                .filter_map(|reply| match reply {
                    ClaimReply::Taken {
                        attempt,
                        answer,
                        done,
                        differs,
                    } if *attempt != self.id => Some((*attempt, answer, *done, *differs)),
                    _ => None,
                })
        };
        // An attempt that is done was started. One that is not done may hold a
        // minority of the grants and never start.
        let finished = taken().find(|(_, _, done, _)| *done);
        let grants_of = |holder| taken().filter(|(attempt, ..)| *attempt == holder).count();
        let differs = taken()
            .any(|(holder, _, done, differs)| differs && (done || grants_of(holder) >= QUORUM));
        if differs {
            return Decision::RequestMismatch;
        }
        if let Some(answer) = taken().find_map(|(_, answer, ..)| answer.clone()) {
            return Decision::Answer(answer);
        }
        if finished.is_some() {
            return Decision::Finished;
        }
        if taken().any(|(holder, ..)| grants_of(holder) >= QUORUM) {
            return Decision::Running;
        }
        Decision::NotStarted
    }
}
