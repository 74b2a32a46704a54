//! Requests to the task of a replica.

use replication::{MembershipChange, RefusalReason};
use tokio::sync::oneshot;

use crate::ProposeError;
use crate::messages::{PeerReply, PeerRequest};

/// Channel for the outcome of a request.
pub(crate) type ReplySender<T> = oneshot::Sender<Result<T, ProposeError>>;

/// Request to the task of a replica.
#[derive(Debug)]
pub(crate) enum Input {
    /// Request of another replica, with a channel if it has a reply.
    Peer(PeerRequest, Option<oneshot::Sender<PeerReply>>),
    /// Commit a command.
    Propose(Vec<u8>, ReplySender<Vec<u8>>),
    /// Confirm with a quorum that this replica is the leader.
    ConfirmLeadership(ReplySender<()>),
    /// Change the membership.
    Change(MembershipChange, ReplySender<()>),
    /// Transfer the leadership to another voter.
    TransferLeadership(ReplySender<()>),
    /// Stop the replica.
    Stop(oneshot::Sender<()>),
}

impl Input {
    /// Ends a request that can't be handled with an error.
    pub(crate) fn reject(self, error: ProposeError) {
        // A send fails only if the caller has given up, which is no error.
        match self {
            Self::Peer(_, Some(reply)) => drop(reply.send(PeerReply::Later)),
            Self::Peer(_, None) => {}
            Self::Propose(_, reply) => drop(reply.send(Err(error))),
            Self::ConfirmLeadership(reply)
            | Self::Change(_, reply)
            | Self::TransferLeadership(reply) => {
                drop(reply.send(Err(error)));
            }
            Self::Stop(reply) => drop(reply.send(())),
        }
    }
}

/// Text of the error for a refused request.
pub(crate) fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
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
