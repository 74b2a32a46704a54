//! The files of a replica, or nothing for one that keeps none.

use std::path::Path;

use replication::{Entry, Snapshot, Vote};
use storage::{Contents, Options, StorageError, Store};
use units::ReplicaId;

use crate::disk::{identity, record, to_file};

/// Files of a replica; an observer has none and keeps its state in memory.
#[derive(Debug)]
pub(crate) struct Files(Option<Store>);

impl Files {
    /// Opens or creates the folder and reads everything in it.
    pub(crate) fn open(
        folder: &Path,
        segment_bytes: u64,
    ) -> Result<(Self, Contents), StorageError> {
        let (store, contents) = Store::open(folder, Options { segment_bytes })?;
        Ok((Self(Some(store)), contents))
    }

    /// No files.
    pub(crate) fn none() -> (Self, Contents) {
        (Self(None), Contents::default())
    }

    pub(crate) fn vote(&mut self, id: ReplicaId, vote: Vote) -> Result<(), StorageError> {
        self.with(|store| store.save_identity(identity(id, vote)))
    }

    /// Stages an entry, with the last index known to be committed.
    pub(crate) fn append(&mut self, entry: &Entry, commit: u64) -> Result<(), StorageError> {
        self.with(|store| {
            let (kind, payload) = record(entry, commit)?;
            store.append((kind, entry.term, entry.index), &payload)
        })
    }

    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        self.with(Store::sync)
    }

    /// Replaces the log by a snapshot of another replica.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.with(|store| store.install_snapshot(&to_file(snapshot)?))
    }

    /// Writes an own snapshot, and removes the log up to an index.
    pub(crate) fn snapshot(&mut self, snapshot: &Snapshot, upto: u64) -> Result<(), StorageError> {
        self.with(|store| {
            store.write_snapshot(&to_file(snapshot)?)?;
            store.compact(upto)
        })
    }

    /// Removes everything.
    pub(crate) fn discard(self) -> Result<(), StorageError> {
        self.0.map_or(Ok(()), Store::discard)
    }

    fn with(
        &mut self,
        step: impl FnOnce(&mut Store) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.0.as_mut().map_or(Ok(()), step)
    }
}
