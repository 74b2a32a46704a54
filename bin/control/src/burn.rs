//! Collects counts of agents, so that many of them need one log entry.

use std::sync::Arc;
use std::time::Duration;

use api::BurnBatch;
use replica::ProposeError;
use state::{Action, Outcome};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::node::Node;

/// Time over which batches are collected.
const COLLECT: Duration = Duration::from_millis(250);

/// Most batches in one log entry.
const MAX_BATCHES: usize = 256;

/// Most buckets in one log entry, so that it stays far below the largest command.
const MAX_BUCKETS: usize = 4_096;

/// Batches that may wait; more are refused and sent again by the agents.
pub const QUEUE: usize = 1_024;

/// Newest durable batch number; `None` for an unknown service.
pub type Answer = Result<Option<u64>, ProposeError>;

/// Batch and where its answer goes.
pub type Waiting = (BurnBatch, oneshot::Sender<Answer>);

/// Proposes batches until the sender is gone.
pub async fn run(node: Arc<Node>, mut queue: mpsc::Receiver<Waiting>) {
    while let Some(first) = queue.recv().await {
        let waiting = collect(first, &mut queue).await;
        let (batches, senders): (Vec<_>, Vec<_>) = waiting.into_iter().unzip();
        tokio::spawn(propose(Arc::clone(&node), batches, senders));
    }
}

async fn collect(first: Waiting, queue: &mut mpsc::Receiver<Waiting>) -> Vec<Waiting> {
    let deadline = Instant::now() + COLLECT;
    let mut buckets = first.0.buckets.len();
    let mut waiting = vec![first];
    while waiting.len() < MAX_BATCHES && buckets < MAX_BUCKETS {
        let Ok(Some(next)) = timeout_at(deadline, queue.recv()).await else {
            break;
        };
        buckets += next.0.buckets.len();
        waiting.push(next);
    }
    waiting
}

async fn propose(node: Arc<Node>, batches: Vec<BurnBatch>, senders: Vec<oneshot::Sender<Answer>>) {
    let outcome = node.propose(Action::Burn(batches)).await;
    for (index, sender) in senders.into_iter().enumerate() {
        let answer = match &outcome {
            Ok(Outcome::Burn(numbers)) => Ok(numbers.get(index).copied().flatten()),
            Ok(other) => Err(ProposeError::Unknown {
                reason: format!("unexpected outcome {other:?}").into(),
            }),
            Err(e) => Err(e.clone()),
        };
        // An agent that no longer waits sends the batch again.
        let _sent = sender.send(answer);
    }
}
