//! Data folder of a replica.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use fs4::TryLockError;

use crate::record::encode;
use crate::scan::scan_segment;
use crate::segment::Segment;
use crate::{Identity, Record, Snapshot, StorageError, files, segment, snapshot, vote};

/// Name of the file that marks a folder whose other files are being removed.
const DISCARD_MARKER: &str = "discard";

/// Options of a [`Store`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Size in bytes at which a new segment starts.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
        }
    }
}

/// Content of a data folder when it was opened.
#[derive(Debug, Default)]
pub struct Contents {
    /// Id, term and vote; `None` in a new folder.
    pub identity: Option<Identity>,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Records with consecutive indexes. The first index is 1 without a snapshot, and
    /// at most one above the index of the snapshot otherwise.
    pub records: Vec<Record>,
    /// Descriptions of the repairs that were made.
    pub warnings: Vec<Box<str>>,
}

/// Data folder of a replica, locked until this value is dropped.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    options: Options,
    segments: Vec<Segment>,
    /// Encoded records that are not synced yet.
    staged: Vec<u8>,
    /// Offset of each staged record in bytes.
    staged_offsets: Vec<usize>,
    /// Last index of the log, including the staged records.
    last_index: u64,
    _lock: File,
}

impl Store {
    /// Opens or creates the data folder and reads its content.
    ///
    /// # Errors
    /// When the folder is locked, can't be read or written, or holds damaged files.
    pub fn open(folder: &Path, options: Options) -> Result<(Self, Contents), StorageError> {
        fs::create_dir_all(folder).map_err(|e| StorageError::io("create", folder, e))?;
        let lock = lock_folder(folder)?;
        remove_temporary_files(folder)?;
        finish_discard(folder)?;
        let mut contents = Contents {
            identity: vote::read(folder)?,
            ..Contents::default()
        };
        let snapshots = files::list_numbered(folder, snapshot::FILE_PREFIX)?;
        if let Some((index, path)) = snapshots.last() {
            contents.snapshot = Some(snapshot::read(path, *index)?);
        }
        let mut store = Self {
            folder: folder.to_owned(),
            options,
            segments: Vec::new(),
            staged: Vec::new(),
            staged_offsets: Vec::new(),
            last_index: 0,
            _lock: lock,
        };
        store.read_log(&mut contents)?;
        if contents.identity.is_none() && (contents.snapshot.is_some() || store.last_index > 0) {
            let path = folder.join(vote::FILE_NAME);
            return Err(StorageError::damaged(&path, 0, "the file is missing"));
        }
        store.remove_old_snapshots()?;
        Ok((store, contents))
    }

    fn read_log(&mut self, contents: &mut Contents) -> Result<(), StorageError> {
        let found = files::list_numbered(&self.folder, segment::FILE_PREFIX)?;
        let count = found.len();
        let mut last = None;
        for (position, (first_index, path)) in found.into_iter().enumerate() {
            let raw = files::read_if_exists(&path)?.unwrap_or_default();
            let mut read = scan_segment(&path, &raw, last)?;
            let is_torn = read.end < raw.len();
            if position + 1 < count && (is_torn || raw.is_empty()) {
                let message = "records are missing in front of the next segment";
                return Err(StorageError::damaged(&path, read.end, message));
            }
            if read.records.first().is_some_and(|r| r.index != first_index) {
                let message = "the file name does not match the first record";
                return Err(StorageError::damaged(&path, 0, message));
            }
            if is_torn {
                let torn_bytes = raw.len() - read.end;
                let file = path.display();
                let warning = format!(
                    "{file}: removed {torn_bytes} bytes of an incomplete record after a crash"
                );
                contents.warnings.push(warning.into());
            }
            if read.records.is_empty() {
                files::remove_if_exists(&path)?;
                continue;
            }
            self.segments.push(Segment::open(path, first_index, &read)?);
            last = read.records.last().map(|r| (r.index, r.term));
            contents.records.append(&mut read.records);
        }
        self.last_index = last.map_or(0, |(index, _)| index);
        self.check_continuity(contents)
    }

    /// Checks that no records are missing between the snapshot and the log. Removes a
    /// log that a snapshot from the leader has replaced.
    fn check_continuity(&mut self, contents: &mut Contents) -> Result<(), StorageError> {
        let (index, term) = contents
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.index, s.term));
        let Some(first) = contents.records.first().map(|r| r.index) else {
            self.last_index = index;
            return Ok(());
        };
        if first > index + 1 {
            let path = &self.segments[0].path;
            let message = format!("records {} to {} are missing", index + 1, first - 1);
            return Err(StorageError::damaged(path, 0, message));
        }
        let same_index = contents.records.iter().find(|r| r.index == index);
        let replaced = self.last_index < index || same_index.is_some_and(|r| r.term != term);
        if replaced {
            self.remove_log(index)?;
            contents.records.clear();
        }
        Ok(())
    }

    /// Removes all files of the replica, so that the folder opens like a new one.
    ///
    /// # Errors
    /// When a file can't be removed; the next [`Store::open`] removes the rest.
    pub fn discard(self) -> Result<(), StorageError> {
        files::write_atomically(&self.folder.join(DISCARD_MARKER), &[])?;
        finish_discard(&self.folder)
    }

    /// Last index of the log, including staged records.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Size of the synced log in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.synced_bytes).sum()
    }

    /// Replaces the id, term and vote durably.
    ///
    /// # Errors
    /// When the file can't be written; the old one is kept.
    pub fn save_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        vote::write(&self.folder, identity)
    }

    /// Stages a record with the kind, term and index in `header`. A record at or before
    /// the last index replaces the records from its index on.
    ///
    /// # Errors
    /// When the record leaves a gap or is too large, or the replaced records can't be removed.
    pub fn append(&mut self, header: (u8, u64, u64), payload: &[u8]) -> Result<(), StorageError> {
        let index = header.2;
        if index > self.last_index + 1 || index == 0 {
            return Err(StorageError::IndexGap {
                index,
                last_index: self.last_index,
            });
        }
        if index <= self.last_index {
            self.truncate(index - 1)?;
        }
        self.staged_offsets.push(self.staged.len());
        if let Err(error) = encode(header, payload, &mut self.staged) {
            self.staged_offsets.pop();
            return Err(error);
        }
        self.last_index = index;
        Ok(())
    }

    /// Writes all staged records with a single sync.
    ///
    /// # Errors
    /// When the records can't be written; they stay staged, and the next call writes them again.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.staged_offsets.is_empty() {
            return Ok(());
        }
        let is_full = |s: &Segment| s.synced_bytes >= self.options.segment_bytes;
        if self.segments.last().is_none_or(is_full) {
            let first_index = self.last_index + 1 - self.staged_offsets.len() as u64;
            self.segments
                .push(Segment::create(&self.folder, first_index)?);
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.write(&self.staged, &self.staged_offsets)?;
        }
        self.staged.clear();
        self.staged_offsets.clear();
        Ok(())
    }

    /// Removes the records after `last_index`.
    fn truncate(&mut self, last_index: u64) -> Result<(), StorageError> {
        let synced_index = self.last_index - self.staged_offsets.len() as u64;
        if last_index >= synced_index {
            let keep = usize::try_from(last_index - synced_index).unwrap_or(usize::MAX);
            if let Some(end) = self.staged_offsets.get(keep).copied() {
                self.staged_offsets.truncate(keep);
                self.staged.truncate(end);
            }
            self.last_index = last_index;
            return Ok(());
        }
        self.staged.clear();
        self.staged_offsets.clear();
        self.last_index = synced_index;
        // Segments are removed from the end, so that a crash leaves no gap.
        while let Some(segment) = self.segments.pop_if(|s| s.first_index > last_index) {
            let (path, previous_index) = (segment.path, segment.first_index - 1);
            files::remove_if_exists(&path)?;
            files::sync_parent(&path)?;
            self.last_index = previous_index;
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.truncate(last_index)?;
        }
        self.last_index = last_index;
        Ok(())
    }

    /// Writes a snapshot of this replica's state durably and removes older ones.
    ///
    /// # Errors
    /// When the file can't be written; the older snapshot is kept.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        snapshot::write(&self.folder, snapshot)?;
        self.remove_old_snapshots()
    }

    /// Writes a snapshot from the leader durably, and removes the complete log.
    ///
    /// # Errors
    /// When the file can't be written or the log can't be removed; the call can be repeated.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.write_snapshot(snapshot)?;
        self.remove_log(snapshot.index)
    }

    fn remove_log(&mut self, last_index: u64) -> Result<(), StorageError> {
        self.staged.clear();
        self.staged_offsets.clear();
        while let Some(segment) = self.segments.last() {
            files::remove_if_exists(&segment.path)?;
            files::sync_parent(&segment.path)?;
            self.segments.pop();
        }
        self.last_index = last_index;
        Ok(())
    }

    /// Removes the segments whose records are all at or before `index`, except the
    /// last segment. A snapshot has to cover the records up to `index`.
    ///
    /// # Errors
    /// When a file can't be removed; the next call tries again.
    pub fn compact(&mut self, index: u64) -> Result<(), StorageError> {
        let is_covered = |s: &Segment| s.last_index() <= index;
        while self.segments.len() > 1 && self.segments.first().is_some_and(is_covered) {
            files::remove_if_exists(&self.segments[0].path)?;
            files::sync_parent(&self.segments[0].path)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn remove_old_snapshots(&self) -> Result<(), StorageError> {
        let found = files::list_numbered(&self.folder, snapshot::FILE_PREFIX)?;
        let (_, older) = found.split_last().unzip();
        for (_, path) in older.unwrap_or_default() {
            files::remove_if_exists(path)?;
        }
        Ok(())
    }
}

/// Completes a discard that a crash may have interrupted, if the marker exists.
fn finish_discard(folder: &Path) -> Result<(), StorageError> {
    let marker = folder.join(DISCARD_MARKER);
    if files::read_if_exists(&marker)?.is_none() {
        return Ok(());
    }
    for prefix in [segment::FILE_PREFIX, snapshot::FILE_PREFIX] {
        for (_, path) in files::list_numbered(folder, prefix)? {
            files::remove_if_exists(&path)?;
        }
    }
    files::remove_if_exists(&folder.join(vote::FILE_NAME))?;
    files::sync_parent(&marker)?;
    files::remove_if_exists(&marker)?;
    files::sync_parent(&marker)
}

fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let options = File::options().create(true).append(true).open(&path);
    let file = options.map_err(|e| StorageError::io("open", &path, e))?;
    match fs4::FileExt::try_lock(&file) {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            let folder = folder.display().to_string().into();
            Err(StorageError::Locked { folder })
        }
        Err(TryLockError::Error(e)) => Err(StorageError::io("lock", &path, e)),
    }
}

/// Removes the temporary files that a crash left behind.
fn remove_temporary_files(folder: &Path) -> Result<(), StorageError> {
    let list = || -> std::io::Result<Vec<PathBuf>> {
        let entries = fs::read_dir(folder)?;
        entries.map(|e| e.map(|e| e.path())).collect()
    };
    let found = list().map_err(|e| StorageError::io("list", folder, e))?;
    let is_temporary = |p: &&PathBuf| {
        p.extension()
            .is_some_and(|e| e == files::TEMPORARY_EXTENSION)
    };
    found
        .iter()
        .filter(is_temporary)
        .try_for_each(|path| files::remove_if_exists(path))
}
