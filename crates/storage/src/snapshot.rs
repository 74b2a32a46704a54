//! Snapshot files.

use std::path::Path;

use crate::{StorageError, files};

/// File name prefix; the index of the last covered record follows.
pub(crate) const FILE_PREFIX: &str = "snapshot-";

/// Magic bytes and version at the start of the file.
const MAGIC: [u8; 4] = *b"JSS1";

/// Size in bytes of the magic, crc32c u32, index u64, term u64 and metadata length u32.
const HEADER_BYTES: usize = 28;

/// State of the state machine after a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last record that the snapshot covers.
    pub index: u64,
    /// Term of that record.
    pub term: u64,
    /// Metadata, defined by the caller.
    pub metadata: Vec<u8>,
    /// Encoded state, defined by the caller.
    pub data: Vec<u8>,
}

/// Writes a snapshot file atomically.
pub(crate) fn write(folder: &Path, snapshot: &Snapshot) -> Result<(), StorageError> {
    let Snapshot {
        index,
        term,
        metadata,
        data,
    } = snapshot;
    let size = metadata.len();
    let Ok(length) = u32::try_from(size) else {
        let limit = u32::MAX as usize;
        return Err(StorageError::TooLarge {
            index: *index,
            size,
            limit,
        });
    };
    let mut fields = Vec::with_capacity(HEADER_BYTES - 8);
    fields.extend_from_slice(&index.to_be_bytes());
    fields.extend_from_slice(&term.to_be_bytes());
    fields.extend_from_slice(&length.to_be_bytes());
    let crc = checksum(&[&fields, metadata, data]).to_be_bytes();
    let path = folder.join(format!("{FILE_PREFIX}{index:020}"));
    files::write_atomically(&path, &[&MAGIC, &crc, &fields, metadata, data])
}

/// Reads a snapshot file, which has to cover the records up to `index`.
pub(crate) fn read(path: &Path, index: u64) -> Result<Snapshot, StorageError> {
    let damaged = |message: &str| StorageError::damaged(path, 0, message);
    let raw = files::read_if_exists(path)?.ok_or_else(|| damaged("the file is missing"))?;
    let snapshot = decode(&raw).ok_or_else(|| damaged("wrong checksum of the snapshot"))?;
    if snapshot.index == index {
        Ok(snapshot)
    } else {
        Err(damaged("the file name does not match the index"))
    }
}

fn decode(raw: &[u8]) -> Option<Snapshot> {
    let rest = raw.strip_prefix(&MAGIC)?;
    let (crc, fields) = rest.split_first_chunk()?;
    if checksum(&[fields]) != u32::from_be_bytes(*crc) {
        return None;
    }
    let (index, rest) = fields.split_first_chunk()?;
    let (term, rest) = rest.split_first_chunk()?;
    let (length, rest) = rest.split_first_chunk()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
    let (metadata, data) = rest.split_at_checked(length)?;
    Some(Snapshot {
        index: u64::from_be_bytes(*index),
        term: u64::from_be_bytes(*term),
        metadata: metadata.to_vec(),
        data: data.to_vec(),
    })
}

fn checksum(parts: &[&[u8]]) -> u32 {
    parts
        .iter()
        .fold(0, |crc, part| crc32c::crc32c_append(crc, part))
}
