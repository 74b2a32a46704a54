//! Durable creation, replacement and removal of files.

use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use crate::StorageError;

/// Ending of files that are not complete yet.
pub(crate) const TEMPORARY: &str = "tmp";

/// Writes a file so that after a crash it holds either the old or the new content.
pub(crate) fn replace(path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
    let temporary = path.with_extension(TEMPORARY);
    let write = || -> std::io::Result<()> {
        let mut file = File::create(&temporary)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()
    };
    if let Err(source) = write() {
        // Frees the space of an incomplete file; it has no use.
        let _ = fs::remove_file(&temporary);
        return Err(StorageError::io("write", &temporary, source));
    }
    fs::rename(&temporary, path).map_err(|e| StorageError::io("rename", &temporary, e))?;
    sync_folder(path)
}

/// Removes a file that may be gone already.
pub(crate) fn remove(path: &Path) -> Result<(), StorageError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(StorageError::io("remove", path, e)),
        _ => Ok(()),
    }
}

/// Syncs the folder of a file, so that its name survives a crash.
pub(crate) fn sync_folder(path: &Path) -> Result<(), StorageError> {
    let folder = path.parent().unwrap_or(path);
    let sync = || File::open(folder)?.sync_all();
    sync().map_err(|e| StorageError::io("sync", folder, e))
}

/// Content of a file; `None` if it does not exist.
pub(crate) fn read(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(raw) => Ok(Some(raw)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(StorageError::io("read", path, e)),
    }
}

/// Files named `<prefix><number>`, by number.
pub(crate) fn numbered(folder: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, StorageError> {
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
