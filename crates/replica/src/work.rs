//! Thread that owns the state machine, and what the threads report.

use std::sync::Arc;
use std::sync::mpsc;

use replication::{Config, Entry, Payload, Snapshot};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::StateMachine;

/// Report of a thread.
#[derive(Debug)]
pub(crate) enum Done {
    /// Writes up to this number are synced.
    Stored {
        /// Number.
        seq: u64,
    },
    /// Writes fail, or succeed again.
    Fault(Option<Box<str>>),
    /// Own snapshot that is on disk; `None` if it could not be written.
    Snapshot(Option<Arc<Snapshot>>),
    /// Entries that were applied.
    Applied(Vec<Applied>),
    /// Own snapshot that was encoded.
    Taken(Arc<Snapshot>),
    /// The state was replaced up to an index.
    Restored {
        /// Index.
        index: u64,
    },
    /// The state machine rejected a snapshot.
    Rejected {
        /// Index.
        index: u64,
        /// Cause.
        message: Box<str>,
    },
}

/// Entry that was applied.
#[derive(Debug)]
pub(crate) struct Applied {
    pub(crate) index: u64,
    pub(crate) term: u64,
    /// Answer of the state machine; empty for other entries than commands.
    pub(crate) answer: Vec<u8>,
}

/// Work for the thread.
#[derive(Debug)]
pub(crate) enum Task {
    /// Apply entries.
    Apply(Vec<Entry>),
    /// Encode the state.
    Snapshot {
        /// Last applied index.
        index: u64,
        /// Its term.
        term: u64,
        /// Membership at it.
        config: Config,
    },
    /// Replace the state.
    Restore(Arc<Snapshot>),
}

/// Handle of the thread.
#[derive(Debug)]
pub(crate) struct Worker {
    tasks: mpsc::Sender<Task>,
    task: JoinHandle<StateMachine>,
}

impl Worker {
    pub(crate) fn start(mut machine: StateMachine, done: UnboundedSender<Done>) -> Self {
        let (tasks, queue) = mpsc::channel();
        let task = tokio::task::spawn_blocking(move || {
            while let Ok(task) = queue.recv() {
                if done.send(run(&mut machine, task)).is_err() {
                    break;
                }
            }
            machine
        });
        Self { tasks, task }
    }

    /// Queues work; false once the thread has ended.
    pub(crate) fn send(&self, task: Task) -> bool {
        self.tasks.send(task).is_ok()
    }

    /// Ends the thread after the queued work; the state machine is gone if it panicked, which was
    /// reported when it happened.
    pub(crate) async fn stop(self) -> Option<StateMachine> {
        drop(self.tasks);
        self.task.await.ok()
    }
}

fn run(machine: &mut StateMachine, task: Task) -> Done {
    match task {
        Task::Apply(entries) => {
            let mut apply = |entry: Entry| {
                let Entry {
                    term,
                    index,
                    payload,
                } = entry;
                let answer = match payload {
                    Payload::Command(command) => (machine.apply)(index, &command.0),
                    Payload::Empty | Payload::Config(_) => Vec::new(),
                };
                Applied {
                    index,
                    term,
                    answer,
                }
            };
            Done::Applied(entries.into_iter().map(&mut apply).collect())
        }
        Task::Snapshot {
            index,
            term,
            config,
        } => {
            let data = (machine.snapshot)().into();
            Done::Taken(Arc::new(Snapshot {
                index,
                term,
                config,
                data,
            }))
        }
        Task::Restore(snapshot) => {
            let index = snapshot.index;
            match (machine.restore)(&snapshot.data.0) {
                Ok(()) => Done::Restored { index },
                Err(message) => Done::Rejected { index, message },
            }
        }
    }
}
