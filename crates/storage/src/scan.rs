//! Reads a segment and distinguishes a torn write at its end from damage.

use std::path::Path;

use crate::StorageError;
use crate::record::{HEADER_BYTES, Header, Record};

/// Maximum distance from the last valid index at which bytes after a damaged
/// record count as a later record.
const MAX_INDEX_DISTANCE: u64 = 1 << 20;

/// Result of reading a segment.
#[derive(Debug, Default)]
pub(crate) struct ScanResult {
    pub(crate) records: Vec<Record>,
    /// Offset of each record in bytes.
    pub(crate) offsets: Vec<u64>,
    /// Offset of the end of the last complete record in bytes.
    pub(crate) end: usize,
}

/// Reads the records of a segment up to its end or to a torn record. The first one
/// has to follow the record with the index and term in `last`, if given.
pub(crate) fn scan_segment(
    path: &Path,
    raw: &[u8],
    mut last: Option<(u64, u64)>,
) -> Result<ScanResult, StorageError> {
    let mut scan = ScanResult::default();
    while scan.end < raw.len() {
        let rest = &raw[scan.end..];
        let Some(record) = Header::decode(rest).and_then(|h| h.decode_record(rest)) else {
            check_torn_write(path, scan.end, rest, last.map_or(0, |(index, _)| index))?;
            break;
        };
        if let Some((index, term)) = last
            && (record.index != index + 1 || record.term < term)
        {
            let message = format!(
                "record {} of term {} follows record {index} of term {term}",
                record.index, record.term
            );
            return Err(StorageError::damaged(path, scan.end, message));
        }
        last = Some((record.index, record.term));
        scan.offsets.push(scan.end as u64);
        scan.end += HEADER_BYTES + record.payload.len();
        scan.records.push(record);
    }
    Ok(scan)
}

/// Returns an error unless a crash during a write can have left these bytes at the
/// end of a segment.
///
/// A torn write leaves the beginning of a record, or zeros where the file system
/// extended the file before it wrote the data. A complete record with a wrong
/// checksum may have been synced, so it counts as damage.
fn check_torn_write(
    path: &Path,
    offset: usize,
    rest: &[u8],
    last_index: u64,
) -> Result<(), StorageError> {
    let damaged = |message| Err(StorageError::damaged(path, offset, message));
    if rest.iter().all(|b| *b == 0) {
        return Ok(());
    }
    let Some(header) = Header::decode(rest) else {
        return Ok(());
    };
    if HEADER_BYTES + header.length <= rest.len() {
        return damaged("wrong checksum of a record");
    }
    if header.matches_checksum(rest, rest.len() - HEADER_BYTES) {
        return damaged("wrong length of a record");
    }
    let is_record_at = |start: usize| {
        let tail = &rest[start..];
        let header = Header::decode(tail)
            .filter(|h| h.index > last_index && h.index - last_index <= MAX_INDEX_DISTANCE)
            .filter(|h| HEADER_BYTES + h.length <= tail.len());
        header.is_some_and(|h| h.matches_checksum(tail, h.length))
    };
    if (1..rest.len()).any(is_record_at) {
        return damaged("a damaged record is followed by others");
    }
    Ok(())
}
