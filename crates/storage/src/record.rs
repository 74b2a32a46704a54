//! Encoding of log records.

use crate::StorageError;

/// Size of a record header in bytes.
pub(crate) const HEADER_BYTES: usize = 25;

/// Maximum size of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// Log record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Kind of the payload, defined by the caller.
    pub kind: u8,
    /// Term in which the record was created.
    pub term: u64,
    /// Position in the log, from 1.
    pub index: u64,
    /// Content, defined by the caller.
    pub payload: Vec<u8>,
}

/// Encodes a record and appends it to `out`.
pub(crate) fn encode(
    (kind, term, index): (u8, u64, u64),
    payload: &[u8],
    out: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let size = payload.len();
    let Some(length) = u32::try_from(size)
        .ok()
        .filter(|_| size <= MAX_PAYLOAD_BYTES)
    else {
        return Err(StorageError::TooLarge {
            index,
            size,
            limit: MAX_PAYLOAD_BYTES,
        });
    };
    let start = out.len();
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&[0; 4]);
    out.push(kind);
    out.extend_from_slice(&term.to_be_bytes());
    out.extend_from_slice(&index.to_be_bytes());
    out.extend_from_slice(payload);
    let crc = checksum(length, &out[start + 8..]);
    out[start + 4..start + 8].copy_from_slice(&crc.to_be_bytes());
    Ok(())
}

fn checksum(length: u32, after_checksum: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length.to_be_bytes()), after_checksum)
}

/// Record header.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Header {
    pub(crate) length: usize,
    crc: u32,
    kind: u8,
    term: u64,
    pub(crate) index: u64,
}

impl Header {
    /// Decodes a header; `None` if there are too few bytes.
    pub(crate) fn decode(raw: &[u8]) -> Option<Self> {
        let (length, rest) = raw.split_first_chunk()?;
        let (crc, rest) = rest.split_first_chunk()?;
        let (kind, rest) = rest.split_first()?;
        let (term, rest) = rest.split_first_chunk()?;
        let (index, _) = rest.split_first_chunk()?;
        Some(Self {
            length: usize::try_from(u32::from_be_bytes(*length)).ok()?,
            crc: u32::from_be_bytes(*crc),
            kind: *kind,
            term: u64::from_be_bytes(*term),
            index: u64::from_be_bytes(*index),
        })
    }

    /// Whether the checksum matches a payload of `length` bytes.
    pub(crate) fn matches_checksum(&self, raw: &[u8], length: usize) -> bool {
        let body = raw.get(8..HEADER_BYTES + length);
        let length = u32::try_from(length).ok();
        body.zip(length)
            .is_some_and(|(body, length)| checksum(length, body) == self.crc)
    }

    /// Decodes the record, if it is complete and its checksum matches.
    pub(crate) fn decode_record(&self, raw: &[u8]) -> Option<Record> {
        let payload = raw.get(HEADER_BYTES..HEADER_BYTES + self.length)?.to_vec();
        let Self {
            kind, term, index, ..
        } = *self;
        self.matches_checksum(raw, self.length).then_some(Record {
            kind,
            term,
            index,
            payload,
        })
    }
}
