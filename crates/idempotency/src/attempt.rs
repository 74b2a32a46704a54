//! One attempt to begin a key, as seen by the agent that makes it.

use api::{ClaimReply, StoredResponse};

use crate::{QUORUM, REPLICAS};

/// What the replies so far mean.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// More replies are needed.
    Wait,
    /// Two replicas granted the key: begin.
    Begin,
    /// An earlier attempt finished with this response.
    Answer(StoredResponse),
    /// An earlier attempt finished; its response was not kept or its outcome is unknown.
    Finished,
    /// An earlier attempt holds the claim and has not finished.
    Running,
    /// The key belongs to another request.
    Differs,
    /// Not enough replicas answered or granted: this attempt must not begin.
    NotBegun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Asking,
    Begun,
    GivenUp,
}

/// Collects the replies of the replicas.
#[derive(Debug, Clone)]
pub struct Attempt {
    id: u128,
    replies: Vec<Option<ClaimReply>>,
    state: State,
}

impl Attempt {
    /// Attempt that asks `replicas` replicas, two or three.
    #[must_use]
    pub fn new(id: u128, replicas: usize) -> Self {
        Self {
            id,
            replies: vec![None; replicas.min(REPLICAS)],
            state: State::Asking,
        }
    }

    /// Id of the attempt.
    #[must_use]
    pub fn id(&self) -> u128 {
        self.id
    }

    /// Takes the reply of a replica; a replica that can't be reached counts as
    /// [`ClaimReply::Unknown`]. The first reply of a replica counts.
    pub fn reply(&mut self, replica: usize, reply: ClaimReply) -> Verdict {
        if let Some(slot @ None) = self.replies.get_mut(replica) {
            *slot = Some(reply);
        }
        self.verdict(false)
    }

    /// No more replies are waited for.
    pub fn give_up(&mut self) -> Verdict {
        self.verdict(true)
    }

    /// Whether grants that arrive or are on their way must be given back.
    #[must_use]
    pub fn must_release(&self) -> bool {
        self.state == State::GivenUp
    }

    fn verdict(&mut self, last: bool) -> Verdict {
        match self.state {
            State::Begun => return Verdict::Begin,
            // A grant that arrives after the decision must not begin the request.
            State::GivenUp => return self.refusal(),
            State::Asking => {}
        }
        if self.grants() >= QUORUM {
            self.state = State::Begun;
            return Verdict::Begin;
        }
        let complete = last || self.replies.iter().all(Option::is_some);
        let early = matches!(self.refusal(), Verdict::Answer(_) | Verdict::Running);
        if !complete && !early {
            return Verdict::Wait;
        }
        self.state = State::GivenUp;
        self.refusal()
    }

    fn grants(&self) -> usize {
        let granted = |reply: &&Option<ClaimReply>| **reply == Some(ClaimReply::Granted);
        self.replies.iter().filter(granted).count()
    }

    fn refusal(&self) -> Verdict {
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
        // An attempt that is done has begun; one that is not may hold a
        // minority of the grants and never begin.
        let finished = taken().find(|(_, _, done, _)| *done);
        let held = |holder| taken().filter(|(attempt, ..)| *attempt == holder).count();
        let differs =
            taken().any(|(holder, _, done, differs)| differs && (done || held(holder) >= QUORUM));
        if differs {
            return Verdict::Differs;
        }
        if let Some(answer) = taken().find_map(|(_, answer, ..)| answer.clone()) {
            return Verdict::Answer(answer);
        }
        if finished.is_some() {
            return Verdict::Finished;
        }
        if taken().any(|(holder, ..)| held(holder) >= QUORUM) {
            return Verdict::Running;
        }
        Verdict::NotBegun
    }
}
