//! Log segments: files with consecutive records.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::scan::ScanResult;
use crate::{StorageError, files};

/// File name prefix; the index of the first record follows.
pub(crate) const FILE_PREFIX: &str = "log-";

/// Log segment, open for appending.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) path: PathBuf,
    /// Index of the first record.
    pub(crate) first_index: u64,
    /// Offset of each record in bytes.
    offsets: Vec<u64>,
    /// Size of the synced records in bytes.
    pub(crate) synced_bytes: u64,
    file: File,
    /// A write failed and may have left bytes after the synced records; they are
    /// truncated before the next write.
    needs_truncation: bool,
}

impl Segment {
    /// Creates an empty segment.
    pub(crate) fn create(folder: &Path, first_index: u64) -> Result<Self, StorageError> {
        let path = folder.join(format!("{FILE_PREFIX}{first_index:020}"));
        let file = open(&path, true)?;
        files::sync_parent(&path)?;
        Ok(Self {
            path,
            first_index,
            offsets: Vec::new(),
            synced_bytes: 0,
            file,
            needs_truncation: false,
        })
    }

    /// Opens an existing segment and truncates a torn write at its end.
    pub(crate) fn open(
        path: PathBuf,
        first_index: u64,
        scan: &ScanResult,
    ) -> Result<Self, StorageError> {
        let file = open(&path, false)?;
        let synced_bytes = scan.end as u64;
        let offsets = scan.offsets.clone();
        let mut segment = Self {
            path,
            first_index,
            offsets,
            synced_bytes,
            file,
            needs_truncation: false,
        };
        segment.set_length(synced_bytes)?;
        Ok(segment)
    }

    /// Index of the last record; one less than `first_index` if the segment is empty.
    pub(crate) fn last_index(&self) -> u64 {
        self.first_index + self.offsets.len() as u64 - 1
    }

    /// Appends and syncs encoded records that begin at `starts` within `raw`. If it
    /// fails, none of them is part of the segment.
    pub(crate) fn write(&mut self, raw: &[u8], starts: &[usize]) -> Result<(), StorageError> {
        if self.needs_truncation {
            self.set_length(self.synced_bytes)?;
            self.needs_truncation = false;
        }
        let result = self
            .file
            .write_all(raw)
            .and_then(|()| self.file.sync_data());
        if let Err(source) = result {
            self.needs_truncation = true;
            return Err(StorageError::io("write", &self.path, source));
        }
        self.offsets
            .extend(starts.iter().map(|start| self.synced_bytes + *start as u64));
        self.synced_bytes += raw.len() as u64;
        Ok(())
    }

    /// Removes the records after `last_index`, which is in this segment.
    pub(crate) fn truncate(&mut self, last_index: u64) -> Result<(), StorageError> {
        let keep = usize::try_from(last_index + 1 - self.first_index).unwrap_or(usize::MAX);
        if let Some(end) = self.offsets.get(keep).copied() {
            self.set_length(end)?;
            self.offsets.truncate(keep);
            self.synced_bytes = end;
            self.needs_truncation = false;
        }
        Ok(())
    }

    /// Truncates the file to a length in bytes and syncs it.
    fn set_length(&mut self, length: u64) -> Result<(), StorageError> {
        let error = |e| StorageError::io("truncate", &self.path, e);
        if self.file.metadata().map_err(error)?.len() != length {
            self.file.set_len(length).map_err(error)?;
            self.file.sync_all().map_err(error)?;
        }
        Ok(())
    }
}

fn open(path: &Path, create: bool) -> Result<File, StorageError> {
    let mut options = OpenOptions::new();
    options.append(true).create(create);
    let file = options
        .open(path)
        .map_err(|e| StorageError::io("open", path, e))?;
    if create {
        file.set_len(0)
            .map_err(|e| StorageError::io("truncate", path, e))?;
    }
    Ok(file)
}
