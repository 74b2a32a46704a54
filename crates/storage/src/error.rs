//! Errors of the data folder and its files.

use std::io;
use std::path::Path;

use thiserror::Error;

/// The data folder can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// Another process has locked the data folder.
    #[error("the folder {folder} is in use by another process; stop it or choose another folder")]
    Locked {
        /// Path of the data folder.
        folder: Box<str>,
    },
    /// Synced records, a synced snapshot or the vote file are damaged or missing.
    #[error(
        "{file} is damaged at byte {offset}: {message}; this replica must not vote with this folder: \
         move the folder away and start with an empty one, the replica then joins again as a learner"
    )]
    Damaged {
        /// Path of the file.
        file: Box<str>,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Description of the damage.
        message: Box<str>,
    },
    /// The disk, the quota or the file size limit is exhausted.
    #[error(
        "{operation} {file}: the disk is full; free some space, nothing that was accepted is lost"
    )]
    DiskFull {
        /// Failed operation.
        operation: &'static str,
        /// Path of the file.
        file: Box<str>,
    },
    /// The process lacks a permission, or the file system is read-only.
    #[error(
        "{operation} {file}: permission denied; the process needs to read and write the folder"
    )]
    PermissionDenied {
        /// Failed operation.
        operation: &'static str,
        /// Path of the file.
        file: Box<str>,
    },
    /// Any other error of the file system.
    #[error("{operation} {file}: {source}")]
    Io {
        /// Failed operation.
        operation: &'static str,
        /// Path of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The index of an appended record would leave a gap in the log.
    #[error("record {index} does not follow record {last_index}")]
    IndexGap {
        /// Index of the rejected record.
        index: u64,
        /// Last index of the log.
        last_index: u64,
    },
    /// Content that can't be encoded or decoded, as another version of the program
    /// writes it.
    #[error("{message}; the files were written by another version of this program")]
    InvalidContent {
        /// Description of the damage.
        message: Box<str>,
    },
    /// A record payload or snapshot metadata above the size limit.
    #[error("record {index} of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Index of the record or snapshot.
        index: u64,
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
}

impl StorageError {
    /// Maps an I/O error to the variant that describes its remedy.
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
