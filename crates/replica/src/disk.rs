//! Thread that owns the files.

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
use crate::work::Done;

/// Time between attempts while writes fail.
const RETRY: Duration = Duration::from_millis(200);

/// Work for the thread.
#[derive(Debug)]
pub(crate) enum Job {
    /// Write of the log.
    Write {
        /// Number.
        seq: u64,
        /// Write.
        write: StorageWrite,
        /// Last index known to be committed.
        commit: u64,
    },
    /// Snapshot of the own state.
    Snapshot {
        /// Snapshot.
        snapshot: Arc<Snapshot>,
        /// Entries kept before it.
        tail: u64,
    },
}

/// Handle of the thread.
#[derive(Debug)]
pub(crate) struct Disk {
    jobs: mpsc::Sender<Job>,
    task: JoinHandle<Files>,
}

impl Disk {
    pub(crate) fn start(
        files: Files,
        id: ReplicaId,
        done: UnboundedSender<Done>,
        log: Logger,
    ) -> Self {
        let (jobs, queue) = mpsc::channel();
        let writer = Writer {
            files,
            id,
            done,
            log,
            failing: false,
        };
        let task = tokio::task::spawn_blocking(move || writer.run(&queue));
        Self { jobs, task }
    }

    /// Queues work; false once the thread has ended.
    pub(crate) fn send(&self, job: Job) -> bool {
        self.jobs.send(job).is_ok()
    }

    /// Ends the thread after the queued work. While writes fail it ends at once,
    /// provided that the receiver of its reports is closed. The files are gone if the thread
    /// panicked, which was reported when it happened.
    pub(crate) async fn stop(self) -> Option<Files> {
        drop(self.jobs);
        self.task.await.ok()
    }
}

struct Writer {
    files: Files,
    id: ReplicaId,
    done: UnboundedSender<Done>,
    log: Logger,
    failing: bool,
}

impl Writer {
    fn run(mut self, queue: &mpsc::Receiver<Job>) -> Files {
        self.work(queue);
        self.files
    }

    fn work(&mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(first) = queue.recv() {
            // Everything that waited during the last sync shares the next one.
            let jobs: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
            let mut last = None;
            for job in jobs {
                match job {
                    Job::Write { seq, write, commit } => {
                        if !self.persist(|w| w.stage(&write, commit)) {
                            return;
                        }
                        last = Some(seq);
                    }
                    Job::Snapshot { snapshot, tail } => self.snapshot(snapshot, tail),
                }
            }
            if !self.persist(|w| w.files.sync()) {
                return;
            }
            if let Some(seq) = last {
                self.report(Done::Stored { seq });
            }
        }
    }

    /// Repeats a step until it succeeds; false if the replica stops before.
    fn persist(&mut self, step: impl Fn(&mut Self) -> Result<(), StorageError>) -> bool {
        loop {
            match step(self) {
                Ok(()) => {
                    if std::mem::take(&mut self.failing) {
                        info!(self.log, "files can be written again");
                        self.report(Done::Fault(None));
                    }
                    return true;
                }
                Err(cause) => {
                    if !std::mem::replace(&mut self.failing, true) {
                        error!(self.log, "cannot write the replica's files"; "error" => %cause);
                        self.report(Done::Fault(Some(cause.to_string().into())));
                    }
                }
            }
            if self.done.is_closed() {
                return false;
            }
            std::thread::sleep(RETRY);
        }
    }

    fn stage(&mut self, write: &StorageWrite, commit: u64) -> Result<(), StorageError> {
        match write {
            StorageWrite::Vote(vote) => self.files.vote(self.id, *vote),
            StorageWrite::Append(entries) => {
                let files = &mut self.files;
                entries.iter().try_for_each(|e| files.append(e, commit))
            }
            StorageWrite::Install(snapshot) => self.files.install(snapshot),
        }
    }

    /// A failed snapshot is taken again later; until then the log stays.
    fn snapshot(&mut self, snapshot: Arc<Snapshot>, tail: u64) {
        let keep = snapshot.index.saturating_sub(tail);
        let written = self.files.snapshot(&snapshot, keep);
        if let Err(cause) = &written {
            warn!(self.log, "cannot write a snapshot"; "error" => %cause);
        }
        let snapshot = written.is_ok().then_some(snapshot);
        self.report(Done::Snapshot(snapshot));
    }

    fn report(&self, done: Done) {
        // The replica has stopped if nobody listens.
        let _ = self.done.send(done);
    }
}

/// Identity with a vote.
pub(crate) fn identity(id: ReplicaId, vote: Vote) -> Identity {
    let voted = vote.voted_for.map_or(0, |id| id.0);
    Identity {
        id: id.0,
        term: vote.term,
        voted,
    }
}

/// Kind and payload of an entry's record, with the last index known to be committed: what a replica
/// can show after a start before it knows of a leader.
pub(crate) fn record(entry: &Entry, commit: u64) -> Result<(u8, Vec<u8>), StorageError> {
    let (kind, payload) = entry.payload.to_record().map_err(invalid)?;
    Ok((kind, [&payload.0[..], &commit.to_be_bytes()].concat()))
}

/// The payload of a record, and the index that was known to be committed.
fn split(record: &storage::Record) -> Result<(Vec<u8>, u64), StorageError> {
    let Some((payload, commit)) = record.payload.split_last_chunk() else {
        let message = format!("record {} has no committed index", record.index).into();
        return Err(StorageError::Content { message });
    };
    Ok((payload.to_vec(), u64::from_be_bytes(*commit)))
}

pub(crate) fn to_file(snapshot: &Snapshot) -> Result<storage::Snapshot, StorageError> {
    Ok(storage::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        head: replication::encode("membership", &snapshot.config).map_err(invalid)?,
        data: snapshot.data.0.to_vec(),
    })
}

fn invalid(error: CodecError) -> StorageError {
    StorageError::Content {
        message: error.to_string().into(),
    }
}

/// Id and replication state from what the files hold; `None` in a new folder.
pub(crate) fn restore(contents: Contents) -> Result<Option<(ReplicaId, Restored)>, StorageError> {
    let Some(identity) = contents.identity else {
        return Ok(None);
    };
    let voted = Some(ReplicaId(identity.voted)).filter(|id| id.0 != 0);
    let vote = Vote {
        term: identity.term,
        voted_for: voted,
    };
    let snapshot = match contents.snapshot {
        Some(file) => {
            let config: Config = replication::decode("membership", &file.head).map_err(invalid)?;
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
    let mut commit = 0;
    let entry = |r: storage::Record| {
        let (payload, known) = split(&r)?;
        commit = known.max(commit);
        let payload = Payload::from_record(r.kind, payload).map_err(invalid)?;
        Ok(Entry {
            term: r.term,
            index: r.index,
            payload,
        })
    };
    let entries = contents
        .records
        .into_iter()
        .map(entry)
        .collect::<Result<_, StorageError>>()?;
    Ok(Some((
        ReplicaId(identity.id),
        Restored {
            vote,
            snapshot,
            entries,
            commit_index: commit,
        },
    )))
}
