//! Thread that owns the state machine, and the reports of the threads to the task.

use std::sync::Arc;
use std::sync::mpsc;

use replication::{Config, Entry, Payload, Snapshot};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::StateMachine;

/// Report of the disk thread or the state machine thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// Writes up to a sequence number are synced.
    Stored {
        /// Sequence number.
        seq: u64,
    },
    /// Writes fail with an error, or succeed again.
    StorageError(Option<Box<str>>),
    /// A snapshot of this replica's state is on disk; `None` if the write failed.
    SnapshotWritten(Option<Arc<Snapshot>>),
    /// The state machine applied entries.
    Applied(Vec<AppliedEntry>),
    /// The state machine encoded a snapshot.
    SnapshotTaken(Arc<Snapshot>),
    /// The state machine restored a snapshot.
    Restored {
        /// Last index that the snapshot covers.
        index: u64,
    },
    /// The state machine could not restore a snapshot.
    RestoreFailed {
        /// Last index that the snapshot covers.
        index: u64,
        /// Error message of the state machine.
        message: Box<str>,
    },
}

/// Entry that the state machine has applied.
#[derive(Debug)]
pub(crate) struct AppliedEntry {
    pub(crate) index: u64,
    pub(crate) term: u64,
    /// Response of the state machine; empty for entries that are not commands.
    pub(crate) response: Vec<u8>,
}

/// Job of the state machine thread.
#[derive(Debug)]
pub(crate) enum MachineJob {
    /// Apply entries.
    Apply(Vec<Entry>),
    /// Encode the state.
    Snapshot {
        /// Last index that the snapshot covers.
        index: u64,
        /// Term of the entry at this index.
        term: u64,
        /// Membership at this index.
        config: Config,
    },
    /// Restore the state from a snapshot.
    Restore(Arc<Snapshot>),
}

/// Handle of the state machine thread.
#[derive(Debug)]
pub(crate) struct MachineThread {
    jobs: mpsc::Sender<MachineJob>,
    task: JoinHandle<StateMachine>,
}

impl MachineThread {
    pub(crate) fn start(mut machine: StateMachine, reports: UnboundedSender<Report>) -> Self {
        let (jobs, queue) = mpsc::channel();
        let task = tokio::task::spawn_blocking(move || {
            while let Ok(job) = queue.recv() {
                if reports.send(run_job(&mut machine, job)).is_err() {
                    break;
                }
            }
            machine
        });
        Self { jobs, task }
    }

    /// Queues a job; returns false if the thread has ended.
    pub(crate) fn send(&self, job: MachineJob) -> bool {
        self.jobs.send(job).is_ok()
    }

    /// Ends the thread after the queued jobs and returns the state machine. Returns
    /// `None` if the thread panicked; the panic hook has reported it.
    pub(crate) async fn stop(self) -> Option<StateMachine> {
        drop(self.jobs);
        self.task.await.ok()
    }
}

fn run_job(machine: &mut StateMachine, job: MachineJob) -> Report {
    match job {
        MachineJob::Apply(entries) => {
            let mut apply = |entry: Entry| {
                let Entry {
                    term,
                    index,
                    payload,
                } = entry;
                let response = match payload {
                    Payload::Command(command) => (machine.apply)(index, &command.0),
                    Payload::Empty | Payload::Config(_) => Vec::new(),
                };
                AppliedEntry {
                    index,
                    term,
                    response,
                }
            };
            Report::Applied(entries.into_iter().map(&mut apply).collect())
        }
        MachineJob::Snapshot {
            index,
            term,
            config,
        } => {
            let data = (machine.snapshot)().into();
            Report::SnapshotTaken(Arc::new(Snapshot {
                index,
                term,
                config,
                data,
            }))
        }
        MachineJob::Restore(snapshot) => {
            let index = snapshot.index;
            match (machine.restore)(&snapshot.data.0) {
                Ok(()) => Report::Restored { index },
                Err(message) => Report::RestoreFailed { index, message },
            }
        }
    }
}
