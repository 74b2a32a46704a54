//! Errors of the files.

use std::io;
use std::path::Path;

use thiserror::Error;

/// Files that can't be used or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// Another process uses the folder.
    #[error("the folder {folder} is in use by another process; stop it or choose another folder")]
    Locked {
        /// Folder.
        folder: Box<str>,
    },
    /// Records or a snapshot that were synced are damaged or missing.
    #[error(
        "{file} is damaged at byte {offset}: {message}; this replica must not vote with this folder: \
         move the folder away and start with an empty one, the replica then joins again as a learner"
    )]
    Damaged {
        /// File.
        file: Box<str>,
        /// Position in bytes.
        offset: u64,
        /// What is wrong.
        message: Box<str>,
    },
    /// The disk or quota is full.
    #[error(
        "{operation} {file}: the disk is full; free some space, nothing that was accepted is lost"
    )]
    DiskFull {
        /// Operation.
        operation: &'static str,
        /// File.
        file: Box<str>,
    },
    /// Missing rights.
    #[error(
        "{operation} {file}: permission denied; the process needs to read and write the folder"
    )]
    PermissionDenied {
        /// Operation.
        operation: &'static str,
        /// File.
        file: Box<str>,
    },
    /// Another failure of the file system.
    #[error("{operation} {file}: {source}")]
    Io {
        /// Operation.
        operation: &'static str,
        /// File.
        file: Box<str>,
        /// Cause.
        source: io::Error,
    },
    /// A record that does not follow the last one.
    #[error("record {index} does not follow record {last_index}")]
    IndexGap {
        /// Index of the record.
        index: u64,
        /// Last index of the log.
        last_index: u64,
    },
    /// Content that can't be encoded or decoded.
    #[error("{message}; the files were written by another version of this program")]
    InvalidContent {
        /// What is wrong.
        message: Box<str>,
    },
    /// A record above the size limit.
    #[error("record {index} of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Index of the record.
        index: u64,
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
}

impl StorageError {
    /// Classifies a failure of the file system.
    pub(crate) fn io(operation: &'static str, path: &Path, source: io::Error) -> Self {
        let file = path.display().to_string().into();
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Self::DiskFull { operation, file },
            io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
                Self::PermissionDenied { operation, file }
            }
            _ => Self::Io {
                operation,
                file,
                source,
            },
        }
    }

    pub(crate) fn damaged(path: &Path, offset: usize, message: impl Into<Box<str>>) -> Self {
        Self::Damaged {
            file: path.display().to_string().into(),
            offset: offset as u64,
            message: message.into(),
        }
    }
}
