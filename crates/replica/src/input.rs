//! Requests to the task of a replica.

use replication::{MembershipChange, RefusalReason};
use tokio::sync::oneshot;

use crate::ProposeError;
use crate::wire::{Answer, Wire};

/// Where the outcome of a request goes.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, ProposeError>>;

/// Request to the task of a replica.
#[derive(Debug)]
pub(crate) enum Input {
    /// Message of another replica; the answer is only awaited if there is a channel.
    Wire(Wire, Option<oneshot::Sender<Answer>>),
    /// Command to commit.
    Propose(Vec<u8>, Reply<Vec<u8>>),
    /// Read to confirm.
    Confirm(Reply<()>),
    /// Change of the membership.
    Change(MembershipChange, Reply<()>),
    /// Leadership to hand over.
    Transfer(Reply<()>),
    /// End of the replica.
    Stop(oneshot::Sender<()>),
}

impl Input {
    /// Answers a request that can't be handled.
    pub(crate) fn refuse(self, error: ProposeError) {
        // A caller that has gone away needs no answer.
        match self {
            Self::Wire(_, Some(reply)) => drop(reply.send(Answer::Later)),
            Self::Wire(_, None) => {}
            Self::Propose(_, reply) => drop(reply.send(Err(error))),
            Self::Confirm(reply) | Self::Change(_, reply) | Self::Transfer(reply) => {
                drop(reply.send(Err(error)));
            }
            Self::Stop(reply) => drop(reply.send(())),
        }
    }
}

/// Text for a request that was surely not accepted.
pub(crate) fn reason(cause: RefusalReason) -> &'static str {
    match cause {
        RefusalReason::NotLeader => "this replica does not lead",
        RefusalReason::TransferInProgress => "leadership is being handed over; try again",
        RefusalReason::ChangeInProgress => {
            "another change of the membership is in progress; try again"
        }
        RefusalReason::LearnerBehind => "the learner has not caught up; try again later",
        RefusalReason::InvalidMember => "the id is unknown, already a voter, or was used before",
        RefusalReason::NoOtherVoter => "no other voter can take over",
    }
}
