//! Data folders with known records.

use std::path::{Path, PathBuf};

use storage::{Contents, Identity, Options, StorageError, Store};

/// Segments so small that a few records fill several of them.
pub const SMALL_SEGMENTS: Options = Options { segment_bytes: 200 };

pub const IDENTITY: Identity = Identity {
    id: 3,
    term: 4,
    voted_for: 2,
};

pub fn open(folder: &Path) -> Result<(Store, Contents), StorageError> {
    Store::open(folder, SMALL_SEGMENTS)
}

pub fn payload(index: u64) -> Vec<u8> {
    vec![index as u8; (index % 40) as usize]
}

/// Appends records and syncs each of them separately.
pub fn fill(store: &mut Store, indexes: std::ops::RangeInclusive<u64>, term: u64) {
    for index in indexes {
        store
            .append((1, term, index), &payload(index))
            .expect("append");
        store.sync().expect("sync");
    }
}

/// Creates a data folder with an identity and the records 1 to `last_index`.
pub fn folder(last_index: u64) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("folder");
    let (mut store, _) = open(dir.path()).expect("open");
    store.save_identity(IDENTITY).expect("save");
    fill(&mut store, 1..=last_index, 4);
    dir
}

pub fn indexes(contents: &Contents) -> Vec<u64> {
    contents.records.iter().map(|r| r.index).collect()
}

/// Lists the files whose names begin with a prefix, sorted by name.
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
