//! Segment of the log.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::scan::Scan;
use crate::{StorageError, files};

/// Prefix of the file name.
pub(crate) const PREFIX: &str = "log-";

/// Segment of the log.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) path: PathBuf,
    /// Index of the first record.
    pub(crate) first: u64,
    /// Position of each record, in bytes.
    offsets: Vec<u64>,
    /// Synced bytes.
    pub(crate) synced: u64,
    file: File,
    /// A write failed; bytes after the synced ones have to be removed.
    broken: bool,
}

impl Segment {
    /// Creates an empty segment.
    pub(crate) fn create(folder: &Path, first: u64) -> Result<Self, StorageError> {
        let path = folder.join(format!("{PREFIX}{first:020}"));
        let file = open(&path, true)?;
        files::sync_folder(&path)?;
        Ok(Self {
            path,
            first,
            offsets: Vec::new(),
            synced: 0,
            file,
            broken: false,
        })
    }

    /// Opens a segment that was read, and removes a torn end.
    pub(crate) fn open(path: PathBuf, first: u64, scan: &Scan) -> Result<Self, StorageError> {
        let file = open(&path, false)?;
        let synced = scan.end as u64;
        let offsets = scan.offsets.clone();
        let mut segment = Self {
            path,
            first,
            offsets,
            synced,
            file,
            broken: false,
        };
        segment.cut(synced)?;
        Ok(segment)
    }

    /// Last index; the one before the first if the segment is empty.
    pub(crate) fn last(&self) -> u64 {
        self.first + self.offsets.len() as u64 - 1
    }

    /// Writes and syncs encoded records at the end; all or none count.
    pub(crate) fn write(&mut self, raw: &[u8], starts: &[usize]) -> Result<(), StorageError> {
        if self.broken {
            self.cut(self.synced)?;
            self.broken = false;
        }
        let result = self
            .file
            .write_all(raw)
            .and_then(|()| self.file.sync_data());
        if let Err(source) = result {
            self.broken = true;
            return Err(StorageError::io("write", &self.path, source));
        }
        self.offsets
            .extend(starts.iter().map(|start| self.synced + *start as u64));
        self.synced += raw.len() as u64;
        Ok(())
    }

    /// Removes the records after an index of this segment.
    pub(crate) fn truncate(&mut self, last: u64) -> Result<(), StorageError> {
        let keep = usize::try_from(last + 1 - self.first).unwrap_or(usize::MAX);
        if let Some(end) = self.offsets.get(keep).copied() {
            self.cut(end)?;
            self.offsets.truncate(keep);
            self.synced = end;
            self.broken = false;
        }
        Ok(())
    }

    /// Shortens the file.
    fn cut(&mut self, end: u64) -> Result<(), StorageError> {
        let error = |e| StorageError::io("truncate", &self.path, e);
        if self.file.metadata().map_err(error)?.len() != end {
            self.file.set_len(end).map_err(error)?;
            self.file.sync_all().map_err(error)?;
        }
        Ok(())
    }
}

fn open(path: &Path, fresh: bool) -> Result<File, StorageError> {
    let mut options = OpenOptions::new();
    options.append(true).create(fresh);
    let file = options
        .open(path)
        .map_err(|e| StorageError::io("open", path, e))?;
    if fresh {
        file.set_len(0)
            .map_err(|e| StorageError::io("truncate", path, e))?;
    }
    Ok(file)
}
