//! Combines the request counts of many agents into one log entry.

use std::sync::Arc;
use std::time::Duration;

use api::BurnBatch;
use replica::ProposeError;
use state::{Action, Outcome};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::node::Node;

/// Longest time to collect batches for one log entry.
const BATCH_WINDOW: Duration = Duration::from_millis(250);

/// Largest number of batches in one log entry.
const MAX_ENTRY_BATCHES: usize = 256;

/// Number of buckets that completes a log entry, which keeps it far below the largest command.
const MAX_ENTRY_BUCKETS: usize = 4_096;

/// Largest number of queued batches; further ones are rejected and resent by the agents.
pub const QUEUE_CAPACITY: usize = 1_024;

/// Newest committed batch number, or `None` for an unknown service.
pub type BurnResult = Result<Option<u64>, ProposeError>;

/// Batch and the channel for its result.
pub type QueuedBatch = (BurnBatch, oneshot::Sender<BurnResult>);

/// Proposes queued batches until the sender is dropped.
pub async fn run(node: Arc<Node>, mut queue: mpsc::Receiver<QueuedBatch>) {
    while let Some(first) = queue.recv().await {
        let collected = collect(first, &mut queue).await;
        let (batches, senders): (Vec<_>, Vec<_>) = collected.into_iter().unzip();
        tokio::spawn(propose(Arc::clone(&node), batches, senders));
    }
}

async fn collect(first: QueuedBatch, queue: &mut mpsc::Receiver<QueuedBatch>) -> Vec<QueuedBatch> {
    let deadline = Instant::now() + BATCH_WINDOW;
    let mut buckets = first.0.buckets.len();
    let mut collected = vec![first];
    while collected.len() < MAX_ENTRY_BATCHES && buckets < MAX_ENTRY_BUCKETS {
        let Ok(Some(next)) = timeout_at(deadline, queue.recv()).await else {
            break;
        };
        buckets += next.0.buckets.len();
        collected.push(next);
    }
    collected
}

async fn propose(
    node: Arc<Node>,
    batches: Vec<BurnBatch>,
    senders: Vec<oneshot::Sender<BurnResult>>,
) {
    let outcome = node.propose(Action::Burn(batches)).await;
    for (index, sender) in senders.into_iter().enumerate() {
        let result = match &outcome {
            Ok(Outcome::Burn(numbers)) => Ok(numbers.get(index).copied().flatten()),
            Ok(other) => Err(ProposeError::Unknown {
                reason: format!("unexpected outcome {other:?}").into(),
            }),
            Err(e) => Err(e.clone()),
        };
        // An agent whose request has ended resends the batch.
        let _sent = sender.send(result);
    }
}
