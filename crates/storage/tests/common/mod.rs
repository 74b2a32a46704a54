//! Folders with known records.

use std::path::{Path, PathBuf};

use storage::{Contents, Identity, Options, StorageError, Store};

/// Small segments, so that a few records fill several.
pub const SMALL: Options = Options { segment_bytes: 200 };

pub const IDENTITY: Identity = Identity {
    id: 3,
    term: 4,
    voted_for: 2,
};

pub fn open(folder: &Path) -> Result<(Store, Contents), StorageError> {
    Store::open(folder, SMALL)
}

pub fn payload(index: u64) -> Vec<u8> {
    vec![index as u8; (index % 40) as usize]
}

/// Appends records, each synced on its own.
pub fn fill(store: &mut Store, indexes: std::ops::RangeInclusive<u64>, term: u64) {
    for index in indexes {
        store
            .append((1, term, index), &payload(index))
            .expect("append");
        store.sync().expect("sync");
    }
}

/// Folder with an identity and records 1 to `last`.
pub fn folder(last: u64) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("folder");
    let (mut store, _) = open(dir.path()).expect("open");
    store.save_identity(IDENTITY).expect("save");
    fill(&mut store, 1..=last, 4);
    dir
}

pub fn indexes(contents: &Contents) -> Vec<u64> {
    contents.records.iter().map(|r| r.index).collect()
}

pub fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("list");
    let mut found: Vec<_> = entries
        .map(|e| e.expect("entry").path())
        .filter(|p| {
            p.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with(prefix))
        })
        .collect();
    found.sort();
    found
}
