//! Crash-safe creation, replacement and removal of files.

use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use crate::StorageError;

/// Extension of files that are not completely written.
pub(crate) const TEMPORARY_EXTENSION: &str = "tmp";

/// Replaces a file atomically: after a crash it holds either the old or the new content.
pub(crate) fn write_atomically(path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let write = || -> std::io::Result<()> {
        let mut file = File::create(&temporary)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()
    };
    if let Err(source) = write() {
        // The incomplete file is useless, and its space may be needed.
        let _ = fs::remove_file(&temporary);
        return Err(StorageError::io("write", &temporary, source));
    }
    fs::rename(&temporary, path).map_err(|e| StorageError::io("rename", &temporary, e))?;
    sync_parent(path)
}

/// Removes a file if it exists.
pub(crate) fn remove_if_exists(path: &Path) -> Result<(), StorageError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(StorageError::io("remove", path, e)),
        _ => Ok(()),
    }
}

/// Syncs the folder that contains a file, which makes its creation or removal durable.
pub(crate) fn sync_parent(path: &Path) -> Result<(), StorageError> {
    let folder = path.parent().unwrap_or(path);
    let sync = || File::open(folder)?.sync_all();
    sync().map_err(|e| StorageError::io("sync", folder, e))
}

/// Reads a file; `None` if it does not exist.
pub(crate) fn read_if_exists(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(raw) => Ok(Some(raw)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(StorageError::io("read", path, e)),
    }
}

/// Lists the files named `<prefix><number>`, sorted by number.
pub(crate) fn list_numbered(
    folder: &Path,
    prefix: &str,
) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let list = || -> std::io::Result<Vec<(u64, PathBuf)>> {
        let mut found = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let name = path
                .file_name()
                .and_then(|n| n.to_str())
                .unwrap_or_default();
            if let Some(number) = name.strip_prefix(prefix).and_then(|n| n.parse().ok()) {
                found.push((number, path));
            }
        }
        found.sort_unstable();
        Ok(found)
    };
    list().map_err(|e| StorageError::io("list", folder, e))
}
