//! Thread that owns the data folder and writes to it.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use replication::{CodecError, Config, Entry, Payload, Restored, Snapshot, StorageWrite, Vote};
use slog::{Logger, error, info, warn};
use storage::{Contents, Identity, StorageError};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;
use units::ReplicaId;

use crate::files::Files;
use crate::machine::Report;

/// Time between attempts while writes fail.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Job of the disk thread.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// Write the vote, entries or a snapshot of the leader.
    Write {
        /// Sequence number.
        seq: u64,
        /// Content.
        write: StorageWrite,
        /// Last index known to be committed.
        commit_index: u64,
    },
    /// Write a snapshot of this replica's state and compact the log.
    Snapshot {
        /// Snapshot.
        snapshot: Arc<Snapshot>,
        /// Number of entries before the snapshot that stay in the log.
        retained_entries: u64,
    },
}

/// Handle of the disk thread.
#[derive(Debug)]
pub(crate) struct DiskThread {
    jobs: mpsc::Sender<DiskJob>,
    task: JoinHandle<Files>,
}

impl DiskThread {
    pub(crate) fn start(
        files: Files,
        id: ReplicaId,
        reports: UnboundedSender<Report>,
        log: Logger,
    ) -> Self {
        let (jobs, queue) = mpsc::channel();
        let writer = Writer {
            files,
            id,
            reports,
            log,
            is_failing: false,
        };
        let task = tokio::task::spawn_blocking(move || writer.run(&queue));
        Self { jobs, task }
    }

    /// Queues a job; returns false if the thread has ended.
    pub(crate) fn send(&self, job: DiskJob) -> bool {
        self.jobs.send(job).is_ok()
    }

    /// Ends the thread after the queued jobs and returns the files. While writes fail,
    /// it ends without finishing the jobs, provided that the receiver of the reports is
    /// closed. Returns `None` if the thread panicked; the panic hook has reported it.
    pub(crate) async fn stop(self) -> Option<Files> {
        drop(self.jobs);
        self.task.await.ok()
    }
}

struct Writer {
    files: Files,
    id: ReplicaId,
    reports: UnboundedSender<Report>,
    log: Logger,
    is_failing: bool,
}

impl Writer {
    fn run(mut self, queue: &mpsc::Receiver<DiskJob>) -> Files {
        self.process(queue);
        self.files
    }

    fn process(&mut self, queue: &mpsc::Receiver<DiskJob>) {
        while let Ok(first) = queue.recv() {
            // All jobs that were queued during the last sync share the next one.
            let jobs: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
            let mut last_seq = None;
            for job in jobs {
                match job {
                    DiskJob::Write {
                        seq,
                        write,
                        commit_index,
                    } => {
                        if !self.persist(|w| w.stage(&write, commit_index)) {
                            return;
                        }
                        last_seq = Some(seq);
                    }
                    DiskJob::Snapshot {
                        snapshot,
                        retained_entries,
                    } => self.write_snapshot(snapshot, retained_entries),
                }
            }
            if !self.persist(|w| w.files.sync()) {
                return;
            }
            if let Some(seq) = last_seq {
                self.report(Report::Stored { seq });
            }
        }
    }

    /// Repeats a step until it succeeds; returns false if the replica stops before that.
    fn persist(&mut self, step: impl Fn(&mut Self) -> Result<(), StorageError>) -> bool {
        loop {
            match step(self) {
                Ok(()) => {
                    if std::mem::take(&mut self.is_failing) {
                        info!(self.log, "the replica's files can be written again");
                        self.report(Report::StorageError(None));
                    }
                    return true;
                }
                Err(cause) => {
                    if !std::mem::replace(&mut self.is_failing, true) {
                        error!(self.log, "cannot write the replica's files; retrying"; "error" => %cause);
                        self.report(Report::StorageError(Some(cause.to_string().into())));
                    }
                }
            }
            if self.reports.is_closed() {
                return false;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    fn stage(&mut self, write: &StorageWrite, commit_index: u64) -> Result<(), StorageError> {
        match write {
            StorageWrite::Vote(vote) => self.files.save_vote(self.id, *vote),
            StorageWrite::Append(entries) => {
                let files = &mut self.files;
                entries
                    .iter()
                    .try_for_each(|e| files.append(e, commit_index))
            }
            StorageWrite::Install(snapshot) => self.files.install_snapshot(snapshot),
        }
    }

    /// Writes a snapshot and compacts the log. After an error the log is kept until a
    /// later snapshot is written.
    fn write_snapshot(&mut self, snapshot: Arc<Snapshot>, retained_entries: u64) {
        let compact_index = snapshot.index.saturating_sub(retained_entries);
        let written = self.files.write_snapshot(&snapshot, compact_index);
        if let Err(cause) = &written {
            warn!(self.log, "cannot write a snapshot"; "error" => %cause);
        }
        let snapshot = written.is_ok().then_some(snapshot);
        self.report(Report::SnapshotWritten(snapshot));
    }

    fn report(&self, report: Report) {
        // The receiver is dropped when the replica stops.
        let _ = self.reports.send(report);
    }
}

/// Content of the vote file.
pub(crate) fn identity(id: ReplicaId, vote: Vote) -> Identity {
    let voted_for = vote.voted_for.map_or(0, |id| id.0);
    Identity {
        id: id.0,
        term: vote.term,
        voted_for,
    }
}

/// Kind and payload of the record of an entry. The payload ends with the last index
/// known to be committed, so that a restarted replica can apply the entries up to it
/// before it knows a leader.
pub(crate) fn encode_entry(
    entry: &Entry,
    commit_index: u64,
) -> Result<(u8, Vec<u8>), StorageError> {
    let (kind, payload) = entry.payload.to_record().map_err(invalid_content)?;
    Ok((kind, [&payload.0[..], &commit_index.to_be_bytes()].concat()))
}

/// Payload of the entry in a record, and the last index that was known to be committed.
fn decode_entry(record: &storage::Record) -> Result<(Vec<u8>, u64), StorageError> {
    let Some((payload, commit_index)) = record.payload.split_last_chunk() else {
        let message = format!("record {} has no committed index", record.index).into();
        return Err(StorageError::InvalidContent { message });
    };
    Ok((payload.to_vec(), u64::from_be_bytes(*commit_index)))
}

/// Converts a snapshot for the snapshot file.
pub(crate) fn to_stored_snapshot(snapshot: &Snapshot) -> Result<storage::Snapshot, StorageError> {
    Ok(storage::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        metadata: replication::encode("membership", &snapshot.config).map_err(invalid_content)?,
        data: snapshot.data.0.to_vec(),
    })
}

fn invalid_content(error: CodecError) -> StorageError {
    StorageError::InvalidContent {
        message: error.to_string().into(),
    }
}

/// Id and replication state from the content of the data folder; `None` if it is new.
pub(crate) fn restore(contents: Contents) -> Result<Option<(ReplicaId, Restored)>, StorageError> {
    let Some(identity) = contents.identity else {
        return Ok(None);
    };
    let voted_for = Some(ReplicaId(identity.voted_for)).filter(|id| id.0 != 0);
    let vote = Vote {
        term: identity.term,
        voted_for,
    };
    let snapshot = match contents.snapshot {
        Some(file) => {
            let config: Config =
                replication::decode("membership", &file.metadata).map_err(invalid_content)?;
            let (index, term) = (file.index, file.term);
            Some(Arc::new(Snapshot {
                index,
                term,
                config,
                data: file.data.into(),
            }))
        }
        None => None,
    };
    let mut commit_index = 0;
    let to_entry = |r: storage::Record| {
        let (payload, committed) = decode_entry(&r)?;
        commit_index = committed.max(commit_index);
        let payload = Payload::from_record(r.kind, payload).map_err(invalid_content)?;
        Ok(Entry {
            term: r.term,
            index: r.index,
            payload,
        })
    };
    let entries = contents
        .records
        .into_iter()
        .map(to_entry)
        .collect::<Result<_, StorageError>>()?;
    Ok(Some((
        ReplicaId(identity.id),
        Restored {
            vote,
            snapshot,
            entries,
            commit_index,
        },
    )))
}
