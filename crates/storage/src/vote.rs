//! File with the id, term and vote of a replica.

use std::path::Path;

use crate::{StorageError, files};

/// File name.
pub(crate) const FILE_NAME: &str = "vote";

/// Magic bytes and version at the start of the file.
const MAGIC: [u8; 4] = *b"JSV1";

/// Id of the replica with its term and vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Id of the replica.
    pub id: u64,
    /// Highest term seen.
    pub term: u64,
    /// Candidate that received the replica's vote in this term; 0 for none.
    pub voted_for: u64,
}

/// Replaces the vote file atomically.
pub(crate) fn write(folder: &Path, identity: Identity) -> Result<(), StorageError> {
    let Identity {
        id,
        term,
        voted_for,
    } = identity;
    let fields: Vec<u8> = [id, term, voted_for]
        .iter()
        .flat_map(|n| n.to_be_bytes())
        .collect();
    let crc = crc32c::crc32c(&fields).to_be_bytes();
    files::write_atomically(&folder.join(FILE_NAME), &[&MAGIC, &crc, &fields])
}

/// Reads the vote file; `None` if it does not exist.
pub(crate) fn read(folder: &Path) -> Result<Option<Identity>, StorageError> {
    let path = folder.join(FILE_NAME);
    let Some(raw) = files::read_if_exists(&path)? else {
        return Ok(None);
    };
    let identity = decode(&raw);
    let damaged = || StorageError::damaged(&path, 0, "wrong checksum of the vote");
    Ok(Some(identity.ok_or_else(damaged)?))
}

fn decode(raw: &[u8]) -> Option<Identity> {
    let rest = raw.strip_prefix(&MAGIC)?;
    let (crc, fields) = rest.split_first_chunk()?;
    let (fields, rest) = fields.split_first_chunk::<24>()?;
    if !rest.is_empty() || crc32c::crc32c(fields) != u32::from_be_bytes(*crc) {
        return None;
    }
    let (id, rest) = fields.split_first_chunk()?;
    let (term, rest) = rest.split_first_chunk()?;
    let (voted_for, _) = rest.split_first_chunk()?;
    Some(Identity {
        id: u64::from_be_bytes(*id),
        term: u64::from_be_bytes(*term),
        voted_for: u64::from_be_bytes(*voted_for),
    })
}
