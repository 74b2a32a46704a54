//! Data folder of a replica; an observer has none.

use std::path::Path;

use replication::{Entry, Snapshot, Vote};
use storage::{Contents, Options, StorageError, Store};
use units::ReplicaId;

use crate::disk::{encode_entry, identity, to_stored_snapshot};

/// Files of a replica, or `None` for an observer, which keeps its state only in memory.
/// Without files, every write succeeds and does nothing.
#[derive(Debug)]
pub(crate) struct Files(Option<Store>);

impl Files {
    /// Opens or creates the data folder and reads its content.
    pub(crate) fn open(
        folder: &Path,
        segment_bytes: u64,
    ) -> Result<(Self, Contents), StorageError> {
        let (store, contents) = Store::open(folder, Options { segment_bytes })?;
        Ok((Self(Some(store)), contents))
    }

    /// Files of an observer.
    pub(crate) fn in_memory() -> (Self, Contents) {
        (Self(None), Contents::default())
    }

    pub(crate) fn save_vote(&mut self, id: ReplicaId, vote: Vote) -> Result<(), StorageError> {
        self.with_store(|store| store.save_identity(identity(id, vote)))
    }

    /// Stages an entry together with the last index known to be committed.
    pub(crate) fn append(&mut self, entry: &Entry, commit_index: u64) -> Result<(), StorageError> {
        self.with_store(|store| {
            let (kind, payload) = encode_entry(entry, commit_index)?;
            store.append((kind, entry.term, entry.index), &payload)
        })
    }

    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        self.with_store(Store::sync)
    }

    /// Replaces the log with a snapshot of the leader.
    pub(crate) fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.with_store(|store| store.install_snapshot(&to_stored_snapshot(snapshot)?))
    }

    /// Writes a snapshot of this replica's state and compacts the log up to an index.
    pub(crate) fn write_snapshot(
        &mut self,
        snapshot: &Snapshot,
        compact_index: u64,
    ) -> Result<(), StorageError> {
        self.with_store(|store| {
            store.write_snapshot(&to_stored_snapshot(snapshot)?)?;
            store.compact(compact_index)
        })
    }

    /// Removes all files.
    pub(crate) fn discard(self) -> Result<(), StorageError> {
        self.0.map_or(Ok(()), Store::discard)
    }

    fn with_store(
        &mut self,
        step: impl FnOnce(&mut Store) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.0.as_mut().map_or(Ok(()), step)
    }
}
