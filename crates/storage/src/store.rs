//! The files of one replica.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use fs4::TryLockError;

use crate::record::encode;
use crate::scan::scan;
use crate::segment::Segment;
use crate::{Identity, Record, Snapshot, StorageError, files, segment, snapshot, vote};

/// File that marks a folder whose files are to be removed.
const DISCARD: &str = "discard";

/// Settings of the files.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Size at which a new segment starts, in bytes.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
        }
    }
}

/// What the files held when they were opened.
#[derive(Debug, Default)]
pub struct Contents {
    /// Id, term and vote; `None` in a new folder.
    pub identity: Option<Identity>,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Records with consecutive indexes; the first is 1 or at most the one
    /// after the snapshot.
    pub records: Vec<Record>,
    /// What was repaired.
    pub warnings: Vec<Box<str>>,
}

/// The files of one replica; the folder is locked as long as this exists.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    options: Options,
    segments: Vec<Segment>,
    /// Encoded records that are not synced, and where each begins.
    staged: Vec<u8>,
    starts: Vec<usize>,
    /// Last index, with the staged records.
    last: u64,
    _lock: File,
}

impl Store {
    /// Opens or creates the folder and reads everything in it.
    ///
    /// # Errors
    /// When the folder is in use, can't be read or written, or is damaged.
    pub fn open(folder: &Path, options: Options) -> Result<(Self, Contents), StorageError> {
        fs::create_dir_all(folder).map_err(|e| StorageError::io("create", folder, e))?;
        let lock = lock(folder)?;
        remove_temporary(folder)?;
        finish_discard(folder)?;
        let mut contents = Contents {
            identity: vote::read(folder)?,
            ..Contents::default()
        };
        let snapshots = files::numbered(folder, snapshot::PREFIX)?;
        if let Some((index, path)) = snapshots.last() {
            contents.snapshot = Some(snapshot::read(path, *index)?);
        }
        let mut store = Self {
            folder: folder.to_owned(),
            options,
            segments: Vec::new(),
            staged: Vec::new(),
            starts: Vec::new(),
            last: 0,
            _lock: lock,
        };
        store.read_log(&mut contents)?;
        if contents.identity.is_none() && (contents.snapshot.is_some() || store.last > 0) {
            let path = folder.join(vote::NAME);
            return Err(StorageError::damaged(&path, 0, "the file is missing"));
        }
        store.remove_snapshots()?;
        Ok((store, contents))
    }

    fn read_log(&mut self, contents: &mut Contents) -> Result<(), StorageError> {
        let found = files::numbered(&self.folder, segment::PREFIX)?;
        let count = found.len();
        let mut last = None;
        for (place, (first, path)) in found.into_iter().enumerate() {
            let raw = files::read(&path)?.unwrap_or_default();
            let mut read = scan(&path, &raw, last)?;
            let is_torn = read.end < raw.len();
            if place + 1 < count && (is_torn || raw.is_empty()) {
                let message = "records are missing in front of the next segment";
                return Err(StorageError::damaged(&path, read.end, message));
            }
            if read.records.first().is_some_and(|r| r.index != first) {
                let message = "the file name does not match the first record";
                return Err(StorageError::damaged(&path, 0, message));
            }
            if is_torn {
                let cut = raw.len() - read.end;
                let file = path.display();
                let warning = format!("{file}: removed {cut} bytes of a record cut off by a crash");
                contents.warnings.push(warning.into());
            }
            if read.records.is_empty() {
                files::remove(&path)?;
                continue;
            }
            self.segments.push(Segment::open(path, first, &read)?);
            last = read.records.last().map(|r| (r.index, r.term));
            contents.records.append(&mut read.records);
        }
        self.last = last.map_or(0, |(index, _)| index);
        self.join(contents)
    }

    /// Checks that the log continues the snapshot; a log that a snapshot from
    /// the leader replaced is removed.
    fn join(&mut self, contents: &mut Contents) -> Result<(), StorageError> {
        let (index, term) = contents
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.index, s.term));
        let Some(first) = contents.records.first().map(|r| r.index) else {
            self.last = index;
            return Ok(());
        };
        if first > index + 1 {
            let path = &self.segments[0].path;
            let message = format!("records {} to {} are missing", index + 1, first - 1);
            return Err(StorageError::damaged(path, 0, message));
        }
        let at = contents.records.iter().find(|r| r.index == index);
        let replaced = self.last < index || at.is_some_and(|r| r.term != term);
        if replaced {
            self.drop_log(index)?;
            contents.records.clear();
        }
        Ok(())
    }

    /// Removes everything in the folder; the replica starts like one without files.
    ///
    /// # Errors
    /// When a file can't be removed; the next open goes on with it.
    pub fn discard(self) -> Result<(), StorageError> {
        files::replace(&self.folder.join(DISCARD), &[])?;
        finish_discard(&self.folder)
    }

    /// Last index, with staged records.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.last
    }

    /// Size of the log in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.synced).sum()
    }

    /// Replaces id, term and vote; synced on return.
    ///
    /// # Errors
    /// When the file can't be written; the old one stays.
    pub fn save_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        vote::write(&self.folder, identity)
    }

    /// Stages a record; one at or before the last index replaces all from there on.
    ///
    /// # Errors
    /// When the record leaves a gap, is too large, or earlier ones can't be removed.
    pub fn append(&mut self, head: (u8, u64, u64), payload: &[u8]) -> Result<(), StorageError> {
        let index = head.2;
        if index > self.last + 1 || index == 0 {
            return Err(StorageError::IndexGap {
                index,
                last_index: self.last,
            });
        }
        if index <= self.last {
            self.truncate(index - 1)?;
        }
        self.starts.push(self.staged.len());
        if let Err(error) = encode(head, payload, &mut self.staged) {
            self.starts.pop();
            return Err(error);
        }
        self.last = index;
        Ok(())
    }

    /// Writes all staged records and syncs them once.
    ///
    /// # Errors
    /// When the records can't be written; they stay staged for another call.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.starts.is_empty() {
            return Ok(());
        }
        let full = |s: &Segment| s.synced >= self.options.segment_bytes;
        if self.segments.last().is_none_or(full) {
            let first = self.last + 1 - self.starts.len() as u64;
            self.segments.push(Segment::create(&self.folder, first)?);
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.write(&self.staged, &self.starts)?;
        }
        self.staged.clear();
        self.starts.clear();
        Ok(())
    }

    /// Removes the records after an index.
    fn truncate(&mut self, last: u64) -> Result<(), StorageError> {
        let synced = self.last - self.starts.len() as u64;
        if last >= synced {
            let keep = usize::try_from(last - synced).unwrap_or(usize::MAX);
            if let Some(end) = self.starts.get(keep).copied() {
                self.starts.truncate(keep);
                self.staged.truncate(end);
            }
            self.last = last;
            return Ok(());
        }
        self.staged.clear();
        self.starts.clear();
        self.last = synced;
        // From the end, so that a crash leaves no gap.
        while let Some(segment) = self.segments.pop_if(|s| s.first > last) {
            let (path, before) = (segment.path, segment.first - 1);
            files::remove(&path)?;
            files::sync_folder(&path)?;
            self.last = before;
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.truncate(last)?;
        }
        self.last = last;
        Ok(())
    }

    /// Writes a snapshot of the own state and removes older ones; synced on return.
    ///
    /// # Errors
    /// When the file can't be written; the older snapshot stays.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        snapshot::write(&self.folder, snapshot)?;
        self.remove_snapshots()
    }

    /// Writes a snapshot that replaces the whole log; synced on return.
    ///
    /// # Errors
    /// When the file can't be written or the log can't be removed; repeat the call.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.write_snapshot(snapshot)?;
        self.drop_log(snapshot.index)
    }

    fn drop_log(&mut self, last: u64) -> Result<(), StorageError> {
        self.staged.clear();
        self.starts.clear();
        while let Some(segment) = self.segments.last() {
            files::remove(&segment.path)?;
            files::sync_folder(&segment.path)?;
            self.segments.pop();
        }
        self.last = last;
        Ok(())
    }

    /// Removes whole segments of which all records are at or before an index
    /// that a snapshot covers.
    ///
    /// # Errors
    /// When a file can't be removed; it is tried again with the next call.
    pub fn compact(&mut self, index: u64) -> Result<(), StorageError> {
        let covered = |s: &Segment| s.last() <= index;
        while self.segments.len() > 1 && self.segments.first().is_some_and(covered) {
            files::remove(&self.segments[0].path)?;
            files::sync_folder(&self.segments[0].path)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn remove_snapshots(&self) -> Result<(), StorageError> {
        let found = files::numbered(&self.folder, snapshot::PREFIX)?;
        let (_, older) = found.split_last().unzip();
        for (_, path) in older.unwrap_or_default() {
            files::remove(path)?;
        }
        Ok(())
    }
}

/// Removes the files of a replica that was discarded; a crash may have come in between.
fn finish_discard(folder: &Path) -> Result<(), StorageError> {
    let marker = folder.join(DISCARD);
    if files::read(&marker)?.is_none() {
        return Ok(());
    }
    for prefix in [segment::PREFIX, snapshot::PREFIX] {
        for (_, path) in files::numbered(folder, prefix)? {
            files::remove(&path)?;
        }
    }
    files::remove(&folder.join(vote::NAME))?;
    files::sync_folder(&marker)?;
    files::remove(&marker)?;
    files::sync_folder(&marker)
}

fn lock(folder: &Path) -> Result<File, StorageError> {
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

/// Removes files that a crash left incomplete.
fn remove_temporary(folder: &Path) -> Result<(), StorageError> {
    let list = || -> std::io::Result<Vec<PathBuf>> {
        let entries = fs::read_dir(folder)?;
        entries.map(|e| e.map(|e| e.path())).collect()
    };
    let found = list().map_err(|e| StorageError::io("list", folder, e))?;
    let temporary = |p: &&PathBuf| p.extension().is_some_and(|e| e == files::TEMPORARY);
    found
        .iter()
        .filter(temporary)
        .try_for_each(|path| files::remove(path))
}
